"""Spread stamped items of state to every daemon; the highest stamp wins."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.hashing import hash32
from firtrestle.messages import Items, Ping, Pong, Pull

BUCKETS = 64
BATCH_DELAY = Millis(5)
MAX_ITEMS_PER_PULL = 2_000
LARGE_BYTES = 1_024  # of a text or bytes, from which it is announced before it is sent
ASKED_FOR = Millis(500)  # time that an announced item is awaited from one peer alone

Guard = Callable[[str, int, Any], bool]
Listener = Callable[[str, "Item"], None]
CallPeer = Callable[[Any, Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Item:
    """Hold one value and the stamp that orders it."""

    stamp: int
    value: Any


class SpreadMap:
    """Hold all spread items, a digest over them, and who listens to what."""

    def __init__(self) -> None:
        self.by_key: dict[str, Item] = {}
        self.digest = [0] * BUCKETS
        self.changed: set[str] = set()
        self.changed_event = trio.Event()
        self._guards: list[tuple[str, Guard]] = []
        self._listeners: list[tuple[str, Listener]] = []

    def guard(self, prefix: str, accept: Guard) -> None:
        """Refuse items under a prefix unless `accept` returns true."""
        self._guards.append((prefix, accept))

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call a listener after an item under a prefix was accepted."""
        self._listeners.append((prefix, listener))

    def put(self, key: str, stamp: int, value: Any) -> bool:
        """Accept an item if it is newer and no guard refuses it."""
        held = self.by_key.get(key)
        if held is not None and held.stamp >= stamp:
            return False
        if not all(
            accept(key, stamp, value) for prefix, accept in self._guards if key.startswith(prefix)
        ):
            return False
        if held is not None:
            self._toggle(key, held.stamp)
        item = Item(stamp, value)
        self.by_key[key] = item
        self._toggle(key, stamp)
        self.changed.add(key)
        self.changed_event.set()
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, item)
        return True

    def remove(self, key: str) -> None:
        """Forget an item that no daemon needs any more."""
        held = self.by_key.pop(key, None)
        if held is not None:
            self._toggle(key, held.stamp)
            self.changed.discard(key)

    def under(self, prefix: str) -> dict[str, Item]:
        """Return the items under a prefix, by key."""
        return {key: item for key, item in self.by_key.items() if key.startswith(prefix)}

    def stamps_in(self, buckets: list[int]) -> dict[str, int]:
        """Return the stamps of all keys in some buckets."""
        wanted = set(buckets)
        return {key: item.stamp for key, item in self.by_key.items() if _bucket(key) in wanted}

    def differing(self, digest: list[int]) -> list[int]:
        """Return the buckets in which another digest differs."""
        if len(digest) != BUCKETS:
            return list(range(BUCKETS))
        return [index for index in range(BUCKETS) if digest[index] != self.digest[index]]

    def take_changed(self) -> list[list[Any]]:
        """Return the items changed since the last call, for a push."""
        keys, self.changed = self.changed, set()
        self.changed_event = trio.Event()
        return [_row(key, self.by_key[key]) for key in keys if key in self.by_key]

    def rows(self, keys: list[str]) -> list[list[Any]]:
        """Return items as [key, stamp, value]."""
        return [_row(key, self.by_key[key]) for key in keys if key in self.by_key]

    def put_rows(self, rows: list[list[Any]]) -> None:
        """Take in items that a peer sent; skip malformed ones."""
        for row in rows:
            if len(row) == 3 and isinstance(row[0], str) and isinstance(row[1], int):
                self.put(row[0], row[1], row[2])

    def _toggle(self, key: str, stamp: int) -> None:
        self.digest[_bucket(key)] ^= hash32(f"{key}@{stamp}")


class Spreader:
    """Push changes at once, and repair what pushes missed on each ping."""

    def __init__(self, items: SpreadMap, fanout: int, rng: random.Random, clock: Clock) -> None:
        self.items = items
        self._fanout = fanout
        self._rng = rng
        self._clock = clock
        self._asked_at_by_key: dict[str, Millis] = {}

    async def push_changes(self, live_peers: Callable[[], list[Any]], call: CallPeer) -> None:
        """Send each change to a few random peers, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.items.changed_event.wait()
                await sleep(BATCH_DELAY)
                push = _as_push(self.items.take_changed())
                peers = live_peers()
                for peer in self._rng.sample(peers, min(self._fanout, len(peers))):
                    nursery.start_soon(self._push, peer, push, call)

    async def _push(self, peer: Any, push: Pull, call: CallPeer) -> None:
        """Send small items at once, and large ones to a peer that asks for them."""
        answer = await call(peer, push)
        if isinstance(answer, Items) and answer.wanted:
            await call(peer, Pull([], self.items.rows(answer.wanted)))

    def serve_ping(self, ping: Ping) -> Pong:
        """Answer with the stamps of the buckets that differ from the sender's."""
        buckets = self.items.differing(ping.digest)
        return Pong(True, self.items.stamps_in(buckets), buckets)

    def serve_pull(self, pull: Pull) -> Items:
        """Take in the sender's items and return those it asks for."""
        self.items.put_rows(pull.items)
        wanted = [key for key, stamp in pull.announced.items() if self._wants(key, stamp)]
        return Items(self.items.rows(pull.keys[:MAX_ITEMS_PER_PULL]), wanted)

    def _wants(self, key: str, stamp: int) -> bool:
        """Say whether to ask for an announced item; one peer at a time is asked."""
        held = self.items.by_key.get(key)
        if held is not None and held.stamp >= stamp:
            return False
        now = self._clock.now()
        asked_at = self._asked_at_by_key.get(key)
        if asked_at is not None and now - asked_at < ASKED_FOR:
            return False
        self._asked_at_by_key[key] = now
        return True

    def repair_for(self, pong: Pong) -> Pull | None:
        """Work out what to fetch and hand over after a ping, if anything."""
        if not pong.buckets:
            return None
        mine = self.items.stamps_in(pong.buckets)
        wanted = [key for key, stamp in pong.stamps.items() if stamp > mine.get(key, -1)]
        newer = [key for key, stamp in mine.items() if stamp > pong.stamps.get(key, -1)]
        if not wanted and not newer:
            return None
        return Pull(wanted[:MAX_ITEMS_PER_PULL], self.items.rows(newer[:MAX_ITEMS_PER_PULL]))


def _bucket(key: str) -> int:
    return hash32(key) % BUCKETS


def _as_push(rows: list[list[Any]]) -> Pull:
    large = [row for row in rows if isinstance(row[2], str | bytes) and len(row[2]) >= LARGE_BYTES]
    small = [row for row in rows if row not in large]
    return Pull([], small, {key: stamp for key, stamp, _ in large})


def _row(key: str, item: Item) -> list[Any]:
    return [key, item.stamp, item.value]
