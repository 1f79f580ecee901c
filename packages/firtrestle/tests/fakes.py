"""Provide fakes and builders for tests of snapshot gathers and queries."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from firtrestle.catalogues import Canary, Entry, EntryKind, QueryClass, Weighing
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.events import EventLog
from firtrestle.gather_tools import GatherTools
from firtrestle.gossip_maps import GossipMap
from firtrestle.messages import SubReply, SubRequest
from firtrestle.peers import FINISHED
from firtrestle.plugins.hedgers import AdaptiveHedger
from firtrestle.plugins.replica_choosers import LeastInFlight
from firtrestle.quarantines import Quarantines
from firtrestle.queries import Query
from firtrestle.replicas import Replicas
from firtrestle.settings import QuarantineSettings, TargetSettings
from firtrestle.snapshot_gathers import SnapshotGather
from firtrestle.snapshots import ReplicaId, Snapshot


def entry(**changes: Any) -> Entry:
    values: dict[str, Any] = {
        "name": "e",
        "owner": "o",
        "collection": "c",
        "query_class": QueryClass.ORDINARY,
        "kind": EntryKind.SEARCH,
        "paths": (),
        "rate_per_second": 1_000.0,
        "concurrency": 1_000,
        "weighs": Weighing.COVERAGE,
        "least_coverage": 0.0,
        "timeout": Millis(1_000),
        "extra_load": 0.02,
        "canary": Canary.NEVER,
    }
    return Entry(**{**values, **changes})


def snapshot(shards: int, replicas: int = 2, version: int = 1, documents: int = 10) -> Snapshot:
    by_shard = {
        shard: tuple(ReplicaId(f"t{(shard + copy) % shards}", "s") for copy in range(replicas))
        for shard in range(shards)
    }
    return Snapshot("c", version, (documents,) * shards, by_shard)


def good_reply(sub: SubRequest, documents: int = 10, **changes: Any) -> SubReply:
    rows = [{"id": f"{sub.shard}-{n}", "version": sub.version} for n in range(2)]
    reply = SubReply(
        "ok", sub.request_id, sub.attempt, sub.collection, sub.version, sub.shard, rows, documents
    )
    for name, value in changes.items():
        setattr(reply, name, value)
    return reply


Behave = Callable[[SubRequest], tuple[float, SubReply]]


@dataclass
class FakeHolders:
    """Answer each sub-request as `behave` says: a delay in ms, below 0 at once, and a reply."""

    nursery: trio.Nursery
    behave: Behave
    sent: list[SubRequest] = field(default_factory=list)
    cancelled: list[SubRequest] = field(default_factory=list)

    def start(self, sub: SubRequest, deliver: Callable[[SubReply], None]) -> Any:
        self.sent.append(sub)
        delay, reply = self.behave(sub)
        if delay < 0:
            deliver(reply)
            return FINISHED
        scope = trio.CancelScope()
        self.nursery.start_soon(self._deliver_later, scope, delay, reply, deliver)
        return _Started(self, sub, scope)

    async def _deliver_later(self, scope: trio.CancelScope, delay: float, reply, deliver) -> None:
        with scope:
            await sleep(Millis(delay))
            deliver(reply)


@dataclass
class _Started:
    holders: FakeHolders
    sub: SubRequest
    scope: trio.CancelScope

    def cancel(self) -> None:
        self.holders.cancelled.append(self.sub)
        self.scope.cancel()


def gather_tools(holders: FakeHolders, canaries: int = 1) -> GatherTools:
    clock = Clock()
    events = EventLog("d1", 1, clock, 10_000)
    rng = random.Random(1)
    quarantine = Quarantines(QuarantineSettings(canaries=canaries), GossipMap(), clock, events)
    return GatherTools(
        clock=clock,
        rng=rng,
        events=events,
        holders=holders,
        replicas=Replicas(clock),
        chooser=LeastInFlight(TargetSettings(), clock, rng),
        hedger=AdaptiveHedger(clock),
        quarantines=quarantine,
    )


def query(number: int = 1, timeout: float = 1_000, **changes: Any) -> Query:
    deadline = Millis(Clock().now() + timeout)
    fingerprint = changes.pop("fingerprint", f"f{number}")
    return Query(f"r{number}", entry(**changes), {}, False, deadline, "", fingerprint, "shape")


async def run_gather(
    tools: GatherTools, snapshot_: Snapshot, number: int = 1, timeout: float = 1_000, **changes: Any
) -> Any:
    asked = query(number, timeout, **changes)
    return await SnapshotGather(tools, asked, snapshot_, itertools.count(1)).run()
