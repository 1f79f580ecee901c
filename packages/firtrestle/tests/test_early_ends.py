"""Test when gathers with silent instances are ended before their deadline."""

import math

import pytest
import trio
from firtrestle.answers import Answer
from firtrestle.attempts import Attempt, ShardState
from firtrestle.clocks import Millis, sleep
from firtrestle.coverages import Coverage
from firtrestle.early_ends import SILENCE_RATIO, EarlyEnds
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.instance_replies import CallerMessage
from firtrestle.routed_requests import RoutedRequest
from firtrestle.send_rules import SendRules
from firtrestle.snapshots import ReplicaId
from loguru import logger
from route_fakes import good, plain_route, run_with_harness, scatter_route, shed, use_up_repeats

TIMEOUT = 1_224


def silent_shards(count, delay=20):
    """Let all instances of some shards be silent."""

    def behave(instance, nth):
        is_silent = int(instance.service[1:]) < count and behave.is_faulty
        return (math.inf if is_silent else delay), good(instance)

    behave.is_faulty = False
    return behave


async def learn(harness, behave, count=12, **changes):
    """Let the usual reply time be learnt, use up the repeats, and start the fault."""
    for _ in range(count):
        await harness.ask(scatter_route(10, **changes))
    use_up_repeats(harness, 10)
    behave.is_faulty = True


async def ask_timed(harness, **changes):
    """Return the result of a gather of ten shards, and the time that it took."""
    started_at = harness.tools.clock.now()
    route = scatter_route(10, **changes)
    result, gather = await harness.ask(route, time_left=TIMEOUT)
    return result, harness.tools.clock.now() - started_at, gather


# Guards against gathers that wait until their deadline for silent instances, with no repeat left.
def test_a_gather_with_too_many_silent_shards_is_ended_when_they_are_overdue():
    """Load: the instances of three of ten shards are silent; eight replies are needed."""
    behave = silent_shards(3)

    async def body(harness):
        await learn(harness, behave)
        lines = []
        handle = logger.add(lambda line: lines.append(line.record), level="INFO")
        try:
            refused, took, gather = await ask_timed(harness)
        finally:
            logger.remove(handle)
        assert isinstance(refused, Refused)
        assert (refused.kind, refused.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert gather.attempt_summary.may_have_run
        assert 150 <= took <= 200
        assert harness.tools.counts.ended_early == 1
        (line,) = [line for line in lines if line["message"] == "gather ended early"]
        told = {"reason": "silent", "replies": 7, "needed": 8, "waiting": 3, "ran": True}
        assert told.items() <= line["extra"].items()
        assert line["extra"]["silence_limit_ms"] == 150
        assert not harness.tools.slow_reports.is_empty

    run_with_harness(behave, body)


def test_a_gather_that_few_silent_shards_leave_its_least_coverage_is_answered():
    behave = silent_shards(2)

    async def body(harness):
        await learn(harness, behave)
        answer, _, _ = await ask_timed(harness)
        assert isinstance(answer, Answer)
        assert harness.tools.counts.ended_early == 0

    run_with_harness(behave, body)


# Guards against giving up instances that are merely slow, as all are at times.
def test_replies_within_several_times_the_usual_time_are_waited_for():
    """Load: usual replies take 100 ms, those of three shards 280 ms; no repeat is left."""

    def behave(instance, nth):
        is_slow = int(instance.service[1:]) < 3 and harness_state["slow"]
        return (280 if is_slow else 100), good(instance)

    harness_state = {"slow": False}

    async def body(harness):
        for _ in range(12):
            await harness.ask(scatter_route(10))
        use_up_repeats(harness, 10)
        harness_state["slow"] = True
        answer, took, _ = await ask_timed(harness, least_coverage=1.0)
        assert isinstance(answer, Answer)
        assert 280 <= took < SILENCE_RATIO * 100

    run_with_harness(behave, body)


def test_silent_shards_that_may_be_hedged_are_waited_for():
    """The budget is empty at first, and a repeat is earned before the gather is ended."""
    behave = silent_shards(3)

    async def body(harness):
        await learn(harness, behave)
        results = []

        async def ask():
            results.append(await ask_timed(harness))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await sleep(Millis(149))  # just before the check; hedges are tried each 20 ms
            harness.tools.budgets.fleet_size = 1
            behave.is_faulty = False
        assert isinstance(results[0][0], Answer)

    run_with_harness(behave, body)


async def new_check(harness):
    """Return a check of a gather with one reply of two and a silent shard, and its rules' ends."""
    tools = harness.tools
    for _ in range(10):
        await harness.ask(scatter_route(2))
    use_up_repeats(harness, 2)
    await sleep(Millis(1))
    route = scatter_route(2, least_coverage=1.0)
    message = CallerMessage("r", "GET", "/p/x", "h", (), b"")
    now = tools.clock.now()
    request = RoutedRequest(message, route, harness.table, now, Millis(now + TIMEOUT))
    rules = SendRules(tools, request, route.shards, {})
    ends = EarlyEnds(tools, request, Coverage(2, 1.0), rules)
    replica = tools.replicas.get(ReplicaId("s0-0", "1"))
    state = ShardState(0, tries=1, attempts=[Attempt(1, 0, replica, now)])
    await sleep(Millis(155))
    tools.uplink.record_heard()

    def check(replies=1, left_to_peers=0, states=(state,)):
        return ends.check(replies, left_to_peers, states, lambda attempt: attempt.sent_at)

    return check, ends


# Guards against ending a request for time-outs that are handled before replies, after a suspension.
def test_a_gather_is_ended_only_if_a_second_check_finds_it_out_of_reach():
    async def body(harness):
        check, ends = await new_check(harness)
        assert not check()
        assert ends.next_check_at - harness.tools.clock.now() <= 5
        assert not check(replies=2, states=())
        assert not check()
        assert check()

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=2)


