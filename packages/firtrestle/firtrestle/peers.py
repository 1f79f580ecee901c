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
from firtrestle.messages import AreYouThere, BadFrame, Cancel, encode, new_unpacker

CHUNK_BYTES = 65_536
MAX_QUEUED_FRAMES = 10_000
CONNECT_TIMEOUT = Millis(300)
TICK = Millis(200)
GREETING_ID = 0
LONGEST_SILENCE = Millis(400)  # of a peer that was asked for a sign of life
LONGEST_IDLE = Millis(2_000)

Deliver = Callable[[Any], None]


class Cancellable(Protocol):
    """Stop a call that nobody waits for."""

    def cancel(self) -> None:
        """Stop the call; it delivers nothing from now on."""


class _Finished:
    finished = True

    def cancel(self) -> None:
        return


FINISHED: Cancellable = _Finished()  # a call that is over


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Hold where a daemon takes calls."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> PeerAddress:
        """Read "IP:port"."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """Hold a failed call; `sent` says whether the peer may have seen it."""

    sent: bool
    reason: str


class PeerClient:
    """Keep one stream to one daemon, opened when first needed."""

    def __init__(
        self,
        address: PeerAddress,
        nursery: trio.Nursery,
        idle: Millis = LONGEST_IDLE,
        source: str | None = None,
    ) -> None:
        self.address = address
        self._nursery = nursery
        self._idle = idle
        self._source = source
        self._deliver_by_id: dict[int, Deliver] = {}
        self._ids = itertools.count(1)
        self._outgoing: trio.MemorySendChannel[bytes] | None = None
        self._frames_waiting: list[tuple[int, bytes]] = []
        self.bytes_sent = 0
        self.bytes_received = 0
        self._used = False
        self._released = False
        self._clock = Clock()
        self._received_at = Millis(0)
        self._asked_at: Millis | None = None  # for a sign of life that has not come yet

    async def call(self, value: Any, timeout: Millis) -> Any | PeerFailure:
        """Send a message and return the answer; a cancelled caller cancels the call."""
        answers: list[Any] = []
        answered = trio.Event()

        def deliver(answer: Any) -> None:
            answers.append(answer)
            answered.set()

        started = self.start(value, deliver)
        try:
            with move_on_after(timeout):
                await answered.wait()
        finally:
            if not answers:
                started.cancel()
        return answers[0] if answers else PeerFailure(True, f"{self.address} took too long")

    def release(self) -> None:
        """Let the stream be closed soon unless another call comes."""
        self._released = True

    def start(self, value: Any, deliver: Deliver) -> PeerCall:
        """Send a message; its answer, or a failure, is delivered once unless cancelled."""
        self._used = True
        self._released = False
        return self._start(value, deliver)

    def _start(self, value: Any, deliver: Deliver) -> PeerCall:
        call = PeerCall(self, next(self._ids))
        self._deliver_by_id[call.id] = deliver
        frame = encode(call.id, value)
        if self._outgoing is None:
            self._wait_for_stream(call.id, frame)
        elif not self._send(self._outgoing, frame):
            self._fail(call.id, PeerFailure(False, f"the stream to {self.address} is full"))
        return call

    def cancel(self, call_id: int) -> None:
        """Forget a call, and tell the peer to stop it."""
        if self._deliver_by_id.pop(call_id, None) is not None and self._outgoing is not None:
            self._send(self._outgoing, encode(call_id, Cancel(call_id)))

    def _wait_for_stream(self, call_id: int, frame: bytes) -> None:
        """Hold a frame until the stream is open; one attempt to open it serves all that wait."""
        self._frames_waiting.append((call_id, frame))
        if len(self._frames_waiting) == 1:
            self._nursery.start_soon(self._open)

    async def _open(self) -> None:
        unpacker = new_unpacker()
        try:
            stream = await self._connect(unpacker)
            reason = f"{self.address} did not answer in time"
        except OSError as error:
            stream = None
            reason = f"connecting to {self.address} failed: {error}"
        waiting, self._frames_waiting = self._frames_waiting, []
        if stream is None:
            for call_id, _ in waiting:
                self._fail(call_id, PeerFailure(False, reason))
            return
        send, receive = trio.open_memory_channel(MAX_QUEUED_FRAMES)
        self._outgoing = send
        self._received_at = self._clock.now()
        self._asked_at = None
        self._nursery.start_soon(self._run, stream, unpacker, send, receive)
        for call_id, frame in waiting:
            if call_id in self._deliver_by_id and not self._send(send, frame):
                self._fail(call_id, PeerFailure(False, f"the stream to {self.address} is full"))

    async def _connect(self, unpacker: msgpack.Unpacker) -> trio.SocketStream | None:
        """Open a stream and see it answered, so that no call is sent into the void.

        The answer may come in pieces; the unpacker goes on with what follows it.
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
                await stream.send_all(encode(GREETING_ID, AreYouThere()))
                while not answered and (data := await stream.receive_some(CHUNK_BYTES)):
                    answered = bool(list(unpack(unpacker, data)))
        except (trio.BrokenResourceError, BadFrame) as error:
            logger.debug("{} did not answer the greeting: {}", self.address, error)
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
                nursery.start_soon(self._watch, send, nursery.cancel_scope)
                await self._read(stream, unpacker)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, BadFrame) as errors:
            logger.debug("stream to {} ended: {}", self.address, errors.exceptions[0])
        finally:
            receive.close()
            if self._outgoing is send:
                self._outgoing = None
                self._fail_waiting()
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
            self._asked_at = None
            for call_id, value in unpack(unpacker, data):
                deliver = self._deliver_by_id.pop(call_id, None)
                if deliver is not None:
                    deliver(value)

    async def _watch(self, send: Any, scope: trio.CancelScope) -> None:
        """End a stream that is unused, or silent while calls wait for it."""
        used_at = ticked_at = self._clock.now()
        while True:
            await sleep(TICK)
            now = self._clock.now()
            if now - ticked_at > 2 * TICK:
                self._received_at = now  # this process slept, not the peer
                self._asked_at = None
            ticked_at = now
            if self._deliver_by_id or (self._used and not self._released):
                self._used = False
                used_at = now
            idle = TICK if self._released else self._idle
            if now - used_at > idle or self._is_silent(now):
                break
        if self._outgoing is send:
            self._outgoing = None
            self._fail_waiting()
        scope.cancel()

    def _is_silent(self, now: Millis) -> bool:
        """Ask a peer that owes an answer for a sign of life; say whether it gave none in time."""
        if not self._deliver_by_id or now - self._received_at < TICK:
            return False
        if self._asked_at is None:
            self._asked_at = now
            self._start(AreYouThere(), _ignore)
        return now - self._asked_at > LONGEST_SILENCE

    def _fail_waiting(self) -> None:
        for call_id in list(self._deliver_by_id):
            self._fail(call_id, PeerFailure(True, f"the stream to {self.address} ended"))


@dataclass(frozen=True, slots=True)
class PeerCall:
    """Hold one call to a peer."""

    client: PeerClient
    id: int

    def cancel(self) -> None:
        """Stop the call; it delivers nothing from now on."""
        self.client.cancel(self.id)


class PeerClients:
    """Keep the clients of all daemons by their address; `source` is the IP number to dial from."""

    def __init__(self, nursery: trio.Nursery, source: str | None = None) -> None:
        self._nursery = nursery
        self._source = source
        self.by_address: dict[PeerAddress, PeerClient] = {}

    def get(self, address: PeerAddress) -> PeerClient:
        """Return the client of an address."""
        if address not in self.by_address:
            self.by_address[address] = PeerClient(address, self._nursery, source=self._source)
        return self.by_address[address]


def _ignore(answer: Any) -> None:
    return
