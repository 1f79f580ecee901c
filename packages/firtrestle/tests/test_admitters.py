import random

from fakes import entry
from firtrestle.admitters import Arrival
from firtrestle.clocks import Millis
from firtrestle.errors import ErrorKind
from firtrestle.plugins.admitters import MAX_RETRY_AFTER, MIN_RETRY_AFTER, DeadlineAdmitter
from manual_clocks import ManualClock


def new_admitter() -> tuple[DeadlineAdmitter, ManualClock]:
    clock = ManualClock()
    return DeadlineAdmitter(clock, random.Random(1)), clock


def arrival(urgent: bool = False, part: float = 1.0, **changes) -> Arrival:
    return Arrival(entry(**changes), urgent, Millis(1_000), part)


def test_query_past_its_deadline_is_refused():
    admitter, _ = new_admitter()
    late = Arrival(entry(), False, Millis(0), 1.0)
    assert admitter.admit(late).kind is ErrorKind.DEADLINE_PASSED


def test_concurrency_is_limited_to_the_daemons_part_and_freed_on_finish():
    admitter, _ = new_admitter()
    query = arrival(part=1 / 3, concurrency=6)
    assert [admitter.admit(query) for _ in range(2)] == [None, None]
    assert admitter.admit(query).kind is ErrorKind.OVER_LIMIT
    admitter.finished(query, served=True)
    assert admitter.admit(query) is None


def test_rate_is_limited_to_the_daemons_part():
    admitter, clock = new_admitter()
    query = arrival(part=0.5, rate_per_second=20.0)
    admitted = 0
    for _ in range(1_000):
        clock.at += 10
        if admitter.admit(query) is None:
            admitted += 1
            admitter.finished(query, served=True)
    assert admitted <= 10 * 10 + 10  # ten seconds at ten a second, and the burst


def test_unserved_queries_cause_early_refusals_with_spread_retry_times():
    admitter, clock = new_admitter()
    refusals = []
    for _ in range(500):
        clock.at += 5
        refused = admitter.admit(arrival())
        if refused is None:
            admitter.finished(arrival(), served=False)
        else:
            refusals.append(refused)
    assert len(refusals) > 300
    assert {refusal.kind for refusal in refusals} == {ErrorKind.OVERLOADED}
    waits = [refusal.retry_after for refusal in refusals]
    assert min(waits) >= MIN_RETRY_AFTER
    assert max(waits) <= MAX_RETRY_AFTER
    assert max(waits) - min(waits) > 0.8 * (MAX_RETRY_AFTER - MIN_RETRY_AFTER)


def test_urgent_queries_are_admitted_under_ordinary_overload():
    admitter, clock = new_admitter()
    for _ in range(300):
        clock.at += 5
        if admitter.admit(arrival()) is None:
            admitter.finished(arrival(), served=False)
        assert admitter.admit(arrival(urgent=True)) is None
        admitter.finished(arrival(urgent=True), served=True)


def test_truncated_answers_do_not_count_as_overload():
    """Partial answers from healthy targets once made the admitter refuse other queries."""
    admitter, clock = new_admitter()
    for _ in range(300):
        clock.at += 5
        assert admitter.admit(arrival()) is None
        admitter.finished(arrival(), served=True)


def test_running_queries_do_not_count_as_overload():
    """Queries waiting for a partition to be detected once made the admitter refuse others."""
    admitter, clock = new_admitter()
    for _ in range(300):
        clock.at += 5
        assert admitter.admit(arrival()) is None
