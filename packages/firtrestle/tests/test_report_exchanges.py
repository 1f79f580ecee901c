import math
import random
from dataclasses import dataclass, field
from typing import Any

import msgpack
import pytest
import trio
from firtrestle import messages
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.instance_reports import MIN_SPAN
from firtrestle.messages import Pull, decode, encode
from firtrestle.replicas import Replicas
from firtrestle.report_exchanges import ReportExchange
from firtrestle.snapshots import ReplicaId
from route_fakes import FakePeers, connect_peers
from trio.testing import MockClock

DAEMONS = 91
SHARDS, COPIES = 36, 3
LOST_SHARE = 0.4


class FakeInstances:
    """Know all instances but those named."""

    def __init__(self, *gone: str) -> None:
        self._gone = gone

    def get(self, replica_id: ReplicaId) -> ReplicaId | None:
        return None if replica_id.target_id in self._gone else replica_id

    def count(self) -> int:
        return SHARDS * COPIES


def new_exchange(peers: FakePeers, clock: Clock, *gone: str) -> tuple[ReportExchange, Replicas]:
    replicas = Replicas(clock)
    return ReportExchange(clock, FakeInstances(*gone), replicas, peers), replicas


def times_until_known(lost_messages: float) -> tuple[list[float], int]:
    """Return when each daemon knew of each failing instance, in ms, and the false verdicts.

    Each daemon sends one request a second to an instance of each of 36 shards. Half of the
    instances lose 40 in 100 replies, from the start.
    """
    rng = random.Random(3)
    names = [f"s{shard}-{copy}" for shard in range(SHARDS) for copy in range(COPIES)]
    failing = set(rng.sample(names, len(names) // 2))
    times: list[float] = []
    false_verdicts = 0

    async def ask(exchange: ReportExchange, replicas: Replicas, clock: Clock) -> None:
        await sleep(Millis(rng.uniform(0, 1_000)))
        while True:
            for shard in range(SHARDS):
                ids = [ReplicaId(f"s{shard}-{copy}", "0") for copy in range(COPIES)]
                now = clock.now()
                sound = [id_ for id_ in ids if not replicas.get(id_).is_reported_failing(now)]
                chosen = rng.choice(sound or ids)
                if chosen.target_id in failing and rng.random() < LOST_SHARE:
                    exchange.failing.record(chosen)
            await sleep(Millis(rng.uniform(500, 1_500)))

    async def main() -> None:
        nonlocal false_verdicts
        clock = Clock()
        peers = [FakePeers(lost_share=lost_messages) for _ in range(DAEMONS)]
        fleet = [new_exchange(own, clock) for own in peers]
        connect_peers([exchange for exchange, _ in fleet], peers)
        started_at = clock.now()
        known: set[tuple[int, str]] = set()
        with trio.move_on_after(6):
            async with trio.open_nursery() as nursery:
                for exchange, replicas in fleet:
                    nursery.start_soon(exchange.run)
                    nursery.start_soon(ask, exchange, replicas, clock)
                while len(known) < DAEMONS * len(failing):
                    await sleep(Millis(50))
                    for place, (_, replicas) in enumerate(fleet):
                        for replica_id, record in replicas.by_id.items():
                            if not record.is_reported_failing(clock.now()):
                                continue
                            if replica_id.target_id not in failing:
                                false_verdicts += 1
                            elif (place, replica_id.target_id) not in known:
                                known.add((place, replica_id.target_id))
                                times.append(clock.now() - started_at)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    times += [math.inf] * (DAEMONS * len(failing) - len(times))
    return times, false_verdicts


# Guards against daemons that each learn only from their own few requests, which takes longer than
# the spell lasts: a daemon meets a failing instance every three seconds.
@pytest.mark.parametrize(
    ("lost_messages", "most_by", "nearly_all"), [(0.0, 2_200, 1.0), (0.1, 2_600, 0.97)]
)
def test_a_fleet_that_sees_a_request_a_second_each_learns_of_all_failing_instances(
    lost_messages, most_by, nearly_all
):
    """Pattern: half of all instances lose 40 in 100 replies; 91 daemons, 36 shards.

    Without the exchange, a daemon meets such an instance about every third second, and loses a
    reply to it every eighth.
    """
    times, false_verdicts = times_until_known(lost_messages)
    half, most, last = (times[round(share * len(times)) - 1] for share in (0.5, 0.9, nearly_all))
    print(f"known to 0.5 after {half:.0f} ms, 0.9 after {most:.0f}, {nearly_all} after {last:.0f}")
    assert half <= 1_500
    assert most <= most_by
    assert last <= 3_000
    assert false_verdicts == 0


def test_both_kinds_of_reports_are_told_apart():
    async def main() -> None:
        clock = Clock()
        told = FakePeers()
        teller, _ = new_exchange(told, clock)
        listener, replicas = new_exchange(FakePeers(), clock, "gone")
        told.partner_reports.append(listener)
        slow, failing, gone = (ReplicaId(name, "0") for name in ("slow", "failing", "gone"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(teller.run)
            for _ in range(2):
                teller.slow.record(slow)
                teller.failing.record(failing)
                teller.failing.record(gone)
                await sleep(Millis(MIN_SPAN + 10))
            await sleep(Millis(250))
            nursery.cancel_scope.cancel()
        now = clock.now()
        verdicts = {
            id_.target_id: (record.is_reported_slow(now), record.is_reported_failing(now))
            for id_, record in replicas.by_id.items()
        }
        assert verdicts == {"slow": (True, False), "failing": (False, True)}

    trio.run(main, clock=MockClock(autojump_threshold=0))


# Guards against a message that daemons of an earlier build refuse, while a fleet is updated.
def test_a_daemon_of_an_earlier_build_takes_in_what_it_knows(monkeypatch):
    @dataclass(slots=True)
    class EarlierPull:
        keys: list[str] = field(default_factory=list)
        items: list[list[Any]] = field(default_factory=list)
        announced: dict[str, int] = field(default_factory=dict)
        slow: list[list[Any]] = field(default_factory=list)
        eras: list[int] = field(default_factory=list)

    row = ["i", "7", 900, 0, None]
    frame = msgpack.unpackb(encode(1, Pull(slow=[row], failing=[row])))
    assert decode(frame)[1].failing == [row]
    monkeypatch.setitem(messages.message_by_tag, "pull", EarlierPull)
    assert decode(frame) == (1, EarlierPull(slow=[row]))


def test_a_pull_of_an_earlier_build_has_no_failing_reports():
    frame = msgpack.unpackb(encode(1, Pull()))
    del frame["b"]["failing"]
    assert decode(frame)[1].failing == []
