"""Requests that a peer runs, whole or in part, and the promises that hold over both daemons."""

import math
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import pytest
import trio
from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.frames import unpack
from firtrestle.members import Member, MemberStatus
from firtrestle.messages import Done, Relayed, encode, new_unpacker
from firtrestle.peers import PeerFailure
from firtrestle.relay_servers import MAX_RUNNING, RelayServer
from firtrestle.relays import Relays
from firtrestle.repeat_budgets import RepeatBudgets
from firtrestle.uplinks import MAX_SILENCE, MAX_SILENCE_IF_CONNECTABLE, Uplink, UplinkState
from route_fakes import (
    TERMS,
    FakePools,
    RouteHarness,
    good,
    instances,
    lost,
    plain_route,
    record,
    run_with_harness,
    scatter_route,
    shed,
    unreachable,
)


def over_the_wire(message):
    ((_, decoded),) = unpack(new_unpacker(), encode(1, message))
    return decoded


@dataclass
class Peer:
    """Serve relays like a daemon; `interfere` may answer in its place."""

    server: RelayServer
    state: SimpleNamespace
    interfere: dict = field(default_factory=dict)  # by peer id
    asked: list = field(default_factory=list)
    relays: list = field(default_factory=list)

    async def call(self, member, relay, timeout):
        self.asked.append(member.id)
        self.relays.append(relay)
        if member.id in self.interfere:
            return self.interfere[member.id]
        with trio.move_on_after(timeout / 1_000):
            return over_the_wire(await self.server.serve(over_the_wire(relay)))
        return PeerFailure(True, "took too long")


class IdleLoop:
    was_idle = True
    suspensions = 0

    def __init__(self, clock):
        self.clock = clock
        self.busy_share = 0.0

    def busy_time(self):
        return Millis(self.clock.now() * self.busy_share)


def member(name):
    return Member(name, 1, MemberStatus.ALIVE, "dc", "h", 1, 2)


def cut_daemon(harness, peers=("p1",), state=UplinkState.DOWN):
    """Return a daemon without links to the instances, and its peers, which share the harness's."""
    tools = harness.tools
    loop = IdleLoop(tools.clock)
    serving_state = SimpleNamespace(table=harness.table, stopping=False, running=0)
    peer = Peer(RelayServer(replace(tools, loop=loop), serving_state), serving_state)
    peer.loop = loop
    uplink = Uplink(tools.clock, random.Random(2))
    uplink.state = state
    budgets = RepeatBudgets(TERMS, tools.clock, Millis(tools.clock.now() - 10_000))
    budgets.fleet_size = 1
    members = [member(name) for name in peers]
    relays = Relays("d0", tools.clock, random.Random(3), lambda: members, peer.call)
    cut = replace(tools, uplink=uplink, relays=relays, budgets=budgets)
    return RouteHarness(cut, harness.pools, harness.table), peer


async def ask_and_lose_links(harness, cut, route, after, are_sent=False):
    """Return the answer to a request during which the links are lost and the open calls fail."""
    calls = []
    start = harness.pools.start

    def start_recorded(instance, call, connections):
        calls.append(call)
        if are_sent:
            call.sent_at = harness.tools.clock.now()
        return start(instance, call, connections)

    async def lose_links():
        await sleep(after)
        cut.tools.uplink.state = UplinkState.DOWN
        for call in calls:
            call.fail("links lost")

    harness.pools.start = start_recorded
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose_links)
        answer, _ = await cut.ask(route)
    return answer


