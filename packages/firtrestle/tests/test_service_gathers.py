import math

import pytest
import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis
from firtrestle.crash_records import message_fingerprint
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.instance_replies import CallerMessage
from firtrestle.loop_monitors import LoopMonitor
from firtrestle.replicas import MAX_IN_FLIGHT_LIMIT
from firtrestle.snapshots import ReplicaId
from route_fakes import (
    failed,
    good,
    lost,
    misdirected,
    plain_route,
    record,
    run_with_harness,
    scatter_route,
    shed,
    unreachable,
)


def test_an_answer_contains_the_greatest_records_and_the_stamps_of_all_shards():
    async def body(harness):
        answer, _ = await harness.ask(scatter_route(3))
        assert isinstance(answer, Answer)
        assert answer.body == record("s2") + record("s1") + record("s0")
        assert len(answer.stamps) == 3
        assert answer.missing == 0

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_trailing_partial_record_is_dropped():
    async def body(harness):
        answer, _ = await harness.ask(scatter_route(1))
        assert answer.body == record("s0")

    def behave(instance, nth):
        reply = good(instance)
        reply.body += b"short"
        return 5, reply

    run_with_harness(behave, body)


def test_a_non_repeatable_request_is_not_retried_after_a_lost_reply():
    async def body(harness):
        refused, _ = await harness.ask(plain_route())
        assert isinstance(refused, Refused)
        assert refused.ran is Ran.UNKNOWN
        assert len(harness.pools.sent) == 1

    run_with_harness(lambda instance, nth: (5, lost()), body)


def test_a_non_repeatable_request_is_retried_if_it_certainly_did_not_run():
    for reply in (shed, misdirected, unreachable):

        def behave(instance, nth, reply=reply):
            return (5, good(instance)) if instance.id == "s0-2" else (5, reply())

        async def body(harness):
            for _ in range(4):
                answer, _ = await harness.ask(plain_route())
                assert isinstance(answer, Answer)

        run_with_harness(behave, body)


