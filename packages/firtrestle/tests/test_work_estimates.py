import pytest
from firtrestle.clocks import Millis
from firtrestle.work_estimates import WorkEstimates
from manual_clocks import ManualClock


class ManualLoop:
    """Represent an event loop whose busy time only the test advances."""

    def __init__(self):
        self.suspensions = 0
        self.busy = 0.0

    def busy_time(self):
        return Millis(self.busy)


class Machine:
    """Run gathers one after the other at a given cost, and other work between them."""

    def __init__(self):
        self.clock = ManualClock()
        self.loop = ManualLoop()
        self.work = WorkEstimates(self.clock, self.loop)

    def spend(self, millis):
        self.clock.at += millis
        self.loop.busy += millis

    def gather(self, shards=36, cost=0.5):
        self.work.begin()
        for _ in range(shards):
            self.spend(cost)
            self.work.record_attempts(1)
        self.work.end()


def test_the_cost_of_a_sub_request_is_unknown_until_requests_have_run():
    assert Machine().work.processor_time() is None


def test_a_gather_teaches_the_cost_of_its_sub_requests():
    machine = Machine()
    machine.gather(cost=0.45)
    assert machine.work.processor_time() == pytest.approx(0.45)


def test_work_between_requests_does_not_count_as_theirs():
    """A daemon with one request a second spends most of its busy time on gossip and reads."""
    machine = Machine()
    for _ in range(3):
        machine.spend(300)
        machine.clock.jump(0.7)
        machine.gather()
    assert machine.work.processor_time() == pytest.approx(0.5)


def test_one_long_task_of_another_kind_does_not_decide_the_estimate():
    machine = Machine()
    machine.gather(shards=60)
    machine.work.begin()
    machine.spend(400)
    machine.work.record_attempts(20)
    machine.work.end()
    machine.gather(shards=60)
    assert machine.work.processor_time() == pytest.approx(0.5)


def test_a_machine_that_turns_five_times_slower_is_known_within_a_second():
    machine = Machine()
    for _ in range(5):
        machine.gather()
        machine.clock.jump(0.5)
    slow_since = machine.clock.now()
    while machine.clock.now() - slow_since < 1_000:
        machine.gather(cost=2.5)
        machine.clock.jump(0.1)
    assert machine.work.processor_time() == pytest.approx(2.5)


def test_an_estimate_older_than_five_seconds_is_unknown():
    machine = Machine()
    machine.gather()
    machine.clock.jump(4.9)
    estimate = machine.work.processor_estimate()
    assert estimate.age == pytest.approx(4_900)
    machine.clock.jump(0.2)
    assert machine.work.processor_time() is None


def test_a_few_sub_requests_are_judged_together_with_older_ones():
    machine = Machine()
    machine.gather(shards=60)
    machine.clock.jump(2)
    machine.gather(shards=1, cost=4.0)
    estimate = machine.work.processor_estimate()
    assert estimate.value == pytest.approx(0.5)
    assert estimate.age < 1


def test_a_suspension_drops_the_estimates_and_the_time_of_the_running_request():
    machine = Machine()
    machine.gather()
    machine.work.record_reply_time("r", Millis(20))
    machine.work.begin()
    machine.spend(30_000)
    machine.loop.suspensions += 1
    assert machine.work.processor_time() is None
    assert machine.work.reply_time("r") is None
    for _ in range(10):
        machine.spend(0.5)
        machine.work.record_attempts(1)
    machine.work.end()
    assert machine.work.processor_time() == pytest.approx(0.5)


def test_the_spread_tells_steady_from_varying_costs():
    machine = Machine()
    for _ in range(10):
        machine.gather(cost=0.5)
    assert machine.work.processor_estimate().spread == pytest.approx(0)
    machine.clock.jump(2)
    for cost in (0.2, 0.9, 1.4, 0.3, 1.1, 0.6) * 3:
        machine.gather(cost=cost)
    varying = machine.work.processor_estimate()
    assert varying.spread > 0.3
    assert varying.lower <= varying.value


def test_the_reply_time_of_a_route_is_the_median_of_its_last_seconds():
    machine = Machine()
    for latency in (8, 9, 10, 11, 90):
        machine.work.record_reply_time("r", Millis(latency))
    machine.work.record_reply_time("other", Millis(200))
    assert machine.work.reply_time("r") == 10
    assert machine.work.reply_time("unknown") is None
    machine.clock.jump(5.1)
    assert machine.work.reply_time("r") is None