def test_a_whole_gather_is_run_by_a_peer():
    async def body(harness):
        cut, peer = cut_daemon(harness)
        answer, gather = await cut.ask(scatter_route(3))
        assert isinstance(answer, Answer)
        assert answer.body == record("s2") + record("s1") + record("s0")
        assert (len(answer.stamps), answer.missing) == (3, 0)
        assert (gather.attempt_summary.sent, gather.attempt_summary.relayed_to) == (3, "p1")
        assert len(harness.pools.sent) == 3
        assert peer.state.running == 0

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_only_what_the_answer_may_need_is_sent_back():
    async def body(harness):
        cut, peer = cut_daemon(harness)
        results = []
        call = peer.call

        async def observed(*arguments):
            results.append(await call(*arguments))
            return results[-1]

        cut.tools.relays._call_peer = observed
        route = scatter_route(3)
        answer, _ = await cut.ask(replace(route, merge=replace(route.merge, count=4)))
        assert sum(len(row[4]) for row in results[0].replies) == 4 * 16
        assert not any(row[3] for row in results[0].replies)
        assert len(answer.body) == 4 * 16
        assert len(answer.stamps) == 3

    def behave(instance, nth):
        return 5, replace(good(instance, *"abcdefgh"), headers=(("x-any", "value"),))

    run_with_harness(behave, body)


def test_the_peer_runs_only_the_services_that_lack_a_reply():
    """The links are lost after one of four services has replied."""

    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.UP)

        answer = await ask_and_lose_links(harness, cut, scatter_route(4), Millis(50))
        assert isinstance(answer, Answer)
        assert len(answer.stamps) == 4
        (relay,) = peer.relays
        assert sorted(relay.services) == ["s1", "s2", "s3"]
        assert relay.is_counted

    def behave(instance, nth):
        is_silent = instance.service != "s0" and instance.service not in asked_before
        asked_before.add(instance.service)
        return (math.inf if is_silent else 5), good(instance)

    asked_before = set()
    run_with_harness(behave, body, services=4)


def test_attempts_of_both_daemons_together_keep_to_the_route_s_maximum():
    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.UP)

        route = scatter_route(3, max_attempts=2, latency_target=Millis(10_000))
        await ask_and_lose_links(harness, cut, route, Millis(20), are_sent=True)
        assert [set(relay.tried.values()) for relay in peer.relays] == [{1}]
        assert len(harness.pools.sent) <= 3 * 2

    run_with_harness(lambda instance, nth: (math.inf, good(instance)), body, services=3)


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_request_that_may_have_reached_a_peer_is_not_sent_to_another(repeatable):
    async def body(harness):
        cut, peer = cut_daemon(harness, peers=("p1", "p2"))
        gone = PeerFailure(True, "the stream ended")
        peer.interfere = {"p1": gone, "p2": gone}
        refused, _ = await cut.ask(plain_route(repeatable=repeatable))
        assert isinstance(refused, Refused)
        assert refused.ran is Ran.UNKNOWN
        assert len(peer.asked) == 1

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


@pytest.mark.parametrize(
    "answer", [PeerFailure(False, "connecting failed"), Relayed(refusal="overloaded")]
)
def test_another_peer_is_asked_after_a_failure_to_connect_or_a_refusal(answer):
    async def body(harness):
        cut, peer = cut_daemon(harness, peers=("p1", "p2"))
        peer.interfere = {"p1": answer}
        for _ in range(4):
            assert isinstance((await cut.ask(plain_route()))[0], Answer)
        assert peer.asked.count("p1") <= 1
        assert len(harness.pools.sent) == 4

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


@pytest.mark.parametrize("peers", [(), ("p1", "p2")])
def test_a_request_that_no_peer_takes_is_refused_at_once_and_has_not_run(peers):
    async def body(harness):
        cut, peer = cut_daemon(harness, peers=peers)
        peer.state.stopping = True
        started_at = harness.tools.clock.now()
        refused, _ = await cut.ask(plain_route())
        assert (refused.kind, refused.ran) == (ErrorKind.NO_TARGET, Ran.FALSE)
        assert harness.tools.clock.now() == started_at
        assert harness.pools.sent == []

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


@pytest.mark.parametrize(
    ("reply", "ran"), [(shed, Ran.FALSE), (unreachable, Ran.FALSE), (lost, Ran.UNKNOWN)]
)
def test_what_the_peer_says_of_attempts_decides_whether_the_request_has_run(reply, ran):
    async def body(harness):
        cut, _ = cut_daemon(harness)
        refused, _ = await cut.ask(plain_route())
        assert refused.ran is ran

    run_with_harness(lambda instance, nth: (5, reply()), body)


