"""Stand in for the network between daemons: relays that can be cut pair by pair.

Each daemon dials from an IP number of its own and is reached through its relay, so a relay knows
both ends. A cut link carries nothing, as if its packets were lost, and goes on when it heals.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import trio
from firtrestle.clocks import Millis
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer

CHUNK_BYTES = 65_536


class Links:
    """Relay the peer streams of all daemons, except over cut links."""

    def __init__(self) -> None:
        self._side_by_host: dict[str, int] = {}
        self._changed = trio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Split the hosts into sides, or heal all links."""
        changes = json.loads(request.body or b"{}")
        self._side_by_host = dict(changes.get("sides", {}))
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return HttpResponse.from_json({"sides": self._side_by_host})

    async def relay(self, stream: trio.SocketStream, host: str, port: int) -> None:
        """Carry one stream to a daemon, both ways, while the link is not cut."""
        source = stream.socket.getpeername()[0]
        try:
            await self._until_healed(source, host)
            onward = await trio.open_tcp_stream(host, port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, stream, onward, source, host, nursery)
                nursery.start_soon(self._pump, onward, stream, source, host, nursery)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _pump(
        self, source: Any, sink: Any, host: str, other: str, nursery: trio.Nursery
    ) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            await self._until_healed(host, other)
            await sink.send_all(data)
        nursery.cancel_scope.cancel()

    async def _until_healed(self, host: str, other: str) -> None:
        while self._side_by_host.get(host, 0) != self._side_by_host.get(other, 0):
            await self._changed.wait()


async def serve(config: dict[str, Any]) -> None:
    """Listen for control and for each daemon's relay, until ended."""
    links = Links()
    control = HttpServer(links.handle, HttpBounds(idle_timeout=Millis(3_600_000)))
    async with trio.open_nursery() as nursery:
        for one in config["relays"]:

            async def accept(stream: trio.SocketStream, one: dict[str, Any] = one) -> None:
                await links.relay(stream, one["host"], one["peer_port"])

            listeners = await trio.open_tcp_listeners(one["relay_port"], host=one["host"])
            nursery.start_soon(trio.serve_listeners, accept, listeners)
        listeners = await trio.open_tcp_listeners(config["port"], host=config["host"])
        nursery.start_soon(trio.serve_listeners, control.serve, listeners)


def main() -> None:
    """Run from the file that a rig wrote."""
    trio.run(serve, json.loads(Path(sys.argv[1]).read_text()))


if __name__ == "__main__":
    main()
