"""Share evacuations with all daemons as gossip items, stamped with the registry's revisions."""

from __future__ import annotations

from typing import Any

from loguru import logger

from firtrestle.evacuations import Evacuations
from firtrestle.gossip_maps import EVACUATION_PREFIX, GossipMap, Item
from firtrestle.instances import EARLIER_ERA_REVISION
from firtrestle.messages import Pong
from firtrestle.registry_readers import RegistryProgress, reported_progress, reported_revision

IN_FORCE: list[Any] = [True]
WITHDRAWN: list[Any] = []


class EvacuationItems:
    """Publish the evacuations that a source reads, and apply those of all daemons.

    The newest version of each item wins, whichever daemon read it. While the registry is not read,
    and until it has been read completely after a restore, the known evacuations stay in force.
    """

    def __init__(
        self, items: GossipMap, evacuations: Evacuations, progress: RegistryProgress, part: str
    ) -> None:
        """Prepare; `part` is the part of the registry that holds the evacuations."""
        self._items = items
        self._evacuations = evacuations
        self._progress = progress
        self._part = part
        items.add_validator(EVACUATION_PREFIX, self._is_current)
        items.add_listener(EVACUATION_PREFIX, self._on_item)
        progress.eras.add_listener(self._on_restored)

    def publish(self, zone: str, revision: int) -> None:
        """Publish the evacuation of a data centre."""
        item = self._items.by_key.get(EVACUATION_PREFIX + zone)
        is_news = self._items.put(EVACUATION_PREFIX + zone, revision, IN_FORCE)
        if not is_news and (item is None or not item.value):
            logger.bind(
                zone=zone,
                revision=revision,
                known_revision=item.stamp if item is not None else None,
                progress=self._progress.revision(self._part),
            ).warning("evacuation read, but not taken")

    def withdraw(self, zone: str, revision: int) -> None:
        """Publish that the evacuation of a data centre has ended."""
        self._items.put(EVACUATION_PREFIX + zone, revision, WITHDRAWN)

    def retain(self, zones: set[str], revision: int) -> None:
        """Publish the end of all evacuations but those that a complete read at a revision found."""
        for key in self._items.with_prefix(EVACUATION_PREFIX):
            zone = key.removeprefix(EVACUATION_PREFIX)
            if zone not in zones:
                self.withdraw(zone, revision)

    def synchronize(self, pong: Pong) -> None:
        """Withdraw the evacuations that a peer lacks although it knows later changes.

        Only to be called once all that the peer holds is held here.
        """
        known_revision = reported_revision(reported_progress(pong), self._part)
        for key, stamp in self._items.stamps_in(pong.buckets).items():
            is_missing = key.startswith(EVACUATION_PREFIX) and key not in pong.stamps
            if is_missing and stamp < known_revision and self._items.by_key[key].value:
                zone = key.removeprefix(EVACUATION_PREFIX)
                logger.bind(zone=zone, revision=stamp, known_revision=known_revision).info(
                    "evacuation unknown to a peer that knows later changes"
                )
                self.withdraw(zone, known_revision)

    def _is_current(self, key: str, stamp: int, value: Any) -> bool:
        """Return whether an item is well-formed, and no evacuation whose end is known."""
        if not isinstance(value, list) or value not in (IN_FORCE, WITHDRAWN):
            return False
        item = self._items.by_key.get(key)
        is_in_force = item is not None and bool(item.value)
        known_revision = self._progress.revision(self._part)
        return not value or is_in_force or known_revision is None or stamp > known_revision

    def _on_restored(self) -> None:
        """Let what is read from now on override all that was known by revision."""
        self._items.restamp(EVACUATION_PREFIX, EARLIER_ERA_REVISION)

    def _on_item(self, key: str, item: Item) -> None:
        zone = key.removeprefix(EVACUATION_PREFIX)
        age = self._progress.part_age(self._part)
        if item.value:
            self._evacuations.put(zone, item.stamp, age)
        else:
            self._evacuations.remove(zone, item.stamp, age)
