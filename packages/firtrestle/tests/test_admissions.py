import random
from collections import Counter

import pytest
from firtrestle.admissions import (
    MIN_RETRY_AFTER,
    Demand,
    StartShares,
    backlog_ahead,
    plan,
    retry_after,
)
from firtrestle.clocks import Millis


def demand(number, priority=0, target=97.0, deadline=1_224.0, work=18.0, reply=10.0, at=0.0):
    return Demand(
        number,
        priority,
        Millis(at),
        Millis(at + target),
        Millis(at + deadline),
        Millis(work),
        Millis(reply),
    )


def numbers(demands):
    return [each.number for each in demands]


def decide(waiting, now=0.0, backlog=0.0):
    return plan(waiting, Millis(now), Millis(backlog))


def test_nothing_waits_then_nothing_is_decided():
    decision = decide([])
    assert (decision.order, decision.refused) == ([], [])


def test_requests_are_ordered_by_priority_and_then_by_latest_start():
    waiting = [
        demand(1, priority=2, target=1_505, deadline=15_054),
        demand(2, target=97),
        demand(3, target=90),
        demand(4, priority=1, target=349, deadline=3_018),
    ]
    assert numbers(decide(waiting).order) == [3, 2, 4, 1]


def test_a_less_urgent_request_with_little_time_goes_first_if_the_urgent_ones_can_wait():
    """The second customer's shortest latency target is that of a less urgent route."""
    waiting = [demand(1, priority=1, target=227), demand(2, priority=2, target=90, work=60)]
    assert numbers(decide(waiting, backlog=10).order) == [2, 1]


def test_a_request_that_can_not_be_answered_by_its_deadline_is_refused():
    decision = decide([demand(1, deadline=120), demand(2, deadline=140)], backlog=100)
    assert numbers(decision.refused) == [1]
    assert numbers(decision.order) == [2]


def test_when_capacity_is_short_the_costliest_request_for_its_weight_is_late():
    """A gather of 90 shards and three of 20 meet: the large one would make all others late."""
    waiting = [demand(1, work=45), *(demand(number, work=15) for number in (2, 3, 4))]
    decision = decide(waiting, backlog=20)
    assert numbers(decision.order) == [2, 3, 4, 1]
    assert decision.late == {1}
    assert decision.refused == []


def test_a_request_weighs_four_times_as_much_as_one_of_the_next_priority():
    waiting = [demand(1, priority=0, work=59), demand(2, priority=1, work=16)]
    assert decide(waiting, backlog=20).late == {2}
    waiting = [demand(1, priority=0, work=59), demand(2, priority=1, work=13)]
    assert decide(waiting, backlog=20).late == {1}


def test_requests_that_are_late_anyway_are_refused_only_if_their_time_is_too_short():
    """A burst of 100 gathers of 18 ms meets a timeout of 1,224 ms."""
    decision = decide([demand(number) for number in range(100)])
    assert len(decision.order) == (1_224 - 10) // 18
    assert len(decision.refused) == 100 - len(decision.order)
    done = 0.0
    for each in decision.order:
        done += each.work
        assert done + each.reply_time <= each.deadline


def test_a_hopeless_request_takes_no_other_with_it():
    """A cheap request that doesn't fit beside those in time would remove costlier late ones."""
    in_time = [demand(number, target=250, deadline=250, work=100, reply=0) for number in (1, 2)]
    late = demand(3, priority=3, target=5, deadline=260, work=30, reply=0)
    hopeless = demand(4, priority=2, target=5, deadline=262, work=60, reply=0)
    decision = decide([*in_time, late, hopeless], backlog=10)
    assert numbers(decision.order) == [1, 2, 3]
    assert numbers(decision.refused) == [4]


@pytest.mark.parametrize("seed", range(20))
def test_each_request_that_is_kept_can_be_answered_and_each_is_decided_once(seed):
    rng = random.Random(seed)
    waiting = [
        demand(
            number,
            priority=rng.randrange(4),
            target=rng.uniform(20, 500),
            deadline=rng.uniform(100, 3_000),
            work=rng.uniform(0.4, 90),
            reply=rng.uniform(0, 30),
            at=rng.uniform(-200, 0),
        )
        for number in range(60)
    ]
    decision = decide(waiting, backlog=30)
    both = numbers(decision.order) + numbers(decision.refused)
    assert sorted(both) == list(range(60))
    due = {
        each.number: each.deadline if each.number in decision.late else each.target_due
        for each in decision.order
    }
    in_time = [each for each in decision.order if each.number not in decision.late]
    by_due_time = sorted(decision.order, key=lambda each: due[each.number] - each.reply_time)
    for order in (in_time, by_due_time):
        done = 30.0
        for each in order:
            done += each.work
            assert done + each.reply_time <= due[each.number] + 1e-6


