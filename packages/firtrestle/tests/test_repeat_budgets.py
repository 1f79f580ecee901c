from firtrestle.clocks import Millis
from firtrestle.repeat_budgets import RepeatBudget, RepeatBudgets, RepeatTerms
from firtrestle.repeat_reserves import HEDGE_RESERVE
from hypothesis import given, settings
from hypothesis import strategies as st
from manual_clocks import ManualClock

TERMS = RepeatTerms(ratio=0.2, slack=58.0, window=Millis(10_000))


def counts_by_window_start(times: list[float], length: float) -> list[tuple[float, int]]:
    """Return, for each time, how many times fall into the window that starts there."""
    return [(start, sum(1 for time in times if start <= time < start + length)) for start in times]


def assert_within_terms(requests: list[float], repeats: list[float], slack: float) -> None:
    for start, count in counts_by_window_start(repeats, TERMS.window):
        ended = start + TERMS.window
        own = sum(1 for time in requests if start <= time < ended)
        before = sum(1 for time in requests if start - TERMS.window <= time < start)
        half = TERMS.window / 2
        between = sum(1 for time in requests if start - half <= time < start + half)
        assert count <= TERMS.ratio * max(own, before, between) + slack


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.floats(1, 400), st.integers(0, 3)), min_size=50, max_size=400),
    st.floats(0, 10),
)
def test_repeats_stay_within_the_terms_in_each_sliding_window(steps, slack):
    """Holds for any timing of requests and repeats."""
    clock = ManualClock()
    budget = RepeatBudget(TERMS, clock)
    requests, repeats = [], []
    for pause, wanted in steps:
        clock.at += pause
        budget.earn()
        requests.append(clock.at)
        for _ in range(wanted):
            if budget.spend(slack):
                repeats.append(clock.at)
    assert_within_terms(requests, repeats, slack)


def test_hedging_every_request_stays_within_the_terms():
    """All replicas are slow: for a minute, each of 10 requests a second asks for a hedge."""
    clock = ManualClock()
    budget = RepeatBudget(TERMS, clock)
    requests, repeats = [], []
    for number in range(600):
        clock.at = number * 100.0
        budget.earn()
        requests.append(clock.at)
        if budget.spend(4.0, reserve_share=HEDGE_RESERVE):
            repeats.append(clock.at + 30)
    assert len(repeats) > 60
    assert_within_terms(requests, repeats, 4.0)


def test_bursts_in_separate_windows_do_not_add_up():
    """Bursts 7.4 s apart with repeats in between: a window that starts there holds one burst."""
    clock = ManualClock()
    budget = RepeatBudget(TERMS, clock)
    requests, repeats = [], []
    for burst in range(8):
        for number in range(100):
            clock.at = burst * 7_400.0 + number * 2
            budget.earn()
            requests.append(clock.at)
        for number in range(60):
            clock.at = burst * 7_400.0 + 300 + number * 40
            if budget.spend(2.0):
                repeats.append(clock.at)
    assert repeats
    assert_within_terms(requests, repeats, 2.0)


def test_hedges_leave_a_reserve_for_retries():
    clock = ManualClock()
    budget = RepeatBudget(TERMS, clock)
    for number in range(100):
        clock.at = number * 50.0
        budget.earn()
    while budget.spend(4.0, reserve_share=HEDGE_RESERVE):
        pass
    assert budget.spend(4.0)


def test_the_slack_needs_a_known_fleet_size_and_grows_after_the_start():
    clock = ManualClock()
    budgets = RepeatBudgets(TERMS, clock, clock.now())
    clock.at = 5_000
    assert budgets.slack == 0.0
    budgets.fleet_size = 10
    assert budgets.slack == 2.9
    clock.at = 60_000
    assert budgets.slack == 5.8
