"""Carry sub-requests to one target within its slots and connections."""

from __future__ import annotations

import heapq
import itertools
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.http_clients import HttpConnection, HttpFailure, HttpReply
from firtrestle.leases import LOTS, TargetLease
from firtrestle.messages import SubReply, SubRequest
from firtrestle.outcomes import SubOutcome
from firtrestle.settings import TargetSettings
from firtrestle.target_replies import empty_reply, read_reply
from firtrestle.target_reports import TargetReport
from firtrestle.vm_lists import Vm

SERVICE_SAMPLES = 32
CONNECT_TIMEOUT = Millis(1_000)
FIRST_LEASE_TIME = Millis(300)
DEADLINE_HEADER = "Request-Timeout-Ms"

Deliver = Callable[[SubReply], None]


@dataclass(slots=True, eq=False)
class LaneCall:
    """Hold one sub-request from its arrival to its reply, which is delivered once."""

    lane: Lane
    sub: SubRequest
    give_up_at: Millis
    deliver: Deliver
    started: bool = False
    finished: bool = False

    def finish(self, reply: SubReply) -> None:
        """Deliver the reply, unless the call is finished or cancelled."""
        if not self.finished:
            self.finished = True
            self.deliver(reply)

    def cancel(self) -> None:
        """Stop a call that nobody waits for; its slot stays taken until the target replied."""
        if not self.finished:
            self.finished = True
            self.lane.note_cancelled(self)


