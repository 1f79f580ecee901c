"""Call other daemons over msgpack streams, and serve their calls."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgpack
import trio
from loguru import logger

from firtrestle.clocks import Millis, move_on_after
from firtrestle.messages import BadFrame, Cancel, Done, decode, encode, new_unpacker

CHUNK_BYTES = 65_536
MAX_QUEUED_FRAMES = 10_000
MAX_CALLS_SERVED = 10_000

ServeCall = Callable[[Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Hold where a daemon takes calls."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """Hold a failed call; `sent` says whether the peer may have seen it."""

    sent: bool
    reason: str


class PeerClient:
    """Keep one stream to one daemon, opened when first needed."""

    def __init__(self, address: PeerAddress, nursery: trio.Nursery) -> None:
        self.address = address
        self._nursery = nursery
        self._waiting_by_id: dict[int, tuple[trio.Event, list[Any]]] = {}
        self._ids = itertools.count(1)
        self._outgoing: trio.MemorySendChannel[bytes] | None = None
        self._opening = trio.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def call(self, value: Any, timeout: Millis) -> Any | PeerFailure:
        """Send a message and return the answer; a cancelled caller cancels the call."""
        with move_on_after(timeout):
            return await self._call(value)
        return PeerFailure(True, f"{self.address} took too long")

    async def _call(self, value: Any) -> Any | PeerFailure:
        outgoing = await self._channel()
        if isinstance(outgoing, PeerFailure):
            return outgoing
        call_id = next(self._ids)
        waiting: tuple[trio.Event, list[Any]] = (trio.Event(), [])
        self._waiting_by_id[call_id] = waiting
        try:
            outgoing.send_nowait(encode(call_id, value))
            await waiting[0].wait()
            return waiting[1][0]
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return PeerFailure(False, f"the stream to {self.address} is full or broken")
        except trio.Cancelled:
            self._send_quietly(encode(call_id, Cancel(call_id)))
            raise
        finally:
            self._waiting_by_id.pop(call_id, None)

    async def _channel(self) -> trio.MemorySendChannel[bytes] | PeerFailure:
        async with self._opening:
            if self._outgoing is not None:
                return self._outgoing
            try:
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port, happy_eyeballs_delay=None
                )
            except OSError as error:
                return PeerFailure(False, f"connecting to {self.address} failed: {error}")
            send, receive = trio.open_memory_channel(MAX_QUEUED_FRAMES)
            self._outgoing = send
            self._nursery.start_soon(self._run, stream, send, receive)
            return send

    async def _run(self, stream: trio.SocketStream, send: Any, receive: Any) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream, receive)
                await self._read(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, BadFrame) as errors:
            logger.debug("stream to {} ended: {}", self.address, errors.exceptions[0])
        finally:
            if self._outgoing is send:
                self._outgoing = None
            receive.close()
            self._fail_waiting()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _write(self, stream: trio.SocketStream, receive: Any) -> None:
        async for frame in receive:
            batch = _drain(receive, frame)
            self.bytes_sent += len(batch)
            await stream.send_all(batch)

    async def _read(self, stream: trio.SocketStream) -> None:
        unpacker = new_unpacker()
        while data := await stream.receive_some(CHUNK_BYTES):
            self.bytes_received += len(data)
            for call_id, value in _unpack(unpacker, data):
                waiting = self._waiting_by_id.get(call_id)
                if waiting is not None:
                    waiting[1].append(value)
                    waiting[0].set()

    def _fail_waiting(self) -> None:
        failure = PeerFailure(True, f"the stream to {self.address} ended")
        for event, values in self._waiting_by_id.values():
            values.append(failure)
            event.set()

    def _send_quietly(self, frame: bytes) -> None:
        if self._outgoing is None:
            return
        try:
            self._outgoing.send_nowait(frame)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return


class PeerClients:
    """Keep the clients of all daemons by their address."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self.by_address: dict[PeerAddress, PeerClient] = {}

    def get(self, address: PeerAddress) -> PeerClient:
        """Return the client of an address."""
        if address not in self.by_address:
            self.by_address[address] = PeerClient(address, self._nursery)
        return self.by_address[address]


class PeerServer:
    """Serve the calls of other daemons, one task for each stream."""

    def __init__(self, serve_call: ServeCall) -> None:
        self._serve_call = serve_call
        self.frames_refused = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one stream until it ends or breaks the protocol."""
        scope_by_id: dict[int, trio.CancelScope] = {}
        send, receive = trio.open_memory_channel(MAX_QUEUED_FRAMES)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream, receive)
                await self._read(stream, nursery, scope_by_id, send)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* (BadFrame, msgpack.UnpackException, ValueError) as errors:
            self.frames_refused += 1
            logger.warning("a peer broke the protocol: {}", errors.exceptions[0])
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _read(self, stream: Any, nursery: trio.Nursery, scopes: dict, send: Any) -> None:
        unpacker = new_unpacker()
        while data := await stream.receive_some(CHUNK_BYTES):
            self.bytes_received += len(data)
            for call_id, value in _unpack(unpacker, data):
                if isinstance(value, Cancel):
                    scope = scopes.get(value.call_id)
                    if scope is not None:
                        scope.cancel()
                elif len(scopes) >= MAX_CALLS_SERVED:
                    _answer(send, call_id, Done(False, "too many calls"))
                else:
                    scope = trio.CancelScope()
                    scopes[call_id] = scope
                    nursery.start_soon(self._serve_one, call_id, value, scopes, send)

    async def _serve_one(self, call_id: int, value: Any, scopes: dict, send: Any) -> None:
        try:
            with scopes[call_id]:
                answer = await self._serve_call(value)
                _answer(send, call_id, answer)
        except Exception:
            logger.exception("serving {} failed", type(value).__name__)
            _answer(send, call_id, Done(False, "failed"))
        finally:
            scopes.pop(call_id, None)

    async def _write(self, stream: trio.SocketStream, receive: Any) -> None:
        async for frame in receive:
            batch = _drain(receive, frame)
            self.bytes_sent += len(batch)
            await stream.send_all(batch)


def _answer(send: Any, call_id: int, value: Any) -> None:
    try:
        send.send_nowait(encode(call_id, value))
    except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
        logger.debug("an answer found no stream")


def _unpack(unpacker: msgpack.Unpacker, data: bytes):
    """Yield the messages that a chunk completes; raise BadFrame on bad bytes."""
    try:
        unpacker.feed(data)
        for raw in unpacker:
            yield decode(raw)
    except (msgpack.UnpackException, ValueError) as error:
        raise BadFrame(str(error)) from error


def _drain(receive: Any, first: bytes) -> bytes:
    """Join all frames that wait, so that one write carries them."""
    frames = [first]
    try:
        while True:
            frames.append(receive.receive_nowait())
    except (trio.WouldBlock, trio.EndOfChannel):
        return b"".join(frames)
