from firtrestle.clocks import MILLIS_PER_SECOND
from firtrestle.failing_reports import FailingReports
from firtrestle.instance_reports import HOLD_TIME, MAX_GAP, MIN_SPAN
from firtrestle.snapshots import ReplicaId
from loguru import logger
from manual_clocks import ManualClock

FAILING = ReplicaId("i-1", "7")
INSTANCES = 10


class Daemon:
    def __init__(self):
        self.clock = ManualClock(1_000_000.0)
        self.avoided_until = {}
        self.reports = FailingReports(self.clock, lambda: INSTANCES, self.avoid)

    def avoid(self, replica_id, until):
        self.avoided_until[replica_id] = until

    def avoids(self, replica_id=FAILING):
        return self.clock.now() < self.avoided_until.get(replica_id, 0.0)

    def wait(self, milliseconds):
        self.clock.jump(milliseconds / MILLIS_PER_SECOND)

    def make_verdict(self, replica_id=FAILING):
        self.reports.record(replica_id)
        self.wait(MIN_SPAN)
        self.reports.record(replica_id)


# Guards against moving load away from an instance after one lost reply, or a burst of them.
def test_replies_lost_at_one_moment_are_no_verdict():
    daemon = Daemon()
    for _ in range(5):
        daemon.reports.record(FAILING)
        daemon.wait(MIN_SPAN / 6)
    assert not daemon.avoids()


def test_lost_replies_with_long_gaps_are_no_verdict():
    daemon = Daemon()
    for _ in range(5):
        daemon.reports.record(FAILING)
        daemon.wait(2 * MAX_GAP)
    assert not daemon.avoids()


# Guards against a verdict being lifted by the 60 in 100 replies that a failing instance gives.
def test_good_replies_in_between_do_not_end_the_verdict():
    daemon, peer = Daemon(), Daemon()
    daemon.reports.record(FAILING)
    daemon.reports.record_good(FAILING)
    daemon.wait(MIN_SPAN)
    daemon.reports.record(FAILING)
    daemon.reports.record_good(FAILING)
    assert daemon.avoids()
    rows = daemon.reports.take_rows()
    rows[0][4] = 0  # a later build may tell the age of the last good reply
    peer.reports.merge_rows(rows)
    assert peer.avoids()


# Guards against losing the choice of the best instance of each shard as half of all fail.
def test_verdicts_hold_while_most_instances_are_failing():
    daemon = Daemon()
    failing = [ReplicaId(f"i-{number}", "7") for number in range(8)]
    for replica_id in failing:
        daemon.reports.record(replica_id)
    daemon.wait(MIN_SPAN)
    for replica_id in failing:
        daemon.reports.record(replica_id)
    assert all(daemon.avoids(replica_id) for replica_id in failing)


def test_a_malformed_field_of_a_peer_is_skipped():
    daemon = Daemon()
    for rows in (7, None, "text", {"a": 1}, [["i", "7", 900, 0]]):
        daemon.reports.merge_rows(rows)
    daemon.reports.merge_rows([["i-1", "7", 500, 0, None], ["i", "7", -1, 0, None]])
    assert daemon.avoids()
    assert daemon.reports.verdict_count() == 1


# Guards against beliefs that change without a trace in the log.
def test_a_verdict_and_its_end_are_logged_once_each():
    lines = []
    handle = logger.add(lambda line: lines.append(line.record), level="INFO")
    try:
        daemon = Daemon()
        daemon.make_verdict()
        daemon.reports.record(FAILING)
        daemon.wait(HOLD_TIME)
        daemon.reports.expire()
        daemon.reports.expire()
    finally:
        logger.remove(handle)
    assert [line["message"] for line in lines] == [
        "instance failing, by the reports of several daemons",
        "instance no longer failing, by the reports of several daemons",
    ]
    assert lines[0]["extra"]["instance"] == "i-1"
    assert lines[0]["extra"]["span_ms"] == MIN_SPAN
    assert lines[1]["extra"]["age_ms"] == HOLD_TIME


def test_a_verdict_that_arrives_after_its_end_is_none():
    daemon, lines = Daemon(), []
    handle = logger.add(lines.append, level="INFO")
    try:
        daemon.reports.merge_rows([["i-1", "7", HOLD_TIME + 900, HOLD_TIME, None]])
    finally:
        logger.remove(handle)
    assert not daemon.avoids()
    assert not lines
    assert daemon.reports.verdict_count() == 0