@pytest.mark.parametrize("answer", [Done(False, "failed"), Relayed(replies=[["s0", 1]]), None])
def test_an_answer_that_can_t_be_read_leaves_open_whether_the_request_has_run(answer):
    async def body(harness):
        cut, peer = cut_daemon(harness)
        peer.interfere = {"p1": answer}
        refused, _ = await cut.ask(plain_route())
        assert refused.ran is Ran.UNKNOWN

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_malformed_relay_is_refused_and_nothing_is_sent():
    async def body(harness):
        cut, peer = cut_daemon(harness)
        await cut.ask(scatter_route(3))
        good_relay, sent_before = peer.relays[0], len(harness.pools.sent)
        for change in (
            {"services": []},
            {"services": ["s0", 7]},
            {"merge": [0, 16]},
            {"merge": []},
            {"headers": [["a"]]},
            {"body": "text"},
            {"left_ms": "soon"},
            {"tried": {"s0": "one"}},
            {"max_attempts": 0},
        ):
            assert (await peer.server.serve(replace(good_relay, **change))).refusal
        assert len(harness.pools.sent) == sent_before

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_peer_that_is_stopping_overloaded_or_cut_off_itself_refuses():
    async def body(harness):
        cut, peer = cut_daemon(harness)
        await cut.ask(scatter_route(3))
        relay, server = peer.relays[0], peer.server

        async def refusal():
            return (await server.serve(relay)).refusal

        assert await refusal() == ""
        peer.state.stopping = True
        assert await refusal() == "stopping"
        peer.state.stopping = False
        server.running = MAX_RUNNING
        assert await refusal() == "overloaded"
        server.running = 0
        peer.loop.busy_share = 0.95
        await sleep(Millis(10_000))
        assert await refusal() == "overloaded"
        peer.loop.busy_share = 0.0
        for state in (UplinkState.SUSPECT, UplinkState.DOWN, UplinkState.TRIAL):
            harness.tools.uplink.state = state
            assert await refusal() == "no links to the instances"
        harness.tools.uplink.state = UplinkState.UP
        harness.tools.uplink.check(instances(2))
        assert await refusal() == "no links to the instances"

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


# Guards against one service, over connections that are accepted and hang, hiding lost links.
def test_a_request_for_a_service_that_is_long_silent_here_is_compared_by_a_peer():
    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.UP)
        uplink = cut.tools.uplink
        silent = [instance for instance in instances(6, 3) if instance.service == "s0"]
        await sleep(MAX_SILENCE)
        uplink.check(silent)
        await sleep(MAX_SILENCE_IF_CONNECTABLE)
        answer, gather = await cut.ask(plain_route())
        assert isinstance(answer, Answer)
        assert (peer.asked, gather.attempt_summary.sent) == (["p1"], 1)
        assert uplink.state is UplinkState.DOWN

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_request_to_be_compared_runs_here_if_no_peer_takes_it():
    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.UP)
        peer.state.stopping = True
        await sleep(MAX_SILENCE)
        cut.tools.uplink.check(instances(2, 1))
        await sleep(MAX_SILENCE_IF_CONNECTABLE)
        answer, gather = await cut.ask(plain_route())
        assert isinstance(answer, Answer)
        assert (peer.asked, gather.attempt_summary.relayed_to) == (["p1"], "")
        assert cut.tools.uplink.state is UplinkState.UP

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_relay_goes_over_one_hop_only():
    """The peer loses its links while it runs a relay, and has peers of its own."""

    async def body(harness):
        asked = []

        async def call_third(third, relay, timeout):
            asked.append(third.id)
            return Relayed(refusal="none")

        clock = harness.tools.clock
        thirds = Relays("p1", clock, random.Random(1), lambda: [member("p3")], call_third)
        harness.tools.relays = thirds
        cut, _ = cut_daemon(harness)

        async def lose_links():
            await sleep(Millis(20))
            harness.tools.uplink.state = UplinkState.DOWN

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lose_links)
            refused, _ = await cut.ask(scatter_route(3))
        assert isinstance(refused, Refused)
        assert asked == []

    run_with_harness(lambda instance, nth: (50, unreachable()), body)