class Lane:
    """Queue, send and cancel the sub-requests of one held target."""

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
        self._queue: list[tuple[int, int, LaneCall]] = []
        self._order = itertools.count()
        self._service_times: deque[Millis] = deque(maxlen=SERVICE_SAMPLES)
        self._closed = False
        self._suspect_runs = False
        self._opened_at = clock.now()

    @property
    def connection_share(self) -> int:
        """Return how many connections this holder may open."""
        if self.report is None:
            return 1
        return max(1, int(self.report.connection_limit * self._settings.connection_share))

    @property
    def queue_length(self) -> int:
        """Return the sub-requests that wait or run."""
        return len(self._queue) + self.in_flight

    @property
    def in_flight(self) -> int:
        """Return the sub-requests that run, each with a slot."""
        return sum(self.in_flight_by_searcher.values())

    @property
    def leased_lots(self) -> int:
        """Return how many of the target's lots may be used now."""
        return self.lease.slots(LOTS, self._clock.now())

    def start(self, sub: SubRequest, deliver: Deliver) -> LaneCall:
        """Queue a sub-request; its reply is delivered once, unless the call is cancelled."""
        call = LaneCall(self, sub, Millis(self._clock.now() + sub.budget_ms), deliver)
        refusal = self._refusal(sub)
        if refusal is not None:
            call.finish(refusal)
            return call
        heapq.heappush(self._queue, (0 if sub.urgent else 1, next(self._order), call))
        self._dispatch()
        return call

    def note_cancelled(self, call: LaneCall) -> None:
        """Ask the target to stop a search that it runs already."""
        if call.started and not call.sub.key:
            self._nursery.start_soon(self._cancel_at_target, call.sub)

    def take_leases(self) -> None:
        """Go on with what waits, or give it back when no slot is leased any more."""
        if self._lacks_lease():
            self._give_up_queue()
        self._dispatch()

    def reopen(self) -> None:
        """Take calls again; what has run on since the close still counts."""
        self._closed = False
        self._opened_at = self._clock.now()

    def close(self) -> None:
        """Refuse what waits and close what is idle; what runs goes on."""
        self._closed = True
        self._give_up_queue()
        idle, self._idle = self._idle, []
        for connection in idle:
            self._nursery.start_soon(self._close_connection, connection)

    async def probe(self) -> HttpReply | HttpFailure:
        """Ask the target for its status."""
        with move_on_after(Millis(self._settings.probe_timeout_ms)):
            connection = await self._connection(spare=True)
            if isinstance(connection, HttpFailure):
                return connection
            reply: HttpReply | HttpFailure = HttpFailure(True, "the probe was cut off")
            try:
                reply = await connection.request("GET", "/status")
            finally:
                self._give_back(connection)
            return reply
        return HttpFailure(True, "the probe took too long")

    async def warm(self) -> None:
        """Open connections up to the idle minimum, before anyone waits for one."""
        wanted = min(self._settings.idle_connections, self.connection_share)
        while not self._closed and self.open_connections < wanted:
            connection = await self._open()
            if isinstance(connection, HttpFailure):
                return
            self._give_back(connection)

    def _give_up_queue(self) -> None:
        for _, _, call in self._queue:
            call.finish(empty_reply(call.sub, SubOutcome.NOT_HOLDER, "no slot is leased"))
        self._queue.clear()

    def _lacks_lease(self) -> bool:
        """Say whether no slot is leased, though there was time to ask for one."""
        now = self._clock.now()
        return not self.leased_lots and now - self._opened_at > FIRST_LEASE_TIME

    def _refusal(self, sub: SubRequest) -> SubReply | None:
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
        ahead = sum(
            1
            for rank, _, call in self._queue
            if call.sub.searcher == sub.searcher and (rank == 0 or not sub.urgent)
        )
        if not self._service_times or not ahead:
            return Millis(0)
        mean = sum(self._service_times) / len(self._service_times)
        leased = max(1, self.lease.slots(slots, self._clock.now()))
        return Millis(mean * (ahead + 1) / leased)

    def _dispatch(self) -> None:
        """Start each waiting call whose searcher has a free slot."""
        while (call := self._take_next()) is not None:
            self._nursery.start_soon(self._serve, call)

    def _take_next(self) -> LaneCall | None:
        """Take the first waiting call that may run now, and its slot."""
        if self.in_flight >= self.connection_share:
            return None
        held_back: list[tuple[int, int, LaneCall]] = []
        taken: LaneCall | None = None
        while self._queue and taken is None:
            entry = heapq.heappop(self._queue)
            call = entry[2]
            if call.finished or self._is_late(call):
                continue
            if self._may_run(call.sub):
                taken = call
            else:
                held_back.append(entry)
        for entry in held_back:
            heapq.heappush(self._queue, entry)
        if taken is not None:
            name = taken.sub.searcher
            self.in_flight_by_searcher[name] = self.in_flight_by_searcher.get(name, 0) + 1
            self._suspect_runs = self._suspect_runs or taken.sub.suspect
        return taken

    def _is_late(self, call: LaneCall) -> bool:
        if self._clock.now() < call.give_up_at:
            return False
        call.finish(empty_reply(call.sub, SubOutcome.DEADLINE))
        return True

    def _may_run(self, sub: SubRequest) -> bool:
        """Say whether a slot is free; suspects run one by one, so that a death tells which."""
        if sub.suspect and self._suspect_runs:
            return False
        return self._slot_is_free(sub.searcher)

    def _slot_is_free(self, name: str) -> bool:
        return self.in_flight_by_searcher.get(name, 0) < self._leased_slots(name)

    def _leased_slots(self, name: str) -> int:
        searcher = self.report.by_searcher.get(name) if self.report else None
        slots = searcher.slots if searcher is not None else 1
        return self.lease.slots(slots, self._clock.now())

    async def _serve(self, first: LaneCall) -> None:
        """Run a call and then those that wait, on one connection after the other."""
        call: LaneCall | None = first
        while call is not None:
            try:
                await self._serve_one(call)
            finally:
                self.in_flight_by_searcher[call.sub.searcher] -= 1
                if call.sub.suspect:
                    self._suspect_runs = False
            call = self._take_next()

    async def _serve_one(self, call: LaneCall) -> None:
        started_at = self._clock.now()
        connection = await self._connection()
        if isinstance(connection, HttpFailure):
            call.finish(self._reply(call, SubOutcome.UNREACHABLE, connection.reason))
            return
        await self._exchange(call, connection)
        self._service_times.append(Millis(self._clock.now() - started_at))

    async def _exchange(self, call: LaneCall, connection: HttpConnection) -> None:
        """Send the call and hold its slot until the target replied or confirmed a cancel."""
        now = self._clock.now()
        wanted = Millis(call.give_up_at - now)
        budget = min(wanted, Millis(self.lease.run_until(now) - now))
        if call.finished or wanted <= 0:
            call.finish(self._reply(call, SubOutcome.DEADLINE))
            self._give_back(connection)
            return
        if self.in_flight_by_searcher[call.sub.searcher] > self._leased_slots(call.sub.searcher):
            call.finish(self._reply(call, SubOutcome.NOT_HOLDER, "the lease is over"))
            self._give_back(connection)
            return
        call.started = True
        try:
            with move_on_after(Millis(budget + self._settings.cancel_grace_ms)):
                answer = read_reply(call.sub, await self._send(call.sub, connection, budget))
                answer.queue = len(self._queue)
                if answer.outcome == SubOutcome.DEADLINE and budget < wanted:
                    answer.reason = "it ran longer than longest_run_ms"
                if answer.outcome == SubOutcome.BAD_REPLY:
                    connection.usable = False
                call.finish(answer)
            call.finish(self._reply(call, SubOutcome.DEADLINE, sent=True))
        finally:
            self._give_back(connection)

    def _reply(
        self, call: LaneCall, outcome: SubOutcome, reason: str = "", sent: bool = False
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

    async def _cancel_at_target(self, sub: SubRequest) -> None:
        """Ask the target to stop a search; its slot is free once the search's reply comes."""
        with move_on_after(Millis(self._settings.cancel_grace_ms)):
            connection = await self._connection(spare=True)
            if isinstance(connection, HttpFailure):
                return
            body = {"request_id": sub.request_id, "attempt": sub.attempt}
            try:
                await connection.request("POST", "/cancel", json.dumps(body).encode())
            finally:
                self._give_back(connection)

    async def _connection(self, spare: bool = False) -> HttpConnection | HttpFailure:
        """Take an idle connection or open one; a spare one may go one over the share in use."""
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
            self._nursery.start_soon(self._close_connection, connection)
        limit = self.report.connection_limit if self.report else 2
        if spare and self.open_connections >= min(limit, self.connection_share + 1):
            return HttpFailure(False, "no connection is free")
        return await self._open()

    async def _open(self) -> HttpConnection | HttpFailure:
        self.open_connections += 1
        opened: HttpConnection | HttpFailure = HttpFailure(False, "cut off")
        try:
            opened = await HttpConnection.open(self.vm.host, self.vm.port, CONNECT_TIMEOUT)
        finally:
            if isinstance(opened, HttpFailure):
                self.open_connections -= 1
        return opened

    def _give_back(self, connection: HttpConnection) -> None:
        if connection.usable and not self._closed:
            self._idle.append(connection)
        else:
            self._nursery.start_soon(self._close_connection, connection)

    async def _close_connection(self, connection: HttpConnection) -> None:
        try:
            await connection.close()
        finally:
            self.open_connections -= 1


async def keep_warm(lane: Lane, pause: Millis) -> None:
    """Keep a lane's idle connections open, for ever."""
    while True:
        await lane.warm()
        await sleep(pause)
