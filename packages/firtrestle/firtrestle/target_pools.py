"""Queue and send sub-requests to one target, within its slots and connections."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from firtrestle.call_queues import CallQueue
from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.http_clients import HttpConnection, HttpFailure, HttpReply, NoFreeConnection
from firtrestle.leases import LOTS_PER_TARGET, TargetLease
from firtrestle.messages import SubReply, SubRequest
from firtrestle.outcomes import SubOutcome
from firtrestle.settings import TargetSettings
from firtrestle.target_replies import empty_reply, read_reply
from firtrestle.target_reports import TargetReport
from firtrestle.vm_lists import Vm

SERVICE_TIME_SAMPLES = 32  # averaged to predict the queueing delay
CONNECT_TIMEOUT = Millis(1_000)
FIRST_LEASE_GRACE = Millis(300)  # for an opened pool to obtain its first lease
DEADLINE_HEADER = "Request-Timeout-Ms"

Deliver = Callable[[SubReply], None]


@dataclass(slots=True, eq=False)
class TargetCall:
    """Track one sub-request from its arrival to its reply, which is delivered at most once."""

    pool: TargetPool
    sub: SubRequest
    deadline: Millis
    deliver: Deliver
    is_sent: bool = False
    finished: bool = False

    def finish(self, reply: SubReply) -> None:
        """Deliver the reply, unless the call is finished or cancelled."""
        if not self.finished:
            self.finished = True
            self.deliver(reply)

    def cancel(self) -> None:
        """Cancel the call without a reply; its slot stays in use until the target has replied."""
        if not self.finished:
            self.finished = True
            self.pool.cancel_sent_call(self)


class TargetPool:
    """Queue, send and cancel the sub-requests of one target held by this daemon."""

    def __init__(
        self,
        vm: Vm,
        lease: TargetLease,
        settings: TargetSettings,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> None:
        self.vm = vm
        self.lease = lease
        self.report: TargetReport | None = None
        self.in_flight_by_searcher: dict[str, int] = {}
        self.open_connections = 0
        self._settings = settings
        self._clock = clock
        self._nursery = nursery
        self._idle: list[HttpConnection] = []
        self._opened_at_by_connection: dict[HttpConnection, Millis] = {}
        self._crashed_at: Millis | None = None  # when the last exchange broke off
        self._queue: CallQueue[TargetCall] = CallQueue()
        self._service_times: deque[Millis] = deque(maxlen=SERVICE_TIME_SAMPLES)
        self._closed = False
        self._suspect_running = False
        self._opened_at = clock.now()

    @property
    def connection_share(self) -> int:
        """Return the number of connections to the target that this holder may open."""
        if self.report is None:
            return 1
        return max(1, int(self.report.connection_limit * self._settings.connection_share))

    @property
    def queue_length(self) -> int:
        """Return the number of queued and running sub-requests."""
        return len(self._queue) + self.in_flight

    @property
    def in_flight(self) -> int:
        """Return the number of running sub-requests, each of which occupies a slot."""
        return sum(self.in_flight_by_searcher.values())

    @property
    def leased_lots(self) -> int:
        """Return the number of the target's lots that are leased now."""
        return self.lease.slots(LOTS_PER_TARGET, self._clock.now())

    def start(self, sub: SubRequest, deliver: Deliver) -> TargetCall:
        """Queue or refuse a sub-request; `deliver` gets its one reply, or none after a cancel."""
        call = TargetCall(self, sub, Millis(self._clock.now() + sub.budget_ms), deliver)
        refusal = self._refusal(sub)
        if refusal is not None:
            call.finish(refusal)
            return call
        self._queue.push(0 if sub.urgent else 1, call.deadline, call)
        self._dispatch()
        return call

    def cancel_sent_call(self, call: TargetCall) -> None:
        """Cancel a search that was already sent; a request with a key is left to finish."""
        if call.is_sent and not call.sub.key:
            self._nursery.start_soon(self._send_cancel, call.sub)

    def on_lease_change(self) -> None:
        """Start queued calls, or refuse them all if no slot is leased any more."""
        if self._lacks_lease():
            self._refuse_queued()
        self._dispatch()

    def reopen(self) -> None:
        """Accept calls again; calls still running since the close keep their slots."""
        self._closed = False
        self._opened_at = self._clock.now()

    def close(self) -> None:
        """Refuse queued calls and close idle connections; running calls continue."""
        self._closed = True
        self._refuse_queued()
        idle, self._idle = self._idle, []
        for connection in idle:
            self._nursery.start_soon(self._close_connection, connection)

    async def probe(self) -> HttpReply | HttpFailure:
        """Request the target's status within the probe timeout."""
        with move_on_after(Millis(self._settings.probe_timeout_ms)):
            connection = await self._acquire_connection(for_control=True)
            if isinstance(connection, HttpFailure):
                return connection
            reply: HttpReply | HttpFailure = HttpFailure(True, "the probe was cut off")
            try:
                reply = await connection.request("GET", "/status")
            finally:
                self._release_connection(connection)
            return reply
        return HttpFailure(True, "the probe took too long")

    async def open_idle_connections(self) -> None:
        """Open connections up to the configured idle minimum, so that calls need not wait."""
        idle_target = min(self._settings.idle_connections, self.connection_share)
        while not self._closed and self.open_connections < idle_target:
            connection = await self._open_connection()
            if isinstance(connection, HttpFailure):
                return
            self._release_connection(connection)

    def _refuse_queued(self) -> None:
        for _, call in list(self._queue):
            call.finish(empty_reply(call.sub, SubOutcome.NOT_HOLDER, "no slot is leased"))
        self._queue.clear()

    def _lacks_lease(self) -> bool:
        """Return whether no slot is leased although the grace time for the first is over."""
        now = self._clock.now()
        return not self.leased_lots and now - self._opened_at > FIRST_LEASE_GRACE

    def _refusal(self, sub: SubRequest) -> SubReply | None:
        """Return the reply to a sub-request that can't be served in time, None for others."""
        if self._closed or self.report is None:
            return empty_reply(sub, SubOutcome.NOT_HOLDER, "the target is not held, or not yet")
        if self._lacks_lease():
            return empty_reply(sub, SubOutcome.NOT_HOLDER, "no slot is leased")
        searcher = self.report.by_searcher.get(sub.searcher)
        if searcher is None:
            return empty_reply(sub, SubOutcome.SNAPSHOT_GONE)
        if self._expected_wait(sub, searcher.slots) > sub.budget_ms:
            return empty_reply(sub, SubOutcome.SHED, reason="the queue is longer than the deadline")
        return None

    def _expected_wait(self, sub: SubRequest, slots: int) -> Millis:
        """Estimate the queueing delay from the mean service time and the calls ahead."""
        ahead = sum(
            1
            for priority, call in self._queue
            if call.sub.searcher == sub.searcher and (priority == 0 or not sub.urgent)
        )
        if not self._service_times or not ahead:
            return Millis(0)
        mean = sum(self._service_times) / len(self._service_times)
        leased = max(1, self.lease.slots(slots, self._clock.now()))
        return Millis(mean * (ahead + 1) / leased)

    def _dispatch(self) -> None:
        """Start each queued call whose searcher has a free slot."""
        while (call := self._pop_runnable()) is not None:
            self._nursery.start_soon(self._run_calls, call)

    def _pop_runnable(self) -> TargetCall | None:
        """Remove the first queued call that may run now, and occupy a slot for it."""
        if self.in_flight >= self.connection_share:
            return None
        runnable = self._queue.pop(
            lambda call: call.finished or self._drop_if_expired(call),
            lambda call: self._may_run(call.sub),
        )
        if runnable is not None:
            name = runnable.sub.searcher
            self.in_flight_by_searcher[name] = self.in_flight_by_searcher.get(name, 0) + 1
            self._suspect_running = self._suspect_running or runnable.sub.suspect
        return runnable

    def _drop_if_expired(self, call: TargetCall) -> bool:
        """Finish a call whose deadline has passed; return whether it had."""
        if self._clock.now() < call.deadline:
            return False
        call.finish(empty_reply(call.sub, SubOutcome.DEADLINE))
        return True

    def _may_run(self, sub: SubRequest) -> bool:
        """Return whether a slot is free for the sub-request.

        Suspects run one at a time, so that a crash of the target identifies its cause.
        """
        if sub.suspect and self._suspect_running:
            return False
        return self._slot_is_free(sub.searcher)

    def _slot_is_free(self, name: str) -> bool:
        return self.in_flight_by_searcher.get(name, 0) < self._leased_slots(name)

    def _leased_slots(self, name: str) -> int:
        searcher = self.report.by_searcher.get(name) if self.report else None
        slots = searcher.slots if searcher is not None else 1
        return self.lease.slots(slots, self._clock.now())

    async def _run_calls(self, first: TargetCall) -> None:
        """Run a call, then queued calls until none may run."""
        call: TargetCall | None = first
        while call is not None:
            try:
                await self._run_call(call)
            finally:
                self.in_flight_by_searcher[call.sub.searcher] -= 1
                if call.sub.suspect:
                    self._suspect_running = False
            call = self._pop_runnable()

    async def _run_call(self, call: TargetCall) -> None:
        started_at = self._clock.now()
        connection = await self._acquire_connection()
        if isinstance(connection, HttpFailure):
            call.finish(self._empty_reply_to(call, SubOutcome.UNREACHABLE, connection.reason))
            return
        await self._exchange(call, connection)
        self._service_times.append(Millis(self._clock.now() - started_at))

    async def _exchange(self, call: TargetCall, connection: HttpConnection) -> None:
        """Send the call; return once the target has replied or the cancel grace time is over."""
        now = self._clock.now()
        time_left = Millis(call.deadline - now)
        budget = min(time_left, Millis(self.lease.run_deadline(now) - now))
        if call.finished or time_left <= 0:
            call.finish(self._empty_reply_to(call, SubOutcome.DEADLINE))
            self._release_connection(connection)
            return
        if self.in_flight_by_searcher[call.sub.searcher] > self._leased_slots(call.sub.searcher):
            call.finish(self._empty_reply_to(call, SubOutcome.NOT_HOLDER, "the lease is over"))
            self._release_connection(connection)
            return
        call.is_sent = True
        try:
            with move_on_after(Millis(budget + self._settings.cancel_grace_ms)):
                reply = read_reply(call.sub, await self._send(call.sub, connection, budget))
                reply.queue = len(self._queue)
                if reply.outcome == SubOutcome.DIED:
                    self._handle_broken_reply(reply, connection, now)
                if reply.outcome == SubOutcome.DEADLINE and budget < time_left:
                    reply.reason = "it ran longer than longest_run_ms"
                if reply.outcome == SubOutcome.BAD_REPLY:
                    connection.usable = False
                call.finish(reply)
            call.finish(self._empty_reply_to(call, SubOutcome.DEADLINE, sent=True))
        finally:
            self._release_connection(connection)

    def _handle_broken_reply(
        self, reply: SubReply, connection: HttpConnection, sent_at: Millis
    ) -> None:
        """Note a crash of the target, unless the crash was known when the call was sent.

        A call sent after a crash over a connection from before it reached no target.
        """
        opened_at = self._opened_at_by_connection.get(connection, sent_at)
        if self._crashed_at is not None and opened_at <= self._crashed_at < sent_at:
            reply.outcome = SubOutcome.UNREACHABLE
            reply.reason = "the connection was left from before the target's crash"
            return
        self._crashed_at = self._clock.now()
        idle, self._idle = self._idle, []
        for left_over in idle:
            self._nursery.start_soon(self._close_connection, left_over)

    def _empty_reply_to(
        self, call: TargetCall, outcome: SubOutcome, reason: str = "", sent: bool = False
    ) -> SubReply:
        reply = empty_reply(call.sub, outcome, reason, sent)
        reply.queue = len(self._queue)
        return reply

    async def _send(
        self, sub: SubRequest, connection: HttpConnection, budget: Millis
    ) -> HttpReply | HttpFailure:
        body = {
            "request_id": sub.request_id,
            "attempt": sub.attempt,
            "searcher": sub.searcher,
            "collection": sub.collection,
            "version": sub.version,
            "shard": sub.shard,
            "query": sub.query,
            "key": sub.key,
        }
        headers = {DEADLINE_HEADER: str(round(budget))}
        return await connection.request("POST", f"/{sub.kind}", json.dumps(body).encode(), headers)

    async def _send_cancel(self, sub: SubRequest) -> None:
        """Ask the target to stop a search; the reply to the search then frees its slot."""
        with move_on_after(Millis(self._settings.cancel_grace_ms)):
            connection = await self._acquire_connection(for_control=True)
            if isinstance(connection, HttpFailure):
                return
            body = {"request_id": sub.request_id, "attempt": sub.attempt}
            try:
                await connection.request("POST", "/cancel", json.dumps(body).encode())
            finally:
                self._release_connection(connection)

    async def _acquire_connection(self, for_control: bool = False) -> HttpConnection | HttpFailure:
        """Return an idle connection or open one.

        A control request (probe or cancel) may open one connection beyond this holder's share,
        within the target's limit.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
            self._nursery.start_soon(self._close_connection, connection)
        limit = self.report.connection_limit if self.report else 2
        if for_control and self.open_connections >= min(limit, self.connection_share + 1):
            return NoFreeConnection(False, "no connection is free")
        return await self._open_connection()

    async def _open_connection(self) -> HttpConnection | HttpFailure:
        self.open_connections += 1
        opened: HttpConnection | HttpFailure = HttpFailure(False, "cut off")
        try:
            opened = await HttpConnection.open(self.vm.host, self.vm.port, CONNECT_TIMEOUT)
        finally:
            if isinstance(opened, HttpFailure):
                self.open_connections -= 1
            else:
                self._opened_at_by_connection[opened] = self._clock.now()
        return opened

    def _release_connection(self, connection: HttpConnection) -> None:
        if connection.usable and not self._closed:
            self._idle.append(connection)
        else:
            self._nursery.start_soon(self._close_connection, connection)

    async def _close_connection(self, connection: HttpConnection) -> None:
        try:
            await connection.close()
        finally:
            self._opened_at_by_connection.pop(connection, None)
            self.open_connections -= 1


async def keep_idle_connections(pool: TargetPool, interval: Millis) -> None:
    """Restore a pool's idle connections at each interval, until cancelled."""
    while True:
        await pool.open_idle_connections()
        await sleep(interval)
