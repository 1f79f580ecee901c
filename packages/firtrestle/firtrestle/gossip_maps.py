"""Gossip stamped items of state to every daemon; the highest stamp wins."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.hashing import hash32
from firtrestle.isolations import faults
from firtrestle.messages import Items, Ping, Pong, Pull
from firtrestle.registry_eras import RegistryEras

BUCKETS = 64
BATCH_DELAY = Millis(5)
MAX_ITEMS_PER_PULL = 2_000
LARGE_VALUE_BYTES = 1_024  # text or bytes of this size are announced before being sent
INSTANCE_PREFIX = "instance/"
EVACUATION_PREFIX = "evacuation/"
WARM_UP_PREFIX = "warm-up/"
# Of items whose stamps are revisions of a registry.
ERA_BOUND_PREFIXES = (INSTANCE_PREFIX, EVACUATION_PREFIX, WARM_UP_PREFIX)
REQUEST_WAIT = Millis(500)  # how long an announced item is awaited before another peer is asked

Validator = Callable[[str, int, Any], bool]
Listener = Callable[[str, "Item"], None]
CallPeer = Callable[[Any, Any], Awaitable[Any]]


@dataclass(frozen=True, slots=True)
class Item:
    """Represent one version of a value, ordered by its stamp."""

    stamp: int
    value: Any


class GossipMap:
    """Store all gossip items, a digest of them by bucket, and the validators and listeners."""

    def __init__(self) -> None:
        self.by_key: dict[str, Item] = {}
        self.digest = [0] * BUCKETS
        self.changed: set[str] = set()
        self.changed_event = trio.Event()
        self._validators: list[tuple[str, Validator]] = []
        self._listeners: list[tuple[str, Listener]] = []

    def add_validator(self, prefix: str, accept: Validator) -> None:
        """Refuse items whose key has a prefix unless `accept` returns true."""
        self._validators.append((prefix, accept))

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call a listener after an item whose key has a prefix was accepted."""
        self._listeners.append((prefix, listener))

    def put(self, key: str, stamp: int, value: Any) -> bool:
        """Store an item if it is newer and valid; return whether it was stored."""
        current = self.by_key.get(key)
        if current is not None and current.stamp >= stamp:
            return False
        if not all(
            accept(key, stamp, value)
            for prefix, accept in self._validators
            if key.startswith(prefix)
        ):
            return False
        if current is not None:
            self._toggle_in_digest(key, current.stamp)
        item = Item(stamp, value)
        self.by_key[key] = item
        self._toggle_in_digest(key, stamp)
        self.changed.add(key)
        self.changed_event.set()
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                listener(key, item)
        return True

    def remove(self, key: str) -> None:
        """Remove an item that no daemon needs any more."""
        removed = self.by_key.pop(key, None)
        if removed is not None:
            self._toggle_in_digest(key, removed.stamp)
            self.changed.discard(key)

    def restamp(self, prefix: str, stamp: int) -> None:
        """Give the items whose key has a prefix another stamp, which is not told to peers."""
        for key, item in self.with_prefix(prefix).items():
            self._toggle_in_digest(key, item.stamp)
            self.by_key[key] = Item(stamp, item.value)
            self._toggle_in_digest(key, stamp)
            self.changed.discard(key)

    def with_prefix(self, prefix: str) -> dict[str, Item]:
        """Return the items whose key has a prefix, by key."""
        return {key: item for key, item in self.by_key.items() if key.startswith(prefix)}

    def stamps_in(self, buckets: list[int]) -> dict[str, int]:
        """Return the stamps of all items in some buckets, by key."""
        bucket_set = set(buckets)
        return {key: item.stamp for key, item in self.by_key.items() if _bucket(key) in bucket_set}

    def differing_buckets(self, digest: list[int]) -> list[int]:
        """Return the buckets in which another daemon's digest differs; all if its length does."""
        if len(digest) != BUCKETS:
            return list(range(BUCKETS))
        return [index for index in range(BUCKETS) if digest[index] != self.digest[index]]

    def take_changed(self) -> list[list[Any]]:
        """Return the items changed since the last call, as rows for a push."""
        keys, self.changed = self.changed, set()
        self.changed_event = trio.Event()
        return [_row(key, self.by_key[key]) for key in keys if key in self.by_key]

    def rows(self, keys: list[str]) -> list[list[Any]]:
        """Return the items held of some keys, as rows [key, stamp, value]."""
        return [_row(key, self.by_key[key]) for key in keys if key in self.by_key]

    def put_rows(self, rows: list[list[Any]]) -> None:
        """Store the rows that a peer sent; skip malformed ones."""
        for row in rows:
            if len(row) == 3 and isinstance(row[0], str) and isinstance(row[1], int):
                self.put(row[0], row[1], row[2])

    def _toggle_in_digest(self, key: str, stamp: int) -> None:
        self.digest[_bucket(key)] ^= hash32(f"{key}@{stamp}")


