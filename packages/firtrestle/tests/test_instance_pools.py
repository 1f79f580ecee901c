"""Test the connection pool of an instance against a scripted server on the loopback."""

import random
from contextlib import asynccontextmanager
from dataclasses import replace

import h11
import trio
from firtrestle.backoffs import Backoffs
from firtrestle.clocks import Clock, Millis
from firtrestle.http_clients import HttpConnection
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer
from firtrestle.instance_calls import CANCELLED_REPLY_TIMEOUT, InstanceCall
from firtrestle.instance_pools import InstancePools, PoolTools
from firtrestle.instance_replies import CallerMessage, InstanceReply
from firtrestle.instances import Instance
from firtrestle.known_daemons import KnownDaemons
from firtrestle.outcomes import SubOutcome
from firtrestle.receive_bounds import ReceiveMemory
from firtrestle.routes import RouteTable, ServiceTerms
from firtrestle.unsent_replies import COLD, EVACUATED, PAUSED
from firtrestle.uplinks import Uplink
from firtrestle.warm_ups import WarmUpBounds, WarmUps
from manual_clocks import ManualClock

FAR_DEADLINE = Millis(1_000_000_000)


class Codec:
    def request(self, message, instance, time_left):
        return h11.Request(method="GET", target=message.target, headers=[("Host", "h")])

    def read(self, message, reply):
        return InstanceReply(SubOutcome.OK, reply.status, body=reply.body, reached=True)


class PoolFixture:
    """Run a pool with one instance, which replies after `delay` ms and once `gate` is set."""

    def __init__(self, nursery, port):
        self.nursery = nursery
        self.delay = 0.0
        self.gate = trio.Event()
        self.gate.set()
        self.served = []
        self.instance = Instance("i", "s", "127.0.0.1", port, "dc", 3, False, 1)
        clock = Clock()
        self.backoffs = Backoffs(clock, random.Random(1))
        self.evacuated = set()
        fleet_clock = ManualClock()
        daemons = KnownDaemons("d1", "dc", fleet_clock, expects_peers=False)
        fleet_clock.jump(2)
        self.warm_ups = WarmUps(clock, daemons, WarmUpBounds(0.0, 1.0), lambda replica_id: "s")
        self.warm_ups.apply(RouteTable(terms_by_service={"s": ServiceTerms("s", 0, 1.0)}))
        self.observed = []
        self.memory = ReceiveMemory(1_000_000)
        self.uplink = Uplink(clock, random.Random(1))
        tools = PoolTools(
            Codec(),
            clock,
            nursery,
            self.backoffs,
            self.warm_ups,
            self.observe,
            self.memory,
            self.uplink,
            is_evacuated=lambda data_centre: data_centre in self.evacuated,
        )
        self.pools = InstancePools(tools)
        self.replies = []

    def observe(self, instance, message, reply):
        self.observed.append(reply)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.served.append(request.path)
        await trio.sleep(self.delay / 1_000)
        await self.gate.wait()
        return HttpResponse(200, request.path.encode())

    def start(self, path, connections=1, fresh=False):
        message = CallerMessage("r", "GET", path, "h", (), b"")
        call = InstanceCall(message, FAR_DEADLINE, self.replies.append, fresh)
        return self.pools.start(self.instance, call, connections)

    async def cancel_unanswered(self):
        """Send a request that gets no reply in time, and cancel it."""
        self.delay = 10_000
        call = self.start("/silent")
        await self.wait_until(lambda: self.served == ["/silent"])
        call.cancel()

    @property
    def opened(self):
        return sum(pool.connections_opened for pool in self.pools._pool_by_id.values())

    async def wait_until(self, condition):
        with trio.fail_after(5):
            while not condition():
                await trio.sleep(0.002)


@asynccontextmanager
async def pool_fixture():
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        fixture = PoolFixture(nursery, listeners[0].socket.getsockname()[1])
        server = HttpServer(fixture.handle, HttpBounds(), watch_callers=True)
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield fixture
        nursery.cancel_scope.cancel()


async def test_connection_of_a_lost_hedge_is_reused_by_the_next_request():
    async with pool_fixture() as fixture:
        fixture.delay = 30
        fixture.start("/first")
        await fixture.wait_until(lambda: len(fixture.replies) == 1)
        call = fixture.start("/lost")
        await fixture.wait_until(lambda: "/lost" in fixture.served)
        call.cancel()
        await trio.sleep(0.06)
        fixture.start("/next")
        await fixture.wait_until(lambda: len(fixture.replies) == 2)
        assert fixture.replies[-1].body == b"/next"
        assert fixture.opened == 1


