"""Bound transfers whose speed the other side sets: by their pauses, mean rate and memory."""

from __future__ import annotations

import math
import socket
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

import trio
from loguru import logger

from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis

MIN_BYTES_PER_MS = 1.0  # least mean rate of a transfer, beyond the pause that it may make
# Of what the kernel holds before it is sent. With more, a client that reads steadily would let a
# writer wait for long until the kernel takes the next bytes.
MAX_UNSENT_BYTES = 16_384
WRITE_BYTES = 16_384  # at a time, to streams that tell only when all of it is written


class Transfer:
    """Bound the time of one message that is read or written.

    It may pause for `max_pause`, and go no slower than at the least mean rate, whatever its length.
    """

    def __init__(self, clock: Clock, max_pause: Millis) -> None:
        self.started_at = clock.now()
        self._clock = clock
        self._max_pause = max_pause
        self._moved_at = self.started_at
        self._moved_bytes = 0

    def record(self, size: int) -> None:
        """Record that some bytes were read or written now."""
        self._moved_at = self._clock.now()
        self._moved_bytes += size

    def deadline(self) -> Millis:
        """Return when the transfer is to be ended unless further bytes move."""
        rated_time = self._moved_bytes / MIN_BYTES_PER_MS
        return Millis(min(self._moved_at, self.started_at + rated_time) + self._max_pause)

    def limit(self, scope: trio.CancelScope) -> None:
        """Let a scope end at the deadline."""
        scope.deadline = self.deadline() / MILLIS_PER_SECOND


@dataclass(eq=False, slots=True)
class ResponseWrite:
    """Track a response that its client has not read whole."""

    request_id: str
    left_bytes: int
    transfer: Transfer
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_evicted: bool = False  # for lack of memory

    def cost(self, now: Millis) -> float:
        """Return the memory that it has taken: bytes for as long as it has been written."""
        return self.left_bytes * (now - self.transfer.started_at)


class ResponseWrites:
    """Write responses, and bound the bytes of those that are not written whole over all clients.

    Where they exceed the bound, those are ended first that have taken the most memory for longest.
    """

    def __init__(self, limit_bytes: float = math.inf, clock: Clock | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.cut_by_reason: Counter[str] = Counter()
        self._clock = clock or Clock()
        self._open: set[ResponseWrite] = set()

    async def write(
        self, stream: trio.abc.Stream, data: bytes, max_pause: Millis, request_id: str = ""
    ) -> None:
        """Write a response; raise trio.BrokenResourceError if it is ended before its end."""
        write = ResponseWrite(request_id, len(data), Transfer(self._clock, max_pause))
        self._open.add(write)
        self.used_bytes += write.left_bytes
        if self.used_bytes > self.limit_bytes:
            self._evict()
        try:
            with write.scope:
                await self._write_all(stream, memoryview(data), write)
            if write.scope.cancelled_caught:
                raise trio.BrokenResourceError(self._record_cut(write))
        finally:
            self._open.discard(write)
            self.used_bytes -= write.left_bytes

    async def _write_all(
        self, stream: trio.abc.Stream, view: memoryview, write: ResponseWrite
    ) -> None:
        while view:
            write.transfer.limit(write.scope)
            size = await _write_some(stream, view)
            view = view[size:]
            write.left_bytes -= size
            self.used_bytes -= size
            write.transfer.record(size)

    def _evict(self) -> None:
        """End the costliest writes until the others fit."""
        now = self._clock.now()
        kept = [write for write in self._open if not write.is_evicted]
        kept_bytes = sum(write.left_bytes for write in kept)
        kept.sort(key=lambda write: write.cost(now), reverse=True)
        for write in kept[:-1]:  # a single one may exceed the bound
            if kept_bytes <= self.limit_bytes:
                return
            kept_bytes -= write.left_bytes
            write.is_evicted = True
            write.scope.cancel()

    def _record_cut(self, write: ResponseWrite) -> str:
        """Count and log a response that was ended; return the reason."""
        reason = "memory" if write.is_evicted else "not read"
        self.cut_by_reason[reason] += 1
        logger.bind(
            request_id=write.request_id,
            reason=reason,
            left_bytes=write.left_bytes,
            all_left_bytes=self.used_bytes,
            after_ms=round(self._clock.now() - write.transfer.started_at),
        ).warning("response ended before its client has read it")
        return f"a response was ended: {reason}"


def prepare_stream(stream: trio.abc.Stream) -> None:
    """Let the kernel hold few unsent bytes, so that writes tell how far the other side has read."""
    if isinstance(stream, trio.SocketStream):
        with suppress(OSError):  # the option is a hint; without it, pauses look longer
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)


async def _write_some(stream: trio.abc.Stream, view: memoryview) -> int:
    """Write at least one byte; return how many were written."""
    if not isinstance(stream, trio.SocketStream):
        piece = view[:WRITE_BYTES]
        await stream.send_all(piece)
        return len(piece)
    try:
        return await stream.socket.send(view)
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from None
