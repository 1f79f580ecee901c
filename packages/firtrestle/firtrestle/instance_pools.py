"""Send messages to instances over a bounded pool of kept-alive connections for each."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio
from loguru import logger

from firtrestle.backoffs import Backoffs
from firtrestle.clocks import Clock, Millis
from firtrestle.http_clients import (
    HttpConnection,
    HttpFailure,
    ReplyOverBounds,
)
from firtrestle.idle_connections import IdleConnection
from firtrestle.instance_calls import InstanceCall
from firtrestle.instance_replies import (
    CallerMessage,
    InstanceCodec,
    InstanceReply,
    failed_reply,
)
from firtrestle.instances import Instance
from firtrestle.isolations import faults
from firtrestle.receive_bounds import ReceiveMemory
from firtrestle.snapshots import ReplicaId
from firtrestle.unsent_replies import COLD, EVACUATED, GONE, PAUSED
from firtrestle.uplinks import Uplink
from firtrestle.warm_ups import WarmUps

# A loaded instance accepts within about 10 ms; a TCP retransmission takes longer than this timeout.
CONNECT_TIMEOUT = Millis(400)
MAX_IDLE_TIME = Millis(8_000)  # below the idle timeouts that instances announce
MAX_CONNECT_TIME = Millis(100)  # a connect that is abandoned later than this counts as failed

# Gets each reply with its message, also one that is no longer awaited.
ObserveReply = Callable[[Instance, CallerMessage, InstanceReply], None]


@dataclass(slots=True, eq=False)
class _Waiter:
    """Represent a call that waits for a connection, until one is free or the call is refused."""

    woken: trio.Event = field(default_factory=trio.Event)
    refusal: InstanceReply | None = None


@dataclass(frozen=True, slots=True)
class PoolTools:
    """Group what the pools of all instances share."""

    codec: InstanceCodec
    clock: Clock
    nursery: trio.Nursery
    backoffs: Backoffs
    warm_ups: WarmUps
    observe: ObserveReply
    memory: ReceiveMemory  # for unfinished replies
    uplink: Uplink
    source: str = ""  # local IP address to connect from, empty for the system's choice
    is_evacuated: Callable[[str], bool] = lambda data_centre: False


class InstancePool:
    """Pool the connections to one instance, up to `limit`."""

    def __init__(self, instance: Instance, tools: PoolTools) -> None:
        self.instance = instance
        self.limit = 1
        self.open_connections = 0
        self.connections_opened = 0
        self.replies_over_bounds = 0
        self._codec = tools.codec
        self._clock = tools.clock
        self._nursery = tools.nursery
        self._backoffs = tools.backoffs
        self._warm_ups = tools.warm_ups
        self._observe = tools.observe
        self._memory = tools.memory
        self._source = tools.source
        self._uplink = tools.uplink
        self._is_evacuated = tools.is_evacuated
        self._idle: list[IdleConnection] = []
        self._waiters: deque[_Waiter] = deque()
        self._calls: set[InstanceCall] = set()
        self._sent_calls: list[InstanceCall] = []
        self._closed = False

    def start(self, call: InstanceCall) -> InstanceCall:
        """Start a call; its reply is delivered once, unless the call is cancelled."""
        self._nursery.start_soon(self._run_call, call)
        return call

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for a connection."""
        return len(self._waiters)

    def is_silent(self, since: Millis, before: Millis) -> bool:
        """Return whether a call sent since a time and before another one is unanswered."""
        return any(
            call.sent_at is not None and since <= call.sent_at <= before
            for call in self._sent_calls
        )

    def has_idle(self) -> bool:
        """Return whether a connection is open that a call could use at once."""
        now = self._clock.now()
        return any(idle.is_usable(now) for idle in self._idle)

    def refuse_waiting(self, refusal: InstanceReply) -> None:
        """Answer the calls that wait for a connection, none of which was sent."""
        for waiter in self._waiters:
            waiter.refusal = refusal
            waiter.woken.set()
        self._waiters.clear()

    def close(self) -> None:
        """Refuse waiting calls, close idle connections, and close busy ones after their calls."""
        self._closed = True
        self.refuse_waiting(GONE)
        self._close_idle()

    def close_stale(self) -> None:
        """Close idle connections that expired or that the instance has closed or written to."""
        now = self._clock.now()
        kept: list[IdleConnection] = []
        for idle in self._idle:
            if idle.is_usable(now):
                kept.append(idle)
            else:
                self._nursery.start_soon(self._close_connection, idle.connection)
        self._idle = kept

    def abandon(self, reason: str) -> None:
        """End calls and close idle connections, as the links to the instance are lost.

        A message that was sent and must not be repeated goes on waiting for its reply.
        """
        for call in list(self._calls):
            if call.sent_at is None or not call.fresh:
                call.fail(reason)
        self._close_idle()

    def _close_idle(self) -> None:
        for idle in self._idle:
            self._nursery.start_soon(self._close_connection, idle.connection)
        self._idle.clear()

    async def _run_call(self, call: InstanceCall) -> None:
        self._calls.add(call)
        try:
            with call.scope:
                connection = await self._acquire_connection(call)
                if isinstance(connection, InstanceReply):
                    call.finish(connection)
                    return
                await self._exchange(call, connection)
        except Exception as error:  # the reply was not understood
            faults.record("call to an instance", error)
            failure = HttpFailure(call.sent_at is not None, f"the call failed: {error!r}")
            call.finish(failed_reply(failure))
        finally:
            self._calls.discard(call)

    async def _exchange(self, call: InstanceCall, connection: HttpConnection) -> None:
        message = call.message
        max_idle = MAX_IDLE_TIME
        # A call that was cancelled while it waited has been reported as not run.
        refusal = self._refusal()
        if call.finished:
            self._release_connection(connection, max_idle)
            return
        if refusal is None and not self._warm_ups.claim(
            self.instance.replica_id, message.request_id
        ):
            refusal = COLD
        if refusal is not None:
            call.finish(refusal)
            self._release_connection(connection, max_idle)
            return
        call.sent_at = self._clock.now()
        self._sent_calls.append(call)
        try:
            left = Millis(call.deadline - self._clock.now())
            request = self._codec.request(message, self.instance, left)
            reply = await connection.send_prepared(request, message.body, call.max_reply_bytes)
            if isinstance(reply, HttpFailure) and not isinstance(reply, ReplyOverBounds):
                self._uplink.record_failure(self.instance, call.opened_connection)
            else:
                self._uplink.record_heard(call.opened_connection, self.instance)
            if isinstance(reply, ReplyOverBounds):
                self._log_over_bounds(message, reply)
            if isinstance(reply, HttpFailure):
                call.finish(failed_reply(reply))
                return
            instance_reply = self._codec.read(message, reply)
            self._observe(self.instance, message, instance_reply)
            max_idle = min(max_idle, reply.keep_alive())
            if instance_reply.answers_other_request:
                connection.usable = False
            call.finish(instance_reply)
        except h11.LocalProtocolError as error:
            connection.usable = False
            call.finish(failed_reply(HttpFailure(False, f"the request can't be sent: {error}")))
        except trio.Cancelled:
            self._uplink.record_unanswered(self.instance, call.sent_at)
            raise
        finally:
            self._sent_calls.remove(call)
            self._release_connection(connection, max_idle)

    def _log_over_bounds(self, message: CallerMessage, failure: ReplyOverBounds) -> None:
        self.replies_over_bounds += 1
        logger.bind(
            request_id=message.request_id, instance=self.instance.id, reason=failure.reason
        ).warning("reply over its bounds, connection closed")

    def _refusal(self) -> InstanceReply | None:
        """Return the reply to a call that must not be sent now, None for others."""
        if self._closed:
            return GONE
        if self._is_evacuated(self.instance.data_centre):
            return EVACUATED
        return PAUSED if self._backoffs.left(self.instance.replica_id) else None

    async def _acquire_connection(self, call: InstanceCall) -> HttpConnection | InstanceReply:
        while True:
            refusal = self._refusal()
            if refusal is not None:
                return refusal
            while self._idle and not call.fresh:
                idle = self._idle.pop()
                if idle.is_usable(self._clock.now()):
                    return idle.connection
                await self._close_connection(idle.connection)
            if call.fresh and self._idle and self.open_connections >= self.limit:
                await self._close_connection(self._idle.pop(0).connection)
            if self.open_connections < self.limit:
                opened = await self._open_connection(call)
                return failed_reply(opened) if isinstance(opened, HttpFailure) else opened
            self._abort_cancelled_call()
            refusal = await self._wait_for_connection()
            if refusal is not None:
                return refusal

    def _abort_cancelled_call(self) -> None:
        """Abort a cancelled call whose reply is still awaited, to free its connection."""
        cancelled = next((call for call in self._sent_calls if call.finished), None)
        if cancelled is not None:
            cancelled.abort()

    async def _wait_for_connection(self) -> InstanceReply | None:
        """Wait until a connection may be free; return a reply if the call is refused instead."""
        waiter = _Waiter()
        self._waiters.append(waiter)
        try:
            await waiter.woken.wait()
        except trio.Cancelled:
            if waiter.woken.is_set():
                self._wake_next_waiter()
            else:
                self._waiters.remove(waiter)
            raise
        return waiter.refusal

    async def _open_connection(self, call: InstanceCall) -> HttpConnection | HttpFailure:
        self.open_connections += 1
        self.connections_opened += 1
        call.opened_connection = True
        opened: HttpConnection | HttpFailure = HttpFailure(False, "not opened")
        started_at = self._clock.now()
        try:
            left = Millis(call.deadline - started_at)
            timeout = min(CONNECT_TIMEOUT, left)
            opened = await HttpConnection.open(
                self.instance.host, self.instance.port, timeout, self._memory, self._source
            )
            if isinstance(opened, HttpFailure):
                self._uplink.record_failure(self.instance, is_new=True)
        except trio.Cancelled:
            if self._clock.now() - started_at >= MAX_CONNECT_TIME:
                self._uplink.record_failure(self.instance, is_new=True)
            raise
        finally:
            if isinstance(opened, HttpFailure):
                self._on_connection_closed()
        return opened

    def _release_connection(self, connection: HttpConnection, max_idle: Millis) -> None:
        if connection.usable and not self._closed and max_idle > 0:
            self._idle.append(IdleConnection(connection, self._clock.now(), max_idle))
            self._wake_next_waiter()
        else:
            self._nursery.start_soon(self._close_connection, connection)

    async def _close_connection(self, connection: HttpConnection) -> None:
        try:
            with trio.CancelScope(shield=True):
                await connection.close()
        finally:
            self._on_connection_closed()

    def _on_connection_closed(self) -> None:
        self.open_connections -= 1
        self._wake_next_waiter()

    def _wake_next_waiter(self) -> None:
        if self._waiters:
            self._waiters.popleft().woken.set()


