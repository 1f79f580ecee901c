"""Test what callers and peers of a daemon get whose processor is short, without a network."""

import itertools
import random
from dataclasses import replace

import pytest
import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.crash_records import CrashRecords
from firtrestle.errors import ErrorKind, Ran
from firtrestle.gossip_maps import GossipMap
from firtrestle.http_servers import HttpRequest, HttpResponse
from firtrestle.instance_replies import CallerMessage
from firtrestle.messages import Relay
from firtrestle.registry_readers import RegistryProgress
from firtrestle.relay_messages import RelayTerms, decode_relay, encode_relay
from firtrestle.relay_servers import RelayServer
from firtrestle.route_fronts import DecodedRequest, RouteFront, RouteState
from firtrestle.routed_requests import RoutedRequest
from firtrestle.routes import RouteTable
from route_fakes import good, plain_route, run_with_harness, scatter_route

SHARDS = 10
COST = 5.0  # of a sub-request, in ms
URGENT = scatter_route(SHARDS, name="u", prefix="/u/", latency_target=Millis(150))
PATIENT = scatter_route(
    SHARDS, name="p", prefix="/p/", latency_target=Millis(1_500), timeout=Millis(15_000), priority=2
)
SINGLE = plain_route(name="s", prefix="/s/", priority=1)


class BusyLoop:
    """Represent an event loop that never waits for input."""

    was_idle = False
    suspensions = 0

    def __init__(self, clock):
        self._clock = clock

    def busy_time(self):
        return self._clock.now()


class Codec:
    """Pass requests through, and keep the refusals as they are."""

    def __init__(self):
        self.refused = []

    def read(self, request):
        message = CallerMessage(request.body.decode(), "GET", request.path, "h", (), b"")
        return DecodedRequest(message, request.path, None)

    def write(self, request, answer):
        return HttpResponse(answer.status)

    def refuse(self, request_id, refused):
        self.refused.append(refused)
        return HttpResponse(503)


class LateQuarantine(CrashRecords):
    """Quarantine all requests from a time on that the test decides."""

    is_on = False
    is_empty = False

    def time_left(self, fingerprint):
        return Millis(7_000) if self.is_on else None


class Front:
    """Group a front on a busy processor with the gate of its daemon."""

    def __init__(self, harness):
        clock = harness.tools.clock
        self.pools = harness.pools
        self.crashes = LateQuarantine(GossipMap(), clock)
        self.tools = replace(harness.tools, loop=BusyLoop(clock), crashes=self.crashes)
        self.table = RouteTable.from_routes(
            1, [URGENT, PATIENT, SINGLE], harness.table.terms_by_service, harness.table.limits
        )
        progress = RegistryProgress(clock, frozenset())
        progress.complete.set()
        self.state = RouteState(self.table)
        codec = Codec()
        self.refused = codec.refused
        self.front = RouteFront(self.state, self.tools, codec, random.Random(1), progress)
        self.relay_server = RelayServer(self.tools, self.state)
        self.numbers = itertools.count()

    async def teach(self):
        """Let the estimates know the cost of a sub-request."""
        self.tools.work.begin()
        await sleep(Millis(40 * COST))
        self.tools.work.record_attempts(40)
        self.tools.work.end()

    async def ask(self, path):
        request = HttpRequest("GET", path, {}, {}, str(next(self.numbers)).encode())
        return await self.front.handle(request)


def silent(instance, nth):
    return 3_600_000, good(instance)


def prompt(instance, nth):
    return 5, good(instance)


