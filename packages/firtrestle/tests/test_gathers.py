import trio
from fakes import FakeHolders, gather_tools, good_reply, run_gather, snapshot
from firtrestle.attempts import Quarantined, SnapshotGone
from firtrestle.catalogues import Canary, Weighing
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.hedgers import Progress
from firtrestle.messages import SubReply
from firtrestle.queries import GatherResult
from firtrestle.replicas import QUEUE_HINT_TTL
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

LATE_MS = 500.0


def run_with(behave, body, canaries: int = 1):
    """Run a test body on a simulated clock of its own, so that hypothesis can repeat it."""

    async def main():
        async with trio.open_nursery() as nursery:
            holders = FakeHolders(nursery, behave)
            result = await body(gather_tools(holders, canaries), holders)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def test_each_shard_is_queried_once_and_the_answer_is_whole():
    async def body(tools, holders):
        result = await run_gather(tools, snapshot(5))
        assert result.is_complete
        assert (result.covered, len(result.rows_by_id), result.sent) == (50, 10, 5)

    run_with(lambda sub: (5, good_reply(sub)), body)


def test_late_reply_of_cancelled_attempt_is_not_merged():
    """A cancelled attempt's reply may already be queued; it is ignored."""

    def behave(sub):
        if sub.shard == 0 and sub.attempt <= 20:
            return LATE_MS, good_reply(sub, rows=[{"id": "late", "version": 1}])
        return 5, good_reply(sub)

    async def body(tools, holders):
        for number in range(20):
            tools.hedger.learn("c", [5.0] * 20 * 4)
            result = await run_gather(tools, snapshot(20), number, extra_load=0.5)
            assert result.is_complete
            assert "late" not in result.rows_by_id
        assert holders.cancelled
        assert max(tools.replicas.by_id.values(), key=lambda r: r.in_flight).in_flight == 0

    run_with(behave, body)


def test_a_reply_of_another_request_attempt_shard_or_version_is_not_merged():
    for field, value in (("request_id", "x"), ("attempt", 99), ("shard", 1), ("version", 2)):

        def behave(sub, field=field, value=value):
            if sub.shard == 0:
                return 5, good_reply(sub, **{field: value})
            return 5, good_reply(sub)

        async def body(tools, holders):
            result = await run_gather(tools, snapshot(3))
            assert list(result.missing_by_shard) == [0]
            assert result.covered == 20

        run_with(behave, body)


def test_a_row_that_a_target_sends_twice_is_returned_once():
    def behave(sub):
        reply = good_reply(sub)
        reply.rows += [dict(row) for row in reply.rows]
        return 5, reply

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(2))
        assert len(result.rows_by_id) == 4
        assert result.duplicate_rows == 4

    run_with(behave, body)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from(["ok", "truncated", "shed", "late", "gone"]), min_size=1, max_size=8)
)
def test_coverage_is_what_was_served_whatever_fails(outcomes):
    def behave(sub):
        planned = outcomes[sub.shard]
        if planned == "ok":
            return 5, good_reply(sub)
        if planned == "truncated":
            return 5, good_reply(sub, documents=4, truncated=True)
        if planned == "late":
            return 5_000, good_reply(sub)
        outcome = "shed" if planned == "shed" else "bad-reply"
        return 5, SubReply(outcome, sent=True)

    async def body(tools, holders):
        return await run_gather(tools, snapshot(len(outcomes)))

    result = run_with(behave, body)
    expected = sum({"ok": 10, "truncated": 4}.get(planned, 0) for planned in outcomes)
    assert result.covered == expected
    assert result.covered + sum(m.documents for m in result.missing_by_shard.values()) == 10 * len(
        outcomes
    )
    assert result.is_complete == all(planned == "ok" for planned in outcomes)


def test_a_shard_is_retried_on_another_replica_when_nothing_was_sent():
    def behave(sub):
        if sub.target_id == "t0":
            return -1, SubReply("unreachable")
        return 5, good_reply(sub)

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(3), extra_load=0.0)
        assert result.is_complete

    run_with(behave, body)


