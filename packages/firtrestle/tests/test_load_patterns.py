"""Simulate load and failure patterns of routes without a network."""

import math
from collections import Counter
from dataclasses import replace

import pytest
import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.connect_probes import ProbeRound
from firtrestle.crash_records import message_fingerprint
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.fault_probes import FaultProbes
from firtrestle.instance_replies import CallerMessage
from firtrestle.replica_subsets import FleetSize
from firtrestle.snapshots import ReplicaId
from route_fakes import (
    good,
    lost,
    misdirected,
    plain_route,
    run_with_harness,
    scatter_route,
    shed,
    unreachable,
)


def test_silent_replicas_are_ejected_after_two_lost_races():
    """A sixth of the replicas stop replying without a reset, as after a host crash."""

    def behave(instance, nth):
        silent = instance.id in ("s0-0", "s3-1", "s5-2", "s7-0", "s9-1")
        return (math.inf if silent else 20), good(instance)

    async def body(harness):
        for _ in range(40):
            await harness.ask(scatter_route(10))
            await sleep(Millis(20))
        harness.pools.sent.clear()
        for _ in range(10):
            await harness.ask(scatter_route(10))
            await sleep(Millis(20))
        silent = sum(1 for id_ in harness.pools.sent if id_ in ("s0-0", "s3-1", "s5-2"))
        assert silent <= 3

    run_with_harness(behave, body)


def test_an_address_reused_by_another_service_gets_one_request_per_daemon():
    """Addresses of ended instances are reused; each misdirected request costs a repeat."""

    def behave(instance, nth):
        return 5, (misdirected() if instance.id == "s0-0" else good(instance))

    async def body(harness):
        for _ in range(50):
            await harness.ask(scatter_route(1))
        assert harness.pools.sent.count("s0-0") <= 1

    run_with_harness(behave, body, services=1)


def test_slow_replicas_of_many_shards_do_not_delay_hedges():
    """Fifteen of a hundred replicas are seven times as slow: the load pattern "srv_slow across"."""

    def behave(instance, nth):
        slow = instance.id in ("s0-0", "s1-0", "s2-0", "s3-0", "s4-0")
        return (150 if slow else 20), good(instance)

    async def body(harness):
        late = 0
        for number in range(200):
            before = harness.tools.clock.now()
            await harness.ask(scatter_route(10))
            late += number >= 50 and harness.tools.clock.now() - before > 70
            await sleep(Millis(50))
        assert late <= 5

    run_with_harness(behave, body)


def test_a_slowdown_of_the_daemon_causes_no_hedges():
    """A daemon on half a core sends 36 requests: all replies are late alike, hedges add load."""
    is_slow = []

    def behave(instance, nth):
        return (65 if is_slow else 20), good(instance)

    async def body(harness):
        for _ in range(10):
            await harness.ask(scatter_route(36))
        is_slow.append(True)
        _, gather = await harness.ask(scatter_route(36))
        assert gather.attempt_summary.hedges == 0

    run_with_harness(behave, body, services=36)


def test_the_last_shards_are_hedged_in_time():
    """Two replicas pause: their shards of 36 are hedged as soon as most replies are in."""

    def behave(instance, nth):
        return (math.inf if instance.id in ("s3-0", "s9-1") else 20), good(instance)

    async def body(harness):
        late = 0
        for number in range(100):
            before = harness.tools.clock.now()
            answer, _ = await harness.ask(scatter_route(36, least_coverage=0.95))
            assert answer.missing == 0
            late += number >= 10 and harness.tools.clock.now() - before > 80
            await sleep(Millis(100))
        assert late == 0

    run_with_harness(behave, body, services=36)


def test_silent_replicas_are_ejected_for_overdue_attempts_without_a_winning_hedge():
    """No replica of one shard replies, so no hedge wins; they must be ejected all the same."""

    def behave(instance, nth):
        return (math.inf if instance.service == "s0" else 5), good(instance)

    async def body(harness):
        for _ in range(4):
            await harness.ask(scatter_route(10))
        now = harness.tools.clock.now()
        records = [
            record
            for record in harness.tools.replicas.by_id.values()
            if "s0-" in record.id.target_id
        ]
        assert any(record.is_ejected(now) for record in records)

    run_with_harness(behave, body)


