from firtrestle.budgets import MIN_CAP_TOKENS, ExtraLoadBudget
from firtrestle.clocks import Clock, Millis
from hypothesis import given, settings
from hypothesis import strategies as st


class FrozenClock(Clock):
    def now(self) -> Millis:
        return Millis(0)


@settings(max_examples=100, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 50), st.booleans()), max_size=200), st.floats(0, 0.2))
def test_extra_load_never_passes_the_fraction_and_the_first_tokens(steps, fraction):
    budget = ExtraLoadBudget(fraction, FrozenClock())
    for needed, hedge in steps:
        budget.earn(needed)
        while budget.spend_on_hedge() if hedge else budget.spend_on_retry():
            pass
        assert budget.spent <= fraction * budget.needed + MIN_CAP_TOKENS


def test_an_entry_without_extra_load_gets_no_retries():
    budget = ExtraLoadBudget(0.0, FrozenClock())
    budget.earn(1_000)
    assert not budget.spend_on_retry()


def test_hedges_leave_a_reserve_for_retries():
    budget = ExtraLoadBudget(0.02, FrozenClock())
    while budget.spend_on_hedge():
        pass
    assert budget.spend_on_retry()


def test_the_hedge_delay_factor_grows_as_the_budget_runs_out():
    budget = ExtraLoadBudget(0.1, FrozenClock())
    assert budget.hedge_delay_factor() == 1.0
    while budget.spend_on_retry():
        pass
    assert budget.hedge_delay_factor() == 2.0
    budget.earn(50)
    assert budget.hedge_delay_factor() == 1.5
