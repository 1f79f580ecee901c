"""Run callers behind a balancer on a rig's daemons."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from firtrestle_standins.balancers import Balancer
from firtrestle_standins.callers import Callers
from firtrestle_standins.records import Record
from firtrestle_standins.rigs import Rig


@asynccontextmanager
async def balanced_callers(rig: Rig, seed: int) -> AsyncIterator[Callers]:
    """Hand out callers that a balancer spreads, and collect the daemons' events meanwhile."""
    balancer = Balancer(rig.daemon_addresses)
    record = Record("callers", rig.folder / "callers.jsonl")
    callers = Callers(balancer.ready, rig.versions, record, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rig.keep_collecting)
        nursery.start_soon(balancer.run)
        yield callers
        nursery.cancel_scope.cancel()
