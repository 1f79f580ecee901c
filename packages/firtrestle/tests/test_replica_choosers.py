import random
from collections import Counter

import pytest
from firtrestle.clocks import Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.plugins.replica_choosers import MIN_SAMPLES, AgedLeastInFlight, LeastInFlight
from firtrestle.replicas import Replica
from firtrestle.settings import TargetSettings
from firtrestle.snapshots import ReplicaId
from manual_clocks import ManualClock

SETTINGS = TargetSettings(slow_start_ms=2_000)
QUERIES = 3_000


def new_chooser() -> tuple[LeastInFlight, ManualClock]:
    clock = ManualClock(100_000.0)
    return LeastInFlight.from_config(SETTINGS, clock, random.Random(1)), clock


def replica(name: str, seen_at: float = 0.0, samples: int = 0, latency: float = 5.0) -> Replica:
    built = Replica(ReplicaId(name, "s"), Millis(seen_at))
    for _ in range(samples):
        built.record_outcome(SubOutcome.OK, Millis(latency), 0, Millis(seen_at))
    return built


def choice_counts(chooser: LeastInFlight, replicas: list[Replica], busy: int) -> Counter[str]:
    """Count choices while `busy` requests are in flight and the oldest ends at each new one."""
    chosen: Counter[str] = Counter()
    running: list[Replica] = []
    for _ in range(QUERIES):
        picked = chooser.choose(replicas)
        picked.in_flight += 1
        running.append(picked)
        chosen[picked.id.target_id] += 1
        if len(running) > busy:
            running.pop(0).in_flight -= 1
    for picked in running:
        picked.in_flight -= 1
    return chosen


def test_a_new_target_gets_less_traffic_until_its_slow_start_ends():
    chooser, clock = new_chooser()
    warm = replica("warm", samples=MIN_SAMPLES)
    cold = replica("cold", seen_at=clock.at)
    at_first = choice_counts(chooser, [warm, cold], busy=12)["cold"] / QUERIES
    clock.at += SETTINGS.slow_start_ms / 2
    half_way = choice_counts(chooser, [warm, cold], busy=12)["cold"] / QUERIES
    clock.at += SETTINGS.slow_start_ms / 2
    at_last = choice_counts(chooser, [warm, cold], busy=12)["cold"] / QUERIES
    # A cold replica counts as three times as loaded at first, and twice half-way.
    expected = [1 / 4, 1 / 3, 1 / 2]
    assert [at_first, half_way, at_last] == pytest.approx(expected, abs=0.05)


def test_a_slower_replica_gets_proportionally_less_traffic():
    chooser, _ = new_chooser()
    fast = replica("fast", samples=MIN_SAMPLES, latency=5.0)
    slow = replica("slow", samples=MIN_SAMPLES, latency=20.0)
    assert 0.1 < choice_counts(chooser, [fast, slow], busy=12)["slow"] / QUERIES < 0.3


def test_an_ejected_replica_is_skipped_unless_all_are_ejected():
    chooser, clock = new_chooser()
    good, bad = replica("good"), replica("bad")
    bad.record_outcome(SubOutcome.REFUSED, Millis(5), 0, clock.now())
    assert all(chooser.choose([good, bad]) is good for _ in range(50))
    good.record_outcome(SubOutcome.DIED, Millis(5), 0, clock.now())
    assert chooser.choose([good, bad]) is not None
    clock.at += 501
    assert choice_counts(chooser, [good, bad], busy=4).keys() == {"good", "bad"}


def aged_replica(name: str, clock: ManualClock, failing: bool = False, sheds: int = 0) -> Replica:
    built = replica(name, clock.now(), samples=MIN_SAMPLES)
    built.reported_failing_until = Millis(clock.now() + 2_500 if failing else 0)
    for _ in range(sheds):
        built.record_outcome(SubOutcome.SHED, Millis(3), 0, clock.now())
    return built


# Guards against learning of a failing instance only from this daemon's own few requests.
def test_an_instance_that_fails_for_others_is_used_only_if_the_rest_is_much_busier():
    _, clock = new_chooser()
    chooser = AgedLeastInFlight.from_config(SETTINGS, clock, random.Random(1))
    failing, sound = aged_replica("failing", clock, failing=True), aged_replica("sound", clock)
    assert all(chooser.choose([failing, sound]) is sound for _ in range(50))
    sound.in_flight = 2
    assert all(chooser.choose([failing, sound]) is sound for _ in range(50))
    sound.in_flight = 4
    assert chooser.choose([failing, sound]) is failing
    assert chooser.choose([failing]) is failing
    sound.in_flight = 0
    clock.at += 2_500
    assert choice_counts(chooser, [failing, sound], busy=4).keys() == {"failing", "sound"}


def test_among_failing_instances_the_one_that_fails_least_here_is_chosen():
    _, clock = new_chooser()
    chooser = AgedLeastInFlight.from_config(SETTINGS, clock, random.Random(1))
    worse = aged_replica("worse", clock, failing=True, sheds=8)
    better = aged_replica("better", clock, failing=True)
    assert all(chooser.choose([worse, better]) is better for _ in range(50))


def test_choosing_from_no_replicas_returns_none():
    chooser, _ = new_chooser()
    assert chooser.choose([]) is None
