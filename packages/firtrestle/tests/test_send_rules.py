"""Test how often and to which instances a request is sent, as replies are shed or lost."""

import math
import random
from collections import defaultdict

import pytest
import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.outcomes import SubOutcome
from firtrestle.replica_subsets import FleetSize
from firtrestle.uplinks import UplinkState
from route_fakes import (
    good,
    lost,
    misdirected,
    plain_route,
    run_with_harness,
    scatter_route,
    shed,
    unreachable,
    use_up_repeats,
)


def runs_by_service(harness):
    """Return how often each request may have run on instances of each service."""
    runs = defaultdict(int)
    for send in harness.pools.sends:
        runs[send.request_id, send.instance.service] += send.may_have_run
    return runs


# Guards against giving a shard up while an instance that would answer was not asked.
@pytest.mark.parametrize("refuse", [shed, misdirected])
def test_a_shard_shed_by_two_instances_is_answered_by_the_third(refuse):
    def behave(instance, nth):
        return (20, good(instance)) if instance.id.endswith("-2") else (3, refuse())

    async def body(harness):
        answer, _ = await harness.ask(scatter_route(10, least_coverage=1.0, max_attempts=1))
        assert isinstance(answer, Answer)
        assert answer.missing == 0
        assert max(runs_by_service(harness).values()) == 1

    run_with_harness(behave, body)


def test_a_request_that_may_not_be_repeated_goes_on_after_sheds_and_runs_once():
    def behave(instance, nth):
        return (5, lost()) if instance.id == "s0-2" else (3, shed())

    async def body(harness):
        refused, _ = await harness.ask(plain_route(max_attempts=1))
        assert refused.ran is Ran.UNKNOWN
        assert harness.pools.sent[-1] == "s0-2"
        assert runs_by_service(harness) == {("r1", "s0"): 1}

    run_with_harness(behave, body, services=1)


def test_each_shed_request_that_is_sent_again_costs_a_repeat():
    async def body(harness):
        budget, slack = harness.tools.budgets.for_service("s0"), harness.tools.budgets.slack
        before = budget.remaining(slack)
        await harness.ask(plain_route(max_attempts=1))
        assert len(harness.pools.sent) == 3
        earned = 0.9 * 0.2
        assert budget.remaining(slack) == pytest.approx(before + earned - 2)
        assert harness.tools.counts.sheds_repeated == 2

    run_with_harness(lambda instance, nth: (3, shed()), body, services=1)


def test_no_shed_request_is_sent_again_without_a_repeat_left():
    async def body(harness):
        harness.tools.budgets.fleet_size = 1_000
        refused, _ = await harness.ask(plain_route())
        assert (refused.kind, refused.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
        assert len(harness.pools.sent) == 1

    run_with_harness(lambda instance, nth: (3, shed()), body, services=1)


# Guards against a third run of a shard after its sheds, retries and hedges were counted apart.
@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize("seed", range(4))
def test_no_request_runs_on_more_instances_of_a_service_than_its_route_allows(max_attempts, seed):
    """Load: instances shed, lose, answer late or not at all, at random."""
    rng = random.Random(seed)

    def behave(instance, nth):
        return rng.choice(
            [(3, shed()), (8, lost()), (20, good(instance)), (90, good(instance)), (math.inf, None)]
        )

    async def body(harness):
        for number in range(60):
            route = scatter_route(6, least_coverage=1.0, max_attempts=max_attempts)
            await harness.ask(route, time_left=300, target=f"/p/{number}")
            await sleep(Millis(50))
        runs = runs_by_service(harness)
        assert max(runs.values()) == max_attempts
        sent = defaultdict(list)
        for send in harness.pools.sends:
            sent[send.request_id, send.instance.service].append(send.instance.id)
        assert all(len(set(ids)) == len(ids) for ids in sent.values())
        assert max(map(len, sent.values())) == 3

    run_with_harness(behave, body, services=6)


# Guards against a shard whose instances outside of a daemon's subset are never asked.
def test_a_shard_shed_by_the_whole_subset_is_sent_to_the_other_instances():
    async def body(harness):
        harness.tools.subsets.fleet = FleetSize(61, 61)
        used = harness.tools.availability.replica_ids("s0", 31)
        assert len(used) == 2
        shedding.extend(replica_id.target_id for replica_id in used)
        answer, _ = await harness.ask(scatter_route(1, least_coverage=1.0))
        assert isinstance(answer, Answer)
        assert harness.pools.sent[-1] not in shedding

    shedding = []
    run_with_harness(
        lambda instance, nth: (3, shed()) if instance.id in shedding else (20, good(instance)),
        body,
        services=1,
    )


# Guards against all daemons connecting to the instances that are left, beyond their limits.
def test_a_subset_is_replaced_only_if_all_of_it_is_failing():
    async def body(harness):
        tools = harness.tools
        tools.subsets.fleet = FleetSize(61, 61)
        used = tools.availability.replica_ids("s0", 31)
        until = Millis(tools.clock.now() + 2_500)
        tools.replicas.get(used[0]).reported_failing_until = until
        assert tools.availability.replica_ids("s0", 31) == used
        tools.replicas.get(used[1]).reported_failing_until = until
        changed = tools.availability.replica_ids("s0", 31)
        assert len(changed) == 2
        assert any(not tools.replicas.get(id_).is_reported_failing(until - 1) for id_ in changed)

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=1)


