"""Gathers of which peers run parts, and the promises that hold over all daemons."""

import math

import pytest
import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import Ran, Refused
from firtrestle.gather_splits import SET_ASIDE_TIME, part_of
from firtrestle.messages import Relayed
from firtrestle.peers import PeerFailure
from firtrestle.relays import Relays
from firtrestle.routes import TopRecords
from firtrestle.split_gathers import SplitGather, expected_shards
from firtrestle.uplinks import UplinkState
from loguru import logger
from route_fakes import good, lost, plain_route, scatter_route, shed, unreachable
from split_fakes import (
    PART,
    REFUSALS,
    SHARDS,
    SLOW_SHARD,
    TOO_MANY,
    FixedWork,
    answer_all,
    ask_timed,
    ask_until,
    fleet_of,
    route,
    run,
    services_of,
)


def test_each_shard_is_asked_once_and_the_answer_is_that_of_an_undivided_gather():
    async def body(harness):
        fleet = fleet_of(harness)
        whole, _ = await fleet_of(harness, work=None).daemon.ask(route())
        answer, gather, _ = await ask_timed(fleet)
        assert (answer.body, answer.missing) == (whole.body, 0)
        assert len(set(answer.stamps)) == SHARDS
        assert set(fleet.sends_by_service().values()) == {1}
        assert len(fleet.sends_by_service()) == SHARDS
        assert len(fleet.daemon.pools.sent) == SHARDS // 4
        assert sorted(gather.attempt_summary.relayed_to.split(",")) == sorted(fleet.asked())
        assert gather.attempt_summary.sent == SHARDS
        assert len(set(fleet.asked())) == 3

    run(body)


def test_the_peers_work_at_the_same_time_as_this_daemon():
    async def body(harness):
        _, _, took = await ask_timed(fleet_of(harness))
        assert took == pytest.approx(20)

    run(body, lambda instance, nth: (20, good(instance)))


# Guards against peers that start to work only after a slow daemon has sent its own requests.
def test_the_peers_get_their_parts_before_this_daemon_sends_its_own_requests():
    async def body(harness):
        fleet = fleet_of(harness)
        sent_before = []
        for peer in fleet.peer_by_id.values():
            serve = peer.call

            async def call(relay, timeout, serve=serve):
                sent_before.append(len(fleet.daemon.pools.sent))
                return await serve(relay, timeout)

            peer.call = call
        await ask_timed(fleet)
        assert sent_before == [0, 0, 0]

    run(body)


# Guards against a request that crashes instances reaching several daemons at once.
def test_a_suspected_request_is_not_divided():
    async def body(harness):
        fleet = fleet_of(harness)
        crashes = fleet.daemon.tools.crashes
        _, gather, _ = await ask_timed(fleet, plain_route())
        for number in range(2):
            replica_id = fleet.daemon.tools.instances.serving(f"s{number}")[0].replica_id
            crashes.record_broken_reply(gather._request.fingerprint, replica_id, True)
        await ask_timed(fleet)
        assert fleet.asked() == []
        await ask_timed(fleet)  # an instance has answered it by now
        assert len(fleet.asked()) == 3

    run(body)


# Guards against refusals that say "not run" becoming impossible, as parts were sent in vain.
def test_a_gather_that_can_not_be_covered_is_refused_before_anything_is_sent():
    async def body(harness):
        fleet = fleet_of(harness)
        for number in range(TOO_MANY):
            for copy in range(3):
                harness.tools.instances.remove(f"s{number}-{copy}", 2)
        harness.tools.instances.expire()
        await sleep(Millis(10_000))
        harness.tools.instances.expire()
        assert not harness.tools.instances.serving("s0")
        refused, _, _ = await ask_timed(fleet)
        assert isinstance(refused, Refused)
        assert refused.ran is Ran.FALSE
        assert (fleet.asked(), dict(fleet.sends_by_service())) == ([], {})

    run(body)


def test_the_peers_stop_their_attempts_when_the_caller_leaves():
    async def body(harness):
        fleet = fleet_of(harness)
        with trio.move_on_after(0.05):
            await ask_timed(fleet)
        await sleep(Millis(1))
        assert len(fleet.sends_by_service()) == SHARDS
        assert all(peer.state.running == 0 for peer in fleet.peer_by_id.values())
        assert all(record.in_flight == 0 for record in harness.tools.replicas.by_id.values())
        standings = fleet.daemon.tools.splits._standings
        assert all(standing.running == 0 for standing in standings._by_id.values())

    run(body, lambda instance, nth: (math.inf, good(instance)))


