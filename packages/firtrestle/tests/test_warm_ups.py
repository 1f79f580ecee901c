"""Check what all daemons together send to a cold instance, without a network."""

import random
from bisect import bisect_right
from itertools import pairwise

import pytest
from firtrestle.clocks import Millis
from firtrestle.known_daemons import SETTLING_TIME, KnownDaemons
from firtrestle.members import Member, MemberStatus
from firtrestle.routes import RouteTable, ServiceTerms
from firtrestle.snapshots import ReplicaId
from firtrestle.warm_ups import (
    END_MARGIN,
    PERMIT_INTERVAL,
    WarmUpBounds,
    WarmUps,
    share_of_bound,
)
from loguru import logger
from manual_clocks import ManualClock

ID = ReplicaId("i", "1")
BOUNDS = WarmUpBounds(1.5, 5.0)
SECOND = Millis(1_000)
TICK_S = 0.02
FLEETS = [1, 9, 91, 195]
RATES = [0.1, 2.0, 10.0, 62.0, 400.0]
ALWAYS = 1e9  # demand of requests a second that asks in each tick


class Daemon:
    """Ask for permits as a daemon does, with its own view of the members."""

    def __init__(self, fleet, number, expects_peers=True):
        self.id = f"d{number}"
        self.data_centre = f"z{number % 3}"
        self.known = KnownDaemons(self.id, self.data_centre, fleet.clock, expects_peers)
        self.warm_ups = WarmUps(fleet.clock, self.known, BOUNDS, lambda replica_id: "s")
        self.warm_ups.apply(table(fleet.rate))
        self.runs = True
        self.waiting = []  # when each request that was granted gets a connection

    def learn(self, other, status=MemberStatus.ALIVE):
        self.known.record(Member(other.id, 1, status, other.data_centre, "h", 1, 2))


class Fleet:
    """Simulate daemons that send to one instance, and record when each request is written."""

    def __init__(self, daemons, rate, demand=ALWAYS, seed=1, longest_wait=0.0):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.rate = rate
        self.demand = demand
        self.longest_wait = longest_wait
        self.sent_at = []
        self.daemons = [Daemon(self, number, daemons > 1) for number in range(daemons)]
        for daemon in self.daemons:
            for other in self.daemons:
                daemon.learn(other)
        self.clock.jump(SETTLING_TIME / 1_000)

    def make_cold(self, left=Millis(60_000), daemons=None):
        for daemon in daemons if daemons is not None else self.daemons:
            daemon.warm_ups.record(ID, left)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.jump(TICK_S)
            for daemon in self.rng.sample(self.daemons, len(self.daemons)):
                if daemon.runs:
                    self.step(daemon)

    def step(self, daemon):
        now = self.clock.now()
        if self.rng.random() < self.demand * TICK_S and not daemon.warm_ups.wait(ID):
            daemon.warm_ups.spend(ID)
            daemon.waiting.append(now + self.rng.uniform(0.0, self.longest_wait))
        for due in [due for due in daemon.waiting if due <= now]:
            daemon.waiting.remove(due)
            if daemon.warm_ups.claim(ID, "r"):
                self.sent_at.append(now)

    def most_in_a_second(self):
        ends = [bisect_right(self.sent_at, at + SECOND) for at in self.sent_at]
        return max((end - start for start, end in enumerate(ends)), default=0)

    def check(self):
        assert self.most_in_a_second() <= BOUNDS.overage * self.rate + BOUNDS.slack


def table(rate):
    return RouteTable(terms_by_service={"s": ServiceTerms("s", 0, rate)})


@pytest.fixture(autouse=True)
def no_logs():
    logger.disable("firtrestle")
    yield
    logger.enable("firtrestle")


# Guards against daemons that each keep to a part, and together exceed the bound.
@pytest.mark.parametrize("daemons", FLEETS)
@pytest.mark.parametrize("rate", RATES)
def test_all_daemons_together_keep_to_the_bound_in_any_second_and_use_it(daemons, rate):
    fleet = Fleet(daemons, rate)
    fleet.make_cold()
    fleet.run(6)
    fleet.check()
    # Each tick may delay a permit.
    least = BOUNDS.max_requests(rate) * 1_000 / (PERMIT_INTERVAL + 1_000 * TICK_S) * 5
    most_asked = daemons / TICK_S * 5  # one in each tick
    assert len(fleet.sent_at) >= min(least, 0.9 * most_asked)


