"""Gathers of which peers run parts, and the promises that hold over all daemons."""

import math
import random
from dataclasses import replace

import pytest
import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import Ran, Refused
from firtrestle.gather_splits import SET_ASIDE_TIME, part_of, shards_by_part
from firtrestle.messages import Done, Relayed
from firtrestle.part_relays import PartRelays
from firtrestle.peers import PeerFailure
from firtrestle.relay_servers import MAX_RUNNING
from firtrestle.relays import Relays
from firtrestle.routes import TopRecords
from firtrestle.split_gathers import SplitGather, expected_shards
from firtrestle.uplinks import UplinkState
from loguru import logger
from route_fakes import good, lost, plain_route, run_with_harness, scatter_route, shed, unreachable
from split_fakes import FROZEN, PART, SHARDS, SLOW_SHARD, TOO_MANY, FixedWork, fleet_of, local

REFUSALS = [PeerFailure(False, "connecting failed"), Relayed(refusal="overloaded")]
NONSENSE = [
    Done(False, "failed"),
    None,
    Relayed(replies=[["s0", 1]]),
    Relayed(replies=7),
    Relayed(replies=[["other", 200, "stamp", [], b""]]),
    Relayed(reasons=["s0"]),
    Relayed(reasons={"s0": ["unreachable"]}),
    Relayed(hedges="many"),
    Relayed(sent=-3),
]


def answer_all(instance, nth):
    return 5, good(instance)


def run(body, behave=answer_all, services=SHARDS):
    run_with_harness(behave, body, services=services)


def route(**changes):
    return scatter_route(SHARDS, **changes)


async def ask_timed(fleet, asked_route=None, **options):
    """Return the result of a request, its gather and the time that it took."""
    started_at = fleet.daemon.tools.clock.now()
    result, gather = await fleet.daemon.ask(asked_route or route(), **options)
    return result, gather, fleet.daemon.tools.clock.now() - started_at


def services_of(relays):
    return [service for relay in relays for service in relay.services]


def shards_of_a_peer():
    """Return the shards of one of the four parts that peers run."""
    shards = shards_by_part(tuple(f"s{number}" for number in range(SHARDS)), 4)
    return next(shards[part] for part in range(4) if part != part_of("d0", 4))


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


def disable(fleet):
    fleet.daemon.tools.splits.is_enabled = False


def know_one_peer(fleet):
    del fleet.members[1:]


def know_remote_peers(fleet):
    fleet.members[1:] = [local(f"far{number}", "other") for number in range(5)]


def lose_estimate(fleet):
    fleet.daemon.tools.work = FixedWork(None)


def be_fast(fleet):
    # 48 x 0.78 ms are just below a quarter of the target of 150 ms.
    fleet.daemon.tools.work = FixedWork(0.78)


def doubt_links(fleet):
    fleet.daemon.tools.uplink.state = UplinkState.SUSPECT


def open_none(fleet):
    fleet.daemon.tools.uplink.opens = False
    fleet.daemon.pools.connected |= {f"s{number}-0" for number in range(SHARDS)}


def doubt_opening(fleet):
    for number in range(2):
        instance = fleet.daemon.tools.instances.serving(f"s{number}")[0]
        fleet.daemon.tools.uplink.record_failure(instance, is_new=True)


def just_returned(fleet):
    fleet.daemon.tools.uplink.losses = 1


@pytest.mark.parametrize(
    "change",
    [
        disable,
        know_one_peer,
        know_remote_peers,
        lose_estimate,
        be_fast,
        doubt_links,
        open_none,
        doubt_opening,
        just_returned,
    ],
)
def test_nothing_is_divided_where_that_is_not_due_or_not_safe(change):
    async def body(harness):
        fleet = fleet_of(harness)
        change(fleet)
        fleet.daemon.tools.uplink._rng = random.Random(1)
        answer, gather, _ = await ask_timed(fleet)
        assert isinstance(answer, Answer)
        assert (fleet.daemon.tools.splits.divided, gather._split) == (0, None)

    run(body)


@pytest.mark.parametrize(
    ("asked", "options"),
    [
        (plain_route(), {}),
        (plain_route(repeatable=True), {}),
        (route(repeatable=False), {}),
        (scatter_route(23), {}),  # too few shards for two parts
        (route(), {"time_left": 12}),
    ],
)
def test_requests_that_may_not_or_need_not_be_divided_run_here(asked, options):
    async def body(harness):
        fleet = fleet_of(harness, work=400.0)
        await ask_timed(fleet, asked, **options)
        assert fleet.asked() == []

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


@pytest.mark.parametrize("answer", REFUSALS)
def test_a_part_that_a_peer_refuses_or_does_not_get_is_run_here(answer):
    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            peer.answer = answer
        result, gather, took = await ask_timed(fleet)
        assert isinstance(result, Answer)
        assert (result.missing, took) == (0, 5)
        assert set(fleet.sends_by_service().values()) == {1}
        assert len(fleet.daemon.pools.sent) == SHARDS
        assert gather.attempt_summary.relayed_to == ""
        assert fleet.daemon.tools.splits.refused == 3
        assert {fleet.credits(f"s{number}") for number in range(SHARDS)} == {1}

    run(body)


def test_peers_that_refused_are_set_aside_and_the_gather_is_whole_without_them():
    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            peer.answer = REFUSALS[1]
        for _ in range(3):
            await ask_timed(fleet)
        assert len(fleet.asked()) <= 4
        asked_before = len(fleet.asked())
        await sleep(SET_ASIDE_TIME)
        await ask_timed(fleet)
        assert len(fleet.asked()) == asked_before + 3

    run(body)


def stop(peer):
    peer.state.stopping = True


def fill(peer):
    peer.server.running = MAX_RUNNING