def test_a_relay_is_counted_towards_the_repeat_budgets_once_over_both_daemons():
    async def body(harness):
        cut, _ = cut_daemon(harness)
        await cut.ask(scatter_route(3))

        def requests(tools):
            return tools.budgets.for_service("s0")._requests._total()

        assert (requests(cut.tools), requests(harness.tools)) == (0, 1)

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_peer_stops_its_attempts_when_the_caller_leaves():
    async def body(harness):
        cut, peer = cut_daemon(harness)
        with trio.move_on_after(0.1):
            await cut.ask(scatter_route(3))
        assert peer.state.running == 0
        assert all(record.in_flight == 0 for record in harness.tools.replicas.by_id.values())

    run_with_harness(lambda instance, nth: (math.inf, good(instance)), body)


def test_the_deadline_of_a_relay_ends_before_that_of_its_request():
    async def body(harness):
        cut, peer = cut_daemon(harness)
        await cut.ask(scatter_route(3), time_left=400)
        assert 0 < peer.relays[0].left_ms < 400

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_requests_of_a_daemon_are_spread_over_its_peers():
    async def body(harness):
        cut, peer = cut_daemon(harness, peers=[f"p{number}" for number in range(12)])
        for _ in range(80):
            await cut.ask(plain_route())
        assert len(set(peer.asked)) == 4
        assert max(peer.asked.count(name) for name in set(peer.asked)) <= 40

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


@pytest.mark.parametrize("gathered", [True, False])
def test_services_that_are_not_reached_from_here_are_run_by_a_peer(gathered):
    """Open connections work, and new ones fail: all instances of s0 are unreachable from here."""

    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.UP)
        pools = FakePools(harness.pools.nursery, behave_here, cut.tools.uplink)
        cut = RouteHarness(replace(cut.tools, pools=pools), pools, harness.table)
        route = scatter_route(4, least_coverage=1.0) if gathered else plain_route()
        answer, gather = await cut.ask(route)
        assert isinstance(answer, Answer)
        assert answer.missing == 0
        assert [relay.services for relay in peer.relays] == [["s0"]]
        assert gather.attempt_summary.reason_by_service == {}

    def behave_here(instance, nth):
        return 1, unreachable() if instance.service == "s0" else good(instance)

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=4)


def test_another_peer_is_asked_if_the_first_reaches_no_instance_either():
    async def body(harness):
        cut, peer = cut_daemon(harness, peers=("p1", "p2", "p3"))
        unreached = Relayed(reasons={"s0": "unreachable"}, sent=3)
        peer.interfere = {"p1": unreached, "p2": unreached}
        for _ in range(10):
            answer, _ = await cut.ask(plain_route())
            assert isinstance(answer, Answer)
        assert "p1" in peer.asked

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_service_that_no_daemon_reaches_is_seldom_relayed():
    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.UP)
        for _ in range(20):
            answer, _ = await cut.ask(scatter_route(10))
            assert isinstance(answer, Answer)
            assert answer.missing == 1
        assert len(peer.relays) == 1

    def behave(instance, nth):
        return 1, unreachable() if instance.service == "s0" else good(instance)

    run_with_harness(behave, body)