# Guards against ending a request just before a repeat, or a peer, brings it to an answer.
def test_a_gather_is_not_ended_while_a_repeat_or_a_peer_may_help():
    async def body(harness):
        check, _ = await new_check(harness)
        assert not any(check(left_to_peers=1) for _ in range(3))
        harness.tools.budgets.fleet_size = 1
        assert not any(check() for _ in range(3))

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=2)


def test_nothing_is_ended_while_the_usual_reply_time_is_unknown():
    behave = silent_shards(3)

    async def body(harness):
        await learn(harness, behave, count=1)
        refused, took, _ = await ask_timed(harness)
        assert refused.kind is ErrorKind.DEADLINE_PASSED
        assert took > TIMEOUT - 1

    run_with_harness(behave, body)


# Guards against ending requests as silent whose replies this daemon has not read yet.
def test_nothing_is_ended_while_replies_may_be_unread():
    behave = silent_shards(3)

    async def body(harness):
        await learn(harness, behave)
        harness.tools.loop.was_idle = False
        refused, took, _ = await ask_timed(harness)
        assert refused.kind is ErrorKind.DEADLINE_PASSED
        assert took > TIMEOUT - 1

    run_with_harness(behave, body)


# Guards against ending requests that a peer would run, as this daemon's links are lost.
def test_nothing_is_ended_while_no_instance_is_heard():
    behave = silent_shards(10)

    async def body(harness):
        await learn(harness, behave)
        refused, took, _ = await ask_timed(harness)
        assert refused.kind is ErrorKind.DEADLINE_PASSED
        assert took > TIMEOUT - 1

    run_with_harness(behave, body)


# Guards against giving up a request that its caller can't send again.
@pytest.mark.parametrize(("repeatable", "is_waited_for"), [(False, True), (True, False)])
def test_only_a_request_that_may_be_repeated_is_ended_for_silence(repeatable, is_waited_for):
    behave = silent_shards(1)

    async def body(harness):
        route = plain_route(repeatable=repeatable, max_attempts=2, timeout=Millis(8_000))
        for _ in range(70):
            await harness.ask(route)
        use_up_repeats(harness, 10)
        behave.is_faulty = True
        results = []

        async def ask():
            started_at = harness.tools.clock.now()
            refused, _ = await harness.ask(route, time_left=8_000)
            results.append((refused, harness.tools.clock.now() - started_at))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await sleep(Millis(100))
            await harness.ask(scatter_route(10), services=("s5",))
        refused, took = results[0]
        assert refused.ran is Ran.UNKNOWN
        assert (took > 7_900) is is_waited_for

    run_with_harness(behave, body)


def test_a_gather_whose_shards_all_instances_shed_is_ended_at_once():
    """Three of ten shards are shed by all instances after 3 ms; the others need 100 ms."""

    def behave(instance, nth):
        sheds = int(instance.service[1:]) < 3
        return (3, shed()) if sheds else (100, good(instance))

    async def body(harness):
        refused, took, _ = await ask_timed(harness)
        assert isinstance(refused, Refused)
        assert refused.ran is Ran.UNKNOWN
        assert took < 10
        assert harness.tools.counts.ended_early == 1

    run_with_harness(behave, body)
