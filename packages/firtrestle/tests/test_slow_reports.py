import random

from firtrestle.clocks import MILLIS_PER_SECOND
from firtrestle.instance_reports import HOLD_TIME, MAX_GAP, MIN_SPAN
from firtrestle.slow_reports import SlowReports
from firtrestle.snapshots import ReplicaId
from loguru import logger
from manual_clocks import ManualClock

SLOW = ReplicaId("i-1", "7")
INSTANCES = 10


class Daemon:
    def __init__(self, clock):
        self.clock = clock
        self.avoided_until = {}
        self.reports = SlowReports(clock, lambda: INSTANCES, self.avoid)

    def avoid(self, replica_id, until):
        self.avoided_until[replica_id] = until

    def avoids(self, replica_id=SLOW):
        return self.clock.now() < self.avoided_until.get(replica_id, 0.0)


def wait(clock, milliseconds):
    clock.jump(milliseconds / MILLIS_PER_SECOND)


def daemons(count):
    clock = ManualClock(1_000_000.0)
    return [Daemon(clock) for _ in range(count)], clock


def tell(sender, *receivers):
    rows = sender.reports.take_rows()
    for receiver in receivers:
        receiver.reports.merge_rows(rows)
    return rows


def test_reports_within_a_usual_pause_are_no_verdict():
    (daemon,), clock = daemons(1)
    for _ in range(5):
        daemon.reports.record(SLOW)
        wait(clock, MIN_SPAN / 6)
    assert not daemon.avoids()
    assert daemon.reports.verdict_count() == 0


def test_reports_over_a_longer_time_are_a_verdict_that_holds_for_a_while():
    (daemon,), clock = daemons(1)
    daemon.reports.record(SLOW)
    wait(clock, MIN_SPAN)
    daemon.reports.record(SLOW)
    assert daemon.avoids()
    wait(clock, HOLD_TIME)
    assert not daemon.avoids()


def test_reports_with_a_long_gap_are_no_verdict():
    (daemon,), clock = daemons(1)
    for _ in range(5):
        daemon.reports.record(SLOW)
        wait(clock, 2 * MAX_GAP)
    assert not daemon.avoids()


def test_single_reports_of_two_daemons_make_a_verdict_at_the_one_that_hears_of_both():
    (first, second, third), clock = daemons(3)
    first.reports.record(SLOW)
    tell(first, third)
    wait(clock, MIN_SPAN + 100)
    second.reports.record(SLOW)
    tell(second, third)
    assert third.avoids()
    assert not first.avoids()
    tell(third, first, second)
    assert first.avoids()
    assert second.avoids()


def test_a_verdict_ends_at_the_same_time_wherever_it_was_heard():
    (first, second), clock = daemons(2)
    first.reports.record(SLOW)
    wait(clock, MIN_SPAN)
    first.reports.record(SLOW)
    wait(clock, 300)
    tell(first, second)
    assert abs(first.avoided_until[SLOW] - second.avoided_until[SLOW]) <= 1


def test_an_instance_still_slow_after_a_verdict_is_avoided_again_at_the_next_report():
    (daemon,), clock = daemons(1)
    daemon.reports.record(SLOW)
    wait(clock, MIN_SPAN)
    daemon.reports.record(SLOW)
    wait(clock, HOLD_TIME + 50)
    assert not daemon.avoids()
    daemon.reports.record(SLOW)
    assert daemon.avoids()


def test_verdicts_are_passed_on_once_and_single_reports_are_not():
    (first, second, third), clock = daemons(3)
    first.reports.record(SLOW)
    tell(first, second)
    assert second.reports.take_rows() == []
    wait(clock, MIN_SPAN)
    first.reports.record(SLOW)
    rows = tell(first, second)
    assert tell(second, third) == rows
    second.reports.merge_rows(rows)
    assert second.reports.take_rows() == []


