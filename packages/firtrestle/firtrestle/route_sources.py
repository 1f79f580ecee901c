"""Read desired state and instances from a source, and publish them to all daemons."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.evacuation_items import EvacuationItems
from firtrestle.gossip_maps import INSTANCE_PREFIX, GossipMap, Item
from firtrestle.instances import EARLIER_ERA_REVISION, Instance, Instances
from firtrestle.messages import Ping, Pong
from firtrestle.registry_readers import (
    ReaderRole,
    RegistryProgress,
    reported_progress,
    reported_revision,
)
from firtrestle.routes import RouteTable
from firtrestle.settings import Settings
from firtrestle.warm_up_items import WarmUpItems

ROUTES_KEY = "routes"
MAX_ROUTES_BYTES = 16_000_000  # uncompressed; no operator writes a larger desired state
ZLIB_LEVEL = 1  # the fastest; pays off, as desired states are repetitive and links slow


@dataclass(frozen=True, slots=True)
class SourceTools:
    """Hold what a source needs to publish what it reads, and to know when to read."""

    publisher: SourcePublisher
    progress: RegistryProgress
    reader_role: ReaderRole
    rng: random.Random
    clock: Clock


@dataclass(frozen=True, slots=True)
class ParseFailure:
    """Report why a desired state or an instance can't be used; `reason` is the first fault."""

    reason: str
    faults: tuple[str, ...] = ()  # all of them, each with its place, if they are known


class RouteSource(Protocol):
    """Read desired state and instances from the place where they are published.

    Operators publish the desired state, and the instances publish themselves.
    """

    name: str
    parts: frozenset[str]  # parts that are read separately, each with its own revision
    instances_part: str  # the part that holds the instances
    evacuations_part: str  # the part that holds the evacuations
    earlier_name_by_part: dict[str, str]  # of smaller parts that earlier builds read instead

    @classmethod
    def from_config(cls, settings: Settings, tools: SourceTools) -> RouteSource:
        """Build a source that publishes through `tools.publisher`."""

    async def run(self) -> None:
        """Read and watch forever, while this daemon is a reader."""

    @staticmethod
    def parse_routes(text: str) -> RouteTable | ParseFailure:
        """Decode a desired state."""

    def status(self) -> dict[str, Any]:
        """Return counts for operators."""