# Guards against permits that are used long after they were granted, beside newer ones.
@pytest.mark.parametrize("daemons", FLEETS)
@pytest.mark.parametrize("rate", [2.0, 62.0])
def test_requests_that_waited_for_a_connection_count_when_they_are_written(daemons, rate):
    fleet = Fleet(daemons, rate, longest_wait=2_500.0)
    fleet.make_cold()
    fleet.run(10)
    fleet.check()
    assert fleet.sent_at


# Guards against permits that pass from daemons that crashed to others while the former are counted.
@pytest.mark.parametrize("daemons", FLEETS)
@pytest.mark.parametrize("rate", RATES)
def test_the_bound_holds_while_daemons_crash_and_start_again(daemons, rate):
    fleet = Fleet(daemons, rate)
    fleet.make_cold()
    fleet.run(3)
    for number in range(0, daemons, 3):
        for daemon in fleet.daemons:
            daemon.learn(fleet.daemons[number], MemberStatus.DEAD)
        fleet.daemons[number].runs = False
    fleet.run(3)
    for number in range(0, daemons, 3):
        again = Daemon(fleet, number, daemons > 1)
        for other in fleet.daemons:
            again.learn(other)
            other.learn(again)
        fleet.daemons[number] = again
        fleet.make_cold(daemons=[again])
    fleet.run(5)
    fleet.check()


# Guards against sides of a partition that each divide the bound among themselves.
@pytest.mark.parametrize("daemons", [9, 91, 195])
@pytest.mark.parametrize("rate", RATES)
def test_the_bound_holds_over_both_sides_of_a_partition(daemons, rate):
    fleet = Fleet(daemons, rate)
    fleet.make_cold()
    fleet.run(2)
    for daemon in fleet.daemons:
        for other in fleet.daemons:
            if (other.data_centre == "z0") != (daemon.data_centre == "z0"):
                daemon.learn(other, MemberStatus.DEAD)
    fleet.run(2)
    # A daemon that is new to all, and one that starts again, join on one side.
    for number in (daemons + 1, 1):
        joining = Daemon(fleet, number)
        for other in fleet.daemons:
            is_dead = other.data_centre == "z0"
            joining.learn(other, MemberStatus.DEAD if is_dead else MemberStatus.ALIVE)
            if not is_dead:
                other.learn(joining)
        fleet.daemons = [d for d in fleet.daemons if d.id != joining.id] + [joining]
        fleet.make_cold(daemons=[joining])
    fleet.run(5)
    fleet.check()