# Guards against work that goes on at peers after the answer was sent.
def test_the_peers_stop_their_attempts_when_the_answer_leaves():
    async def body(harness):
        fleet = fleet_of(harness)
        result, _, _ = await ask_timed(fleet, route(least_coverage=0.5))
        await sleep(Millis(1))
        assert result.missing == len(silent)
        assert all(peer.state.running == 0 for peer in fleet.peer_by_id.values())
        assert all(record.in_flight == 0 for record in harness.tools.replicas.by_id.values())

    silent = {"s1", "s7", "s20"}

    def behave(instance, nth):
        return (math.inf if instance.service in silent else 5), good(instance)

    run(body, behave)


# Guards against a gather that is ended from outside, with parts at peers, counting as not run.
def test_a_part_without_an_answer_may_have_run_at_any_time():
    async def body(harness):
        fleet = fleet_of(harness)
        gathers = []
        fleet.daemon.pools.behave = lambda instance, nth: (1, unreachable())
        with trio.move_on_after(0.05):
            await ask_kept(fleet, gathers)
        assert gathers[0].attempt_summary.may_have_run
        sent = gathers[0].attempt_summary.sent
        assert sent == gathers[0].attempt_summary.not_run_count + 3

    async def ask_kept(fleet, gathers):
        collect = SplitGather.collect
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                SplitGather, "collect", lambda gather: gathers.append(gather) or collect(gather)
            )
            await ask_timed(fleet, route(least_coverage=0.2))

    run(body, lambda instance, nth: (math.inf, good(instance)))


# Guards against an estimate of this daemon's work that counts what peers have worked on.
def test_the_work_done_here_leaves_out_what_peers_have_done():
    async def body(harness):
        fleet = fleet_of(harness)
        _, gather, _ = await ask_timed(fleet)
        assert gather.work_done == PART
        _, whole, _ = await ask_timed(fleet_of(harness, work=None))
        assert whole.work_done == SHARDS
        for peer in fleet.peer_by_id.values():
            peer.answer = Relayed(refusal="stopping")
        _, refused, _ = await ask_timed(fleet)
        assert refused.work_done == SHARDS

    run(body)


def test_the_shards_that_this_daemon_will_run_are_known_before_the_gather():
    async def body(harness):
        fleet = fleet_of(harness)
        tools = fleet.daemon.tools
        _, gather, _ = await ask_timed(fleet)
        request, services = gather._request, gather._services
        assert expected_shards(tools, request, services) == PART
        assert expected_shards(tools, request, services[:1]) == 1
        assert len(fleet.asked()) == 3
        tools.work = FixedWork(None)
        assert expected_shards(tools, request, services) == SHARDS

    run(body)


# A request that was shed has not run, so that each of the three instances may be asked; one whose
# reply was lost runs twice at most.
@pytest.mark.parametrize(("reply", "most"), [(shed, 3), (lost, 2)])
def test_attempts_and_repeats_of_all_daemons_together_keep_to_their_bounds(reply, most):
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p4"].answer = REFUSALS[0]
        for _ in range(10):
            sends = fleet.sends_by_service()
            await ask_timed(fleet)
            assert max((fleet.sends_by_service() - sends).values()) <= most
        for number in range(SHARDS):
            assert fleet.credits(f"s{number}") <= 10

    run(body, lambda instance, nth: (1, reply()))


def test_each_service_is_credited_once_per_request_over_all_daemons():
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p1"].answer = Relayed(refusal="stopping")
        for count in range(1, 8):
            await ask_timed(fleet)
            assert {fleet.credits(f"s{number}") for number in range(SHARDS)} == {count}
        assert fleet.daemon.tools.splits.refused > 0

    run(body)


# Guards against shards waiting for a proof that a peer has already given.
def test_shards_that_broke_off_here_are_retried_once_a_peer_has_an_answer():
    async def body(harness):
        fleet = fleet_of(harness, behave=lambda instance, nth: (20, good(instance)))
        broken = set()

        def behave(instance, nth):
            if instance.service in broken:
                return 5, good(instance)
            if not broken:
                broken.add("first")
                return 60, good(instance)
            broken.add(instance.service)
            return 1, lost()

        fleet.daemon.pools.behave = behave
        result, gather, took = await ask_timed(fleet)
        assert result.missing == 0
        assert took == pytest.approx(60)

    run(body)


