"""Test which repeats are withheld as little of the budget is left."""

from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.routes import RouteTable
from loguru import logger
from route_fakes import TERMS, good, lost, run_with_harness, scatter_route, shed

SHARDS = 10


def keep_repeats(harness, left):
    """Learn that tries are answered, and leave each service a number of four repeats."""
    for _ in range(100):
        harness.tools.try_shares.record(False, True, Millis(20))
    budgets = harness.tools.budgets
    budgets.fleet_size = round(TERMS.slack / ((4 / 0.9) - 0.2))
    for number in range(SHARDS):
        budget = budgets.for_service(f"s{number}")
        while budget.remaining(budgets.slack) >= left + 1:
            assert budget.spend(budgets.slack)


def shedding(*shards):
    """Let all instances of some shards shed."""

    def behave(instance, nth):
        return (3, shed()) if instance.service in shards else (20, good(instance))

    return behave


def repeats_of_gather(harness):
    return len(harness.pools.sends) - SHARDS


# Guards against spending the last repeats where the answer needs none.
def test_a_shard_beyond_the_least_coverage_leaves_the_last_repeat():
    async def body(harness):
        keep_repeats(harness, 2)
        answer, _ = await harness.ask(scatter_route(SHARDS, least_coverage=0.8))
        assert isinstance(answer, Answer)
        assert repeats_of_gather(harness) == 1
        assert harness.tools.counts.repeats_withheld == 1

    run_with_harness(shedding("s0"), body)


def test_a_shard_that_the_least_coverage_needs_gets_the_last_repeat():
    async def body(harness):
        keep_repeats(harness, 2)
        await harness.ask(scatter_route(SHARDS, least_coverage=1.0))
        assert repeats_of_gather(harness) == 2

    run_with_harness(shedding("s0"), body)


def test_a_shard_beyond_the_least_coverage_gets_repeats_while_many_are_left():
    async def body(harness):
        await harness.ask(scatter_route(SHARDS, least_coverage=0.8))
        assert repeats_of_gather(harness) == 2

    run_with_harness(shedding("s0"), body)


# Guards against spending the last repeats on gathers that they can't bring to an answer.
def test_a_gather_without_a_chance_gets_none_of_the_last_repeats():
    """All instances are failing and lose nine in ten replies, as this daemon has seen."""

    async def body(harness):
        tools = harness.tools
        for instance in tools.instances.all():
            record = tools.replicas.get(instance.replica_id)
            record.reported_failing_until = Millis(tools.clock.now() + 2_500)
        for number in range(100):
            tools.try_shares.record(True, number % 10 == 0, Millis(3))
        keep_repeats(harness, 2)
        await harness.ask(scatter_route(SHARDS, least_coverage=0.9))
        assert repeats_of_gather(harness) == 0

    run_with_harness(shedding("s0"), body)


# Guards against less urgent routes using up what the most urgent one of a service needs.
def test_a_less_urgent_route_leaves_a_reserve_to_a_more_urgent_one():
    async def body(harness):
        routes = [
            scatter_route(SHARDS, name=f"p{priority}", priority=priority, least_coverage=1.0)
            for priority in (1, 2)
        ]
        terms, limits = harness.table.terms_by_service, harness.table.limits
        harness.table = RouteTable.from_routes(1, routes, terms, limits)
        keep_repeats(harness, 1)
        harness.tools.budgets.fleet_size = 17  # leaves less than the reserve beyond one repeat
        budget, slack = harness.tools.budgets.for_service("s0"), harness.tools.budgets.slack
        assert 1.0 < budget.remaining(slack) + 0.18 < 1.0 + 0.15 * 4
        await harness.ask(routes[1])
        assert repeats_of_gather(harness) == 0
        harness.pools.sends.clear()
        await harness.ask(routes[0])
        assert repeats_of_gather(harness) == 1

    run_with_harness(shedding("s0"), body)


def test_a_withheld_repeat_is_logged_with_its_inputs():
    async def body(harness):
        keep_repeats(harness, 2)
        lines = []
        handle = logger.add(lambda line: lines.append(line.record), level="DEBUG")
        try:
            await harness.ask(scatter_route(SHARDS, least_coverage=0.8))
        finally:
            logger.remove(handle)
        (line,) = [line for line in lines if line["message"] == "repeat withheld"]
        told = {"request_id": "r1", "service": "s0", "need": "extra", "hedge": False}
        assert told.items() <= line["extra"].items()
        assert line["extra"]["chance_without"] > 0.95
        assert 1 <= line["extra"]["repeats_left"] < 2

    run_with_harness(shedding("s0"), body)


# Guards against a request for one service being refused a repeat that no other shard could use.
def test_a_single_service_uses_all_of_its_repeats():
    async def body(harness):
        keep_repeats(harness, 1)
        for number in range(2_000):
            harness.tools.try_shares.record(False, number % 20 == 0, Millis(3))
        await harness.ask(scatter_route(1, max_attempts=3))
        assert len(harness.pools.sends) == 2

    run_with_harness(lambda instance, nth: (5, lost()), body)


def test_repeats_are_no_longer_withheld_once_the_window_has_passed():
    async def body(harness):
        keep_repeats(harness, 2)
        await sleep(Millis(12_000))
        await harness.ask(scatter_route(SHARDS, least_coverage=0.8))
        assert repeats_of_gather(harness) == 2

    run_with_harness(shedding("s0"), body)