def test_a_request_that_all_instances_shed_is_refused_as_not_run():
    async def body(harness):
        refused, _ = await harness.ask(plain_route(max_attempts=2))
        assert (refused.kind, refused.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
        assert sorted(harness.pools.sent) == ["s0-0", "s0-1", "s0-2"]

    run_with_harness(lambda instance, nth: (5, shed()), body)


def test_the_answer_of_a_single_failing_instance_is_returned_unchanged():
    async def body(harness):
        answer, _ = await harness.ask(plain_route())
        assert (answer.status, answer.stamps) == (500, (f"stamp-{harness.pools.sent[0]}",))

    run_with_harness(lambda instance, nth: (5, failed(instance)), body)


def test_a_refusal_with_an_attempt_in_flight_reports_ran_as_unknown():
    async def body(harness):
        refused, _ = await harness.ask(plain_route(), time_left=100)
        assert (refused.kind, refused.ran) == (ErrorKind.DEADLINE_PASSED, Ran.UNKNOWN)

    run_with_harness(lambda instance, nth: (math.inf, good(instance)), body)


# Guards against a caller that can't send a request again, though it never left the daemon.
@pytest.mark.parametrize("route", [plain_route(), scatter_route(3)])
def test_a_request_that_was_never_written_is_refused_as_not_run(route):
    async def body(harness):
        harness.pools.writes = False
        refused, _ = await harness.ask(route, time_left=100)
        assert (refused.kind, refused.ran) == (ErrorKind.DEADLINE_PASSED, Ran.FALSE)

    run_with_harness(lambda instance, nth: (math.inf, good(instance)), body)


def test_a_request_of_which_one_attempt_was_written_may_have_run():
    async def body(harness):
        refused, _ = await harness.ask(scatter_route(3), time_left=100)
        assert refused.ran is Ran.UNKNOWN

    run_with_harness(lambda instance, nth: (math.inf, good(instance)), body)


def test_an_answer_with_least_coverage_is_sent_by_the_latency_target():
    """One shard of ten does not reply on any replica."""

    def behave(instance, nth):
        return (math.inf if instance.service == "s0" else 5), good(instance)

    async def body(harness):
        before = harness.tools.clock.now()
        answer, _ = await harness.ask(scatter_route(10))
        assert answer.missing == 1
        assert harness.tools.clock.now() - before <= 150

    run_with_harness(behave, body)


# Guards against answers that leave within the latency target but reach the caller after it.
def test_a_partial_answer_leaves_early_enough_for_the_way_to_its_caller():
    """Connecting and two ways of 3 ms each leave 35 of 47 ms, of which 2 ms go to the sending."""

    def behave(instance, nth):
        return (math.inf if instance.service == "s0" else 5), good(instance)

    async def body(harness):
        before = harness.tools.clock.now()
        answer, _ = await harness.ask(scatter_route(10, latency_target=Millis(47)))
        assert answer.missing == 1
        assert harness.tools.clock.now() - before <= 33

    run_with_harness(behave, body)


def test_a_request_that_can_not_reach_its_least_coverage_is_refused_at_once():
    """Three shards of ten refuse all connections, where eight are needed."""

    def behave(instance, nth):
        down = instance.service in ("s0", "s1", "s2")
        return (1, unreachable()) if down else (100, good(instance))

    async def body(harness):
        before = harness.tools.clock.now()
        refused, _ = await harness.ask(scatter_route(10))
        assert isinstance(refused, Refused)
        assert harness.tools.clock.now() - before < 50

    run_with_harness(behave, body)


def test_no_shard_is_sent_to_more_instances_than_its_route_allows():
    async def body(harness):
        for _ in range(20):
            harness.pools.sent.clear()
            await harness.ask(scatter_route(5))
            for shard in range(5):
                assert sum(1 for id_ in harness.pools.sent if id_.startswith(f"s{shard}-")) <= 2

    run_with_harness(lambda instance, nth: (5, lost()), body, services=5)


# Guards against hedges and ejections for replies that wait for this daemon's own processor.
def test_a_busy_daemon_does_not_blame_instances_for_replies_it_has_not_read():
    """The processor needs 1 ms for each of 36 replies, which all arrive after 5 ms."""

    def behave(instance, nth):
        return 5, good(instance)

    async def body(harness):
        harness.tools.loop = loop = LoopMonitor(harness.tools.clock)
        trio.lowlevel.add_instrument(loop)
        harness.pools.work_ms = 1.0
        for _ in range(10):
            answer, gather = await harness.ask(scatter_route(36, latency_target=Millis(47)))
            assert isinstance(answer, Answer)
            assert gather.attempt_summary.hedges == 0
        records = harness.tools.replicas.by_id.values()
        assert not any(record.consecutive_losses or record.ejections for record in records)
        assert all(record.in_flight_limit == MAX_IN_FLIGHT_LIMIT for record in records)

    run_with_harness(behave, body, services=36, real_time=True)


def test_instances_that_are_late_while_the_daemon_is_idle_are_hedged():
    """All instances of one data centre are silent, a third of the replicas of each service."""

    def behave(instance, nth):
        return (math.inf if instance.id.endswith("-0") else 5), good(instance)

    async def body(harness):
        for _ in range(10):
            answer, _ = await harness.ask(scatter_route(10))
            assert answer.missing == 0

    run_with_harness(behave, body)


def test_an_instance_that_asked_for_a_pause_gets_no_request_until_it_is_over():
    async def body(harness):
        paused = harness.tools.instances.serving("s0")[0]
        harness.tools.backoffs.record(paused, "r", Millis(2_000))
        for _ in range(30):
            answer, _ = await harness.ask(scatter_route(1))
            assert isinstance(answer, Answer)
        assert paused.id not in harness.pools.sent
        await trio.sleep(3.0)
        for _ in range(30):
            await harness.ask(scatter_route(1))
        assert paused.id in harness.pools.sent

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=1)


def test_hedges_and_retries_pass_over_instances_that_asked_for_a_pause():
    def behave(instance, nth):
        return (math.inf, good(instance)) if instance.id == "s0-0" else (5, lost())

    async def body(harness):
        for instance in harness.tools.instances.serving("s0")[1:]:
            harness.tools.backoffs.record(instance, "r", Millis(60_000))
        await harness.ask(scatter_route(1))
        assert set(harness.pools.sent) == {"s0-0"}

    run_with_harness(behave, body, services=1)


