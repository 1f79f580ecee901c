from firtrestle.clocks import Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.replicas import EJECTION_RESET_SUCCESSES, MAX_EJECTION, MIN_EJECTION, Replica
from firtrestle.snapshots import ReplicaId


def new_replica() -> Replica:
    return Replica(ReplicaId("t", "s"), Millis(0))


def test_one_failure_among_many_successes_ejects_for_the_shortest_time():
    record, now = new_replica(), Millis(0)
    for _ in range(3):
        for _ in range(EJECTION_RESET_SUCCESSES):
            record.record_outcome(SubOutcome.OK, Millis(5), 0, now)
        record.record_outcome(SubOutcome.REFUSED, Millis(5), 0, now)
        assert record.is_ejected(now)
        now = Millis(now + MIN_EJECTION)
        assert not record.is_ejected(now)


def test_ejections_double_for_a_replica_that_fails_every_other_time():
    record, now, durations = new_replica(), Millis(0), []
    for _ in range(5):
        record.record_outcome(SubOutcome.OK, Millis(5), 0, now)
        record.record_outcome(SubOutcome.REFUSED, Millis(5), 0, now)
        durations.append(record.ejected_until - now)
        now = Millis(record.ejected_until)
    assert durations == [500, 1_000, 2_000, 4_000, 8_000]


def test_a_failing_replica_is_ejected_and_used_again_later():
    record = new_replica()
    for at in range(4):
        record.record_outcome(SubOutcome.REFUSED, Millis(5), 0, Millis(at))
    assert record.is_ejected(Millis(10))
    assert not record.is_ejected(Millis(10_000))


def test_each_ejection_lasts_longer_up_to_a_bound():
    record, now, durations = new_replica(), Millis(0), []
    for _ in range(8):
        record.record_outcome(SubOutcome.UNREACHABLE, Millis(1), 0, now)
        durations.append(record.ejected_until - now)
        now = Millis(record.ejected_until + 1)
    assert durations == sorted(durations)
    assert durations[-1] == MAX_EJECTION


def test_a_shed_request_does_not_eject():
    record = new_replica()
    for at in range(50):
        record.record_outcome(SubOutcome.SHED, Millis(5), 0, Millis(at))
    assert not record.is_ejected(Millis(51))
