"""Read idempotency keys: UUIDs of version 7, which carry the time they were made."""

from __future__ import annotations

import uuid

from firtrestle.clocks import Millis

UUID_VERSION = 7
TIME_SHIFT = 80  # bits below the 48 bits of Unix milliseconds


def issue_time(key: str) -> Millis | None:
    """Return when a key was made, or None for what is no UUIDv7."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return Millis(float(parsed.int >> TIME_SHIFT))


def new_key(wall: Millis, random_bits: int) -> str:
    """Make a key for a moment from 74 random bits."""
    value = (int(wall) & (1 << 48) - 1) << TIME_SHIFT
    value |= UUID_VERSION << 76
    value |= (random_bits >> 62 & 0xFFF) << 64
    value |= 0b10 << 62
    value |= random_bits & (1 << 62) - 1
    return str(uuid.UUID(int=value))