def test_a_service_whose_instances_all_asked_for_pauses_is_refused_at_once_until_the_first_ends():
    async def body(harness):
        for number, instance in enumerate(harness.tools.instances.serving("s0")):
            harness.tools.backoffs.record(instance, "r", Millis(2_000 + 1_000 * number))
        before = harness.tools.clock.now()
        refused, _ = await harness.ask(plain_route())
        assert harness.tools.clock.now() == before
        assert (refused.kind, refused.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
        assert 2_000 <= refused.retry_after <= 2_500 * 1.5
        assert harness.pools.sent == []

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=1)


def test_a_gather_is_refused_until_enough_shards_take_requests_again():
    async def body(harness):
        for shard, pause in enumerate((1_000, 4_000, 9_000)):
            for instance in harness.tools.instances.serving(f"s{shard}"):
                harness.tools.backoffs.record(instance, "r", Millis(pause))
        answer, _ = await harness.ask(scatter_route(10, least_coverage=0.7))
        assert answer.missing == 3
        harness.pools.sent.clear()
        refused, _ = await harness.ask(scatter_route(10, least_coverage=0.8))
        assert (refused.kind, refused.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
        assert harness.pools.sent == []
        assert 900 <= refused.retry_after <= 1_250 * 1.5
        refused, _ = await harness.ask(scatter_route(10, least_coverage=0.9))
        assert 3_900 <= refused.retry_after <= 5_000 * 1.5

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_gather_that_lacks_instances_of_too_many_shards_is_refused_before_anything_is_sent():
    async def body(harness):
        for copy in range(3):
            harness.tools.instances.remove(f"s0-{copy}", 2)
        refused, _ = await harness.ask(scatter_route(4))
        assert (refused.kind, refused.ran) == (ErrorKind.NO_TARGET, Ran.FALSE)
        assert harness.pools.sent == []

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=4)


# Guards against a daemon that has lost its links reporting healthy instances as slow.
def test_a_daemon_that_hears_no_instance_reports_none_as_slow():
    async def body(harness):
        for _ in range(4):
            refused, _ = await harness.ask(scatter_route(6))
            assert isinstance(refused, Refused)
        assert harness.tools.slow_reports.is_empty

    run_with_harness(lambda instance, nth: (math.inf, good(instance)), body)


# Guards against a silent instance being asked again and again while nothing else is asked.
def test_the_next_request_goes_to_another_instance_than_a_silent_one():
    fastest, silent = "s0-0", set()

    async def body(harness):
        for _ in range(10):
            await harness.ask(plain_route())
        assert harness.pools.sent[-1] == fastest
        silent.add(fastest)
        served = [isinstance((await harness.ask(plain_route()))[0], Answer) for _ in range(2)]
        assert served == [False, True]
        assert harness.tools.slow_reports.is_empty

    def behave(instance, nth):
        delay = 2 if instance.id == fastest else 20
        return (math.inf if instance.id in silent else delay, good(instance))

    run_with_harness(behave, body)


def test_an_instance_that_is_silent_while_others_reply_is_reported_as_slow():
    async def body(harness):
        for _ in range(4):
            await harness.ask(scatter_route(6, least_coverage=1.0), time_left=300)
        assert not harness.tools.slow_reports.is_empty

    def behave(instance, nth):
        return (math.inf if instance.service == "s0" else 5, good(instance))

    run_with_harness(behave, body)


def start_suspicion(harness, target="/p/x"):
    """Let a request have broken off at two instances."""
    message = CallerMessage("r", "GET", target, "h", (), b"")
    for name in ("s8-0", "s8-1"):
        harness.tools.crashes.record_broken_reply(
            message_fingerprint(message), ReplicaId(name, "1")
        )


# Guards against a request that ends the searchers of all its shards, and again as it is retried.
def test_a_gather_that_breaks_off_everywhere_is_retried_at_one_shard_only():
    async def body(harness):
        refused, _ = await harness.ask(scatter_route(8))
        assert isinstance(refused, Refused)
        assert refused.ran is Ran.UNKNOWN
        assert len(harness.pools.sent) == 9
        await harness.ask(scatter_route(8))
        assert len(harness.pools.sent) == 10

    run_with_harness(lambda instance, nth: (5, lost()), body)


