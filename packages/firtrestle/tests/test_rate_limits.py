"""Check what all daemons together send to an instance that names a limit, without a network."""

import random
from bisect import bisect_left, bisect_right

import pytest
from firtrestle.clocks import Millis
from firtrestle.instances import Instance
from firtrestle.rate_limits import PERMIT_LIFETIME, RETENTION, RateLimits
from manual_clocks import ManualClock

INSTANCE = Instance("a", "s", "h", 1, "dc", 3, False, 1)
WINDOW = Millis(4_000)  # over which an instance counts what it gets
TICK_S = 0.005


class Fleet:
    """Simulate daemons that each get requests at random, and send those they have permits for."""

    def __init__(self, daemons, demand, rate, seed=1, skew=0.0):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.rate = rate
        self.daemons = [
            RateLimits(self.clock, random.Random(f"{seed}-{number}"), lambda instance: daemons)
            for number in range(daemons)
        ]
        weights = [1.0 + skew * self.rng.uniform(-1.0, 1.0) for _ in self.daemons]
        self.demands = [demand * weight / sum(weights) for weight in weights]
        self.sent_at = []
        self.requests = 0

    def tell_all(self):
        for limits in self.daemons:
            limits.record(INSTANCE, "r", self.rate)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.jump(TICK_S)
            for limits, demand in zip(self.daemons, self.demands, strict=True):
                if self.rng.random() < demand * TICK_S:
                    self.requests += 1
                    self.ask(limits)

    def ask(self, limits):
        if not limits.wait(INSTANCE.replica_id):
            limits.spend(INSTANCE.replica_id)
            limits.record(INSTANCE, "r", self.rate)
            self.sent_at.append(self.clock.now())

    def most_in_window(self):
        ends = [bisect_right(self.sent_at, at + WINDOW) for at in self.sent_at]
        return max(
            end - bisect_left(self.sent_at, at) for at, end in zip(self.sent_at, ends, strict=True)
        )


# Guards against daemons that each keep to a limit, and together exceed it.
@pytest.mark.parametrize("daemons", [1, 2, 9, 30, 195])
@pytest.mark.parametrize("rate", [2.5, 14.5, 60.0])
def test_all_daemons_together_keep_to_the_limit(daemons, rate):
    for seed in range(3):
        fleet = Fleet(daemons, demand=4 * rate, rate=rate, seed=seed, skew=0.9)
        fleet.tell_all()
        fleet.run(20)
        assert fleet.most_in_window() <= 1.5 * rate * WINDOW / 1_000 + 5


@pytest.mark.parametrize("daemons", [9, 195])
def test_a_burst_after_a_quiet_time_keeps_to_the_limit(daemons):
    for seed in range(5):
        fleet = Fleet(daemons, demand=0.0, rate=14.5, seed=seed)
        fleet.tell_all()
        fleet.run(10)
        fleet.demands = [1_000 / daemons] * daemons
        fleet.run(8)
        assert fleet.most_in_window() <= 1.5 * 14.5 * WINDOW / 1_000 + 5


def test_a_small_fleet_uses_most_of_a_limit_that_is_half_of_its_demand():
    fleet = Fleet(9, demand=30.0, rate=15.0, skew=0.5)
    fleet.tell_all()
    fleet.run(30)
    assert len(fleet.sent_at) >= 0.85 * 15.0 * 30


def test_permits_that_are_not_used_expire():
    fleet = Fleet(1, demand=0.0, rate=10.0)
    fleet.tell_all()
    fleet.run(5)
    for _ in range(100):
        fleet.ask(fleet.daemons[0])
    assert len(fleet.sent_at) <= 10.0 * PERMIT_LIFETIME / 1_000 + 1


def test_a_lifted_limit_holds_nothing_back():
    fleet = Fleet(1, demand=0.0, rate=0.001)
    limits = fleet.daemons[0]
    fleet.tell_all()
    assert limits.wait(INSTANCE.replica_id) > 0
    limits.lift(INSTANCE, "r")
    assert limits.wait(INSTANCE.replica_id) == 0
    assert limits.is_empty


def test_a_limit_of_nothing_is_tried_again_once_it_was_not_named_for_long():
    fleet = Fleet(1, demand=0.0, rate=0.0)
    limits = fleet.daemons[0]
    fleet.tell_all()
    assert limits.wait(INSTANCE.replica_id) == RETENTION
    fleet.clock.jump(RETENTION / 1_000)
    assert limits.wait(INSTANCE.replica_id) == 0
    limits.expire()
    assert limits.count() == 0


# Guards against a limit of nothing that is taken for no limit.
def test_a_limit_that_falls_to_nothing_after_an_idle_time_grants_nothing():
    fleet = Fleet(1, demand=0.0, rate=10.0)
    limits = fleet.daemons[0]
    fleet.tell_all()
    fleet.run(5)
    limits.record(INSTANCE, "r", 0.0)
    fleet.run(5)
    assert limits.wait(INSTANCE.replica_id) == RETENTION - 5_000
    limits.record(INSTANCE, "r", 10.0)
    assert limits.wait(INSTANCE.replica_id) <= 100


def test_a_raised_limit_shortens_the_wait_and_a_lowered_one_lengthens_it():
    fleet = Fleet(1, demand=0.0, rate=0.1)
    limits = fleet.daemons[0]
    fleet.tell_all()
    before = limits.wait(INSTANCE.replica_id)
    limits.record(INSTANCE, "r", 1.0)
    assert limits.wait(INSTANCE.replica_id) == pytest.approx(before / 10)
    limits.record(INSTANCE, "r", 0.1)
    assert limits.wait(INSTANCE.replica_id) == pytest.approx(before)


def test_a_new_lifetime_has_no_limit():
    fleet = Fleet(1, demand=0.0, rate=0.1)
    fleet.tell_all()
    restarted = Instance("a", "s", "h", 1, "dc", 3, False, 2)
    assert fleet.daemons[0].wait(restarted.replica_id) == 0
