"""Carry messages straight to instances over a few kept connections each."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio

from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis
from firtrestle.http_clients import HttpConnection, HttpFailure
from firtrestle.instances import Instance
from firtrestle.part_replies import CallerMessage, InstanceCodec, PartReply, failed_reply
from firtrestle.snapshots import ReplicaId

CONNECT_TIMEOUT = Millis(400)  # a loaded instance accepts in about 10 ms; one retransmit is longer
LONGEST_IDLE = Millis(8_000)  # below the idle time-outs that instances announce
DRAIN_TIME = Millis(150)  # some replies' time: a reply nobody waits for spares a new connection

DeliverPart = Callable[[PartReply], None]


@dataclass(slots=True, eq=False)
class PartCall:
    """Hold one message on its way to one instance; its reply is delivered once."""

    message: CallerMessage
    give_up_at: Millis
    deliver: DeliverPart
    fresh: bool  # on a connection of its own, as it can't be sent again
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    finished: bool = False
    is_sent: bool = False

    def finish(self, reply: PartReply) -> None:
        """Deliver the reply, unless the call is finished or cancelled."""
        if not self.finished:
            self.finished = True
            self.deliver(reply)

    def cancel(self) -> None:
        """Stop the call; a reply may still come for a moment, which keeps the connection."""
        self.finished = True
        if self.is_sent:
            self.scope.deadline = trio.current_time() + DRAIN_TIME / MILLIS_PER_SECOND
        else:
            self.scope.cancel()

    def break_off(self) -> None:
        """Stop a cancelled call at once; its connection is closed."""
        self.scope.cancel()


@dataclass(slots=True)
class _Idle:
    connection: HttpConnection
    since: Millis
    longest: Millis


class InstancePool:
    """Keep the connections to one start of one instance."""

    def __init__(
        self, instance: Instance, codec: InstanceCodec, clock: Clock, nursery: trio.Nursery
    ) -> None:
        self.instance = instance
        self.limit = 1
        self.open_connections = 0
        self.connections_opened = 0
        self._codec = codec
        self._clock = clock
        self._nursery = nursery
        self._idle: list[_Idle] = []
        self._waiting: deque[trio.Event] = deque()
        self._sent: list[PartCall] = []
        self._closed = False

    def start(self, call: PartCall) -> PartCall:
        """Send a message; its reply is delivered once, unless the call is cancelled."""
        self._nursery.start_soon(self._serve, call)
        return call

    @property
    def waiting(self) -> int:
        """Return the calls that wait for a connection."""
        return len(self._waiting)

    def close(self) -> None:
        """Close idle connections now and the others once they are done."""
        self._closed = True
        for idle in self._idle:
            self._nursery.start_soon(self._close_connection, idle.connection)
        self._idle.clear()

    def close_stale(self) -> None:
        """Close connections that were idle for too long or were ended by the instance."""
        now = self._clock.now()
        kept: list[_Idle] = []
        for idle in self._idle:
            if now - idle.since < idle.longest and idle.connection.is_quiet():
                kept.append(idle)
            else:
                self._nursery.start_soon(self._close_connection, idle.connection)
        self._idle = kept

    async def _serve(self, call: PartCall) -> None:
        with call.scope:
            connection = await self._connection(call)
            if isinstance(connection, HttpFailure):
                call.finish(failed_reply(connection))
                return
            await self._exchange(call, connection)

    async def _exchange(self, call: PartCall, connection: HttpConnection) -> None:
        message = call.message
        keep = LONGEST_IDLE
        call.is_sent = True
        self._sent.append(call)
        try:
            left = Millis(call.give_up_at - self._clock.now())
            request = self._codec.request(message, self.instance, left)
            reply = await connection.carry(request, message.body)
            if isinstance(reply, HttpFailure):
                call.finish(failed_reply(reply))
                return
            part = self._codec.read(message, reply)
            keep = min(keep, reply.keep_alive())
            if part.is_foreign:
                connection.usable = False
            call.finish(part)
        except h11.LocalProtocolError as error:
            connection.usable = False
            call.finish(failed_reply(HttpFailure(False, f"the request can't be sent: {error}")))
        finally:
            self._sent.remove(call)
            self._give_back(connection, keep)

    async def _connection(self, call: PartCall) -> HttpConnection | HttpFailure:
        while True:
            while self._idle and not call.fresh:
                idle = self._idle.pop()
                fit = self._clock.now() - idle.since < idle.longest
                if fit and idle.connection.is_quiet():
                    return idle.connection
                await self._close_connection(idle.connection)
            if call.fresh and self._idle and self.open_connections >= self.limit:
                await self._close_connection(self._idle.pop(0).connection)
            if self.open_connections < self.limit:
                return await self._open(call)
            self._break_off_drained()
            await self._wait_for_room()

    def _break_off_drained(self) -> None:
        """Free the connection of a call that nobody waits for, as one is needed."""
        drained = next((one for one in self._sent if one.finished), None)
        if drained is not None:
            drained.break_off()

    async def _wait_for_room(self) -> None:
        freed = trio.Event()
        self._waiting.append(freed)
        try:
            await freed.wait()
        except trio.Cancelled:
            if freed.is_set():
                self._wake_one()
            else:
                self._waiting.remove(freed)
            raise

    async def _open(self, call: PartCall) -> HttpConnection | HttpFailure:
        self.open_connections += 1
        self.connections_opened += 1
        opened: HttpConnection | HttpFailure = HttpFailure(False, "not opened")
        try:
            left = Millis(call.give_up_at - self._clock.now())
            timeout = min(CONNECT_TIMEOUT, left)
            opened = await HttpConnection.open(self.instance.host, self.instance.port, timeout)
        finally:
            if isinstance(opened, HttpFailure):
                self._free()
        return opened

    def _give_back(self, connection: HttpConnection, keep: Millis) -> None:
        if connection.usable and not self._closed and keep > 0:
            self._idle.append(_Idle(connection, self._clock.now(), keep))
            self._wake_one()
        else:
            self._nursery.start_soon(self._close_connection, connection)

    async def _close_connection(self, connection: HttpConnection) -> None:
        try:
            with trio.CancelScope(shield=True):
                await connection.close()
        finally:
            self._free()

    def _free(self) -> None:
        self.open_connections -= 1
        self._wake_one()

    def _wake_one(self) -> None:
        if self._waiting:
            self._waiting.popleft().set()


class InstancePools:
    """Keep a pool for each start of an instance."""

    def __init__(self, codec: InstanceCodec, clock: Clock, nursery: trio.Nursery) -> None:
        self._codec = codec
        self._clock = clock
        self._nursery = nursery
        self._pool_by_id: dict[ReplicaId, InstancePool] = {}

    def start(self, instance: Instance, call: PartCall, connections: int) -> PartCall:
        """Send a message to an instance within this daemon's share of its connections."""
        pool = self._pool_by_id.get(instance.replica_id)
        if pool is None:
            pool = InstancePool(instance, self._codec, self._clock, self._nursery)
            self._pool_by_id[instance.replica_id] = pool
        pool.limit = connections
        return pool.start(call)

    def forget(self, ids: set[ReplicaId]) -> None:
        """Close the pools of instances that are gone."""
        for replica_id in ids:
            pool = self._pool_by_id.pop(replica_id, None)
            if pool is not None:
                pool.close()

    def close_stale(self) -> None:
        """Close what was idle for too long in all pools."""
        for pool in self._pool_by_id.values():
            pool.close_stale()

    @property
    def waiting(self) -> int:
        """Return the calls that wait for a connection."""
        return sum(pool.waiting for pool in self._pool_by_id.values())

    @property
    def open_connections(self) -> int:
        """Return the open connections of all pools."""
        return sum(pool.open_connections for pool in self._pool_by_id.values())
