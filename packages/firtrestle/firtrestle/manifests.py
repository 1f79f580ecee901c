"""Gossip manifests: the document counts by shard of an index version, alike for all targets."""

from __future__ import annotations

from typing import Any

from loguru import logger

from firtrestle.gossip_maps import GossipMap, Item
from firtrestle.whole_numbers import parse_whole

MANIFEST_PREFIX = "manifest/"
MAX_VERSIONS_KEPT = 16  # of each collection, newest first
MANIFEST_STAMP = 1  # constant, because the document counts of a version never change


class Manifests:
    """Store the document counts by shard of each version of each collection."""

    def __init__(self, items: GossipMap) -> None:
        self.change_count = 0  # incremented by each change, so that caches notice it
        self._items = items
        self._documents_by_collection: dict[str, dict[int, tuple[int, ...]]] = {}
        items.add_validator(MANIFEST_PREFIX, self._accepts)
        items.add_listener(MANIFEST_PREFIX, self._on_item)

    def for_collection(self, collection: str) -> dict[int, tuple[int, ...]]:
        """Return a collection's document counts by shard, keyed by version."""
        return self._documents_by_collection.get(collection, {})

    def publish(self, collection: str, version: int, documents: tuple[int, ...]) -> None:
        """Gossip a version's document counts by shard, unless they are known."""
        known = self.for_collection(collection).get(version)
        if known is None:
            self._items.put(_key(collection, version), MANIFEST_STAMP, list(documents))
        elif known != documents:
            logger.error(
                "collection {} version {}: document counts differ from its manifest; ignored",
                collection,
                version,
            )

    def _accepts(self, key: str, stamp: int, value: Any) -> bool:
        parsed = _parse(key)
        if parsed is None or stamp != MANIFEST_STAMP or not isinstance(value, list):
            return False
        versions = sorted(self.for_collection(parsed[0]))
        is_full = len(versions) >= MAX_VERSIONS_KEPT
        is_recent = not is_full or parsed[1] > versions[-MAX_VERSIONS_KEPT]
        return is_recent and all(isinstance(count, int) and count >= 0 for count in value)

    def _on_item(self, key: str, item: Item) -> None:
        collection, version = _parse(key) or ("", 0)
        by_version = self._documents_by_collection.setdefault(collection, {})
        by_version[version] = tuple(item.value)
        self.change_count += 1
        for old in sorted(by_version)[:-MAX_VERSIONS_KEPT]:
            del by_version[old]
            self._items.remove(_key(collection, old))


def _key(collection: str, version: int) -> str:
    return f"{MANIFEST_PREFIX}{collection}/{version}"


def _parse(key: str) -> tuple[str, int] | None:
    collection, _, version = key.removeprefix(MANIFEST_PREFIX).rpartition("/")
    number = parse_whole(version)
    return (collection, number) if number is not None else None
