"""Hash text with xxHash, with the same result in every process."""

from __future__ import annotations

import xxhash


def hash32(text: str) -> int:
    """Return a 32-bit hash."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """Return a 64-bit hash."""
    return xxhash.xxh64_intdigest(text.encode())


def hex64(text: str) -> str:
    """Return a 64-bit hash as hexadecimal digits."""
    return xxhash.xxh64_hexdigest(text.encode())