def test_links_on_trial_are_tried_beside_the_relay_and_the_caller_does_not_wait():
    """One service is asked from here as well; nothing replies to that."""

    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.TRIAL)
        pools = FakePools(harness.pools.nursery, never, cut.tools.uplink)
        cut = RouteHarness(replace(cut.tools, pools=pools), pools, harness.table)
        started_at = harness.tools.clock.now()
        answer, gather = await cut.ask(scatter_route(3))
        assert isinstance(answer, Answer)
        assert harness.tools.clock.now() - started_at <= 5
        assert len(pools.sent) == 1
        assert sum(peer.relays[0].tried.values()) == 1
        assert gather.attempt_summary.sent == 4
        await cut.ask(plain_route())
        await cut.ask(scatter_route(3, max_attempts=1))
        assert len(pools.sent) == 1

    def never(instance, nth):
        return math.inf, good(instance)

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_reply_to_a_trial_brings_the_links_back():
    async def body(harness):
        cut, _ = cut_daemon(harness, state=UplinkState.TRIAL)
        pools = FakePools(harness.pools.nursery, harness.pools.behave, cut.tools.uplink)
        cut = RouteHarness(replace(cut.tools, pools=pools), pools, harness.table)
        await cut.ask(scatter_route(3))
        await sleep(Millis(10))
        assert cut.tools.uplink.state is UplinkState.UP

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


@pytest.mark.parametrize("state", [UplinkState.TRIAL, UplinkState.UP])
def test_a_request_that_no_peer_takes_is_run_here_while_the_links_may_be_back(state):
    """The links are on trial, or have returned just now."""

    async def body(harness):
        cut, peer = cut_daemon(harness, peers=("p1", "p2"), state=state)
        cut.tools.uplink.losses = 1
        peer.state.stopping = True
        for route in (plain_route(), scatter_route(3)):
            answer, gather = await cut.ask(route)
            assert isinstance(answer, Answer)
            assert gather.attempt_summary.relayed_to == ""

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


# Guards against requests being sent over new connections that are known to fail.
def test_services_without_an_open_connection_are_run_by_a_peer_while_no_new_one_opens():
    async def body(harness):
        cut, peer = cut_daemon(harness, state=UplinkState.UP)
        cut.tools.uplink.opens = False
        harness.pools.connected |= {"s0-0", "s1-0", "s1-1", "s1-2"}
        answer, gather = await cut.ask(scatter_route(3))
        assert (len(answer.stamps), answer.missing) == (3, 0)
        assert gather.attempt_summary.relayed_to == "p1"
        assert [relay.services for relay in peer.relays] == [["s2"]]
        assert harness.pools.sent[0] == "s0-0"
        assert len(harness.pools.sent) == 3

    run_with_harness(lambda instance, nth: (5, good(instance)), body, services=3)


@pytest.mark.parametrize("peers", [("p1",), ()])
def test_a_request_that_needs_a_new_connection_is_not_tried_while_none_opens(peers):
    async def body(harness):
        cut, peer = cut_daemon(harness, peers, UplinkState.UP)
        cut.tools.uplink.opens = False
        harness.pools.connected |= {"s0-0", "s0-1", "s0-2"}
        answer, gather = await cut.ask(plain_route())
        assert peer.asked == list(peers)
        assert len(harness.pools.sent) == len(peers)
        if peers:
            assert answer.body == record("s0")
        else:
            assert (answer.kind, answer.ran) == (ErrorKind.NO_TARGET, Ran.FALSE)

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


def test_a_peer_that_opens_no_connections_refuses_relays():
    async def body(harness):
        cut, peer = cut_daemon(harness)
        harness.tools.uplink.opens = False
        answer, _ = await cut.ask(scatter_route(3))
        assert isinstance(answer, Refused)
        assert answer.ran is Ran.FALSE
        assert harness.pools.sent == []

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


# Guards against a peer's word that an instance failed after a run, passed on as "not run".
@pytest.mark.parametrize("says_so", [True, False])
def test_a_failure_that_a_peer_relays_may_have_run(says_so):
    async def body(harness):
        cut, peer = cut_daemon(harness)
        failure = [503, "stamp", [], b"failed"]
        peer.interfere["p1"] = Relayed(
            reasons={"s0": "refused"}, failure=failure, sent=1, may_have_run=says_so
        )
        answer, gather = await cut.ask(plain_route())
        assert (answer.status, answer.ran) == (503, Ran.UNKNOWN)
        assert gather.attempt_summary.relayed_to == "p1"

    run_with_harness(lambda instance, nth: (5, good(instance)), body)