class SourcePublisher:
    """Publish what a source reads to all daemons.

    The newest version of each item wins, whichever daemon read it.
    """

    def __init__(
        self,
        items: GossipMap,
        instances: Instances,
        progress: RegistryProgress,
        instances_part: str,
        apply: Callable[[RouteTable], None],
        evacuations: EvacuationItems,
        warm_ups: WarmUpItems,
    ) -> None:
        self.evacuations = evacuations
        self._items = items
        self._instances = instances
        self._progress = progress
        self._instances_part = instances_part
        self._apply = apply
        self._warm_ups = warm_ups
        self._parse: Callable[[str], RouteTable | ParseFailure] | None = None
        self._version = 0
        self._refused_version = 0
        self._parsed: RouteTable | None = None  # the table that _is_usable_routes accepted last
        items.add_validator(INSTANCE_PREFIX, self._is_current_instance)
        items.add_validator(ROUTES_KEY, self._is_usable_routes)
        items.add_listener(INSTANCE_PREFIX, self._on_instance)
        items.add_listener(ROUTES_KEY, self._on_routes)
        progress.eras.add_listener(self._on_restored)

    def start(self, parse: Callable[[str], RouteTable | ParseFailure]) -> None:
        """Accept desired states from now on, decoded with a source's parser."""
        self._parse = parse

    def publish_routes(self, version: int, text: str) -> None:
        """Publish a desired state that was read."""
        self._items.put(ROUTES_KEY, version, zlib.compress(text.encode(), ZLIB_LEVEL))

    def publish_instance(
        self, instance: Instance, revision: int, is_complete_read: bool = False
    ) -> None:
        """Publish an instance's registration.

        An unchanged registration is published only in a complete read: it may have been removed and
        registered again, and its new revision must override the removal that other daemons saw.
        """
        self._warm_ups.publish(instance, revision)
        key = INSTANCE_PREFIX + instance.id
        value = _to_row(instance)
        item = self._items.by_key.get(key)
        if is_complete_read or item is None or item.value != value:
            is_news = self._items.put(key, revision, value)
            if not is_news and (item is None or item.value != value):
                logger.bind(
                    instance=instance.id,
                    revision=revision,
                    known_revision=item.stamp if item is not None else None,
                    progress=self._progress.revision(self._instances_part),
                ).info("registration read, but not taken")

    def remove_instance(self, instance_id: str, revision: int) -> None:
        """Publish that a registration was removed."""
        self._items.put(INSTANCE_PREFIX + instance_id, revision, [])

    def retain_instances(self, instance_ids: set[str], revision: int) -> None:
        """Publish the removal of all instances but those registered at a revision.

        Instances already known as removed are removed again at this revision, as they may have
        been registered and removed in between.
        """
        for key, item in self._items.with_prefix(INSTANCE_PREFIX).items():
            instance_id = key.removeprefix(INSTANCE_PREFIX)
            if instance_id not in instance_ids and item.stamp < revision:
                self.remove_instance(instance_id, revision)

    def synchronize(self, ping: Ping, pong: Pong, asked_at: Millis) -> None:
        """Adopt a peer's progress after a ping whose repair brought all that the peer holds.

        An instance that the peer lacks was removed if the peer knows all changes up to a later
        revision.
        """
        eras = self._progress.eras
        if not eras.are_shared_by(pong.eras):
            logger.bind(peer_eras=pong.eras, eras=eras.to_wire()).debug(
                "progress of a peer ignored, its revisions are of other eras"
            )
            return
        if self._has_changed_since(ping, pong):
            return
        reported = reported_progress(pong)
        known_revision = reported_revision(reported, self._instances_part)
        for key, stamp in self._items.stamps_in(pong.buckets).items():
            is_missing = key.startswith(INSTANCE_PREFIX) and key not in pong.stamps
            if is_missing and stamp <= known_revision and self._items.by_key[key].value:
                instance_id = key.removeprefix(INSTANCE_PREFIX)
                logger.bind(
                    instance=instance_id, revision=stamp, known_revision=known_revision
                ).info("instance unknown to a peer that knows later changes")
                self.remove_instance(instance_id, known_revision)
        self.evacuations.synchronize(pong)
        self._progress.merge(reported, asked_at)

    def _has_changed_since(self, ping: Ping, pong: Pong) -> bool:
        """Return whether a bucket outside the answer has changed since the ping was sent.

        The peer compared the bucket without the change, and its answer tells nothing of it.
        """
        digest = self._items.digest
        covered = set(pong.buckets)
        return any(
            digest[bucket] != ping.digest[bucket]
            for bucket in range(len(digest))
            if bucket not in covered
        )

    def _is_current_instance(self, key: str, stamp: int, value: Any) -> bool:
        """Return whether a registration is well-formed and its removal is not known."""
        if not _is_instance_row(value):
            return False
        item = self._items.by_key.get(key)
        is_registered = item is not None and bool(item.value)
        known_revision = self._progress.revision(self._instances_part) or 0
        return not value or is_registered or stamp > known_revision

    def _on_restored(self) -> None:
        """Let what is read from now on override all that was known by revision."""
        self._items.restamp(INSTANCE_PREFIX, EARLIER_ERA_REVISION)
        self._warm_ups.begin_era()
        self._instances.begin_era()

    def _on_instance(self, key: str, item: Item) -> None:
        instance_id = key.removeprefix(INSTANCE_PREFIX)
        if item.value:
            self._instances.put(Instance(instance_id, *item.value), item.stamp)
        else:
            self._instances.remove(instance_id, item.stamp)

    def _is_usable_routes(self, key: str, stamp: int, value: Any) -> bool:
        """Return whether a desired state can be applied, and log the reason once if not."""
        if self._parse is None:
            return False
        text = _decompress(value)
        table = (
            self._parse(text)
            if text is not None
            else ParseFailure("the compressed text is damaged or too large")
        )
        if isinstance(table, RouteTable) and table.version != stamp:
            table = ParseFailure(
                f"the text has version {table.version}, but was published under another one"
            )
        if isinstance(table, ParseFailure):
            if stamp != self._refused_version:
                self._refused_version = stamp
                logger.bind(version=stamp, reason=table.reason).error("desired state refused")
            return False
        self._parsed = table
        return True

    def _on_routes(self, key: str, item: Item) -> None:
        table = self._parsed
        if table is not None and table.version > self._version:
            self._version = table.version
            self._apply(table)
            self._warm_ups.apply(table)


def _decompress(value: Any) -> str | None:
    """Return the text of a published desired state, None if it is damaged or too large."""
    if not isinstance(value, bytes):
        return None
    try:
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(value, MAX_ROUTES_BYTES)
        return raw.decode() if unpacker.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None


def _to_row(instance: Instance) -> list[Any]:
    return [
        instance.service,
        instance.host,
        instance.port,
        instance.data_centre,
        instance.slots,
        instance.draining,
        instance.born,
    ]


def _is_instance_row(value: Any) -> bool:
    if not isinstance(value, list):
        return False
    types = (str, str, int, str, int, bool, int)
    return not value or (
        len(value) == len(types)
        and all(isinstance(field, kind) for field, kind in zip(value, types, strict=True))
    )
