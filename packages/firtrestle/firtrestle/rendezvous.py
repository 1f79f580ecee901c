"""Rank daemons for a key by rendezvous hashing, with the same result in every daemon."""

from __future__ import annotations

from collections.abc import Iterable

from firtrestle.hashing import hash64


def rank(key: str, ids: Iterable[str]) -> list[str]:
    """Return the ids in order of rank; the first one owns the key."""
    return sorted(ids, key=lambda member_id: hash64(f"{key}\0{member_id}"), reverse=True)


def owner(key: str, ids: Iterable[str]) -> str | None:
    """Return the id that owns the key, or None if there are no ids."""
    return max(ids, key=lambda member_id: hash64(f"{key}\0{member_id}"), default=None)