async def test_cancelled_request_is_aborted_when_its_connection_is_needed():
    async with pool_fixture() as fixture:
        await fixture.cancel_unanswered()
        fixture.delay = 0
        before = trio.current_time()
        fixture.start("/next")
        await fixture.wait_until(lambda: len(fixture.replies) == 1)
        assert (trio.current_time() - before) * 1_000 < CANCELLED_REPLY_TIMEOUT / 2
        assert fixture.replies[0].body == b"/next"


async def test_cancelled_request_without_a_reply_closes_its_connection():
    async with pool_fixture() as fixture:
        await fixture.cancel_unanswered()
        await fixture.wait_until(lambda: fixture.pools.open_connections == 0)
        assert fixture.replies == []


async def test_request_cancelled_while_queued_is_not_sent():
    async with pool_fixture() as fixture:
        fixture.gate = trio.Event()
        fixture.start("/first")
        await fixture.wait_until(lambda: fixture.served == ["/first"])
        waiting = fixture.start("/waiting")
        await fixture.wait_until(lambda: fixture.pools.waiting == 1)
        waiting.cancel()
        fixture.start("/third")
        fixture.gate.set()
        await fixture.wait_until(lambda: len(fixture.replies) == 2)
        assert fixture.served == ["/first", "/third"]


# Guards against a request that was reported as not run, and is written after that.
async def test_request_cancelled_as_its_connection_becomes_free_is_not_sent():
    async with pool_fixture() as fixture:
        fixture.gate = trio.Event()
        fixture.start("/first")
        await fixture.wait_until(lambda: fixture.served == ["/first"])
        queued = fixture.start("/queued")
        await fixture.wait_until(lambda: fixture.pools.waiting == 1)
        pool = next(iter(fixture.pools._pool_by_id.values()))
        release = pool._release_connection

        def cancel_and_release(connection, max_idle):
            release(connection, max_idle)
            queued.finished = True  # as if it was cancelled in the same turn of the loop

        pool._release_connection = cancel_and_release
        fixture.gate.set()
        await fixture.wait_until(lambda: len(fixture.replies) == 1)
        await trio.sleep(0.05)
        assert fixture.served == ["/first"]
        assert queued.sent_at is None


async def test_open_connections_stay_within_the_limit():
    async with pool_fixture() as fixture:
        fixture.delay = 5
        for number in range(20):
            fixture.start(f"/{number}", connections=2)
        await fixture.wait_until(lambda: len(fixture.replies) == 20)
        assert fixture.opened == 2


async def test_calls_that_wait_when_an_instance_asks_for_a_pause_are_not_sent():
    async with pool_fixture() as fixture:
        fixture.gate = trio.Event()
        fixture.start("/first")
        await fixture.wait_until(lambda: fixture.served == ["/first"])
        for number in range(5):
            fixture.start(f"/waiting-{number}")
        await fixture.wait_until(lambda: fixture.pools.waiting == 5)
        replica_id = fixture.instance.replica_id
        fixture.backoffs.record(fixture.instance, "r", Millis(60_000))
        fixture.pools.refuse_waiting(replica_id, PAUSED)
        await fixture.wait_until(lambda: len(fixture.replies) == 5)
        fixture.start("/later")
        fixture.gate.set()
        await fixture.wait_until(lambda: len(fixture.replies) == 7)
        assert fixture.served == ["/first"]
        unsent = [reply for reply in fixture.replies if reply.outcome is SubOutcome.SHED]
        assert [(reply.reached, reply.may_have_run) for reply in unsent] == [(False, False)] * 6


# Guards against calls that were started before an evacuation being sent after it.
async def test_calls_that_wait_when_their_data_centre_is_evacuated_are_not_sent():
    async with pool_fixture() as fixture:
        fixture.gate = trio.Event()
        fixture.start("/first")
        await fixture.wait_until(lambda: fixture.served == ["/first"])
        fixture.start("/waiting")
        await fixture.wait_until(lambda: fixture.pools.waiting == 1)
        fixture.evacuated.add("dc")
        fixture.pools.refuse_waiting(fixture.instance.replica_id, EVACUATED)
        await fixture.wait_until(lambda: len(fixture.replies) == 1)
        fixture.start("/later")
        fixture.gate.set()
        await fixture.wait_until(lambda: len(fixture.replies) == 3)
        assert fixture.served == ["/first"]
        unsent = [reply for reply in fixture.replies if reply.outcome is SubOutcome.DRAINING]
        assert [(reply.reached, reply.may_have_run) for reply in unsent] == [(False, False)] * 2


# Guards against a call being sent that gets its connection as the data centre is evacuated.
async def test_a_call_whose_connection_opens_during_an_evacuation_is_not_sent(monkeypatch):
    open_connection = HttpConnection.open

    async def open_and_evacuate(*args):
        connection = await open_connection(*args)
        fixture.evacuated.add("dc")
        return connection

    async with pool_fixture() as fixture:
        monkeypatch.setattr(HttpConnection, "open", open_and_evacuate)
        fixture.start("/opening")
        await fixture.wait_until(lambda: len(fixture.replies) == 1)
        assert (fixture.served, fixture.opened) == ([], 1)
        assert (fixture.replies[0].outcome, fixture.replies[0].may_have_run) == (
            SubOutcome.DRAINING,
            False,
        )


