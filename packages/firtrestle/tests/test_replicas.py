from firtrestle.clocks import Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.replicas import EJECTION_RESET_SUCCESSES, MAX_EJECTION, MIN_EJECTION, Replica
from firtrestle.snapshots import ReplicaId


def replica() -> Replica:
    return Replica(ReplicaId("t", "s"), Millis(0))


def test_one_failure_among_many_answers_ejects_for_the_shortest_time_only():
    one, now = replica(), Millis(0)
    for _ in range(3):
        for _ in range(EJECTION_RESET_SUCCESSES):
            one.note(SubOutcome.OK, Millis(5), 0, now)
        one.note(SubOutcome.REFUSED, Millis(5), 0, now)
        assert one.is_ejected(now)
        now = Millis(now + MIN_EJECTION)
        assert not one.is_ejected(now)


def test_a_replica_that_fails_every_other_time_is_passed_over_longer_and_longer():
    one, now, holds = replica(), Millis(0), []
    for _ in range(5):
        one.note(SubOutcome.OK, Millis(5), 0, now)
        one.note(SubOutcome.REFUSED, Millis(5), 0, now)
        holds.append(one.ejected_until - now)
        now = Millis(one.ejected_until)
    assert holds == [500, 1_000, 2_000, 4_000, 8_000]


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
    assert holds[-1] == MAX_EJECTION


def test_a_shed_is_no_failure():
    one = replica()
    for at in range(50):
        one.note(SubOutcome.SHED, Millis(5), 0, Millis(at))
    assert not one.is_ejected(Millis(51))
