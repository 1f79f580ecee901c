"""Read and make idempotency keys: UUIDs of version 7, which contain their creation time."""

from __future__ import annotations

import uuid

from firtrestle.clocks import Millis

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80  # below the 48 bits of Unix milliseconds


def issue_time(key: str) -> Millis | None:
    """Return the creation time of a key in Unix ms, or None if it is not a UUIDv7."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return Millis(float(parsed.int >> TIMESTAMP_SHIFT_BITS))


def new_key(wall: Millis, random_bits: int) -> str:
    """Return a key for a time in Unix ms and 74 random bits."""
    value = (int(wall) & (1 << 48) - 1) << TIMESTAMP_SHIFT_BITS
    value |= UUID_VERSION << 76
    value |= (random_bits >> 62 & 0xFFF) << 64
    value |= 0b10 << 62
    value |= random_bits & (1 << 62) - 1
    return str(uuid.UUID(int=value))
