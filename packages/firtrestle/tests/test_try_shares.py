import pytest
from firtrestle.clocks import Millis
from firtrestle.try_shares import FAILING_PRIOR, HALF_LIFE, TryShares
from manual_clocks import ManualClock


def test_the_shares_of_failing_and_other_instances_are_learnt_apart():
    shares = TryShares(ManualClock())
    assert shares.answered(of_failing=False) == 1.0
    assert shares.answered(of_failing=True) == FAILING_PRIOR
    for number in range(200):
        shares.record(True, number % 5 == 0, Millis(3))
        shares.record(False, True, Millis(20))
    assert shares.answered(of_failing=True) == pytest.approx(0.2, abs=0.03)
    assert shares.answered(of_failing=False) > 0.99


def test_what_was_learnt_fades_to_the_assumption():
    clock = ManualClock()
    shares = TryShares(clock)
    for _ in range(100):
        shares.record(True, False, Millis(3))
    clock.at += 10 * HALF_LIFE
    assert shares.answered(of_failing=True) == pytest.approx(FAILING_PRIOR, abs=0.02)


# Guards against gathers that are ended by their first sheds making all later ones seem hopeless.
def test_cancelled_tries_count_as_answered_once_they_are_older_than_failures():
    shares = TryShares(ManualClock())
    for _ in range(100):
        shares.record(False, False, Millis(3))
        shares.record_cancelled(False, Millis(2))
    assert shares.answered(of_failing=False) < 0.1
    for _ in range(300):
        shares.record_cancelled(False, Millis(4))
    assert shares.answered(of_failing=False) == pytest.approx(0.75, abs=0.03)