# Guards against repeats for shards that the answer does not need, when the answer is late.
def test_after_the_latency_target_only_shards_that_are_needed_are_repeated():
    """Of ten shards, six are silent and seven must reply: all but one are hedged before.

    The budget allows no hedge before the latency target, and all of them afterwards.
    """

    def behave(instance, nth):
        silent = int(instance.service[1:]) < 6 and instance.id in first
        if int(instance.service[1:]) < 6 and instance.service not in asked:
            asked.add(instance.service)
            first.add(instance.id)
            silent = True
        return (math.inf if silent else 20), good(instance)

    async def body(harness):
        for _ in range(8):
            await harness.ask(scatter_route(10, least_coverage=0.1))
        asked.clear()
        first.clear()
        harness.pools.sends.clear()
        use_up_repeats(harness, 10)
        results = []

        async def ask():
            route = scatter_route(10, least_coverage=0.7, timeout=Millis(3_000))
            results.append((await harness.ask(route, time_left=3_000))[0])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await sleep(Millis(145))
            assert len(harness.pools.sends) == 10
            harness.tools.budgets.fleet_size = 1
        assert isinstance(results[0], Answer)
        assert len(harness.pools.sends) == 10 + 3
        assert results[0].missing == 3

    asked, first = {f"s{number}" for number in range(6)}, set()
    run_with_harness(behave, body)


# Guards against a repeat that is not paid for, as sheds no longer count as attempts.
def test_a_service_that_was_shed_here_costs_a_repeat_at_a_peer():
    async def body(harness):
        tools = harness.tools
        refused, gather = await harness.ask(plain_route(repeatable=True))
        assert isinstance(refused, Refused)
        tools.uplink.state = UplinkState.DOWN
        budget, slack = tools.budgets.for_service("s0"), tools.budgets.slack
        before = budget.remaining(slack)
        assert gather._may_relay("s0")
        assert budget.remaining(slack) == before - 1
        use_up_repeats(harness, 1)
        assert not gather._may_relay("s0")

    run_with_harness(lambda instance, nth: (3, shed()), body, services=1)


# Guards against a peer running for free what was sent here, and shed, before.
def test_a_service_that_was_shed_here_is_not_left_to_peers_as_unreached():
    def behave(instance, nth):
        return (3, unreachable()) if asked else (asked.append(instance.id) or 3, shed())

    async def body(harness):
        refused, gather = await harness.ask(plain_route(repeatable=True))
        assert isinstance(refused, Refused)
        assert gather.attempt_summary.reason_by_service == {"s0": SubOutcome.UNREACHABLE}
        harness.tools.relays.may_reach = lambda service: True
        assert not gather._is_left_to_peers("s0")

    asked = []
    run_with_harness(behave, body, services=1)


def test_a_gather_that_all_instances_shed_is_refused_at_once_as_not_run():
    async def body(harness):
        before = harness.tools.clock.now()
        refused, _ = await harness.ask(scatter_route(10, least_coverage=0.1))
        assert isinstance(refused, Refused)
        assert (refused.kind, refused.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
        assert len(harness.pools.sends) == 30
        assert harness.tools.clock.now() - before < 10

    run_with_harness(lambda instance, nth: (3, shed()), body)