class InstancePools:
    """Manage a connection pool for each instance (one start of a registered server)."""

    def __init__(self, tools: PoolTools) -> None:
        self._tools = tools
        self._pool_by_id: dict[ReplicaId, InstancePool] = {}
        self._replies_over_bounds_before = 0  # of pools that were removed

    def start(self, instance: Instance, call: InstanceCall, connections: int) -> InstanceCall:
        """Start a call to an instance over at most `connections` connections."""
        pool = self._pool_by_id.get(instance.replica_id)
        if pool is None:
            pool = InstancePool(instance, self._tools)
            self._pool_by_id[instance.replica_id] = pool
        pool.instance = instance  # its registration may have changed within one lifetime
        pool.limit = connections
        return pool.start(call)

    def has_idle(self, replica_id: ReplicaId) -> bool:
        """Return whether a connection to an instance is open that a call could use at once."""
        pool = self._pool_by_id.get(replica_id)
        return pool is not None and pool.has_idle()

    def remove(self, ids: set[ReplicaId]) -> None:
        """Close and remove the pools of deregistered instances."""
        for replica_id in ids:
            pool = self._pool_by_id.pop(replica_id, None)
            if pool is not None:
                self._replies_over_bounds_before += pool.replies_over_bounds
                pool.close()

    def abandon(self, reason: str) -> None:
        """End the calls to all instances, as this daemon's links to them are lost."""
        for pool in self._pool_by_id.values():
            pool.abandon(reason)

    def silent(self, since: Millis, duration: Millis) -> list[Instance]:
        """Return the instances with a call sent since a time and unanswered for a duration."""
        before = Millis(self._tools.clock.now() - duration)
        pools = self._pool_by_id.values()
        return [pool.instance for pool in pools if pool.is_silent(since, before)]

    def refuse_waiting(self, replica_id: ReplicaId, refusal: InstanceReply) -> None:
        """Answer the calls that wait for a connection to an instance, none of which was sent."""
        pool = self._pool_by_id.get(replica_id)
        if pool is not None:
            pool.refuse_waiting(refusal)

    def close_stale(self) -> None:
        """Close stale idle connections in all pools."""
        for pool in self._pool_by_id.values():
            pool.close_stale()

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for a connection, over all pools."""
        return sum(pool.waiting for pool in self._pool_by_id.values())

    @property
    def replies_over_bounds(self) -> int:
        """Return the number of replies ended as they exceeded their bounds, since the start."""
        pools = self._pool_by_id.values()
        return self._replies_over_bounds_before + sum(pool.replies_over_bounds for pool in pools)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections over all pools."""
        return sum(pool.open_connections for pool in self._pool_by_id.values())
