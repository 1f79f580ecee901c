"""Which gathers are divided, and what becomes of parts that peers refuse, lose or delay."""

import random

import pytest
from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import Ran, Refused
from firtrestle.gather_splits import SET_ASIDE_TIME
from firtrestle.messages import Done, Relayed
from firtrestle.peers import PeerFailure
from firtrestle.relay_servers import MAX_RUNNING
from firtrestle.uplinks import UplinkState
from route_fakes import plain_route, scatter_route, unreachable
from split_fakes import (
    FROZEN,
    PART,
    REFUSALS,
    SHARDS,
    FixedWork,
    ask_timed,
    ask_until,
    fleet_of,
    local,
    route,
    run,
    services_of,
    shards_of_a_peer,
)

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


def test_two_parts_of_a_gather_are_run_by_different_peers_also_in_a_small_fleet():
    async def body(harness):
        fleet = fleet_of(harness, ("p1", "p3"))  # which belong to the same part of three
        for count in range(1, 10):
            await ask_timed(fleet)
            assert [len(peer.relays) for peer in fleet.peer_by_id.values()] == [count, count]

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
        fleet.daemon.tools.uplink.state = UplinkState.DOWN
        assert not any(map(gather._may_relay, services_of(fleet.peer_by_id["p2"].relays)))
        fleet.daemon.tools.uplink.state = UplinkState.UP
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


def test_a_part_that_its_peer_sent_to_no_instance_is_run_here_and_not_credited_again():
    async def body(harness):
        fleet = fleet_of(harness)
        for peer in fleet.peer_by_id.values():
            peer.pools.behave = lambda instance, nth: (1, unreachable())
        result, gather, _ = await ask_timed(fleet, route(least_coverage=0.5))
        assert isinstance(result, Answer)
        assert (result.missing, gather.attempt_summary.reason_by_service) == (0, {})
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