# Guards against verdicts that end at a daemon that told of a report of its own just before.
def test_a_verdict_is_passed_on_just_after_an_own_report():
    (first, second, third), clock = daemons(3)
    first.reports.record(SLOW)
    wait(clock, MIN_SPAN - 20)
    second.reports.record(SLOW)
    second.reports.take_rows()
    wait(clock, 20)
    first.reports.record(SLOW)
    tell(first, second)
    tell(second, third)
    assert third.avoids()


def test_nothing_is_avoided_when_many_instances_seem_slow():
    (daemon,), clock = daemons(1)
    slow = [ReplicaId(f"i-{number}", "7") for number in range(8)]
    for replica_id in slow:
        daemon.reports.record(replica_id)
    wait(clock, MIN_SPAN)
    for replica_id in slow:
        daemon.reports.record(replica_id)
    assert sum(daemon.avoids(replica_id) for replica_id in slow) <= 0.3 * INSTANCES


def test_a_reply_in_time_lifts_a_verdict_everywhere():
    (first, second, third), clock = daemons(3)
    first.reports.record(SLOW)
    wait(clock, MIN_SPAN)
    first.reports.record(SLOW)
    rows = tell(first, second)
    third.reports.merge_rows(rows)
    wait(clock, 50)
    second.reports.record_good(SLOW)
    assert not second.avoids()
    tell(second, first, third)
    assert not first.avoids()
    assert not third.avoids()
    third.reports.merge_rows(rows)
    assert not third.avoids()


def test_a_busy_instance_that_is_late_at_times_is_no_slow_one():
    """Pattern: half of the replicas shed; the others are busy, and some of their replies late."""
    (daemon,), clock = daemons(1)
    for _ in range(30):
        daemon.reports.record(SLOW)
        wait(clock, 60)
        daemon.reports.record_good(SLOW)
        wait(clock, 60)
        assert not daemon.avoids()


def test_reports_are_forgotten_when_no_later_one_can_extend_them():
    (daemon,), clock = daemons(1)
    daemon.reports.record(SLOW)
    wait(clock, 2 * MAX_GAP + HOLD_TIME)
    daemon.reports.expire()
    assert daemon.reports._run_by_replica == {}


def test_malformed_reports_are_skipped():
    (daemon,), _ = daemons(1)
    daemon.reports.merge_rows([7, [], ["i", "7", 1, 0], ["i", 7, 1, 1, None]])
    for ages in ((1, 2, None), (True, 0, None), (1e9, 0, None), (5, -1, None), ("x", 0, None)):
        daemon.reports.merge_rows([["i", "7", *ages]])
    daemon.reports.merge_rows([["i", "7", 1, 1, "x"], ["i", "7", 1, 1, -1]])
    assert daemon.reports._run_by_replica == {}


def test_a_large_fleet_learns_of_slow_instances_within_two_seconds():
    """Pattern: 15 in 100 searchers turn slow, and each daemon meets each of them every 10 s."""
    fleet, clock = daemons(195)
    rng = random.Random(1)
    partners = {
        daemon: [fleet[number - 1], *rng.sample(fleet, 2)] for number, daemon in enumerate(fleet)
    }
    healthy = ReplicaId("i-2", "7")
    for step in range(20):
        for _ in range(3):
            rng.choice(fleet).reports.record(SLOW)
        if step in (3, 4):  # a pause
            rng.choice(fleet).reports.record(healthy)
        wait(clock, 100)
        if step % 2:
            for daemon in fleet:
                tell(daemon, *partners[daemon])
    assert sum(daemon.avoids() for daemon in fleet) > 0.95 * len(fleet)
    assert not any(daemon.avoids(healthy) for daemon in fleet)


# Guards against a log line for each old report that several peers pass on.
def test_the_end_of_a_verdict_that_never_held_here_is_not_logged():
    (daemon,), _ = daemons(1)
    messages = []
    sink = logger.add(lambda message: messages.append(message.record["message"]))
    try:
        daemon.reports.merge_rows([[SLOW.target_id, SLOW.searcher, 5_000, 4_000, 3_900]])
    finally:
        logger.remove(sink)
    assert messages == []
