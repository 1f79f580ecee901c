"""Publish the warm-ups of instances as gossip items, and take in those that others publish."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from firtrestle.clocks import Clock, Millis
from firtrestle.gossip_maps import WARM_UP_PREFIX, GossipMap, Item
from firtrestle.instances import EARLIER_ERA_REVISION, Instance
from firtrestle.known_daemons import KnownDaemons
from firtrestle.routes import RouteTable
from firtrestle.settings import Settings
from firtrestle.snapshots import ReplicaId
from firtrestle.warm_ups import END_MARGIN, WarmUpBounds, WarmUps

MAX_LEFT = Millis(3_600_000)  # longer times count as this one until the next registration

FindInstance = Callable[[ReplicaId], Instance | None]


@dataclass(frozen=True, slots=True)
class _Reading:
    """Represent what a registration that this daemon read says of a cold instance."""

    instance: Instance
    revision: int
    ends_at: Millis


class WarmUpItems:
    """Publish warm-ups that this daemon reads, and record those that any daemon publishes.

    An item holds the start of the instance's lifetime and the time that was left. It is published
    again only if the warm-up is over, or lasts longer than was published before.
    """

    def __init__(self, items: GossipMap, warm_ups: WarmUps, clock: Clock) -> None:
        self.warm_ups = warm_ups
        self._items = items
        self._clock = clock
        self._reading_by_id: dict[str, _Reading] = {}
        self._published_by_id: dict[str, _Reading] = {}
        items.add_validator(WARM_UP_PREFIX, _is_warm_up)
        items.add_listener(WARM_UP_PREFIX, self._on_item)

    @classmethod
    def from_config(
        cls, settings: Settings, items: GossipMap, clock: Clock, find: FindInstance
    ) -> WarmUpItems:
        """Build from the settings, with a function that finds registered instances."""

        def find_service(replica_id: ReplicaId) -> str | None:
            instance = find(replica_id)
            return instance.service if instance is not None else None

        daemons = KnownDaemons.from_config(settings, items, clock)
        bounds = WarmUpBounds.from_config(settings.routes)
        return cls(items, WarmUps(clock, daemons, bounds, find_service), clock)

    def publish(self, instance: Instance, revision: int) -> None:
        """Publish what a registration that was read says, if others don't know it.

        To be called before the registration is published, so that both go out together.
        """
        if self.warm_ups.bounds is None:
            return
        left = min(instance.warm_up_left, MAX_LEFT)
        if left <= 0:
            self._publish_end(instance, revision)
            return
        ends_at = Millis(self._clock.now() + left)
        self._reading_by_id[instance.id] = _Reading(instance, revision, ends_at)
        self._publish_reading(instance.id)

    def apply(self, table: RouteTable) -> None:
        """Use the bounds of a desired state, and publish the warm-ups that fall under a new one."""
        self.warm_ups.apply(table)
        for instance_id in self._reading_by_id:
            self._publish_reading(instance_id)

    def begin_era(self) -> None:
        """Let what is read from now on override all that was known by revision."""
        self._items.restamp(WARM_UP_PREFIX, EARLIER_ERA_REVISION)

    def expire(self) -> None:
        """Forget the warm-ups that are over."""
        self.warm_ups.expire()
        oldest = self._clock.now() - END_MARGIN
        for readings in (self._reading_by_id, self._published_by_id):
            for instance_id in [id_ for id_, known in readings.items() if known.ends_at < oldest]:
                del readings[instance_id]

    def _publish_reading(self, instance_id: str) -> None:
        reading = self._reading_by_id[instance_id]
        instance, left = reading.instance, Millis(reading.ends_at - self._clock.now())
        if left <= 0 or not self.warm_ups.is_bounded(instance.service):
            return
        published = self._published_by_id.get(instance_id)
        if (
            published is not None
            and published.instance.replica_id == instance.replica_id
            and reading.ends_at <= published.ends_at + END_MARGIN
        ):
            return
        self._published_by_id[instance_id] = reading
        self._items.put(_key(instance), reading.revision, [instance.born, math.ceil(left)])

    def _publish_end(self, instance: Instance, revision: int) -> None:
        """Publish that an instance is warm, for daemons that learnt of its warm-up late."""
        self._reading_by_id.pop(instance.id, None)
        self._published_by_id.pop(instance.id, None)
        item = self._items.by_key.get(_key(instance))
        if item is not None and item.value[1]:
            self._items.put(_key(instance), revision, [instance.born, 0])

    def _on_item(self, key: str, item: Item) -> None:
        if self.warm_ups.bounds is not None:
            born, left = item.value
            replica_id = ReplicaId(key.removeprefix(WARM_UP_PREFIX), str(born))
            self.warm_ups.record(replica_id, Millis(left))


def _key(instance: Instance) -> str:
    return WARM_UP_PREFIX + instance.id


def _is_warm_up(key: str, stamp: int, value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 2
        and all(type(number) is int for number in value)
        and 0 <= value[1] <= MAX_LEFT
    )