def test_a_straggler_is_hedged_within_the_budget_and_cancelled():
    def behave(sub):
        slow = sub.shard == 3 and sub.attempt <= 20
        return (LATE_MS if slow else 5), good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        started_at = Clock().now()
        result = await run_gather(tools, snapshot(20))
        assert result.is_complete
        assert Clock().now() - started_at < LATE_MS / 10
        assert result.sent == 21
        assert [sub.shard for sub in holders.cancelled] == [3]

    run_with(behave, body)


def test_a_slow_hedge_is_hedged_once_more():
    """Guards against a query that waits for a straggling hedge."""

    def behave(sub):
        slow = sub.shard == 3 and (sub.attempt <= 20 or sub.attempt == 21)
        return (LATE_MS if slow else 5), good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        started_at = Clock().now()
        result = await run_gather(tools, snapshot(20))
        assert result.is_complete
        assert Clock().now() - started_at < LATE_MS / 10
        assert result.sent == 22
        assert [sub.shard for sub in holders.cancelled] == [3, 3]

    run_with(behave, body)


def test_a_shard_is_hedged_no_more_than_twice():
    def behave(sub):
        return (LATE_MS if sub.shard == 3 else 5), good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        result = await run_gather(tools, snapshot(20))
        assert result.is_complete
        assert result.sent == 22

    run_with(behave, body)


def test_no_hedge_is_sent_when_every_shard_is_slow():
    def behave(sub):
        return 300 + sub.shard, good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        result = await run_gather(tools, snapshot(20))
        assert result.sent == 20

    run_with(behave, body)


def test_a_late_shard_without_hedge_budget_causes_no_busy_loop():
    """Guards against checking every millisecond whether a hedge is possible."""
    delay_calls: list[int] = []

    def behave(sub):
        return (LATE_MS if sub.shard == 3 else 5), good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        delay = tools.hedger.delay
        tools.hedger.delay = lambda progress: delay_calls.append(1) or delay(progress)
        result = await run_gather(tools, snapshot(20), extra_load=0.0)
        assert result.is_complete
        # Two checks per 20 ms of the straggler's 500 ms, plus the replies.
        assert len(delay_calls) < 100

    run_with(behave, body)


def test_a_version_no_longer_served_ends_the_gather():
    def behave(sub):
        if sub.shard == 2:
            return 5, SubReply("snapshot-gone", sent=True)
        return 5, good_reply(sub)

    async def body(tools, holders):
        assert await run_gather(tools, snapshot(4)) == SnapshotGone(1, sent=4 + 1)

    run_with(behave, body)


def test_a_query_that_can_not_reach_its_least_coverage_ends_at_once():
    def behave(sub):
        if sub.shard == 0:
            return 5, SubReply("deadline", sent=True)
        return LATE_MS, good_reply(sub)

    async def body(tools, holders):
        started_at = Clock().now()
        result = await run_gather(tools, snapshot(2), least_coverage=0.9)
        assert Clock().now() - started_at < LATE_MS
        assert isinstance(result, GatherResult)
        assert result.covered == 0

    run_with(behave, body)


def test_an_entry_that_favours_latency_stops_waiting_for_a_straggler():
    def behave(sub):
        return (5_000 if sub.shard == 0 else 5), good_reply(sub)

    async def body(tools, holders):
        started_at = Clock().now()
        result = await run_gather(
            tools, snapshot(10), least_coverage=0.5, weighs=Weighing.LATENCY, extra_load=0.0
        )
        assert Clock().now() - started_at < 600
        assert list(result.missing_by_shard) == [0]

    run_with(behave, body)


def test_a_late_canary_ends_the_query_without_further_sends():
    """Guards against sending the waiting shards after the deadline, which failed the query."""

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(4), timeout=50, canary=Canary.ALWAYS)
        assert len(result.missing_by_shard) == 4
        assert len(holders.sent) == 1

    run_with(lambda sub: (5_000, good_reply(sub)), body)