# Guards against services that peers have run being relayed once more as this daemon's links fail.
def test_links_that_are_lost_meanwhile_leave_only_the_own_shards_to_other_peers():
    async def body(harness):
        fleet = fleet_of(harness, behave=answer_all)
        tools = fleet.daemon.tools
        calls = []
        start = fleet.daemon.pools.start

        def start_recorded(instance, call, connections):
            calls.append(call)
            return start(instance, call, connections)

        async def lose_own_links():
            await sleep(Millis(2))
            tools.uplink.state = UplinkState.DOWN
            for call in calls:
                call.sent_at = None
                call.fail("links lost")

        fleet.daemon.pools.start = start_recorded
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lose_own_links)
            result, _, _ = await ask_timed(fleet)
        assert isinstance(result, Answer)
        assert result.missing == 0
        assert sorted(services_of(fleet.relays())) == sorted(f"s{n}" for n in range(SHARDS))

    run(body)


def test_daemons_with_different_views_of_the_members_both_answer():
    async def body(harness):
        first = fleet_of(harness, ("p1", "p2", "p3"), own_id="d0")
        second = fleet_of(harness, ("p3", "gone1", "gone2"), own_id="p3")
        for name in ("gone1", "gone2"):
            second.peer_by_id[name].answer = PeerFailure(False, "connecting failed")
        for _ in range(5):
            for fleet in (first, second):
                result, _, _ = await ask_timed(fleet)
                assert result.missing == 0
            await sleep(SET_ASIDE_TIME)
        parts = {frozenset(relay.services) for f in (first, second) for relay in f.relays()}
        assert len(parts) <= 4  # the same parts, whoever divides

    run(body)


def test_a_half_core_daemon_with_90_shards_lets_one_peer_run_half_of_them():
    async def body(harness):
        fleet = fleet_of(harness, tuple(f"p{number}" for number in range(27)), work=0.45)
        asked = scatter_route(90, latency_target=Millis(97), merge=TopRecords(90))
        result, _, _ = await ask_timed(fleet, asked)
        assert (result.missing, len(result.body)) == (0, 90 * 16)
        assert [len(relay.services) for relay in fleet.relays()] == [45]
        (peer,) = fleet.asked()
        assert part_of(peer, 2) != part_of("d0", 2)

    run(body, services=90)


def test_a_daemon_that_turns_five_times_slower_lets_peers_run_most_of_its_next_gather():
    async def body(harness):
        fleet = fleet_of(harness, tuple(f"p{number}" for number in range(27)), work=0.4)
        asked = scatter_route(90, latency_target=Millis(150))
        await ask_timed(fleet, asked)
        assert fleet.asked() == []
        fleet.daemon.tools.work = FixedWork(5 * 0.4)
        await ask_timed(fleet, asked)
        assert len(fleet.asked()) == 3

    run(body, services=90)


# Guards against hedges for replies that a slow daemon has not read, as peers' replies are in.
def test_shards_that_peers_have_answered_do_not_bring_the_hedges_of_the_others_forward():
    async def body(harness):
        fleet = fleet_of(harness, behave=answer_all)
        fleet.daemon.pools.behave = lambda instance, nth: (70, good(instance))
        result, gather, _ = await ask_timed(fleet)
        assert (result.missing, gather.attempt_summary.hedges) == (0, 0)

    run(body)


def test_a_divided_gather_is_logged_with_its_parts():
    records = []

    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p1"].answer = Relayed(refusal="stopping")
        await ask_until(fleet, "p1", route())

    handler = logger.add(lambda message: records.append(message.record), level="INFO")
    try:
        run(body)
    finally:
        logger.remove(handler)
    divided = [record["extra"] for record in records if record["message"] == "gather divided"][-1]
    assert divided["request_id"].startswith("r")
    assert (divided["shards"], divided["work_ms"]) == (SHARDS, SHARDS * SLOW_SHARD)
    assert (divided["services_here"], divided["replies_here"]) == (2 * PART, 2 * PART)
    by_peer = {part["peer"]: part for part in divided["parts"]}
    assert by_peer.pop("p1")["outcome"] == "refused: stopping"
    assert [part["outcome"] for part in by_peer.values()] == ["answered"] * 2
    assert all(part["replies"] == part["services"] == PART for part in by_peer.values())
    assert all(part["took_ms"] == 5 for part in by_peer.values())


def test_relays_of_lost_links_keep_their_terms():
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.daemon.tools.uplink.state = UplinkState.DOWN
        assert isinstance(fleet.daemon.tools.relays, Relays)
        result, gather, _ = await ask_timed(fleet)
        assert result.missing == 0
        assert [relay.others for relay in fleet.relays()] == [0]
        assert gather._split is None

    run(body)
