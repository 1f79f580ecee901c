"""Call other daemons over msgpack streams."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgpack
import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.frames import drain, unpack
from firtrestle.isolations import faults
from firtrestle.messages import AreYouThere, BadFrame, Cancel, encode, new_unpacker

CHUNK_BYTES = 65_536
MAX_QUEUED_FRAMES = 10_000
CONNECT_TIMEOUT = Millis(300)
WATCH_INTERVAL = Millis(200)
HANDSHAKE_ID = 0
KEEPALIVE_TIMEOUT = Millis(400)
IDLE_TIMEOUT = Millis(2_000)

Deliver = Callable[[Any], None]


class Cancellable(Protocol):
    """Define a call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; it delivers nothing from now on."""


class _Finished:
    finished = True

    def cancel(self) -> None:
        return


FINISHED: Cancellable = _Finished()  # stands for a call that has already delivered


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Represent the address at which a daemon serves peers."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> PeerAddress:
        """Parse "IP:port"; raise ValueError if the port is not a number."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """Represent a failed call; `sent` tells whether the peer may have received it."""

    sent: bool
    reason: str


class PeerClient:
    """Multiplex calls to one daemon over one stream, opened on demand."""

    def __init__(
        self,
        address: PeerAddress,
        nursery: trio.Nursery,
        idle_timeout: Millis = IDLE_TIMEOUT,
        source: str | None = None,
    ) -> None:
        self.address = address
        self._nursery = nursery
        self._idle_timeout = idle_timeout
        self._source = source
        self._deliver_by_id: dict[int, Deliver] = {}
        self._ids = itertools.count(1)
        self._outgoing: trio.MemorySendChannel[bytes] | None = None
        self._queued_frames: list[tuple[int, bytes]] = []
        self.bytes_sent = 0
        self.bytes_received = 0
        self._used = False
        self._released = False
        self._clock = Clock()
        self._received_at = Millis(0)
        self._keepalive_at: Millis | None = None  # when an unanswered keep-alive was sent

    async def call(self, value: Any, timeout: Millis) -> Any | PeerFailure:
        """Send a message and return its answer; the call is cancelled with its caller."""
        answers: list[Any] = []
        answered = trio.Event()

        def deliver(answer: Any) -> None:
            answers.append(answer)
            answered.set()

        call = self.start(value, deliver)
        try:
            with move_on_after(timeout):
                await answered.wait()
        finally:
            if not answers:
                call.cancel()
        return answers[0] if answers else PeerFailure(True, f"{self.address} took too long")

    def release(self) -> None:
        """Close the stream at the next check unless a call is open or starts."""
        self._released = True

    def start(self, value: Any, deliver: Deliver) -> PeerCall:
        """Send a message; deliver its answer or a failure once, unless the call is cancelled."""
        self._used = True
        self._released = False
        return self._start(value, deliver)

    def _start(self, value: Any, deliver: Deliver) -> PeerCall:
        """Send a message without marking the stream as used or undoing its release."""
        call = PeerCall(self, next(self._ids))
        self._deliver_by_id[call.id] = deliver
        frame = encode(call.id, value)
        if self._outgoing is None:
            self._queue_until_open(call.id, frame)
        elif not self._send(self._outgoing, frame):
            self._fail(call.id, PeerFailure(False, f"the stream to {self.address} is full"))
        return call

    def cancel(self, call_id: int) -> None:
        """Drop a call and send its cancellation to the peer."""
        if self._deliver_by_id.pop(call_id, None) is not None and self._outgoing is not None:
            self._send(self._outgoing, encode(call_id, Cancel(call_id)))

    def _queue_until_open(self, call_id: int, frame: bytes) -> None:
        """Queue a frame until the stream is open; all queued frames share one connect."""
        self._queued_frames.append((call_id, frame))
        if len(self._queued_frames) == 1:
            self._nursery.start_soon(self._open)

    async def _open(self) -> None:
        unpacker = new_unpacker()
        try:
            stream = await self._connect(unpacker)
            reason = f"{self.address} did not answer in time"
        except Exception as error:
            stream = None
            reason = f"connecting to {self.address} failed: {error}"
            if not isinstance(error, OSError):
                faults.record("stream to a peer", error)
        queued, self._queued_frames = self._queued_frames, []
        if stream is None:
            for call_id, _ in queued:
                self._fail(call_id, PeerFailure(False, reason))
            return
        send, receive = trio.open_memory_channel(MAX_QUEUED_FRAMES)
        self._outgoing = send
        self._received_at = self._clock.now()
        self._keepalive_at = None
        self._nursery.start_soon(self._run, stream, unpacker, send, receive)
        for call_id, frame in queued:
            if call_id in self._deliver_by_id and not self._send(send, frame):
                self._fail(call_id, PeerFailure(False, f"the stream to {self.address} is full"))

    async def _connect(self, unpacker: msgpack.Unpacker) -> trio.SocketStream | None:
        """Open a stream and wait for a handshake answer, so that no call goes to a dead peer.

        Return None without an answer in time. The answer may arrive in pieces; the unpacker keeps
        the bytes that follow it.
        """
        stream: trio.SocketStream | None = None
        answered = False
        try:
            with move_on_after(CONNECT_TIMEOUT):
                stream = await trio.open_tcp_stream(
                    self.address.host,
                    self.address.port,
                    happy_eyeballs_delay=None,
                    local_address=self._source,
                )
                await stream.send_all(encode(HANDSHAKE_ID, AreYouThere()))
                while not answered and (data := await stream.receive_some(CHUNK_BYTES)):
                    answered = bool(list(unpack(unpacker, data)))
        except (trio.BrokenResourceError, BadFrame) as error:
            logger.debug("{} did not answer the handshake: {}", self.address, error)
        finally:
            if stream is not None and not answered:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
        return stream if answered else None

    def _send(self, outgoing: trio.MemorySendChannel[bytes], frame: bytes) -> bool:
        try:
            outgoing.send_nowait(frame)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    def _fail(self, call_id: int, failure: PeerFailure) -> None:
        deliver = self._deliver_by_id.pop(call_id, None)
        if deliver is not None:
            deliver(failure)

    async def _run(
        self, stream: trio.SocketStream, unpacker: msgpack.Unpacker, send: Any, receive: Any
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream, receive)
                nursery.start_soon(self._close_when_unused, send, nursery.cancel_scope)
                await self._read(stream, unpacker)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, BadFrame) as errors:
            logger.debug("stream to {} ended: {}", self.address, errors.exceptions[0])
        except* Exception as errors:
            faults.record("stream to a peer", errors)
        finally:
            receive.close()
            if self._outgoing is send:
                self._outgoing = None
                self._fail_open_calls()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _write(self, stream: trio.SocketStream, receive: Any) -> None:
        async for frame in receive:
            batch = drain(receive, frame)
            self.bytes_sent += len(batch)
            await stream.send_all(batch)

    async def _read(self, stream: trio.SocketStream, unpacker: msgpack.Unpacker) -> None:
        while data := await stream.receive_some(CHUNK_BYTES):
            self.bytes_received += len(data)
            self._received_at = self._clock.now()
            self._keepalive_at = None
            for call_id, value in unpack(unpacker, data):
                deliver = self._deliver_by_id.pop(call_id, None)
                if deliver is not None:
                    deliver(value)

    async def _close_when_unused(self, send: Any, scope: trio.CancelScope) -> None:
        """Close a stream that is idle, or silent while calls are open."""
        used_at = checked_at = self._clock.now()
        while True:
            await sleep(WATCH_INTERVAL)
            now = self._clock.now()
            if now - checked_at > 2 * WATCH_INTERVAL:
                self._received_at = now  # this process was paused, not the peer
                self._keepalive_at = None
            checked_at = now
            if self._deliver_by_id or (self._used and not self._released):
                self._used = False
                used_at = now
            idle_timeout = WATCH_INTERVAL if self._released else self._idle_timeout
            if now - used_at > idle_timeout or self._is_silent(now):
                break
        if self._outgoing is send:
            self._outgoing = None
            self._fail_open_calls()
        scope.cancel()

    def _is_silent(self, now: Millis) -> bool:
        """Send a keep-alive if calls are open and nothing arrives; return whether it timed out."""
        if not self._deliver_by_id or now - self._received_at < WATCH_INTERVAL:
            return False
        if self._keepalive_at is None:
            self._keepalive_at = now
            self._start(AreYouThere(), _ignore)
        return now - self._keepalive_at > KEEPALIVE_TIMEOUT

    def _fail_open_calls(self) -> None:
        for call_id in list(self._deliver_by_id):
            self._fail(call_id, PeerFailure(True, f"the stream to {self.address} ended"))


@dataclass(frozen=True, slots=True)
class PeerCall:
    """Represent one open call to a peer."""

    client: PeerClient
    id: int

    def cancel(self) -> None:
        """Cancel the call; it delivers nothing from now on."""
        self.client.cancel(self.id)


class PeerClients:
    """Hold one client per daemon address; `source` is the local IP address to connect from."""

    def __init__(self, nursery: trio.Nursery, source: str | None = None) -> None:
        self._nursery = nursery
        self._source = source
        self.by_address: dict[PeerAddress, PeerClient] = {}

    def get(self, address: PeerAddress) -> PeerClient:
        """Return the client of an address, created when first asked for."""
        if address not in self.by_address:
            self.by_address[address] = PeerClient(address, self._nursery, source=self._source)
        return self.by_address[address]


def _ignore(answer: Any) -> None:
    return
