"""Take desired state and instances from a source, and spread them to all daemons."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from firtrestle.instances import Instance, Instances
from firtrestle.registry_readers import ReaderDuty, RegistryProgress
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
        apply: Callable[[RouteTable], None],
    ) -> None:
        self._items = items
        self._instances = instances
        self._apply = apply
        self._parse: Callable[[str], RouteTable | BadRoutes] | None = None
        self._version = 0
        self._refused_version = 0
        self._accepted: RouteTable | None = None  # the table last parsed by the guard
        items.guard(INSTANCE_PREFIX, _is_instance_value)
        items.guard(ROUTES_KEY, self._is_routes_value)
        items.listen(INSTANCE_PREFIX, self._on_instance)
        items.listen(ROUTES_KEY, self._on_routes)

    def start(self, parse: Callable[[str], RouteTable | BadRoutes]) -> None:
        """Take in desired states with a source's parser from now on."""
        self._parse = parse

    def routes(self, version: int, text: str) -> None:
        """Take in a desired state that was read."""
        self._items.put(ROUTES_KEY, version, zlib.compress(text.encode(), COMPRESSION))

    def instance(self, instance: Instance, revision: int) -> None:
        """Take in an instance's registration."""
        key = INSTANCE_PREFIX + instance.id
        value = _to_value(instance)
        held = self._items.by_key.get(key)
        if held is None or held.value != value:
            self._items.put(key, revision, value)

    def gone(self, instance_id: str, revision: int) -> None:
        """Take in that a registration was removed."""
        self._items.put(INSTANCE_PREFIX + instance_id, revision, [])

    def present(self, instance_ids: set[str], revision: int) -> None:
        """Take in that just these instances were registered at a revision."""
        for instance_id in self._instances.ids() - instance_ids:
            if self._instances.revision_of(instance_id) < revision:
                self.gone(instance_id, revision)

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


def _is_instance_value(key: str, stamp: int, value: Any) -> bool:
    if not isinstance(value, list):
        return False
    kinds = (str, str, int, str, int, bool, int)
    return not value or (
        len(value) == len(kinds)
        and all(isinstance(one, kind) for one, kind in zip(value, kinds, strict=True))
    )