def test_a_crashing_request_crashes_at_most_two_targets():
    dead: set[str] = set()

    def behave(sub):
        dead.add(sub.target_id)
        return 5, SubReply("died", sent=True)

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(10), canary=Canary.ALWAYS, fingerprint="poison")
        assert isinstance(result, Quarantined)
        assert len(dead) == 2
        assert tools.quarantines.time_left("poison") > 0

    run_with(behave, body)


def test_a_request_at_a_target_that_crashes_once_is_answered_whole():
    killed: list[int] = []

    def behave(sub):
        if sub.target_id == "t1" and not killed:
            killed.append(sub.shard)
            return 5, SubReply("died", sent=True)
        return 5, good_reply(sub)

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(10), canary=Canary.ALWAYS, fingerprint="good")
        assert result.is_complete
        assert killed
        assert tools.quarantines.time_left("good") is None

    run_with(behave, body)


def test_a_lost_holder_does_not_count_as_a_crash():
    lost: list[int] = []

    def behave(sub):
        if len(lost) < 3:
            lost.append(sub.shard)
            return 5, SubReply("holder-lost", sent=True)
        return 5, good_reply(sub)

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(10), fingerprint="f")
        assert result.is_complete
        assert not tools.quarantines.is_suspect("f")

    run_with(behave, body)


def test_canaries_that_reach_no_target_do_not_accumulate():
    """Guards against canaries that wait for leases and then crash four targets instead of two."""

    def dead_after(attempts: int) -> set[str]:
        dead: set[str] = set()

        def behave(sub):
            if sub.attempt <= attempts:
                return 1, SubReply("not-holder")
            dead.add(sub.target_id)
            return 5, SubReply("died", sent=True)

        async def body(tools, holders):
            changes = {"canary": Canary.ALWAYS, "fingerprint": "poison"}
            result = await run_gather(tools, snapshot(6), timeout=5_000, **changes)
            assert isinstance(result, Quarantined)

        run_with(behave, body)
        return dead

    assert [len(dead_after(attempts)) for attempts in range(1, 30)] == [2] * 29


def test_a_canary_that_reaches_no_target_is_replaced_by_another_shard():
    def behave(sub):
        if sub.shard == 0 and sub.attempt <= 12:
            return 1, SubReply("not-holder")
        return 5, good_reply(sub)

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(6), canary=Canary.ALWAYS)
        assert result.is_complete

    for _ in range(10):
        run_with(behave, body)


def test_the_first_retry_after_a_lost_holder_costs_no_extra_load():
    """Guards against a network cut that spends the budget, so that queries end as no-target.

    Without the free retry, a cut used up the budget in half a second.
    """
    lost: list[int] = []

    def behave(sub):
        if sub.attempt <= 6:
            lost.append(sub.shard)
            return 5, SubReply("holder-lost", sent=True)
        return 5, good_reply(sub)

    async def body(tools, holders):
        result = await run_gather(tools, snapshot(6, replicas=1), extra_load=0.0)
        assert result.is_complete
        assert len(lost) == 6

    run_with(behave, body)


def test_a_second_lost_holder_of_a_shard_costs_extra_load():
    async def body(tools, holders):
        result = await run_gather(tools, snapshot(6), extra_load=0.0)
        assert not result.covered_by_shard
        assert len(holders.sent) == 12

    run_with(lambda sub: (5, SubReply("holder-lost", sent=True)), body)


def test_cancelled_attempts_do_not_raise_the_hedge_delay():
    """Guards against a delay that grows with each cancelled attempt, from 50 ms to 160 ms."""
    delays: list[float] = []

    def behave(sub):
        slow = sub.shard < 2 and sub.attempt <= 20
        return (LATE_MS if slow else 5), good_reply(sub)

    async def body(tools, holders):
        for number in range(40):
            await run_gather(tools, snapshot(20), number, extra_load=0.5)
            progress = Progress("c", 20, 19, 5.0)
            delays.append(tools.hedger.delay(progress))

    run_with(behave, body)
    assert max(delays) <= 15.2  # three times the median, within the histogram's precision


