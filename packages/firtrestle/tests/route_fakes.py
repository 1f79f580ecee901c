"""Provide fakes and builders for tests of routed requests, on simulated time."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import msgpack
import trio
from firtrestle.answers import Answer
from firtrestle.backoffs import Backoffs
from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis, sleep
from firtrestle.crash_records import CrashRecords
from firtrestle.departures import Departures
from firtrestle.errors import Refused
from firtrestle.gossip_maps import GossipMap
from firtrestle.instance_calls import InstanceCall
from firtrestle.instance_replies import CallerMessage, InstanceReply
from firtrestle.instances import Instance, Instances
from firtrestle.known_daemons import KnownDaemons
from firtrestle.messages import decode, encode
from firtrestle.outcomes import SubOutcome
from firtrestle.part_relays import PartRelays
from firtrestle.plugins.hedgers import EagerHedger
from firtrestle.plugins.replica_choosers import AgedLeastInFlight
from firtrestle.rate_limits import RateLimits
from firtrestle.relays import Relays
from firtrestle.repeat_budgets import RepeatBudgets, RepeatTerms
from firtrestle.replica_subsets import ReplicaSubsets
from firtrestle.replicas import Replicas
from firtrestle.report_exchanges import ReportExchange
from firtrestle.routed_requests import RoutedRequest
from firtrestle.routes import Route, RouteTable, ServiceTerms, TopRecords, WeightedService
from firtrestle.service_tools import ServiceTools
from firtrestle.settings import TargetSettings
from firtrestle.snapshots import ReplicaId
from firtrestle.split_gathers import SplitGather
from firtrestle.uplinks import Uplink
from firtrestle.warm_ups import WarmUpBounds, WarmUps
from trio.testing import MockClock

Behave = Callable[[Instance, int], tuple[float, InstanceReply]]
TERMS = RepeatTerms(0.2, 58.0, Millis(10_000))


def record(text: str) -> bytes:
    return text.encode().ljust(16, b".")


def good(instance: Instance, *records: str) -> InstanceReply:
    body = b"".join(record(text) for text in records or (instance.service,))
    return InstanceReply(
        SubOutcome.OK, 200, f"stamp-{instance.id}", (), body, reached=True, may_have_run=True
    )


def shed() -> InstanceReply:
    return InstanceReply(SubOutcome.SHED, 503, reached=True)


def misdirected() -> InstanceReply:
    return InstanceReply(SubOutcome.MISDIRECTED, 421, reached=True)


def lost() -> InstanceReply:
    return InstanceReply(SubOutcome.DIED, reached=True, may_have_run=True)


def unreachable() -> InstanceReply:
    return InstanceReply(SubOutcome.UNREACHABLE)


def failed(instance: Instance) -> InstanceReply:
    return InstanceReply(
        SubOutcome.REFUSED, 500, f"stamp-{instance.id}", reached=True, may_have_run=True
    )


def instances(count: int, services: int = 3) -> list[Instance]:
    return [
        Instance(f"i{number}", f"s{number % services}", "h", 1, "dc", 3, False, 1)
        for number in range(count)
    ]


async def keep_open(stream: trio.SocketStream) -> None:
    with suppress(trio.BrokenResourceError):
        await stream.receive_some()


async def call_no_peer(peer, relay, timeout):
    raise AssertionError("no peer is to be called")


@dataclass(slots=True)
class Send:
    """Record one message to an instance; `reply` is None until there is one."""

    at: Millis
    request_id: str
    instance: Instance
    reply: InstanceReply | None = None

    @property
    def may_have_run(self) -> bool:
        return self.reply is None or self.reply.may_have_run


@dataclass
class FakePools:
    """Answer each call as `behave` says: a delay in ms, math.inf for no reply, and a reply."""

    nursery: trio.Nursery
    behave: Behave
    uplink: Uplink
    sent: list[str] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)
    work_ms: float = 0.0  # processor time that each reply costs
    connected: set[str] = field(default_factory=set)  # instances with an idle connection
    writes: bool = True  # whether calls get a connection over which they are written
    count_by_id: Counter[str] = field(default_factory=Counter)

    def start(self, instance: Instance, call: InstanceCall, connections: int) -> InstanceCall:
        self.sent.append(instance.id)
        call.sent_at = Clock().now() if self.writes else None
        send = Send(Clock().now(), call.message.request_id, instance)
        self.sends.append(send)
        self.count_by_id[instance.id] += 1
        self.nursery.start_soon(self._reply, send, call, self.count_by_id[instance.id])
        return call

    def has_idle(self, replica_id: ReplicaId) -> bool:
        return replica_id.target_id in self.connected

    async def _reply(self, send: Send, call: InstanceCall, nth: int) -> None:
        instance = send.instance
        with call.scope:
            delay, reply = self.behave(instance, nth)
            await sleep(Millis(min(delay, 3_600_000)))
            send.reply = reply
            time.sleep(self.work_ms / MILLIS_PER_SECOND)
            if reply.status:
                self.uplink.record_heard(instance=instance)
            call.finish(reply)


def cold_instances(clock: Clock, instances: Instances) -> WarmUps:
    """Return the warm-ups of a daemon that is alone, which has all permits after 2 s."""

    def find_service(replica_id: ReplicaId) -> str | None:
        instance = instances.get(replica_id)
        return instance.service if instance is not None else None

    daemons = KnownDaemons("d1", "dc", clock, expects_peers=False)
    return WarmUps(clock, daemons, WarmUpBounds(1.5, 5.0), find_service)


@dataclass
class FakeLoop:
    """Replace the monitor of the event loop, which can't measure waits on simulated time."""

    was_idle: bool = True
    suspensions: int = 0
    busy: Millis = Millis(0)

    def busy_time(self) -> Millis:
        return self.busy


