import random

from firtrestle.backoffs import MAX_SPREAD_SHARE, Backoffs
from firtrestle.clocks import MILLIS_PER_SECOND, Millis
from firtrestle.instances import Instance
from manual_clocks import ManualClock

INSTANCE = Instance("a", "s", "h", 1, "dc", 3, False, 1)
PAUSE = Millis(1_000)


def build(seed=1):
    clock = ManualClock()
    return Backoffs(clock, random.Random(seed)), clock


def test_a_pause_holds_at_least_as_long_as_the_instance_asked_for():
    for seed in range(20):
        backoffs, clock = build(seed)
        backoffs.record(INSTANCE, "r1", PAUSE)
        clock.jump((PAUSE - 1) / MILLIS_PER_SECOND)
        assert backoffs.left(INSTANCE.replica_id) > 0
        clock.jump((PAUSE * MAX_SPREAD_SHARE + 2) / MILLIS_PER_SECOND)
        assert backoffs.left(INSTANCE.replica_id) == 0


def test_daemons_that_were_told_at_the_same_moment_return_at_different_times():
    ends = set()
    for seed in range(20):
        backoffs, _ = build(seed)
        backoffs.record(INSTANCE, "r1", PAUSE)
        ends.add(round(backoffs.left(INSTANCE.replica_id)))
    assert len(ends) > 15


def test_a_shorter_pause_does_not_end_a_longer_one():
    backoffs, clock = build()
    backoffs.record(INSTANCE, "r1", PAUSE)
    backoffs.record(INSTANCE, "r2", Millis(10))
    clock.jump((PAUSE - 1) / MILLIS_PER_SECOND)
    assert backoffs.left(INSTANCE.replica_id) > 0


def test_a_new_lifetime_is_not_held_back():
    backoffs, _ = build()
    backoffs.record(INSTANCE, "r1", PAUSE)
    restarted = Instance("a", "s", "h", 1, "dc", 3, False, 2)
    assert backoffs.left(restarted.replica_id) == 0


def test_pauses_that_are_over_are_forgotten():
    backoffs, clock = build()
    backoffs.record(INSTANCE, "r1", PAUSE)
    assert backoffs.count() == 1
    clock.jump((2 * PAUSE) / MILLIS_PER_SECOND)
    backoffs.expire()
    assert backoffs.count() == 0
    assert backoffs._until_by_replica == {}