def lose_links(peer):
    peer.tools.uplink.state = UplinkState.DOWN


@pytest.mark.parametrize("trouble", [stop, fill, lose_links])
def test_a_peer_in_trouble_refuses_its_part_by_the_check_of_relays(trouble):
    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            trouble(peer)
        result, _, _ = await ask_timed(fleet)
        assert isinstance(result, Answer)
        assert result.missing == 0
        assert all(peer.pools.sent == [] for peer in fleet.peer_by_id.values())
        assert fleet.daemon.tools.splits.refused == 3

    run(body)


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


# Guards against sub-requests running twice, or more often than a route allows.
@pytest.mark.parametrize("answer", [PeerFailure(True, "the stream ended"), *NONSENSE])
def test_the_part_of_a_lost_peer_is_missing_and_not_sent_again(answer):
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p1"].answer = answer
        await ask_until(fleet, "p1", route(least_coverage=0.5))
        lost_services = services_of(fleet.peer_by_id["p1"].relays)
        result, gather = fleet.last
        assert isinstance(result, Answer)
        assert result.missing == len(lost_services) == PART
        assert not gather.reply_by_service.keys() & set(lost_services)
        assert not fleet.last_sends.keys() & set(lost_services)
        assert gather.attempt_summary.may_have_run
        assert fleet.daemon.tools.splits.lost == 1
        await ask_timed(fleet)
        assert len(fleet.peer_by_id["p1"].relays) == 1

    run(body)


async def ask_until(fleet, peer_id, asked_route, **options):
    """Send requests until one is divided with a part for a given peer; keep the last result."""
    for _ in range(30):
        before = len(fleet.peer_by_id[peer_id].relays)
        sends = fleet.sends_by_service()
        result, gather, fleet.took = await ask_timed(fleet, asked_route, **options)
        fleet.last = result, gather
        fleet.last_sends = fleet.sends_by_service() - sends
        if len(fleet.peer_by_id[peer_id].relays) > before:
            return
    raise AssertionError(f"{peer_id} was never asked")


@pytest.mark.parametrize("answer", [PeerFailure(True, "the stream ended"), FROZEN])
def test_a_gather_that_a_lost_part_leaves_uncovered_may_have_run(answer):
    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            peer.answer = answer
        refused, gather, _ = await ask_timed(fleet)
        assert isinstance(refused, Refused)
        assert refused.ran is Ran.UNKNOWN
        assert set(services_of(fleet.relays())) <= set(gather.attempt_summary.reason_by_service)
        assert set(fleet.sends_by_service().values()) == {1}

    run(body)


def test_a_gather_ends_at_once_when_lost_parts_leave_it_uncovered():
    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            peer.answer = PeerFailure(True, "the stream ended")
        _, _, took = await ask_timed(fleet)
        assert took < 5

    run(body)


def test_the_part_of_a_frozen_peer_is_missing_when_the_answer_is_due():
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p2"].answer = FROZEN
        await ask_until(fleet, "p2", route(least_coverage=0.6))
        result, gather = fleet.last
        assert isinstance(result, Answer)
        assert result.missing == PART
        assert fleet.took == pytest.approx(130)  # the target of 150 ms, less what is unseen
        assert set(map(str, gather.attempt_summary.reason_by_service.values())) == {"deadline"}
        assert gather.attempt_summary.sent == SHARDS - PART + 1
        await ask_timed(fleet)
        assert len(fleet.peer_by_id["p2"].relays) == 1

    run(body)


def test_a_gather_that_needs_the_part_of_a_frozen_peer_waits_until_its_deadline():
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p2"].answer = FROZEN
        await ask_until(fleet, "p2", route(), time_left=400)
        assert fleet.last[0].ran is Ran.UNKNOWN
        assert fleet.took == pytest.approx(400)

    run(body)


@pytest.mark.parametrize(("delay", "is_slow"), [(50, False), (135, True)])
def test_a_slow_peer_is_set_aside(delay, is_slow):
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p4"].delay = Millis(delay)
        await ask_until(fleet, "p4", route(least_coverage=1.0))
        assert fleet.last[0].missing == 0
        asked_before = len(fleet.peer_by_id["p4"].relays)
        for _ in range(3):
            await ask_timed(fleet)
        assert (len(fleet.peer_by_id["p4"].relays) == asked_before) is is_slow

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


@pytest.mark.parametrize("reply", [shed, lost])
def test_attempts_and_repeats_of_all_daemons_together_keep_to_their_bounds(reply):
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p4"].answer = REFUSALS[0]
        for _ in range(10):
            sends = fleet.sends_by_service()
            await ask_timed(fleet)
            assert max((fleet.sends_by_service() - sends).values()) <= 2
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


def test_a_part_that_its_peer_sent_to_no_instance_is_run_here_and_not_credited_again():
    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            peer.pools.behave = lambda instance, nth: (1, unreachable())
        result, _, _ = await ask_timed(fleet, route(least_coverage=0.5))
        assert isinstance(result, Answer)
        assert result.missing == 0
        assert {fleet.credits(f"s{number}") for number in range(SHARDS)} == {1}

    run(body)


# Guards against services being asked again although their replies are here.
def test_a_peer_that_gives_replies_and_says_that_nothing_ran_is_not_believed():
    async def body(harness):
        fleet = fleet_of(harness)
        services = {f"s{shard}" for shard in shards_of_a_peer()}
        replies = [[service, 200, "stamp", [], b""] for service in services]
        for peer in fleet.peer_by_id.values():
            peer.answer = Relayed(replies=replies)
        _, gather, _ = await ask_timed(fleet, route(least_coverage=0.2))
        assert services <= gather.reply_by_service.keys()
        assert not services & fleet.sends_by_service().keys()

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