# Guards against a daemon that joins and sends while those that it displaces haven't heard of it.
@pytest.mark.parametrize("daemons", FLEETS)
@pytest.mark.parametrize("rate", RATES)
def test_the_bound_holds_while_daemons_join_and_the_others_learn_it_late(daemons, rate):
    fleet = Fleet(daemons, rate)
    fleet.make_cold()
    fleet.run(2)
    joining = [Daemon(fleet, daemons + number) for number in range(max(1, daemons // 4))]
    for new in joining:
        for other in fleet.daemons + joining:
            new.learn(other)
    fleet.make_cold(daemons=joining)
    before = list(fleet.daemons)
    fleet.daemons += joining
    for tenth in range(9):
        fleet.run(0.1)
        for daemon in before[tenth::9]:
            for new in joining:
                daemon.learn(new)
    fleet.run(4)
    fleet.check()
    assert any(new.warm_ups.sent for new in joining) or BOUNDS.max_requests(rate) < 2 * daemons


# Guards against a second warm-up that is taken for the rest of the first one.
@pytest.mark.parametrize("daemons", FLEETS)
@pytest.mark.parametrize("rate", [0.1, 10.0])
def test_the_bound_holds_when_an_instance_becomes_cold_again(daemons, rate):
    fleet = Fleet(daemons, rate)
    fleet.make_cold(Millis(2_000))
    fleet.run(1)
    fleet.make_cold(Millis(2_000))
    fleet.run(2)
    fleet.check()
    fleet.run(0.5)  # it is warm now
    fleet.sent_at.clear()
    fleet.run(1)
    assert len(fleet.sent_at) >= 0.9 * daemons / TICK_S
    fleet.make_cold(Millis(2_000))
    fleet.sent_at.clear()  # all daemons know of it from here on
    fleet.run(2)
    fleet.check()


# Guards against a daemon that lags behind in its process and then makes up for it.
def test_a_daemon_that_was_frozen_makes_up_for_nothing():
    fleet = Fleet(1, 0.1)
    fleet.make_cold()
    fleet.run(1)
    fleet.sent_at.clear()
    fleet.clock.jump(10)
    fleet.run(1)
    assert 0 < len(fleet.sent_at) <= BOUNDS.max_requests(0.1)


def use(daemons, rate, gathers_per_s):
    """Return the permits of a cold instance that are used a second, by the rate of gathers."""
    fleet = Fleet(daemons, rate, demand=gathers_per_s)
    fleet.make_cold(Millis(600_000))
    fleet.run(120)
    return len(fleet.sent_at) / 120


# A permit lies unused until the next gather that would ask the instance.
# So the gathers of the permitted daemons limit the use, not the bound.
@pytest.mark.parametrize(
    ("gathers_per_s", "expected"),
    [
        (1.0, 0.51),  # each gather asks the instance
        (0.5, 0.34),  # one of two instances that the daemon uses
        (1 / 3, 0.26),  # one of three
    ],
)
def test_the_use_of_permits_by_one_gather_a_second_and_daemon(gathers_per_s, expected):
    bound = BOUNDS.max_requests(10.0)
    computed = 1_000 / (PERMIT_INTERVAL + 1_000 / gathers_per_s) * bound
    assert computed / (bound * 1_000 / PERMIT_INTERVAL) == pytest.approx(expected, abs=0.01)
    assert use(91, 10.0, gathers_per_s) == pytest.approx(computed, rel=0.1)


@pytest.mark.parametrize(("bound", "daemons"), [(0, 5), (3, 5), (5, 5), (7, 5), (98, 91)])
def test_the_shares_of_all_places_add_up_to_the_bound_and_differ_by_one_at_most(bound, daemons):
    shares = [share_of_bound(bound, place, daemons) for place in range(daemons)]
    assert sum(shares) == bound
    assert max(shares) - min(shares) <= 1


def test_a_daemon_sends_nothing_until_it_has_known_the_others_for_a_while():
    fleet = Fleet(9, 10.0)
    new = Daemon(fleet, 9)
    new.warm_ups.record(ID, Millis(60_000))
    fleet.clock.jump(60)
    new.warm_ups.record(ID, Millis(60_000))
    assert new.warm_ups.wait(ID) > 0
    new.learn(fleet.daemons[0])
    fleet.clock.jump(1.9)
    assert new.warm_ups.wait(ID) > 0
    assert not new.warm_ups.claim(ID, "r")
    fleet.clock.jump(0.1)
    assert new.warm_ups.wait(ID) == 0
    assert new.warm_ups.claim(ID, "r")


def test_a_wait_is_that_until_the_next_permit_here_or_at_another_daemon():
    fleet = Fleet(9, 0.1)  # 5 permits
    fleet.make_cold(Millis(10_000))
    fleet.clock.jump(1)
    waits = sorted(daemon.warm_ups.wait(ID) for daemon in fleet.daemons)
    assert waits == [0] * 5 + [PERMIT_INTERVAL] * 4
    permitted = next(daemon for daemon in fleet.daemons if not daemon.warm_ups.wait(ID))
    permitted.warm_ups.spend(ID)
    assert permitted.warm_ups.wait(ID) == PERMIT_INTERVAL
    fleet.clock.jump(0.25)
    assert permitted.warm_ups.wait(ID) == PERMIT_INTERVAL - 250


def test_a_wait_ends_with_the_warm_up():
    fleet = Fleet(9, 0.1)
    fleet.make_cold(Millis(500))
    assert {d.warm_ups.wait(ID) for d in fleet.daemons} == {0, 500 + END_MARGIN}
    fleet.clock.jump((500 + END_MARGIN) / 1_000)
    assert {d.warm_ups.wait(ID) for d in fleet.daemons} == {0}
    assert all(d.warm_ups.claim(ID, "r") for d in fleet.daemons)
    for daemon in fleet.daemons:
        assert daemon.warm_ups.count() == 0
        daemon.warm_ups.expire()
        assert daemon.warm_ups.is_empty


def test_a_warm_up_that_ended_early_holds_nothing_back():
    fleet = Fleet(9, 0.1)
    fleet.make_cold()
    assert any(daemon.warm_ups.wait(ID) for daemon in fleet.daemons)
    fleet.make_cold(Millis(0))
    assert not any(daemon.warm_ups.wait(ID) for daemon in fleet.daemons)


# Guards against an order that is the same for all instances, so that few daemons get all permits.
def test_the_permits_of_several_instances_go_to_different_daemons():
    fleet = Fleet(91, 2.0)
    ids = [ReplicaId(f"i{number}", "1") for number in range(90)]
    permits = []
    for daemon in fleet.daemons:
        for replica_id in ids:
            daemon.warm_ups.record(replica_id, Millis(60_000))
        permits.append(sum(not daemon.warm_ups.wait(replica_id) for replica_id in ids))
    assert sum(permits) == 90 * BOUNDS.max_requests(2.0)
    assert min(permits) >= 1
    assert max(permits) <= 20


def test_a_service_without_a_bound_holds_nothing_back():
    fleet = Fleet(9, 0.0)
    fleet.make_cold()
    for daemon in fleet.daemons:
        for _ in range(50):
            assert not daemon.warm_ups.wait(ID)
            daemon.warm_ups.spend(ID)
            assert daemon.warm_ups.claim(ID, "r")
        assert daemon.warm_ups.counts() == {"cold": 0, "sent": 0, "refused": 0}


def test_the_numbers_for_metrics_count_cold_instances_and_requests_to_them():
    fleet = Fleet(1, 0.1)
    fleet.make_cold()
    warm_ups = fleet.daemons[0].warm_ups
    claims = [warm_ups.claim(ID, "r") for _ in range(7)]
    assert claims == [True] * 5 + [False] * 2
    assert warm_ups.counts() == {"cold": 1, "sent": 5, "refused": 2}


def test_permits_of_one_daemon_are_spaced_by_the_interval():
    fleet = Fleet(9, 0.1)
    daemon = next(d for d in fleet.daemons if not d.warm_ups.wait(ID))
    fleet.daemons = [daemon]
    fleet.make_cold()
    fleet.run(10)
    assert all(later - earlier >= PERMIT_INTERVAL for earlier, later in pairwise(fleet.sent_at))


# Guards against a grant that can't be written, as an earlier request was written late.
def test_a_request_that_was_written_late_delays_the_next_permit():
    fleet = Fleet(1, 0.1)
    fleet.make_cold()
    warm_ups = fleet.daemons[0].warm_ups
    for _ in range(5):
        warm_ups.spend(ID)
    fleet.clock.jump(0.8)
    for _ in range(5):
        assert warm_ups.claim(ID, "r")
    fleet.clock.jump(0.5)
    assert warm_ups.wait(ID) == PERMIT_INTERVAL - 500


# Guards against a daemon that is asked first in a partition whether it has settled, long before.
def test_a_daemon_that_settled_before_a_partition_uses_cold_instances_in_it():
    fleet = Fleet(9, 10.0)
    for daemon in fleet.daemons:
        daemon.warm_ups.expire()
        for other in fleet.daemons:
            daemon.learn(other, MemberStatus.DEAD)
    fleet.make_cold()
    assert not any(daemon.warm_ups.wait(ID) for daemon in fleet.daemons)
