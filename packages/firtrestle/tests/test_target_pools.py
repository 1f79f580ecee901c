"""Test a pool against an in-process target over loopback sockets."""

import json
import math
from dataclasses import replace

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.http_clients import HttpFailure, NoFreeConnection
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer
from firtrestle.leases import LOTS_PER_TARGET, Lease, TargetLease
from firtrestle.messages import SubReply, SubRequest
from firtrestle.settings import TargetSettings
from firtrestle.target_pools import FIRST_LEASE_GRACE, TargetPool
from firtrestle.target_reports import SearcherReport, TargetReport, TargetState
from firtrestle.vm_lists import Vm, VmKind, VmState


class Target:
    """Answer searches as a target once released, and record how many run at once."""

    def __init__(self) -> None:
        self.running = self.peak_running = self.connections = self.peak_connections = 0
        self.received: list[dict] = []
        self.cancelled: list[int] = []
        self.deadlines: list[float] = []
        self.release = trio.Event()
        self.reply_overrides: dict = {}
        self.crashes = False

    async def handle(self, request: HttpRequest) -> HttpResponse | None:
        if self.crashes:
            return None
        call = json.loads(request.body)
        if request.path == "/cancel":
            self.cancelled.append(call["attempt"])
            return HttpResponse.from_json({"cancelled": True})
        self.received.append(call)
        self.deadlines.append(float(request.header("request-timeout-ms")))
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        await self.release.wait()
        self.running -= 1
        fields = ("request_id", "attempt", "collection", "version", "shard")
        echo = {field: call[field] for field in fields}
        return HttpResponse.from_json({**echo, "rows": [], "documents": 3, **self.reply_overrides})

    async def accept(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        server = HttpServer(self.handle, HttpBounds(), watch_callers=False)
        await server.serve(stream)
        self.connections -= 1


def full_lease() -> TargetLease:
    never = Millis(math.inf)
    return TargetLease({"d1": Lease(frozenset(range(LOTS_PER_TARGET)), never, never)})


async def open_pool(
    target: Target, nursery: trio.Nursery, slots: int = 2, limit: int = 8
) -> TargetPool:
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, target.accept, [listener])
    vm = Vm("t", VmKind.TARGET, "dc", "127.0.0.1", port, 0, VmState.LIVE, "c")
    pool = TargetPool(vm, full_lease(), TargetSettings(), Clock(), nursery)
    searchers = {"s0": SearcherReport(slots, {1: (0,)})}
    pool.report = TargetReport("t", TargetState.LIVE, "c", limit, searchers)
    return pool


def sub_request(
    attempt: int,
    urgent: bool = False,
    budget: float = 5_000,
    key: str = "",
    suspect: bool = False,
) -> SubRequest:
    query = {}
    request = SubRequest("r", attempt, "t", "s0", "c", 1, 0, "search", query, budget, urgent, key)
    request.suspect = suspect
    return request


async def wait_until(condition) -> None:
    with trio.fail_after(10):
        while not condition():
            await sleep(Millis(5))


async def test_slots_and_connections_are_never_exceeded():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery)
        for attempt in range(10):
            pool.start(sub_request(attempt), replies.append)
        await wait_until(lambda: target.running == 2)
        target.release.set()
        await wait_until(lambda: len(replies) == 10)
        assert all(reply.outcome == "ok" for reply in replies)
        assert target.peak_running == 2
        assert target.peak_connections <= 4  # half of the target's limit
        nursery.cancel_scope.cancel()


async def test_urgent_call_runs_before_queued_ordinary_calls():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=1)
        for attempt in range(5):
            pool.start(sub_request(attempt, urgent=attempt == 4), replies.append)
        target.release.set()
        await wait_until(lambda: len(replies) == 5)
        assert [call["attempt"] for call in target.received] == [0, 4, 1, 2, 3]
        nursery.cancel_scope.cancel()


async def test_ordinary_calls_get_a_quarter_of_the_starts_under_a_flood_of_urgent_calls():
    """Urgent calls that always wait would keep ordinary ones from ever starting."""
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=1)
        for attempt in range(13):
            pool.start(sub_request(attempt, urgent=attempt not in (1, 2)), replies.append)
        target.release.set()
        await wait_until(lambda: len(replies) == 13)
        order = [call["attempt"] for call in target.received]
        assert order == [0, 3, 4, 5, 1, 6, 7, 8, 2, 9, 10, 11, 12]
        nursery.cancel_scope.cancel()


async def test_cancelled_call_keeps_its_slot_until_the_target_replies():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=1)
        first = pool.start(sub_request(1), replies.append)
        await wait_until(lambda: target.running == 1)
        pool.start(sub_request(2), replies.append)
        first.cancel()
        await wait_until(lambda: target.cancelled == [1])
        assert len(target.received) == 1
        target.release.set()
        await wait_until(lambda: len(replies) == 1)
        assert replies[0].attempt == 2
        assert target.peak_running == 1
        nursery.cancel_scope.cancel()


async def test_request_with_a_key_is_not_cancelled_at_the_target():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery)
        call = pool.start(sub_request(1, key="k"), replies.append)
        await wait_until(lambda: target.running == 1)
        call.cancel()
        target.release.set()
        await wait_until(lambda: target.running == 0)
        assert target.cancelled == []
        nursery.cancel_scope.cancel()


