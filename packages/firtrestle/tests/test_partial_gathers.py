"""Parts of gathers at the peers that run them."""

import random
from dataclasses import replace

import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import Refused
from firtrestle.part_relays import PartRelays
from route_fakes import good, unreachable
from split_fakes import (
    SHARDS,
    SLOW_SHARD,
    TOO_MANY,
    FixedWork,
    ask_timed,
    fleet_of,
    local,
    route,
    run,
    shards_of_a_peer,
)


def test_a_peer_that_stops_finishes_the_part_that_it_has():
    async def body(harness):
        fleet = fleet_of(harness)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_soon, fleet)
            result, _, _ = await ask_timed(fleet)
        assert result.missing == 0
        assert all(peer.state.running == 0 for peer in fleet.peer_by_id.values())

    async def stop_soon(fleet):
        await sleep(Millis(2))
        for peer in fleet.peer_by_id.values():
            peer.state.stopping = True

    run(body)


def test_one_service_that_is_lost_in_a_part_is_the_only_one_missing():
    async def body(harness):
        fleet = fleet_of(harness)
        for service in (f"s{number}" for number in range(SHARDS)):
            dead.clear()
            dead.add(service)
            result, gather, _ = await ask_timed(fleet)
            assert (result.missing, len(result.stamps)) == (1, SHARDS - 1)
            assert set(gather.attempt_summary.reason_by_service) == dead

    dead = set()

    def behave(instance, nth):
        return 1, unreachable() if instance.service in dead else good(instance)

    run(body, behave)


# Guards against a part being given up that the whole gather can do without in part.
def test_coverage_is_judged_over_the_whole_gather():
    async def body(harness):
        fleet = fleet_of(harness)
        result, _, _ = await ask_timed(fleet, route(least_coverage=0.9))
        assert isinstance(result, Answer)
        assert result.missing == 3

    dead = {f"s{shard}" for shard in shards_of_a_peer()[:3]}

    def behave(instance, nth):
        return (1, unreachable()) if instance.service in dead else (9, good(instance))

    run(body, behave)


def test_a_gather_without_a_chance_of_coverage_ends_with_its_parts():
    async def body(harness):
        fleet = fleet_of(harness)
        refused, _, took = await ask_timed(fleet)
        assert isinstance(refused, Refused)
        assert took < 50
        await sleep(Millis(1))
        assert all(peer.state.running == 0 for peer in fleet.peer_by_id.values())

    dead = {f"s{shard}" for shard in shards_of_a_peer()[:TOO_MANY]}

    def behave(instance, nth):
        return (1, unreachable()) if instance.service in dead else (500, good(instance))

    run(body, behave)


def test_parts_are_never_divided_further():
    async def call_third(member, relay, timeout):
        raise AssertionError("a part was divided")

    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            thirds = [local("x1"), local("x2"), local("x3")]
            clock, rng = harness.tools.clock, random.Random(1)
            peer.tools.splits = PartRelays("p", "dc", clock, rng, lambda t=thirds: t, call_third)
            peer.tools.work = FixedWork(10 * SLOW_SHARD)
        result, _, _ = await ask_timed(fleet)
        assert result.missing == 0

    run(body)


# Guards against earlier builds, which send no `others` and ignore it.
def test_a_relay_without_the_number_of_other_services_is_served():
    async def body(harness):
        fleet = fleet_of(harness)
        await ask_timed(fleet)
        peer = next(peer for peer in fleet.peer_by_id.values() if peer.relays)
        relay = peer.relays[0]
        assert relay.others == SHARDS - len(relay.services)
        assert not (await peer.server.serve(replace(relay, others=0))).refusal
        for others in (-1, "three", 2.5, None):
            assert (await peer.server.serve(replace(relay, others=others))).refusal

    run(body)
