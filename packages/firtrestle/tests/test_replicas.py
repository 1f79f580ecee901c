from firtrestle.clocks import Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.replicas import LONGEST_EJECTION, Replica
from firtrestle.snapshots import ReplicaId


def replica() -> Replica:
    return Replica(ReplicaId("t", "s"), Millis(0))


def test_one_failure_among_many_answers_does_not_eject():
    one = replica()
    for at in range(20):
        one.note(SubOutcome.OK, Millis(5), 0, Millis(at))
    one.note(SubOutcome.REFUSED, Millis(5), 0, Millis(21))
    assert not one.is_ejected(Millis(22))


def test_a_replica_that_reports_health_while_it_fails_is_ejected_and_comes_back():
    one = replica()
    for at in range(4):
        one.note(SubOutcome.REFUSED, Millis(5), 0, Millis(at))
    assert one.is_ejected(Millis(10))
    assert not one.is_ejected(Millis(10_000))


def test_each_ejection_lasts_longer_up_to_a_bound():
    one, now, holds = replica(), Millis(0), []
    for _ in range(8):
        one.note(SubOutcome.UNREACHABLE, Millis(1), 0, now)
        holds.append(one.ejected_until - now)
        now = Millis(one.ejected_until + 1)
    assert holds == sorted(holds)
    assert holds[-1] == LONGEST_EJECTION


def test_a_shed_is_no_failure():
    one = replica()
    for at in range(50):
        one.note(SubOutcome.SHED, Millis(5), 0, Millis(at))
    assert not one.is_ejected(Millis(51))
