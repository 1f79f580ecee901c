"""Spread the shape of each index version once, for all targets that serve it."""

from __future__ import annotations

from typing import Any

from loguru import logger

from firtrestle.spreads import Item, SpreadMap

MANIFEST_PREFIX = "manifest/"
VERSIONS_KEPT = 16  # the newest of each collection
STAMP = 1  # a version never changes its shape


class Manifests:
    """Hold the documents by shard of each version of each collection."""

    def __init__(self, items: SpreadMap) -> None:
        self.version = 0
        self._items = items
        self._documents: dict[str, dict[int, tuple[int, ...]]] = {}
        items.guard(MANIFEST_PREFIX, self._is_wanted)
        items.listen(MANIFEST_PREFIX, self._on_item)

    def of(self, collection: str) -> dict[int, tuple[int, ...]]:
        """Return a collection's documents by shard, by version."""
        return self._documents.get(collection, {})

    def offer(self, collection: str, version: int, documents: tuple[int, ...]) -> None:
        """Spread a version's shape unless it is known."""
        known = self.of(collection).get(version)
        if known is None:
            self._items.put(_key(collection, version), STAMP, list(documents))
        elif known != documents:
            logger.error("{} {} has two shapes; the first stays", collection, version)

    def _is_wanted(self, key: str, stamp: int, value: Any) -> bool:
        parts = _parse(key)
        if parts is None or stamp != STAMP or not isinstance(value, list):
            return False
        held = sorted(self.of(parts[0]))
        full = len(held) >= VERSIONS_KEPT
        in_time = not full or parts[1] > held[-VERSIONS_KEPT]
        return in_time and all(isinstance(one, int) and one >= 0 for one in value)

    def _on_item(self, key: str, item: Item) -> None:
        collection, version = _parse(key) or ("", 0)
        by_version = self._documents.setdefault(collection, {})
        by_version[version] = tuple(item.value)
        self.version += 1
        for old in sorted(by_version)[:-VERSIONS_KEPT]:
            del by_version[old]
            self._items.remove(_key(collection, old))


def _key(collection: str, version: int) -> str:
    return f"{MANIFEST_PREFIX}{collection}/{version}"


def _parse(key: str) -> tuple[str, int] | None:
    collection, _, version = key.removeprefix(MANIFEST_PREFIX).rpartition("/")
    return (collection, int(version)) if version.isdecimal() else None
