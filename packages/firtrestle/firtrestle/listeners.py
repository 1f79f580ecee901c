"""Open listening sockets."""

from __future__ import annotations

import trio

LISTEN_BACKLOG = 1_024


async def listen(address: str, port: int) -> trio.SocketListener:
    """Listen on one address; raise OSError if the port cannot be bound."""
    listeners = await trio.open_tcp_listeners(port, host=address, backlog=LISTEN_BACKLOG)
    return listeners[0]
