"""Probe instances by opening connections that carry no request."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from firtrestle.clocks import Millis, sleep
from firtrestle.http_clients import HttpConnection
from firtrestle.instances import Instance

CONNECT_TIMEOUT = Millis(150)
# A relay in between may accept a connection, and reset it once it doesn't reach the instance.
HOLD_TIME = Millis(100)


class ConnectProber:
    """Find out which instances accept a connection and keep it open."""

    def __init__(self, source: str = "") -> None:
        """Prepare probes from a local IP address, empty for the system's choice."""
        self._source = source

    async def find_accepting(self, instances: Iterable[Instance]) -> list[Instance]:
        """Return those of some instances that accept a connection, after probing all at once."""
        accepting: list[Instance] = []

        async def probe(instance: Instance) -> None:
            if await self._accepts(instance):
                accepting.append(instance)

        async with trio.open_nursery() as nursery:
            for instance in instances:
                nursery.start_soon(probe, instance)
        return accepting

    async def _accepts(self, instance: Instance) -> bool:
        connection = await HttpConnection.open(
            instance.host, instance.port, CONNECT_TIMEOUT, source=self._source
        )
        if not isinstance(connection, HttpConnection):
            return False
        try:
            await sleep(HOLD_TIME)
            return connection.has_no_pending_input()
        finally:
            await connection.close()