@dataclass
class RouteHarness:
    """Group one daemon's tools, over services with some instances each."""

    tools: ServiceTools
    pools: FakePools
    table: RouteTable
    numbers: int = 0
    name: str = ""
    reports: ReportExchange | None = None

    async def ask(self, route: Route, time_left: float = 1_000, services=None, target="/p/x"):
        """Run a request, and return its result and its gather."""
        self.numbers += 1
        now = self.tools.clock.now()
        message = CallerMessage(f"{self.name}r{self.numbers}", "GET", target, "h", (), b"")
        request = RoutedRequest(message, route, self.table, now, Millis(now + time_left))
        chosen = services or route.pick_services(self.tools.rng)
        gather = SplitGather(self.tools, request, chosen)
        return await gather.run(), gather


def scatter_route(shards: int, **changes) -> Route:
    values = {
        "name": "r",
        "host": "h",
        "prefix": "/p/",
        "repeatable": True,
        "timeout": Millis(1_000),
        "latency_target": Millis(150),
        "max_attempts": 2,
        "shards": tuple(f"s{number}" for number in range(shards)),
        "merge": TopRecords(50),
        "least_coverage": 0.8,
    }
    return Route(**{**values, **changes})


def plain_route(**changes) -> Route:
    values = {
        "name": "p",
        "host": "h",
        "prefix": "/p/",
        "repeatable": False,
        "timeout": Millis(1_000),
        "latency_target": Millis(500),
        "max_attempts": 3,
        "choices": (WeightedService("s0", 1.0),),
    }
    return Route(**{**values, **changes})


@dataclass
class FakePeers:
    """Deliver messages to partners after a time, as encoded on the wire."""

    partner_reports: list[ReportExchange] = field(default_factory=list)
    delay: Millis = Millis(2)
    lost_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(5))

    def partners(self, local: int, remote: int) -> list[ReportExchange]:
        return self.partner_reports[: local + remote]

    async def call(self, member: ReportExchange, value: object) -> None:
        frame = encode(1, value)
        await sleep(self.delay)
        if self.rng.random() >= self.lost_share:
            member.merge(decode(msgpack.unpackb(frame))[1])


def connect_peers(reports: Sequence[ReportExchange], peers: Sequence[FakePeers]) -> None:
    """Make each daemon tell its successor in a ring and two others."""
    rng = random.Random(7)
    for number, own_peers in enumerate(peers):
        others = [other for place, other in enumerate(reports) if place != number]
        own_peers.partner_reports[:] = [reports[number - 1], *rng.sample(others, 2)]


