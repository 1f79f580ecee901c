"""Check that every kind of request to a cold instance spends a permit of this daemon."""

import math
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import replace

import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.known_daemons import SETTLING_TIME
from firtrestle.relay_messages import RelayTerms
from firtrestle.routes import ServiceTerms
from firtrestle.service_gathers import ServiceGather
from firtrestle.snapshots import ReplicaId
from firtrestle.uplinks import UplinkState
from firtrestle.warm_ups import PERMIT_INTERVAL
from loguru import logger
from route_fakes import good, plain_route, run_with_harness, scatter_route, shed

PERMITS = 5  # of each cold instance, in any interval
LONG = Millis(60_000)
REFUSED_LINE = "shard refused, none of its instances takes a request"


def run_with_cold(behave, body, cold, services=1, replicas=3):
    """Run a test body with one daemon, some of whose instances are cold."""

    async def start(harness):
        terms = {f"s{number}": ServiceTerms(f"s{number}", 31, 0.1) for number in range(services)}
        harness.table = replace(harness.table, terms_by_service=terms)
        harness.tools.warm_ups.apply(harness.table)
        await trio.sleep(SETTLING_TIME / 1_000)
        for name in cold:
            harness.tools.warm_ups.record(ReplicaId(name, "1"), LONG)
        await body(harness)

    run_with_harness(behave, start, services=services, replicas=replicas)


def answer_after(delay=5):
    return lambda instance, nth: (delay, good(instance))


def spent(harness, name="s0-0"):
    """Return how many permits of an instance are spent."""
    warm_ups = harness.tools.warm_ups
    replica_id = ReplicaId(name, "1")
    for left in range(PERMITS + 1):
        if warm_ups.wait(replica_id):
            return PERMITS - left
        warm_ups.spend(replica_id)
    raise AssertionError("permits are without a limit")


@asynccontextmanager
async def logged():
    lines = []
    sink = logger.add(lambda message: lines.append(message.record), level="DEBUG")
    try:
        yield lines
    finally:
        logger.remove(sink)


def test_first_tries_spend_permits_and_pass_over_an_instance_without_one():
    async def body(harness):
        for _ in range(30):
            answer, _ = await harness.ask(scatter_route(1))
            assert isinstance(answer, Answer)
        assert harness.pools.sent.count("s0-0") == PERMITS
        await trio.sleep(PERMIT_INTERVAL / 1_000)
        await harness.ask(scatter_route(1))
        for _ in range(30):
            await harness.ask(scatter_route(1))
        assert harness.pools.sent.count("s0-0") == 2 * PERMITS

    run_with_cold(answer_after(), body, ["s0-0"])


def test_retries_spend_permits():
    async def body(harness):
        for _ in range(10):
            answer, _ = await harness.ask(plain_route())
            assert isinstance(answer, Answer) == ("s0-0" in harness.pools.sent[-1:])
        assert harness.pools.sent.count("s0-0") == PERMITS

    def behave(instance, nth):
        return (5, good(instance)) if instance.id == "s0-0" else (5, shed())

    run_with_cold(behave, body, ["s0-0"], replicas=2)


def test_hedges_spend_permits():
    async def body(harness):
        # First tries go to the other instance, which doesn't answer.
        cold = harness.tools.instances.get(ReplicaId("s0-0", "1"))
        harness.tools.backoffs.record(cold, "r", Millis(10))
        async with trio.open_nursery() as nursery:
            for _ in range(2 * PERMITS):
                nursery.start_soon(harness.ask, scatter_route(1))
        assert Counter(harness.pools.sent) == {"s0-1": 2 * PERMITS, "s0-0": PERMITS}

    def behave(instance, nth):
        return (5, good(instance)) if instance.id == "s0-0" else (math.inf, good(instance))

    run_with_cold(behave, body, ["s0-0"], replicas=2)


def test_requests_that_are_run_for_a_peer_spend_permits():
    async def body(harness):
        _, gather = await harness.ask(scatter_route(1))
        relayed = ServiceGather(
            harness.tools, gather._request, ("s0",), RelayTerms(("s0",), is_counted=True)
        )
        await relayed.collect()
        assert relayed.reply_by_service
        assert spent(harness) == 2

    run_with_cold(answer_after(), body, ["s0-0"], replicas=1)


def test_trial_requests_spend_permits():
    async def body(harness):
        harness.tools.uplink.wants_trial = lambda: True
        harness.tools.uplink.state = UplinkState.TRIAL
        for _ in range(10):
            await harness.ask(scatter_route(1))
        assert len(harness.pools.sent) == PERMITS

    run_with_cold(answer_after(), body, ["s0-0"], replicas=1)


# Guards against a request that is sent, or waits, although no instance may get it.
def test_a_shard_whose_instances_are_all_cold_without_a_permit_is_refused_unsent_with_a_time():
    async def body(harness):
        for _ in range(3 * PERMITS):
            await harness.ask(scatter_route(1))
        before = list(harness.pools.sent)
        assert len(before) == 3 * PERMITS
        async with logged() as lines:
            started_at = harness.tools.clock.now()
            refused, _ = await harness.ask(scatter_route(1))
        assert harness.tools.clock.now() - started_at < 1
        assert isinstance(refused, Refused)
        assert (refused.kind, refused.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
        assert 0 < refused.retry_after <= 1.5 * PERMIT_INTERVAL
        assert harness.pools.sent == before
        line = next(line for line in lines if line["message"] == REFUSED_LINE)
        assert line["extra"]["request_id"] == f"r{harness.numbers}"
        assert set(line["extra"]["wait_ms"]) == {"s0-0", "s0-1", "s0-2"}

    run_with_cold(answer_after(0), body, ["s0-0", "s0-1", "s0-2"])


# Guards against all daemons that replace a cold instance in their subsets by the same others.
def test_a_cold_instance_without_a_permit_stays_in_the_subset_until_no_other_takes_requests():
    async def body(harness):
        availability = harness.tools.availability
        harness.tools.subsets.fleet.daemons = 31  # uses two of three instances
        subset = [id_.target_id for id_ in availability.replica_ids("s0", 31)]
        assert len(subset) == 2
        for name in subset:
            harness.tools.warm_ups.record(ReplicaId(name, "1"), LONG)
        for _ in range(PERMITS):
            harness.tools.warm_ups.spend(ReplicaId(subset[0], "1"))
        assert [id_.target_id for id_ in availability.replica_ids("s0", 31)] == subset
        for _ in range(PERMITS):
            harness.tools.warm_ups.spend(ReplicaId(subset[1], "1"))
        assert len(availability.replica_ids("s0", 31)) == 3

    run_with_cold(answer_after(), body, [])