def test_a_target_with_a_long_queue_gets_no_hedge():
    def behave(sub):
        return (LATE_MS if sub.shard == 3 else 5), good_reply(sub, queue=9)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        started_at = Clock().now()
        result = await run_gather(tools, snapshot(20), timeout=QUEUE_HINT_TTL)
        assert Clock().now() - started_at >= QUEUE_HINT_TTL - 5
        assert result.sent == 20

    run_with(behave, body)


def test_each_straggler_of_a_query_is_hedged_as_soon_as_it_is_late():
    """Guards against hedging four stragglers 20 ms apart, or waiting for one of them."""

    def behave(sub):
        slow = sub.shard < 4 and sub.attempt <= 20
        return (LATE_MS if slow else 5 + sub.shard / 10), good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        started_at = Clock().now()
        result = await run_gather(tools, snapshot(20))
        assert result.is_complete
        assert result.sent == 24
        assert Clock().now() - started_at < 20

    run_with(behave, body)


def test_a_very_late_straggler_may_use_the_retry_reserve():
    """Guards against waiting for a straggler with three tokens left, as just after a start."""

    def behave(sub):
        return (LATE_MS if sub.shard == 3 and sub.attempt <= 20 else 5), good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        budget = tools.budget("e", 0.02)
        while budget.spend_on_hedge():
            pass
        started_at = Clock().now()
        result = await run_gather(tools, snapshot(20), extra_load=0.02)
        assert result.is_complete
        assert Clock().now() - started_at < LATE_MS / 10

    run_with(behave, body)


def test_a_shed_shard_is_retried_after_retry_after_if_the_entry_favours_coverage():
    """Without the retry, 3 shed sub-requests in 100 left a gap in one answer of four."""

    def shed_at_first(sub):
        if sub.attempt <= 6 and sub.shard < 3:
            return 5, SubReply("shed", sent=True, retry_after_ms=200)
        return 5, good_reply(sub)

    def covered(timeout: float, **changes) -> tuple[int, float]:
        async def body(tools, holders):
            started_at = Clock().now()
            result = await run_gather(tools, snapshot(6), timeout=timeout, extra_load=0, **changes)
            return len(result.covered_by_shard), Clock().now() - started_at

        return run_with(shed_at_first, body)

    assert covered(1_000)[0] == 6
    assert 200 <= covered(1_000)[1] < 250
    assert covered(1_000, weighs=Weighing.LATENCY) == (3, 5)
    assert covered(100) == (3, 5)  # no time for the retry: answered at once


def test_a_shard_that_is_always_shed_is_retried_once():
    async def body(tools, holders):
        result = await run_gather(tools, snapshot(6), extra_load=0)
        assert not result.covered_by_shard
        assert len(holders.sent) == 12

    run_with(lambda sub: (5, SubReply("shed", sent=True, retry_after_ms=200)), body)


def test_a_late_suspect_is_not_hedged_and_causes_no_busy_loop():
    delay_calls: list[int] = []

    def behave(sub):
        return (LATE_MS if sub.shard == 3 else 5), good_reply(sub)

    async def body(tools, holders):
        for _ in range(10):
            tools.hedger.learn("c", [5.0] * 20)
        delay = tools.hedger.delay
        tools.hedger.delay = lambda progress: delay_calls.append(1) or delay(progress)
        tools.quarantines.is_suspect = lambda fingerprint: True
        result = await run_gather(tools, snapshot(20), canary=Canary.NEVER)
        assert result.is_complete
        assert result.sent == 20
        assert len(delay_calls) < 100

    run_with(behave, body)


def test_a_hedge_is_sent_when_due_despite_rounding():
    """Guards against rounding that wakes a query for a hedge which is then never due."""

    def behave(sub):
        return (LATE_MS if sub.shard == 3 and sub.attempt <= 20 else 5), good_reply(sub)

    async def body(tools, holders):
        started_at = Clock().now()
        for number in range(200):
            tools.hedger.delay = lambda progress, number=number: 7.0 + number / 97
            await sleep(Millis(number / 89))
            assert (await run_gather(tools, snapshot(20), number, extra_load=0.5)).is_complete
        assert Clock().now() - started_at < 200 * LATE_MS / 10

    run_with(behave, body)
