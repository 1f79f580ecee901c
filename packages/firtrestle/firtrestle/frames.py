"""Decode and batch the msgpack frames of a peer stream."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgpack
import trio

from firtrestle.messages import BadFrame, decode


def unpack(unpacker: msgpack.Unpacker, data: bytes) -> Iterator[tuple[int, Any]]:
    """Yield (call id, message) for each frame that a chunk completes.

    Raise BadFrame on bytes that are no valid frame.
    """
    try:
        unpacker.feed(data)
        for raw in unpacker:
            yield decode(raw)
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise BadFrame(str(error)) from error


def drain(receive: trio.MemoryReceiveChannel[bytes], first: bytes) -> bytes:
    """Join a frame with all queued ones, so that one write sends them."""
    frames = [first]
    try:
        while True:
            frames.append(receive.receive_nowait())
    except (trio.WouldBlock, trio.EndOfChannel):
        return b"".join(frames)