# Guards against a data centre that is corrected in a registration being ignored by open pools.
async def test_the_data_centre_of_the_newest_registration_counts():
    async with pool_fixture() as fixture:
        fixture.start("/first")
        await fixture.wait_until(lambda: len(fixture.replies) == 1)
        fixture.evacuated.add("dc")
        fixture.instance = replace(fixture.instance, data_centre="other")
        fixture.start("/second")
        await fixture.wait_until(lambda: len(fixture.replies) == 2)
        assert fixture.served == ["/first", "/second"]


async def test_calls_that_wait_for_an_instance_that_is_gone_are_not_sent():
    async with pool_fixture() as fixture:
        fixture.gate = trio.Event()
        fixture.start("/first")
        await fixture.wait_until(lambda: fixture.served == ["/first"])
        fixture.start("/waiting")
        await fixture.wait_until(lambda: fixture.pools.waiting == 1)
        fixture.pools.remove({fixture.instance.replica_id})
        fixture.gate.set()
        await fixture.wait_until(lambda: len(fixture.replies) == 2)
        assert fixture.served == ["/first"]
        assert [reply.outcome for reply in fixture.replies] == [
            SubOutcome.DRAINING,
            SubOutcome.OK,
        ]


async def test_a_reply_that_is_no_longer_awaited_is_observed_all_the_same():
    async with pool_fixture() as fixture:
        fixture.delay = 30
        call = fixture.start("/lost")
        await fixture.wait_until(lambda: fixture.served == ["/lost"])
        call.cancel()
        await fixture.wait_until(lambda: len(fixture.observed) == 1)
        assert fixture.replies == []


async def test_calls_on_lost_links_end_at_once_but_one_that_must_not_be_repeated_goes_on():
    async with pool_fixture() as fixture:
        fixture.start("/done")
        await fixture.wait_until(lambda: len(fixture.replies) == 1)
        fixture.gate = trio.Event()
        fixture.start("/unsafe", connections=3, fresh=True)
        fixture.start("/safe", connections=3)
        await fixture.wait_until(lambda: len(fixture.served) == 3)
        fixture.start("/waiting", connections=2)
        await trio.sleep(0.02)
        fixture.pools.abandon("links lost")
        assert sorted((reply.outcome, reply.may_have_run) for reply in fixture.replies[1:]) == [
            (SubOutcome.DIED, True),
            (SubOutcome.UNREACHABLE, False),
        ]
        await fixture.wait_until(lambda: fixture.pools.open_connections == 1)
        fixture.gate.set()
        await fixture.wait_until(lambda: len(fixture.replies) == 4)
        assert fixture.replies[3].body == b"/unsafe"


async def test_silent_instances_are_those_with_a_call_unanswered_for_long():
    async with pool_fixture() as fixture:
        assert fixture.pools.silent(Millis(0), Millis(0)) == []
        await fixture.cancel_unanswered()
        assert fixture.pools.silent(Millis(0), Millis(0)) == [fixture.instance]
        assert fixture.pools.silent(Millis(0), Millis(5_000)) == []
        assert fixture.pools.silent(FAR_DEADLINE, Millis(0)) == []


# Guards against an undefined status being passed on as the answer of a single service, or as a
# part of a gather: both take what the pool delivers.
async def test_a_reply_with_an_undefined_status_counts_as_broken_and_closes_its_connection():
    async def serve(stream):
        await stream.receive_some(65_536)
        await stream.send_all(b"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok")
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        fixture = PoolFixture(nursery, listeners[0].socket.getsockname()[1])
        fixture.start("/x")
        await fixture.wait_until(lambda: fixture.replies)
        reply = fixture.replies[0]
        assert (reply.outcome, reply.may_have_run) == (SubOutcome.DIED, True)
        await fixture.wait_until(lambda: fixture.pools.open_connections == 0)
        nursery.cancel_scope.cancel()


# Guards against calls that were granted, waited for a connection, and are written all at once.
async def test_calls_that_waited_while_their_instance_became_cold_are_refused_unsent():
    async with pool_fixture() as fixture:
        fixture.gate = trio.Event()
        for path in ("/running", "/first", "/second"):
            fixture.start(path)
            await trio.sleep(0.02)
        fixture.warm_ups.record(fixture.instance.replica_id, Millis(60_000))
        fixture.gate.set()
        await fixture.wait_until(lambda: len(fixture.replies) == 3)
        assert fixture.served == ["/running", "/first"]
        assert COLD in fixture.replies
        assert fixture.warm_ups.counts() == {"cold": 1, "sent": 1, "refused": 1}
