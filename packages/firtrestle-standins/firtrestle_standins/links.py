"""Stand-in for the network between daemons: TCP relays that can simulate partitions.

Each daemon connects from an IP address of its own and is reached through its own relay, so that a
relay knows both ends of a connection. A cut link forwards nothing, as if its packets were lost, and
goes on once it is restored.
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
    """Relay the peer connections of all daemons, except over cut links."""

    def __init__(self) -> None:
        self._side_by_host: dict[str, int] = {}
        self._changed = trio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Partition the hosts into sides; an empty request restores all links."""
        changes = json.loads(request.body or b"{}")
        self._side_by_host = dict(changes.get("sides", {}))
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return HttpResponse.from_json({"sides": self._side_by_host})

    async def relay(self, stream: trio.SocketStream, host: str, port: int) -> None:
        """Forward one connection to a daemon in both directions while the link is not cut."""
        source = stream.socket.getpeername()[0]
        try:
            await self._wait_until_connected(source, host)
            peer = await trio.open_tcp_stream(host, port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, stream, peer, source, host, nursery)
                nursery.start_soon(self._forward, peer, stream, source, host, nursery)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _forward(
        self, source: Any, sink: Any, host: str, other: str, nursery: trio.Nursery
    ) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            await self._wait_until_connected(host, other)
            await sink.send_all(data)
        nursery.cancel_scope.cancel()

    async def _wait_until_connected(self, host: str, other: str) -> None:
        while self._side_by_host.get(host, 0) != self._side_by_host.get(other, 0):
            await self._changed.wait()


async def serve(config: dict[str, Any]) -> None:
    """Serve the control endpoint and all relays until cancelled."""
    links = Links()
    control = HttpServer(links.handle, HttpBounds(idle_timeout=Millis(3_600_000)))
    async with trio.open_nursery() as nursery:
        for relay in config["relays"]:

            async def accept(stream: trio.SocketStream, relay: dict[str, Any] = relay) -> None:
                await links.relay(stream, relay["host"], relay["peer_port"])

            listeners = await trio.open_tcp_listeners(relay["relay_port"], host=relay["host"])
            nursery.start_soon(trio.serve_listeners, accept, listeners)
        listeners = await trio.open_tcp_listeners(config["port"], host=config["host"])
        nursery.start_soon(trio.serve_listeners, control.serve, listeners)


def main() -> None:
    """Run the relays of the configuration file named on the command line."""
    trio.run(serve, json.loads(Path(sys.argv[1]).read_text()))


if __name__ == "__main__":
    main()