def test_a_shard_with_one_slow_replica_answers_some_requests():
    """Two of three replicas are down; the queue of the last may exceed all deadlines."""
    busy_until = 0.0

    def behave(instance, nth):
        nonlocal busy_until
        if instance.service != "s0":
            return 5, good(instance)
        if instance.id != "s0-0":
            return 1, unreachable()
        now = trio.current_time() * 1_000
        busy_until = max(now, busy_until) + 80
        return busy_until - now, good(instance)

    async def body(harness):
        results = []

        async def ask():
            answer, _ = await harness.ask(scatter_route(2, least_coverage=1.0), time_left=400)
            results.append(isinstance(answer, Answer))

        async with trio.open_nursery() as nursery:
            for _ in range(300):
                nursery.start_soon(ask)
                await sleep(Millis(20))
        late = results[len(results) // 3 :]
        assert sum(late) >= len(late) * 0.15  # the replica is fast enough for a quarter at most

    run_with_harness(behave, body)


def test_a_shedding_replica_gets_little_traffic_if_others_answer():
    """Most instances shed most requests; traffic goes to replicas that answer."""

    def behave(instance, nth):
        return (3, shed()) if instance.id == "s0-0" else (20, good(instance))

    async def body(harness):
        for number in range(80):
            if number == 60:
                harness.pools.sent.clear()
            await harness.ask(scatter_route(1))
            await sleep(Millis(20))
        assert harness.pools.sent.count("s0-0") <= 4

    run_with_harness(behave, body, services=1)


def test_a_gather_chooses_replicas_a_few_times_per_shard():
    """With 36 shards on half a core, checking all of them on each reply took half of the time."""
    choices_by_service = Counter()

    async def body(harness):
        subsets = harness.tools.subsets
        choose = subsets.choose

        def counting_choose(serving, limit, is_healthy):
            choices_by_service[serving[0].service] += 1
            return choose(serving, limit, is_healthy)

        subsets.choose = counting_choose
        for _ in range(10):
            answer, _ = await harness.ask(scatter_route(36))
            assert answer.missing == 0
        assert max(choices_by_service.values()) <= 10 * 3

    def behave(instance, nth):
        return 5 + 0.1 * int(instance.service[1:]), good(instance)

    run_with_harness(behave, body, services=36)


def test_a_repeat_without_a_replica_with_capacity_spends_no_budget():
    """All replicas but one are at their limit; the budget is kept for shards that can use it."""

    async def body(harness):
        for instance in harness.tools.availability.serving("s0"):
            harness.tools.replicas.get(instance.replica_id).in_flight_limit = 1.0
            harness.tools.replicas.get(instance.replica_id).in_flight = 1
        first = harness.tools.availability.serving("s0")[0]
        harness.tools.replicas.get(first.replica_id).in_flight = 0
        budget = harness.tools.budgets.for_service("s0")
        before = budget.remaining(harness.tools.budgets.slack)
        await harness.ask(scatter_route(1), time_left=400)
        assert budget.remaining(harness.tools.budgets.slack) >= before

    run_with_harness(lambda instance, nth: (math.inf, good(instance)), body)


def test_a_subset_replaces_shedding_replicas_by_the_third():
    """Both replicas of a shard that a daemon of a large fleet uses shed everything."""

    async def body(harness):
        harness.tools.subsets.fleet = FleetSize(61, 61)
        used = harness.tools.subsets.choose(
            harness.tools.availability.serving("s0"), 31, lambda instance: True
        )
        assert len(used) == 2
        shedding.extend(instance.id for instance in used)
        answered = 0
        for _ in range(60):
            result, _ = await harness.ask(scatter_route(1))
            answered += isinstance(result, Answer)
            await sleep(Millis(100))
        assert answered >= 50

    shedding = []
    run_with_harness(
        lambda instance, nth: (5, shed() if instance.id in shedding else good(instance)),
        body,
        services=1,
    )


@pytest.mark.parametrize("refuse", [True, False])
@pytest.mark.parametrize("were_heard", [True, False])
def test_a_request_that_crashes_its_searchers_is_quarantined_and_others_are_not(were_heard, refuse):
    """Each instance that gets the request drops the connection and becomes unreachable.

    The instances of another service accept connections: else this daemon's links may be lost.
    Of instances that had never replied, and don't refuse connections now, only the registry tells
    that they were alive.
    """

    class Prober:
        async def probe(self, instances):
            ids = {instance.replica_id for instance in instances}
            dead = {replica_id for replica_id in ids if replica_id.target_id in crashed}
            return ProbeRound(accepting=ids - dead, refusing=dead if refuse else set())

    async def body(harness):
        tools = harness.tools
        probes = FaultProbes(tools.uplink, tools.crashes, tools.instances.all, Prober(), tools.rng)
        route = plain_route(repeatable=True)
        for instance in tools.instances.all() if were_heard else []:
            tools.uplink.record_heard(instance=instance)
        for _ in range(3):
            await harness.ask(route, target="/p/poison")
            await sleep(Millis(50))
            await harness.ask(route, target="/p/innocent")
            await harness.ask(route, services=("s1",), target="/p/other")
            await probes.probe()
        message = CallerMessage("r", "GET", "/p/poison", "h", (), b"")
        if not (were_heard or refuse):
            assert harness.tools.crashes.time_left(message_fingerprint(message)) is None
            for id_ in crashed:
                harness.tools.crashes.record_instance_lost(ReplicaId(id_, "1"))
        assert harness.tools.crashes.time_left(message_fingerprint(message)) is not None
        innocent = replace(message, target="/p/innocent")
        assert harness.tools.crashes.time_left(message_fingerprint(innocent)) is None

    crashed = set()

    def behave(instance, nth):
        if instance.service == "s1":
            return 5, good(instance)
        if instance.id in crashed:
            return 1, unreachable()
        crashed.add(instance.id)
        return 5, lost()

    run_with_harness(behave, body, services=2)


def test_simultaneous_crashes_of_many_shards_quarantine_no_request():
    """Seven of 36 shards lose a replica during a gather whose other shards reply."""

    async def body(harness):
        await harness.ask(scatter_route(36))
        for instance in harness.tools.instances.serving("s0"):
            harness.tools.crashes.record_instance_lost(instance.replica_id)
        message = CallerMessage("r", "GET", "/p/x", "h", (), b"")
        assert harness.tools.crashes.time_left(message_fingerprint(message)) is None

    crashed = set()

    def behave(instance, nth):
        dies = int(instance.service[1:]) < 7 and (instance.id in crashed or nth == 1)
        if not dies or len(crashed) >= 7:
            return 8, good(instance)
        crashed.add(instance.id)
        return 5, lost()

    run_with_harness(behave, body, services=36)


def limit_rates(harness, service, rate):
    """Let all instances of a service name a limit to the daemon."""
    for instance in harness.tools.availability.serving(service):
        harness.tools.rate_limits.record(instance, "r", rate)


def test_a_shard_whose_instances_all_limit_their_rate_is_left_out_of_what_they_do_not_take():
    """The load pattern "capped": 100 requests a second meet three instances that take 10 each."""

    async def body(harness):
        limit_rates(harness, "s0", 10.0)
        missing = []
        for _ in range(400):
            before = harness.tools.clock.now()
            answer, _ = await harness.ask(scatter_route(10))
            missing.append(answer.missing)
            assert harness.tools.clock.now() - before < 20
            await sleep(Millis(5))
        seconds = 400 * 0.010
        sent = sum(id_.startswith("s0-") for id_ in harness.pools.sent)
        assert 0.8 * 30 * seconds <= sent <= 30 * seconds + 45
        assert missing.count(1) == 400 - sent
        assert set(missing) <= {0, 1}

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_hedges_and_retries_keep_to_the_rates_that_instances_name():
    """Instances that limit their rate are late or shed at the same time."""

    def behave(instance, nth):
        return (5, shed()) if nth % 2 else (math.inf, good(instance))

    async def body(harness):
        limit_rates(harness, "s0", 2.0)
        for _ in range(50):
            await harness.ask(scatter_route(1), time_left=100)
            await sleep(Millis(20))
        assert len(harness.pools.sent) <= 3 * 2.0 * (50 * 0.120) + 9

    run_with_harness(behave, body, services=1)


def test_a_request_beyond_the_rates_of_a_service_is_refused_unsent_with_a_time_to_return():
    async def body(harness):
        limit_rates(harness, "s0", 0.5)
        results = [(await harness.ask(plain_route()))[0] for _ in range(20)]
        refused = [result for result in results if isinstance(result, Refused)]
        assert len(refused) >= 17
        for result in refused:
            assert (result.kind, result.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
            assert 0 < result.retry_after <= 2_000 * 1.5
        assert len(harness.pools.sent) == 20 - len(refused)

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=1)


def test_too_few_shards_within_their_rates_refuse_a_request_before_anything_is_sent():
    async def body(harness):
        for service in ("s0", "s1", "s2"):
            limit_rates(harness, service, 0.001)
        result, _ = await harness.ask(scatter_route(10))
        assert isinstance(result, Refused)
        assert result.ran is Ran.FALSE
        assert harness.pools.sent == []

    run_with_harness(lambda instance, nth: (5, good(instance)), body)
