"""Provide a daemon that divides gathers, and peers that run the parts, on simulated time."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.crash_records import CrashRecords
from firtrestle.frames import unpack
from firtrestle.gather_splits import part_of, shards_by_part
from firtrestle.gossip_maps import GossipMap
from firtrestle.members import Member, MemberStatus
from firtrestle.messages import Relay, Relayed, encode, new_unpacker
from firtrestle.part_relays import PartRelays
from firtrestle.peers import PeerFailure
from firtrestle.relay_servers import RelayServer
from firtrestle.relays import Relays
from firtrestle.repeat_budgets import RepeatBudgets
from firtrestle.service_tools import ServiceTools
from firtrestle.uplinks import Uplink
from firtrestle.work_estimates import Estimate
from route_fakes import (
    TERMS,
    FakeLoop,
    FakePools,
    RouteHarness,
    good,
    run_with_harness,
    scatter_route,
)

FROZEN = "frozen"  # in place of an answer: it never comes
SERVE = "serve"  # answers as the daemon does
REFUSALS = [PeerFailure(False, "connecting failed"), Relayed(refusal="overloaded")]
SHARDS = 48
PART = 12  # shards in each of four parts
TOO_MANY = 10  # missing shards with which a least coverage of 0.8 is out of reach
SLOW_SHARD = 3.0  # processor time of a sub-request with which 48 are divided into 4 parts


def over_the_wire(message):
    ((_, decoded),) = unpack(new_unpacker(), encode(1, message))
    return decoded


def local(name: str, data_centre: str = "dc") -> Member:
    return Member(name, 1, MemberStatus.ALIVE, data_centre, "h", 1, 2)


@dataclass
class FixedWork:
    """Replace the estimates of a daemon's work by one value, None for unknown."""

    value: float | None

    def processor_estimate(self) -> Estimate | None:
        if self.value is None:
            return None
        return Estimate(Millis(self.value), Millis(0), Millis(0), Millis(self.value))


@dataclass
class SplitPeer:
    """Serve parts like a daemon; `answer`, if set, stands in for what it would reply."""

    tools: ServiceTools
    pools: FakePools
    server: RelayServer
    state: SimpleNamespace
    answer: Any = SERVE
    delay: Millis = Millis(0)
    relays: list[Relay] = field(default_factory=list)

    async def call(self, relay: Relay, timeout: Millis) -> Any:
        self.relays.append(over_the_wire(relay))
        with trio.move_on_after(timeout / 1_000):
            if self.answer == FROZEN:
                await trio.sleep_forever()
            if self.answer != SERVE:
                return self.answer
            served = await self.server.serve(over_the_wire(relay))
            await sleep(self.delay)
            return over_the_wire(served)
        return PeerFailure(True, "took too long")


@dataclass
class Fleet:
    """Group a daemon that divides gathers, and its peers by id; each has pools of its own."""

    daemon: RouteHarness
    peer_by_id: dict[str, SplitPeer]
    members: list[Member]

    def asked(self) -> list[str]:
        return [name for name, peer in self.peer_by_id.items() for _ in peer.relays]

    def relays(self) -> list[Relay]:
        return [relay for peer in self.peer_by_id.values() for relay in peer.relays]

    def all_tools(self) -> list[ServiceTools]:
        return [self.daemon.tools, *(peer.tools for peer in self.peer_by_id.values())]

    def sends_by_service(self) -> Counter[str]:
        """Count the sub-requests to each service, of all daemons together."""
        pools = [self.daemon.pools, *(peer.pools for peer in self.peer_by_id.values())]
        return Counter(name.rpartition("-")[0] for pool in pools for name in pool.sent)

    def credits(self, service: str) -> int:
        """Count the requests with which all daemons credited a service."""
        return sum(
            tools.budgets.for_service(service)._requests._total() for tools in self.all_tools()
        )


def fleet_of(
    harness: RouteHarness,
    peers: tuple[str, ...] = ("p1", "p2", "p3", "p4"),
    work: float | None = SLOW_SHARD,
    own_id: str = "d0",
    behave=None,
) -> Fleet:
    """Return a daemon and its peers; all reach the harness's instances, by the same behaviour."""
    fleet = Fleet(harness, {}, [local(name) for name in peers])
    for name in peers:
        tools, pools = _separate(harness, behave)
        state = SimpleNamespace(table=harness.table, stopping=False, running=0)
        fleet.peer_by_id[name] = SplitPeer(tools, pools, RelayServer(tools, state), state)

    async def call(member: Member, relay: Relay, timeout: Millis) -> Any:
        return await fleet.peer_by_id[member.id].call(relay, timeout)

    tools, pools = _separate(harness, behave)
    clock = tools.clock
    tools.splits = PartRelays(own_id, "dc", clock, random.Random(3), lambda: fleet.members, call)
    tools.relays = Relays(own_id, clock, random.Random(5), lambda: fleet.members, call)
    tools.work = FixedWork(work)
    fleet.daemon = RouteHarness(tools, pools, harness.table)
    return fleet


def _separate(harness: RouteHarness, behave) -> tuple[ServiceTools, FakePools]:
    """Return tools of a daemon of its own, with the harness's instances."""
    clock = harness.tools.clock
    uplink = Uplink(clock, random.Random(2))
    pools = FakePools(harness.pools.nursery, behave or harness.pools.behave, uplink)
    budgets = RepeatBudgets(TERMS, clock, Millis(clock.now() - 10_000))
    budgets.fleet_size = 1
    crashes = CrashRecords(GossipMap(), clock)
    tools = replace(
        harness.tools,
        uplink=uplink,
        pools=pools,
        budgets=budgets,
        crashes=crashes,
        loop=FakeLoop(),
    )
    return tools, pools


def answer_all(instance, nth):
    return 5, good(instance)


def run(body, behave=answer_all, services=SHARDS):
    run_with_harness(behave, body, services=services)


def route(**changes):
    return scatter_route(SHARDS, **changes)


async def ask_timed(fleet, asked_route=None, **options):
    """Return the result of a request, its gather and the time that it took."""
    started_at = fleet.daemon.tools.clock.now()
    result, gather = await fleet.daemon.ask(asked_route or route(), **options)
    return result, gather, fleet.daemon.tools.clock.now() - started_at


def services_of(relays):
    return [service for relay in relays for service in relay.services]


def shards_of_a_peer():
    """Return the shards of one of the four parts that peers run."""
    shards = shards_by_part(tuple(f"s{number}" for number in range(SHARDS)), 4)
    return next(shards[part] for part in range(4) if part != part_of("d0", 4))


async def ask_until(fleet, peer_id, asked_route, **options):
    """Send requests until one is divided with a part for a given peer; keep the last result."""
    for _ in range(30):
        before = len(fleet.peer_by_id[peer_id].relays)
        sends = fleet.sends_by_service()
        result, gather, fleet.took = await ask_timed(fleet, asked_route, **options)
        fleet.last = result, gather
        fleet.last_sends = fleet.sends_by_service() - sends
        if len(fleet.peer_by_id[peer_id].relays) > before:
            return
    raise AssertionError(f"{peer_id} was never asked")
