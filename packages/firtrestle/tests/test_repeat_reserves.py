import itertools
import math
import random

import pytest
from firtrestle.clocks import Millis
from firtrestle.repeat_budgets import RepeatBudget, RepeatTerms
from firtrestle.repeat_reserves import (
    HEDGE_RESERVE,
    MIN_CHANCE,
    RepeatNeed,
    reach_chance,
    repeat_need,
    reserve_share,
)
from manual_clocks import ManualClock

TERMS = RepeatTerms(ratio=0.2, slack=58.0, window=Millis(10_000))


def exact_chance(needed, chances):
    """Return the chance by enumeration of all results."""
    total = 0.0
    for results in itertools.product((False, True), repeat=len(chances)):
        if sum(results) >= needed:
            total += math.prod(c if r else 1 - c for r, c in zip(results, chances, strict=True))
    return total


def test_the_chance_to_reach_a_number_of_replies_is_close_to_the_exact_one():
    rng = random.Random(1)
    for _ in range(40):
        chances = [rng.choice((0.0, 0.4, 0.8, 1.0)) for _ in range(10)]
        for needed in range(12):
            assert reach_chance(needed, chances) == pytest.approx(
                exact_chance(needed, chances), abs=0.08
            )


def test_certain_results_have_certain_chances():
    assert reach_chance(0, []) == 1.0
    assert reach_chance(1, []) == 0.0
    assert reach_chance(2, [1.0, 1.0]) == 1.0
    assert reach_chance(3, [1.0, 1.0, 0.0]) == 0.0


def test_the_need_of_a_repeat_follows_from_the_chances():
    assert repeat_need(MIN_CHANCE / 2, 0.0) is RepeatNeed.HOPELESS
    assert repeat_need(0.7, 0.3) is RepeatNeed.DECISIVE
    assert repeat_need(1.0, 0.99) is RepeatNeed.EXTRA


def repeats(need, is_most_urgent=True, is_hedge=False):
    """Return how many repeats of one kind a full budget of a small daemon of 91 allows."""
    clock = ManualClock()
    budget = RepeatBudget(TERMS, clock)
    for number in range(30):
        clock.at = number * 999.0
        budget.earn()
    reserve = reserve_share(need, is_most_urgent, is_hedge)
    return sum(budget.spend(TERMS.slack / 91, reserve) for _ in range(10))


# Guards against spending the last repeats on gathers that can't be answered, or need none.
def test_the_last_repeats_are_kept_for_gathers_that_they_decide():
    assert repeats(RepeatNeed.DECISIVE) == 2
    assert repeats(RepeatNeed.EXTRA) == 1
    assert repeats(RepeatNeed.HOPELESS) == 0


def test_less_urgent_routes_and_hedges_leave_more_than_urgent_retries():
    for need in (RepeatNeed.DECISIVE, RepeatNeed.EXTRA, RepeatNeed.HOPELESS):
        urgent = reserve_share(need, is_most_urgent=True, is_hedge=False)
        assert reserve_share(need, is_most_urgent=False, is_hedge=False) >= urgent
        assert reserve_share(need, is_most_urgent=True, is_hedge=True) >= HEDGE_RESERVE
    assert reserve_share(RepeatNeed.DECISIVE, False, False) > 0.0
    assert reserve_share(RepeatNeed.DECISIVE, True, False) == 0.0