class Gossiper:
    """Push changes at once, and with each ping repair what pushes missed.

    Items that are stamped with revisions of a registry are exchanged only with peers that know
    the same eras of it.
    """

    def __init__(
        self,
        items: GossipMap,
        fanout: int,
        rng: random.Random,
        clock: Clock,
        eras: RegistryEras | None = None,
    ) -> None:
        self.items = items
        self.eras = eras or RegistryEras()
        self._fanout = fanout
        self._rng = rng
        self._clock = clock
        self._asked_at_by_key: dict[str, Millis] = {}

    async def push_changes(self, live_peers: Callable[[], list[Any]], call: CallPeer) -> None:
        """Send each change to `fanout` random peers, forever."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.items.changed_event.wait()
                await sleep(BATCH_DELAY)
                push = _build_push(self.items.take_changed(), self.eras.to_wire())
                peers = live_peers()
                for peer in self._rng.sample(peers, min(self._fanout, len(peers))):
                    nursery.start_soon(self._push, peer, push, call)

    async def _push(self, peer: Any, push: Pull, call: CallPeer) -> None:
        """Send a push, then the announced items that the peer asks for."""
        try:
            answer = await call(peer, push)
            if isinstance(answer, Items) and answer.wanted:
                rows = self.items.rows(answer.wanted)
                await call(peer, Pull([], rows, eras=self.eras.to_wire()))
        except Exception as error:  # the peer's answer was not understood
            faults.record("push to a peer", error)

    def serve_ping(self, ping: Ping) -> Pong:
        """Answer with the stamps of the buckets that differ from the sender's."""
        self.eras.learn(ping.eras)
        buckets = self.items.differing_buckets(ping.digest)
        return Pong(True, self.items.stamps_in(buckets), buckets, eras=self.eras.to_wire())

    def serve_pull(self, pull: Pull) -> Items:
        """Store the sender's items; return those it asks for and the announced ones to send."""
        self.store_rows(pull.items, pull.eras)
        wanted = [key for key, stamp in pull.announced.items() if self._should_request(key, stamp)]
        rows = self.items.rows(pull.keys[:MAX_ITEMS_PER_PULL])
        return Items(rows, wanted, self.eras.to_wire())

    def store_rows(self, rows: list[list[Any]], eras: list[int]) -> None:
        """Store the rows of a peer, but those stamped in other eras than this daemon knows."""
        self.eras.learn(eras)
        if not self.eras.are_shared_by(eras):
            rows = self._refuse_era_bound(rows, eras)
        self.items.put_rows(rows)

    def _refuse_era_bound(self, rows: list[list[Any]], eras: list[int]) -> list[list[Any]]:
        kept = [row for row in rows if not (row and _is_era_bound(row[0]))]
        refused = len(rows) - len(kept)
        if refused:
            self.eras.refused_rows += refused
            logger.bind(rows=refused, peer_eras=eras, eras=self.eras.to_wire()).debug(
                "items of a peer refused, their revisions are of other eras"
            )
        return kept

    def _should_request(self, key: str, stamp: int) -> bool:
        """Return whether to ask for an announced item; one peer at a time is asked."""
        current = self.items.by_key.get(key)
        if current is not None and current.stamp >= stamp:
            return False
        now = self._clock.now()
        asked_at = self._asked_at_by_key.get(key)
        if asked_at is not None and now - asked_at < REQUEST_WAIT:
            return False
        self._asked_at_by_key[key] = now
        return True

    def repair_for(self, pong: Pong) -> Pull | None:
        """Return what to fetch from a peer and send to it after a ping, or None if nothing."""
        self.eras.learn(pong.eras)
        if not pong.buckets:
            return None
        stamps, own_stamps = pong.stamps, self.items.stamps_in(pong.buckets)
        if not self.eras.are_shared_by(pong.eras):
            stamps, own_stamps = _without_era_bound(stamps), _without_era_bound(own_stamps)
        wanted = [key for key, stamp in stamps.items() if stamp > own_stamps.get(key, -1)]
        newer = [key for key, stamp in own_stamps.items() if stamp > stamps.get(key, -1)]
        if not wanted and not newer:
            return None
        rows = self.items.rows(newer[:MAX_ITEMS_PER_PULL])
        return Pull(wanted[:MAX_ITEMS_PER_PULL], rows, eras=self.eras.to_wire())


def _bucket(key: str) -> int:
    return hash32(key) % BUCKETS


def _is_era_bound(key: Any) -> bool:
    return isinstance(key, str) and key.startswith(ERA_BOUND_PREFIXES)


def _without_era_bound(stamps: dict[str, int]) -> dict[str, int]:
    return {key: stamp for key, stamp in stamps.items() if not _is_era_bound(key)}


def _build_push(rows: list[list[Any]], eras: list[int]) -> Pull:
    large = [
        row for row in rows if isinstance(row[2], str | bytes) and len(row[2]) >= LARGE_VALUE_BYTES
    ]
    small = [row for row in rows if row not in large]
    return Pull([], small, {key: stamp for key, stamp, _ in large}, eras=eras)


def _row(key: str, item: Item) -> list[Any]:
    return [key, item.stamp, item.value]
