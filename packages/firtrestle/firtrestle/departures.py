"""Track the instances that announced in their replies that they are leaving."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.gossip_maps import GossipMap, Item
from firtrestle.snapshots import ReplicaId

if TYPE_CHECKING:
    from firtrestle.instances import Instance

DEPARTURE_PREFIX = "leaving/"
RETENTION = Millis(600_000)  # since the announcement; instances exit within seconds of it
# Share of the drain time in which a service that has no other instance still uses a leaving one.
LAST_RESORT_SHARE = 0.5


class Departures:
    """Record which lifetimes of instances are leaving, by their own word or by that of a peer.

    The word of a peer is a hint: it binds the daemon that received the announcement, and the
    registry decides for all. A registration of the same lifetime doesn't revoke an announcement.
    """

    def __init__(
        self,
        items: GossipMap,
        clock: Clock,
        drain_time: Millis,
        on_change: Callable[[ReplicaId], None] = lambda replica_id: None,
    ) -> None:
        self._items = items
        self._clock = clock
        self._last_resort_time = Millis(drain_time * LAST_RESORT_SHARE)
        self._on_change = on_change
        self._announced_at_by_replica: dict[ReplicaId, Millis] = {}
        self._last_resorts: set[ReplicaId] = set()
        self._hinted_at_by_replica: dict[ReplicaId, Millis] = {}
        items.add_validator(DEPARTURE_PREFIX, self._is_current)
        items.add_listener(DEPARTURE_PREFIX, self._on_item)

    def record(self, instance: Instance, request_id: str, status: int) -> None:
        """Record that a reply of an instance announced its departure, and tell the peers."""
        replica_id = instance.replica_id
        if replica_id in self._announced_at_by_replica:
            return
        self._announced_at_by_replica[replica_id] = self._clock.now()
        self._last_resorts.add(replica_id)
        logger.bind(
            instance=instance.id,
            service=instance.service,
            born=instance.born,
            request_id=request_id,
            status=status,
            hinted=replica_id in self._hinted_at_by_replica,
        ).info("instance leaving")
        if replica_id not in self._hinted_at_by_replica:
            key = DEPARTURE_PREFIX + instance.id
            self._items.put(key, round(self._clock.wall()), instance.born)
        self._on_change(replica_id)

    def is_leaving(self, replica_id: ReplicaId) -> bool:
        """Return whether an instance announced its departure to this daemon or to a peer."""
        return (
            replica_id in self._announced_at_by_replica or replica_id in self._hinted_at_by_replica
        )

    def is_last_resort(self, replica_id: ReplicaId) -> bool:
        """Return whether a leaving instance may be used if its service has no other."""
        return replica_id in self._last_resorts or replica_id not in self._announced_at_by_replica

    def count(self) -> int:
        """Return the number of lifetimes that are known to be leaving."""
        return len(self._announced_at_by_replica.keys() | self._hinted_at_by_replica.keys())

    def expire(self) -> None:
        """End the use of leaving instances as a last resort, and forget those that have exited."""
        now = self._clock.now()
        for replica_id in list(self._last_resorts):
            if now - self._announced_at_by_replica[replica_id] >= self._last_resort_time:
                self._last_resorts.remove(replica_id)
                self._on_change(replica_id)
        oldest = now - RETENTION
        for at_by_replica in (self._announced_at_by_replica, self._hinted_at_by_replica):
            for replica_id in [id_ for id_, at in at_by_replica.items() if at < oldest]:
                del at_by_replica[replica_id]
        for key, item in self._items.with_prefix(DEPARTURE_PREFIX).items():
            if self._clock.wall() - item.stamp > RETENTION:
                self._items.remove(key)

    def _on_item(self, key: str, item: Item) -> None:
        instance_id = key.removeprefix(DEPARTURE_PREFIX)
        replica_id = ReplicaId(instance_id, str(item.value))
        if self.is_leaving(replica_id):
            return
        self._hinted_at_by_replica[replica_id] = self._clock.now()
        age = round(self._clock.wall() - item.stamp)
        logger.bind(instance=instance_id, born=item.value, age_ms=age).info(
            "instance leaving, by the word of a peer"
        )
        self._on_change(replica_id)

    def _is_current(self, key: str, stamp: int, value: Any) -> bool:
        return isinstance(value, int) and self._clock.wall() - stamp <= RETENTION
