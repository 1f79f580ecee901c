"""Run callers against the daemons of a rig, through the stand-in load balancer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from firtrestle_standins.balancers import Balancer
from firtrestle_standins.callers import Callers
from firtrestle_standins.records import EventFile
from firtrestle_standins.rigs import Rig


@asynccontextmanager
async def balanced_callers(rig: Rig, seed: int) -> AsyncIterator[Callers]:
    """Yield callers that send to healthy daemons; collect the daemons' events until exit."""
    balancer = Balancer(rig.daemon_addresses)
    event_file = EventFile("callers", rig.folder / "callers.jsonl")
    callers = Callers(balancer.healthy_addresses, rig.versions, event_file, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rig.keep_collecting)
        nursery.start_soon(balancer.run)
        yield callers
        nursery.cancel_scope.cancel()
