"""Bound what a peer can make this process receive: bytes, pieces and memory over all messages."""

from __future__ import annotations

from types import TracebackType

READ_BYTES = 16_384  # small, so that the events of one read hold the event loop only briefly
EVENTS_PER_TURN = 32  # of one message, before other tasks get a turn
# A piece is a chunk, or what one read returned; each costs processor time, however small it is.
FREE_PIECES = 1_024
MIN_PIECE_BYTES = 128  # least mean size of the pieces beyond the free ones
FREE_BYTES = 32_768  # of each message, which it may hold whatever the others hold


class ReceiveMemory:
    """Bound the bytes of unfinished messages over all connections."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return whether they were available."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes."""
        self.used_bytes -= size


class BodyOverBounds(Exception):
    """Report that a body exceeds one of its bounds."""


class MemoryUsedUp(BodyOverBounds):
    """Report that unfinished messages hold all the memory that is set aside for them."""


class BodyTooLarge(BodyOverBounds):
    """Report that a body has too many bytes."""


class BodyTooFragmented(BodyOverBounds):
    """Report that a body comes in too many small pieces."""


class BodyReader:
    """Collect the pieces of one body within its bounds; its memory is reserved until the exit.

    With `bounds_pieces`, too many small pieces are out of bounds as well.
    """

    def __init__(
        self,
        max_bytes: int,
        memory: ReceiveMemory | None = None,
        bounds_pieces: bool = True,
    ) -> None:
        self._max_bytes = max_bytes
        self._bounds_pieces = bounds_pieces
        self._memory = memory
        self._body = bytearray()
        self._pieces = 0
        self._reserved_bytes = 0

    def __enter__(self) -> BodyReader:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._memory is not None:
            self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def add(self, piece: bytes) -> None:
        """Append a piece; raise BodyTooLarge, BodyTooFragmented or MemoryUsedUp beyond a bound."""
        self._pieces += 1
        size = len(self._body) + len(piece)
        if size > self._max_bytes:
            raise BodyTooLarge(f"the body has over {self._max_bytes} bytes")
        if self._bounds_pieces and self._pieces > FREE_PIECES + size / MIN_PIECE_BYTES:
            raise BodyTooFragmented(f"the body has {self._pieces} pieces in {size} bytes")
        self._reserve(size - FREE_BYTES - self._reserved_bytes)
        self._body += piece

    def body(self) -> bytes:
        """Return what was collected."""
        return bytes(self._body)

    def _reserve(self, size: int) -> None:
        if self._memory is None or size <= 0:
            return
        if not self._memory.reserve(size):
            raise MemoryUsedUp(f"{self._memory.used_bytes} bytes of messages are unfinished")
        self._reserved_bytes += size