async def test_mismatched_reply_is_rejected_and_closes_its_connection():
    target = Target()
    target.release.set()
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery)
        for reply_overrides in ({"attempt": 77}, {"rows": [{"version": 2}]}, {"documents": "many"}):
            replies: list[SubReply] = []
            target.reply_overrides = reply_overrides
            pool.start(sub_request(1), replies.append)
            await wait_until(lambda replies=replies: bool(replies))
            assert (replies[0].outcome, replies[0].sent) == ("bad-reply", True)
        await wait_until(lambda: pool.open_connections == 0)
        nursery.cancel_scope.cancel()


async def test_call_that_would_miss_its_deadline_is_shed_without_being_sent():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=1)
        pool._service_times.extend([Millis(1_000)] * 4)
        pool.start(sub_request(1), replies.append)
        pool.start(sub_request(2), replies.append)
        pool.start(sub_request(3, budget=500), replies.append)
        assert [(r.attempt, r.outcome, r.sent) for r in replies] == [(3, "shed", False)]
        nursery.cancel_scope.cancel()


async def test_closed_pool_refuses_queued_calls_and_finishes_running_ones():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=1)
        pool.start(sub_request(1), replies.append)
        pool.start(sub_request(2), replies.append)
        await wait_until(lambda: target.running == 1)
        pool.close()
        assert [(r.attempt, r.outcome, r.sent) for r in replies] == [(2, "not-holder", False)]
        target.release.set()
        await wait_until(lambda: len(replies) == 2)
        assert replies[1].outcome == "ok"
        nursery.cancel_scope.cancel()


async def test_lost_reply_is_distinguished_from_a_failed_connect():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as serving:
            pool = await open_pool(target, serving)
            pool._nursery = nursery
            pool.start(sub_request(1), replies.append)
            await wait_until(lambda: target.running == 1)
            serving.cancel_scope.cancel()
        await wait_until(lambda: len(replies) == 1)
        pool.start(sub_request(2), replies.append)
        await wait_until(lambda: len(replies) == 2)
        assert [(r.outcome, r.sent) for r in replies] == [("died", True), ("unreachable", False)]
        nursery.cancel_scope.cancel()


async def test_suspects_run_one_at_a_time_alongside_other_calls():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=3)
        pool.start(sub_request(1, suspect=True), replies.append)
        pool.start(sub_request(2, suspect=True), replies.append)
        pool.start(sub_request(3), replies.append)
        await wait_until(lambda: target.running == 2)
        assert sorted(call["attempt"] for call in target.received) == [1, 3]
        target.release.set()
        await wait_until(lambda: len(replies) == 3)
        assert {reply.outcome for reply in replies} == {"ok"}
        nursery.cancel_scope.cancel()


async def test_expired_lease_refuses_new_and_queued_calls():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery)
        pool.start(sub_request(1), replies.append)
        await wait_until(lambda: target.running == 1)
        pool.lease.by_owner.clear()
        pool.start(sub_request(2), replies.append)
        pool._opened_at = Millis(pool._opened_at - FIRST_LEASE_GRACE - 1)
        pool.on_lease_change()
        pool.start(sub_request(3), replies.append)
        assert [(r.attempt, r.outcome, r.sent) for r in replies] == [
            (2, "not-holder", False),
            (3, "not-holder", False),
        ]
        target.release.set()
        await wait_until(lambda: len(replies) == 3)
        assert (replies[2].attempt, replies[2].outcome) == (1, "ok")
        assert len(target.received) == 1
        nursery.cancel_scope.cancel()


async def test_target_deadline_is_capped_by_the_lease():
    target, replies = Target(), []
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery)
        now = pool._clock.now()
        lots = frozenset(range(LOTS_PER_TARGET))
        pool.lease.by_owner["d1"] = Lease(lots, Millis(now + 500), Millis(now + 900))
        pool.start(sub_request(1, budget=5_000), replies.append)
        await wait_until(lambda: target.running == 1)
        assert 0 < target.deadlines[0] <= 900
        nursery.cancel_scope.cancel()


# Guards against a harmless query that is blamed for a crash on a connection left from before it.
async def test_a_broken_reply_on_a_connection_from_before_a_crash_is_no_second_crash():
    target, replies = Target(), []
    target.release.set()
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=1)
        await pool.open_idle_connections()
        kept = pool._idle.pop(0)  # another call has it already
        target.crashes = True
        pool.start(sub_request(1, suspect=True), replies.append)
        await wait_until(lambda: len(replies) == 1)
        assert replies[0].outcome == "died"
        assert pool._idle == []
        pool._idle.append(kept)
        pool.start(sub_request(2, suspect=True), replies.append)
        await wait_until(lambda: len(replies) == 2)
        assert (replies[1].outcome, replies[1].sent) == ("unreachable", True)
        pool.start(sub_request(3, suspect=True), replies.append)
        await wait_until(lambda: len(replies) == 3)
        assert replies[2].outcome == "died"
        nursery.cancel_scope.cancel()


# Guards against a probe that counts as failed because all connections are in use.
async def test_a_probe_without_a_free_connection_is_told_apart_from_a_failed_one():
    target = Target()
    async with trio.open_nursery() as nursery:
        pool = await open_pool(target, nursery, slots=2, limit=2)
        pool.open_connections = 2
        assert isinstance(await pool.probe(), NoFreeConnection)
        pool.open_connections = 0
        pool.vm = replace(pool.vm, port=1)
        failure = await pool.probe()
        assert isinstance(failure, HttpFailure)
        assert not isinstance(failure, NoFreeConnection)
        nursery.cancel_scope.cancel()
