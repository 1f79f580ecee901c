"""Probe instances by opening connections that carry no request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from firtrestle.clocks import Millis, sleep
from firtrestle.http_clients import ConnectionRefused, HttpConnection
from firtrestle.instances import Instance
from firtrestle.snapshots import ReplicaId

CONNECT_TIMEOUT = Millis(150)
# A relay in between may accept a connection, and reset it once it doesn't reach the instance.
HOLD_TIME = Millis(100)


@dataclass(slots=True)
class ProbeRound:
    """Hold which instances accepted a connection and kept it open, and which refused one.

    Of an instance in neither set, the connection took too long or was dropped.
    """

    accepting: set[ReplicaId] = field(default_factory=set)
    refusing: set[ReplicaId] = field(default_factory=set)


class ConnectProber:
    """Find out which instances accept a connection and keep it open."""

    def __init__(self, source: str = "") -> None:
        """Prepare probes from a local IP address, empty for the system's choice."""
        self._source = source

    async def probe(self, instances: Iterable[Instance]) -> ProbeRound:
        """Probe some instances, all at once."""
        found = ProbeRound()
        async with trio.open_nursery() as nursery:
            for instance in instances:
                nursery.start_soon(self._probe, instance, found)
        return found

    async def _probe(self, instance: Instance, found: ProbeRound) -> None:
        connection = await HttpConnection.open(
            instance.host, instance.port, CONNECT_TIMEOUT, source=self._source
        )
        if isinstance(connection, ConnectionRefused):
            found.refusing.add(instance.replica_id)
        if not isinstance(connection, HttpConnection):
            return
        try:
            await sleep(HOLD_TIME)
            if connection.has_no_pending_input():
                found.accepting.add(instance.replica_id)
        finally:
            await connection.close()
