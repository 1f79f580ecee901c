"""Open the ports that a daemon listens on."""

from __future__ import annotations

import trio

LISTEN_BACKLOG = 1_024


async def listen(address: str, port: int) -> trio.SocketListener:
    """Listen on one address; raise OSError when the port can't be had."""
    listeners = await trio.open_tcp_listeners(port, host=address, backlog=LISTEN_BACKLOG)
    return listeners[0]
