"""Serve the calls of other daemons over msgpack streams."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from loguru import logger

from firtrestle.frames import drain, unpack
from firtrestle.isolations import faults, first_leaf
from firtrestle.messages import BadFrame, Cancel, Done, SubRequest, encode, new_unpacker
from firtrestle.peers import (
    CHUNK_BYTES,
    FINISHED,
    MAX_QUEUED_FRAMES,
    Cancellable,
    Deliver,
    PeerFailure,
)

MAX_CALLS_PER_STREAM = 10_000

ServeCall = Callable[[Any], Awaitable[Any]]
StartSubRequest = Callable[[SubRequest, Deliver], Cancellable]


class PeerServer:
    """Serve the calls of other daemons; each stream runs in its own task."""

    def __init__(self, serve_call: ServeCall, start_sub_request: StartSubRequest) -> None:
        self._serve_call = serve_call
        self._start_sub_request = start_sub_request
        self.frames_refused = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one stream until it ends or breaks the protocol, then cancel its calls."""
        call_by_id: dict[int, Cancellable] = {}
        send, receive = trio.open_memory_channel(MAX_QUEUED_FRAMES)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream, receive)
                await self._read(stream, nursery, call_by_id, send)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* BadFrame as errors:
            self.frames_refused += 1
            logger.warning("invalid frame from a peer, closing the stream: {}", first_leaf(errors))
        except* Exception as errors:
            faults.record("stream of a peer", errors)
        finally:
            for call in list(call_by_id.values()):
                call.cancel()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _read(
        self,
        stream: trio.SocketStream,
        nursery: trio.Nursery,
        call_by_id: dict[int, Cancellable],
        send: Any,
    ) -> None:
        unpacker = new_unpacker()
        while data := await stream.receive_some(CHUNK_BYTES):
            self.bytes_received += len(data)
            for call_id, value in unpack(unpacker, data):
                self._start(call_id, value, nursery, call_by_id, send)

    def _start(
        self,
        call_id: int,
        value: Any,
        nursery: trio.Nursery,
        call_by_id: dict[int, Cancellable],
        send: Any,
    ) -> None:
        def deliver(answer: Any) -> None:
            call_by_id.pop(call_id, None)
            _answer(send, call_id, answer)

        if isinstance(value, Cancel):
            call = call_by_id.pop(value.call_id, None)
            if call is not None:
                call.cancel()
        elif len(call_by_id) >= MAX_CALLS_PER_STREAM:
            _answer(send, call_id, Done(False, "too many calls"))
        elif isinstance(value, SubRequest):
            call = self._start_sub_request(value, deliver)
            if not getattr(call, "finished", False):
                call_by_id[call_id] = call
        else:
            call_by_id[call_id] = scope = trio.CancelScope()
            nursery.start_soon(self._serve_in_scope, value, scope, deliver)

    async def _serve_in_scope(self, value: Any, scope: trio.CancelScope, deliver: Deliver) -> None:
        with scope:
            try:
                deliver(await self._serve_call(value))
            except Exception as error:
                faults.record(f"{type(value).__name__} from a peer", error)
                deliver(Done(False, "failed"))

    async def _write(self, stream: trio.SocketStream, receive: Any) -> None:
        async for frame in receive:
            batch = drain(receive, frame)
            self.bytes_sent += len(batch)
            await stream.send_all(batch)


def refuse_sub_request(sub: SubRequest, deliver: Deliver) -> Cancellable:
    """Refuse a sub-request of a peer, for a daemon that sends its own straight to instances."""
    deliver(PeerFailure(False, "sub-requests go straight to instances"))
    return FINISHED


def _answer(send: Any, call_id: int, value: Any) -> None:
    try:
        send.send_nowait(encode(call_id, value))
    except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
        logger.debug("answer to a peer dropped: the stream is closed or its queue is full")