def test_a_late_request_comes_after_those_in_time_of_its_priority_and_before_less_urgent_ones():
    waiting = [
        demand(1, at=-100.0),
        demand(2),
        demand(3, priority=2, target=1_505, deadline=15_054),
    ]
    decision = decide(waiting)
    assert numbers(decision.order) == [2, 1, 3]
    assert decision.late == {1}


def test_late_requests_are_kept_only_for_what_those_in_time_are_likely_to_leave():
    """Under a lasting overload they would wait for most of their timeout, and be refused then."""
    waiting = [demand(number, at=-100.0) for number in range(60)]
    kept = [len(plan(waiting, Millis(0), Millis(0), {0: share}).order) for share in (0, 0.5, 1)]
    assert kept[0] == 60
    assert 25 <= kept[1] <= 35
    assert 1 <= kept[2] <= 4
    assert len(plan(waiting, Millis(0), Millis(0), {2: 1.0}).order) == 60


def test_an_overload_is_not_taken_to_last_for_all_the_time_of_patient_callers():
    """Late requests with 15 s left were refused after an overload of half a second."""
    patient = [
        demand(number, priority=2, target=1_505, deadline=15_054, at=-1_500.0)
        for number in range(300)
    ]
    decision = plan(patient, Millis(0), Millis(0), {0: 0.5, 2: 0.5})
    assert len(decision.order) == 300


def test_a_less_urgent_request_is_late_rather_than_a_more_urgent_one_refused():
    patient = [demand(n, priority=2, target=400, deadline=15_000, work=95) for n in range(4)]
    urgent = [demand(10 + n, target=5, deadline=300, work=95) for n in range(2)]
    decision = decide([*patient, *urgent])
    assert decision.refused == []
    assert set(numbers(decision.order)[:2]) == {10, 11}


def test_a_deadline_before_the_latency_target_is_the_due_time():
    assert numbers(decide([demand(1, target=500, deadline=60)], backlog=40).refused) == [1]


def test_a_huge_priority_is_no_fault():
    assert numbers(decide([demand(1, priority=10**9)]).order) == [1]


@pytest.mark.parametrize("priorities", [(0, 2), (0, 1, 2), (0, 1, 2, 3), (0, 1, 2, 3, 4, 5)])
def test_each_priority_gets_a_quarter_of_the_starts_or_an_even_share(priorities):
    """Floods of all priorities at once; the most urgent one would take every start."""
    shares, starts = StartShares(), []
    for _ in range(60):
        due = shares.due(priorities)
        starts.append(min(priorities) if due is None else due)
        shares.record_start(starts[-1], priorities)
    window = max(4, len(priorities))
    for first in range(0, 60, window):
        assert set(starts[first : first + window]) == set(priorities)
    assert Counter(starts)[0] == 60 - (len(priorities) - 1) * (60 // window)


def test_starts_that_a_priority_missed_while_it_had_no_requests_are_not_made_up_for():
    shares = StartShares()
    for _ in range(50):
        shares.record_start(0, {0})
    assert shares.due({0, 2}) is None
    for _ in range(3):
        assert shares.due({0, 2}) is None
        shares.record_start(0, {0, 2})
    assert shares.due({0, 2}) == 2


def test_the_time_to_return_is_that_of_the_work_ahead_of_the_priority_and_its_own():
    order = [demand(1, priority=0), demand(2, priority=1), demand(3, priority=2)]
    assert backlog_ahead(demand(4, priority=1, work=5), order, Millis(7)) == 7 + 36 + 5


def test_times_to_return_are_spread_useful_and_at_least_20_ms():
    rng = random.Random(1)
    delays = [retry_after(Millis(100), Millis(1_000), rng) for _ in range(200)]
    assert 100 <= min(delays) < 110
    assert 140 < max(delays) <= 150
    assert min(retry_after(Millis(0), Millis(0), rng) for _ in range(50)) >= MIN_RETRY_AFTER
    assert max(retry_after(Millis(9_000), Millis(900), rng) for _ in range(50)) <= 300
