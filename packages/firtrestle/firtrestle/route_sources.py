"""Take desired state and instances from a source, and spread them to all daemons."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from firtrestle.clocks import Millis
from firtrestle.instances import Instance, Instances
from firtrestle.messages import Ping, Pong
from firtrestle.registry_readers import ReaderDuty, RegistryProgress, told_revision
from firtrestle.routes import RouteTable
from firtrestle.settings import Settings
from firtrestle.spreads import Item, SpreadMap

ROUTES_KEY = "routes"
INSTANCE_PREFIX = "instance/"
MAX_ROUTES_BYTES = 16_000_000  # of a desired state; a larger one is no text of an operator
COMPRESSION = 1  # zlib's fastest: a desired state repeats itself, and links are slow


@dataclass(frozen=True, slots=True)
class SourceTools:
    """Hold what a source tells, and what tells it when to read."""

    news: News
    progress: RegistryProgress
    duty: ReaderDuty
    rng: random.Random


@dataclass(frozen=True, slots=True)
class BadRoutes:
    """Say why a desired state can't be used."""

    reason: str


class RouteSource(Protocol):
    """Read desired state and instances from where an operator and the instances publish them."""

    name: str
    parts: frozenset[str]  # what is read apart, each with its own revision
    instances_part: str  # the one of them that holds the instances

    @classmethod
    def from_config(cls, settings: Settings, tools: SourceTools) -> RouteSource:
        """Build a source that tells what it reads."""

    async def run(self) -> None:
        """Read and watch for ever, whenever it is this daemon's duty."""

    def parse_routes(self, text: str) -> RouteTable | BadRoutes:
        """Decode a desired state."""

    def status(self) -> dict[str, Any]:
        """Return counts for operators."""


class News:
    """Spread what a source reads; the newest of each wins, whichever daemon read it."""

    def __init__(
        self,
        items: SpreadMap,
        instances: Instances,
        progress: RegistryProgress,
        instances_part: str,
        apply: Callable[[RouteTable], None],
    ) -> None:
        self._items = items
        self._instances = instances
        self._progress = progress
        self._instances_part = instances_part
        self._apply = apply
        self._parse: Callable[[str], RouteTable | BadRoutes] | None = None
        self._version = 0
        self._refused_version = 0
        self._accepted: RouteTable | None = None  # the table last parsed by the guard
        items.guard(INSTANCE_PREFIX, self._is_instance)
        items.guard(ROUTES_KEY, self._is_routes_value)
        items.listen(INSTANCE_PREFIX, self._on_instance)
        items.listen(ROUTES_KEY, self._on_routes)

    def start(self, parse: Callable[[str], RouteTable | BadRoutes]) -> None:
        """Take in desired states with a source's parser from now on."""
        self._parse = parse

    def routes(self, version: int, text: str) -> None:
        """Take in a desired state that was read."""
        self._items.put(ROUTES_KEY, version, zlib.compress(text.encode(), COMPRESSION))

    def instance(self, instance: Instance, revision: int, is_whole_read: bool = False) -> None:
        """Take in an instance's registration.

        A change that leaves it as it was is not spread. In a whole read it is: the registration
        may have been removed meanwhile, which whoever saw that must not take for the last word.
        """
        key = INSTANCE_PREFIX + instance.id
        value = _to_value(instance)
        held = self._items.by_key.get(key)
        if is_whole_read or held is None or held.value != value:
            self._items.put(key, revision, value)

    def gone(self, instance_id: str, revision: int) -> None:
        """Take in that a registration was removed."""
        self._items.put(INSTANCE_PREFIX + instance_id, revision, [])

    def present(self, instance_ids: set[str], revision: int) -> None:
        """Take in that just these instances were registered at a revision.

        What was known to be removed before is so again: it may have come and gone in between.
        """
        for key, item in self._items.under(INSTANCE_PREFIX).items():
            instance_id = key.removeprefix(INSTANCE_PREFIX)
            if instance_id not in instance_ids and item.stamp < revision:
                self.gone(instance_id, revision)

    def synchronize(self, ping: Ping, pong: Pong, asked_at: Millis) -> None:
        """Take over a peer's progress, once all that it held is held here.

        An instance that the peer lacks, though it knows all up to a later revision, was removed.
        """
        if self._has_changed_since(ping, pong):
            return
        known = told_revision(pong.progress, self._instances_part)
        for key, stamp in self._items.stamps_in(pong.buckets).items():
            is_lacking = key.startswith(INSTANCE_PREFIX) and key not in pong.stamps
            if is_lacking and stamp <= known and self._items.by_key[key].value:
                self.gone(key.removeprefix(INSTANCE_PREFIX), known)
        self._progress.adopt(pong.progress, asked_at)

    def _has_changed_since(self, ping: Ping, pong: Pong) -> bool:
        """Say whether something came in meanwhile that the peer's answer tells nothing of."""
        now = self._items.digest
        told = set(pong.buckets)
        return any(now[one] != ping.digest[one] for one in range(len(now)) if one not in told)

    def _is_instance(self, key: str, stamp: int, value: Any) -> bool:
        """Say whether a registration is well-formed, and not one whose removal is known."""
        if not _is_instance_value(value):
            return False
        held = self._items.by_key.get(key)
        is_registered = held is not None and bool(held.value)
        known = self._progress.revision(self._instances_part) or 0
        return not value or is_registered or stamp > known

    def _on_instance(self, key: str, item: Item) -> None:
        instance_id = key.removeprefix(INSTANCE_PREFIX)
        if item.value:
            self._instances.put(Instance(instance_id, *item.value), item.stamp)
        else:
            self._instances.remove(instance_id, item.stamp)

    def _is_routes_value(self, key: str, stamp: int, value: Any) -> bool:
        """Say whether a desired state can come into force, and log once why not."""
        if self._parse is None:
            return False
        text = _unpacked(value)
        table = self._parse(text) if text is not None else BadRoutes("a peer sent no text")
        if isinstance(table, RouteTable) and table.version != stamp:
            table = BadRoutes(f"it says version {table.version}")
        if isinstance(table, BadRoutes):
            if stamp != self._refused_version:
                self._refused_version = stamp
                logger.bind(version=stamp, reason=table.reason).error("desired state refused")
            return False
        self._accepted = table
        return True

    def _on_routes(self, key: str, item: Item) -> None:
        table = self._accepted
        if table is not None and table.version > self._version:
            self._version = table.version
            self._apply(table)


def _unpacked(value: Any) -> str | None:
    """Return the text of a spread desired state, None if it is none or too large."""
    if not isinstance(value, bytes):
        return None
    try:
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(value, MAX_ROUTES_BYTES)
        return raw.decode() if unpacker.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None


def _to_value(instance: Instance) -> list[Any]:
    return [
        instance.service,
        instance.host,
        instance.port,
        instance.data_centre,
        instance.slots,
        instance.draining,
        instance.born,
    ]


def _is_instance_value(value: Any) -> bool:
    if not isinstance(value, list):
        return False
    kinds = (str, str, int, str, int, bool, int)
    return not value or (
        len(value) == len(kinds)
        and all(isinstance(one, kind) for one, kind in zip(value, kinds, strict=True))
    )