def test_a_refused_request_has_reached_no_instance_and_names_a_time_to_return():
    """Ten gathers of 50 ms on a busy processor: a request with 1 s left can't wait for 1.5 s."""

    async def body(harness):
        front = Front(harness)
        await front.teach()
        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(front.ask, "/u/x")
            await sleep(Millis(30))
            assert len(front.refused) >= 10
            for each in front.refused:
                assert (each.kind, each.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
                assert 20 <= each.retry_after <= 1_000 / 3
            assert len(front.pools.sent) == SHARDS  # of the one that runs
            nursery.cancel_scope.cancel()

    run_with_harness(silent, body)


def test_a_caller_that_leaves_while_it_waits_leaves_the_queue():
    async def body(harness):
        front = Front(harness)
        await front.teach()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(front.ask, "/u/x")
            await sleep(Millis(1))
            with trio.move_on_after(0.015):
                await front.ask("/p/x")
            assert front.tools.gate.waiting == 0
            assert front.state.running == 1
            assert len(front.pools.sent) == SHARDS
            nursery.cancel_scope.cancel()

    run_with_harness(silent, body)


def test_a_stopping_daemon_answers_requests_that_wait_at_once_and_in_time():
    """Requests that wait for the processor when SIGTERM arrives have not run."""

    async def body(harness):
        front = Front(harness)
        await front.teach()
        async with trio.open_nursery() as nursery:
            for path in ("/u/x", "/p/x", "/s/x"):
                nursery.start_soon(front.ask, path)
                await sleep(Millis(1))
            assert front.tools.gate.waiting == 2
            answers_by = Millis(front.tools.clock.now() + 500)
            front.front.stop_by(answers_by)
            await sleep(Millis(1))
            assert {(each.kind, each.ran) for each in front.refused} == {
                (ErrorKind.STOPPING, Ran.FALSE)
            }
            assert len(front.refused) == 2
            nursery.start_soon(front.ask, "/p/x")
        assert front.tools.clock.now() <= answers_by + 1
        assert len(front.refused) == 4

    run_with_harness(silent, body)


def test_nothing_waits_on_an_idle_daemon():
    async def body(harness):
        front = Front(harness)
        await front.teach()
        for path in 3 * ("/u/x", "/p/x", "/s/x"):
            before = front.tools.clock.now()
            assert (await front.ask(path)).status == 200
            assert front.tools.clock.now() - before == pytest.approx(5, abs=0.1)

    run_with_harness(prompt, body)


def test_a_request_that_waits_is_held_off_if_it_is_quarantined_meanwhile():
    async def body(harness):
        front = Front(harness)
        await front.teach()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(front.ask, "/u/x")
            await sleep(Millis(1))
            nursery.start_soon(front.ask, "/p/x")
            await sleep(Millis(1))
            assert front.tools.gate.waiting == 1
            front.crashes.is_on = True
            await sleep(Millis(1_100))  # the running one has ended
            assert ErrorKind.QUARANTINED in {each.kind for each in front.refused}
            assert len(front.pools.sent) == SHARDS
            nursery.cancel_scope.cancel()

    run_with_harness(silent, body)


def relay(front, route, left):
    now = front.tools.clock.now()
    message = CallerMessage("r", "GET", "/x", "h", (), b"")
    request = RoutedRequest(message, route, front.table, now, Millis(now + left))
    return encode_relay(request, RelayTerms(route.shards), Millis(0), Millis(left))


def test_a_relayed_request_waits_in_the_same_order_and_is_refused_unsent():
    """Relays of a daemon without links come on top of this daemon's own load."""

    async def body(harness):
        front = Front(harness)
        await front.teach()
        server = front.relay_server
        server._load.share = lambda: 0.0
        answers = []

        async def serve(left):
            answers.append(await server.serve(relay(front, PATIENT, left)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(front.ask, "/u/x")
            await sleep(Millis(1))
            nursery.start_soon(serve, 10_000)
            nursery.start_soon(serve, 60)
            await sleep(Millis(25))
            assert [answer.refusal for answer in answers] == ["overloaded"]
            assert front.tools.gate.waiting == 1
            assert len(front.pools.sent) == SHARDS
            assert (server.served, server.refused) == (0, 1)
            nursery.cancel_scope.cancel()

    run_with_harness(silent, body)


@pytest.mark.parametrize(
    ("priority", "expected"), [(2, 2), (0, 0), (-1, None), ("2", None), (True, None)]
)
def test_a_relay_carries_the_priority_of_its_route(priority, expected):
    async def body(harness):
        front = Front(harness)
        message = relay(front, replace(PATIENT, priority=priority), 1_000)
        decoded = decode_relay(message, front.table, Millis(0))
        if expected is None:
            assert decoded == "priority malformed"
        else:
            assert decoded[0].route.priority == expected

    run_with_harness(prompt, body)


def test_a_relay_of_an_earlier_build_names_no_priority():
    assert Relay.__dataclass_fields__["priority"].default == 0
