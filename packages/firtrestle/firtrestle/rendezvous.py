"""Rank daemons for a key, the same way in every daemon."""

from __future__ import annotations

from collections.abc import Iterable

from firtrestle.hashing import hash64


def rank(key: str, ids: Iterable[str]) -> list[str]:
    """Return the ids, the one that owns the key first."""
    return sorted(ids, key=lambda one: hash64(f"{key}\0{one}"), reverse=True)


def owner(key: str, ids: Iterable[str]) -> str | None:
    """Return the id that owns the key, or None of none."""
    return max(ids, key=lambda one: hash64(f"{key}\0{one}"), default=None)