# Guards against a reply that breaks off before the others come being retried too late.
def test_a_shard_that_breaks_off_is_retried_as_soon_as_another_has_replied():
    async def body(harness):
        answer, gather = await harness.ask(scatter_route(8))
        assert answer.missing == 0
        assert len(harness.pools.sent) == 11
        assert gather.attempt_summary.hedges == 0

    def behave(instance, nth):
        breaks = instance.service in ("s0", "s1", "s2") and len(broken) < 3
        if breaks:
            broken.append(instance.id)
        return (1, lost()) if breaks else (10, good(instance))

    broken = []
    run_with_harness(behave, body)


def test_a_suspected_gather_is_sent_to_one_shard_first_and_to_the_others_once_it_has_replied():
    async def body(harness):
        start_suspicion(harness)
        answer, _ = await harness.ask(scatter_route(8))
        assert answer.missing == 0
        assert len(harness.pools.sent) == 8
        assert sent_at[1] - sent_at[0] >= 5

    def behave(instance, nth):
        sent_at.append(trio.current_time() * 1_000)
        return 5, good(instance)

    sent_at = []
    run_with_harness(behave, body)


def test_a_suspected_request_that_breaks_off_again_runs_once():
    for route in (scatter_route(8), plain_route(repeatable=True)):

        async def body(harness, route=route):
            start_suspicion(harness)
            refused, _ = await harness.ask(route)
            assert isinstance(refused, Refused)
            assert refused.ran is Ran.UNKNOWN
            assert len(harness.pools.sent) == 1

        run_with_harness(lambda instance, nth: (5, lost()), body)


def test_a_suspected_request_is_not_hedged():
    async def body(harness):
        start_suspicion(harness)
        await harness.ask(plain_route(repeatable=True), time_left=500)
        assert len(harness.pools.sent) == 1

    run_with_harness(lambda instance, nth: (math.inf, lost()), body)


def test_a_suspected_gather_tries_another_shard_if_the_first_is_out_of_reach():
    async def body(harness):
        start_suspicion(harness)
        answer, _ = await harness.ask(scatter_route(8))
        assert answer.missing == 1

    unreached = set()

    def behave(instance, nth):
        if not unreached:
            unreached.add(instance.service)
        if instance.service in unreached:
            return 1, unreachable()
        return 5, good(instance)

    run_with_harness(behave, body)


def lose_all(harness):
    for instance in harness.tools.instances.all():
        harness.tools.crashes.record_instance_lost(instance.replica_id)


def time_held_off(harness, target="/p/x"):
    message = CallerMessage("r", "GET", target, "h", (), b"")
    return harness.tools.crashes.time_left(message_fingerprint(message))


# Guards against a crash that comes after the request was given up being seen by nobody.
def test_instances_that_crash_after_their_request_was_given_up_are_counted():
    async def body(harness):
        with trio.move_on_after(0.05):  # the caller leaves
            await harness.ask(scatter_route(3))
        assert time_held_off(harness) is None
        lose_all(harness)
        assert time_held_off(harness) is not None

    run_with_harness(lambda instance, nth: (math.inf, lost()), body)


def test_instances_that_crash_after_another_one_has_replied_are_not_counted():
    async def body(harness):
        with trio.move_on_after(0.05):
            await harness.ask(scatter_route(8))
        lose_all(harness)
        assert time_held_off(harness) is None

    def behave(instance, nth):
        return (5 if instance.service == "s0" else math.inf), good(instance)

    run_with_harness(behave, body)


# Guards against slow instances being taken for crashed ones, and their requests for suspect.
def test_requests_that_are_given_up_are_neither_suspect_nor_probed_for():
    async def body(harness):
        await harness.ask(scatter_route(3), time_left=50)
        assert not harness.tools.crashes.is_empty
        assert not harness.tools.crashes.suspected()
        message = CallerMessage("r", "GET", "/p/x", "h", (), b"")
        assert not harness.tools.crashes.is_suspect(message_fingerprint(message))

    run_with_harness(lambda instance, nth: (math.inf, lost()), body)


# Guards against requests in flight as a daemon loses its links being suspected everywhere.
def test_calls_that_this_daemon_gives_up_make_no_request_suspect():
    async def body(harness):
        await harness.ask(plain_route(repeatable=True))
        message = CallerMessage("r", "GET", "/p/x", "h", (), b"")
        assert not harness.tools.crashes.is_suspect(message_fingerprint(message))
        lose_all(harness)
        assert time_held_off(harness) is not None

    def behave(instance, nth):
        reply = lost()
        reply.given_up = True
        return 5, reply

    run_with_harness(behave, body, services=1)