def build_harness(
    nursery: trio.Nursery,
    behave: Behave,
    services: int = 10,
    replicas: int = 3,
    seed: int = 1,
    fleet_size: int = 1,
    peers: FakePeers | None = None,
    name: str = "",
) -> RouteHarness:
    """Build one daemon's tools; a fleet's daemons get their part of the slack."""
    clock = Clock()
    rng = random.Random(seed)
    uplink = Uplink(clock, rng)
    pools = FakePools(nursery, behave, uplink)
    records = Replicas(clock)
    departures = Departures(GossipMap(), clock, Millis(3_000))
    instances = Instances(clock, records.remove, departures)
    backoffs = Backoffs(clock, rng)
    for service in range(services):
        for copy in range(replicas):
            instance = Instance(f"s{service}-{copy}", f"s{service}", "h", 1, "dc", 3, False, 1)
            instances.put(instance, 1)
    budgets = RepeatBudgets(TERMS, clock, Millis(clock.now() - 10_000))
    budgets.fleet_size = fleet_size
    reports = ReportExchange(clock, instances, records, peers or FakePeers())
    tools = ServiceTools(
        clock=clock,
        rng=rng,
        replicas=records,
        chooser=AgedLeastInFlight(TargetSettings(slow_start_ms=0), clock, rng),
        hedger=EagerHedger(clock),
        instances=instances,
        pools=pools,
        budgets=budgets,
        subsets=ReplicaSubsets("d1", "dc"),
        crashes=CrashRecords(GossipMap(), clock),
        backoffs=backoffs,
        rate_limits=RateLimits(clock, rng, lambda instance: 1.0),
        warm_ups=cold_instances(clock, instances),
        slow_reports=reports.slow,
        failing_reports=reports.failing,
        loop=FakeLoop(),
        uplink=uplink,
        relays=Relays("d1", clock, rng, list, call_no_peer),
        splits=PartRelays("d1", "dc", clock, rng, list, call_no_peer),
        data_centre="dc",
        reply_memory_bytes=20_000_000,
    )
    terms = {f"s{number}": ServiceTerms(f"s{number}", 31) for number in range(services)}
    table = RouteTable.from_routes(1, [], terms, RouteTable().limits)
    return RouteHarness(tools, pools, table, name=name, reports=reports)


def run_with_harness(
    behave: Behave,
    body: Callable[[RouteHarness], Awaitable[None]],
    services: int = 10,
    replicas: int = 3,
    real_time: bool = False,
) -> None:
    """Run a test body, on a simulated clock of its own unless it needs real time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await body(build_harness(nursery, behave, services, replicas))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=None if real_time else MockClock(autojump_threshold=0))


def run_with_fleet(
    behave: Behave,
    body: Callable[[list[RouteHarness]], Awaitable[None]],
    daemons: int,
    services: int,
    fleet_size: int = 0,
) -> None:
    """Run a test body over daemons that exchange reports, on a simulated clock.

    Their repeats are those of a fleet of `fleet_size` daemons, so that few stand for many.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            peers = [FakePeers() for _ in range(daemons)]
            fleet = [
                build_harness(
                    nursery,
                    behave,
                    services,
                    seed=number,
                    fleet_size=fleet_size or daemons,
                    peers=peers[number],
                    name=f"d{number}-",
                )
                for number in range(daemons)
            ]
            connect_peers([harness.reports for harness in fleet], peers)
            for harness in fleet:
                nursery.start_soon(harness.reports.run)
            await body(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def use_up_repeats(harness: RouteHarness, services: int) -> None:
    """Leave a daemon no repeats but those that its next requests earn, and no slack."""
    budgets = harness.tools.budgets
    budgets.fleet_size = 10_000
    for number in range(services):
        while budgets.for_service(f"s{number}").spend(budgets.slack):
            pass


@dataclass(frozen=True, slots=True)
class TimedResult:
    """Represent the result of one request, with its times in ms."""

    route: Route
    result: Answer | Refused
    started_at: Millis
    took: Millis


async def ask_steadily(
    harness: RouteHarness, routes: Sequence[Route], until: Millis
) -> list[TimedResult]:
    """Send about one request a second, of random routes, and return the results."""
    rng = random.Random(harness.name)
    results: list[TimedResult] = []

    async def ask(route: Route) -> None:
        started_at = harness.tools.clock.now()
        result, _ = await harness.ask(route, time_left=route.timeout)
        took = Millis(harness.tools.clock.now() - started_at)
        results.append(TimedResult(route, result, started_at, took))

    async with trio.open_nursery() as nursery:
        await sleep(Millis(rng.uniform(0, 1_000)))
        while harness.tools.clock.now() < until:
            nursery.start_soon(ask, rng.choice(routes))
            await sleep(Millis(rng.uniform(500, 1_500)))
    return results
