"""Hold requests back from instances that asked this daemon for a pause."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.snapshots import ReplicaId

if TYPE_CHECKING:
    from firtrestle.instances import Instance

# Share of a pause that is added at random, so that the daemons don't return at the same moment.
MAX_SPREAD_SHARE = 0.25
NO_PAUSE = Millis(0)


class Backoffs:
    """Record until when each instance wants no requests from this daemon.

    A pause is an instance's answer to this daemon's own load, so peers are not told. It outlasts
    the instance's registration, which may lapse and come back meanwhile.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._until_by_replica: dict[ReplicaId, Millis] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no pause is recorded."""
        return not self._until_by_replica

    def record(self, instance: Instance, request_id: str, pause: Millis) -> None:
        """Record that an instance asked for a pause from now on; the longest one holds."""
        lengthened = pause * self._rng.uniform(1.0, 1.0 + MAX_SPREAD_SHARE)
        until = Millis(self._clock.now() + lengthened)
        known = self._until_by_replica.get(instance.replica_id, NO_PAUSE)
        self._until_by_replica[instance.replica_id] = max(known, until)
        logger.bind(
            instance=instance.id,
            service=instance.service,
            request_id=request_id,
            asked_ms=round(pause),
            held_back_ms=round(max(known, until) - self._clock.now()),
        ).info("instance asked for a pause")

    def left(self, replica_id: ReplicaId) -> Millis:
        """Return the rest of an instance's pause, 0 if there is none."""
        until = self._until_by_replica.get(replica_id)
        return NO_PAUSE if until is None else Millis(max(0.0, until - self._clock.now()))

    def count(self) -> int:
        """Return the number of instances that are held back now."""
        return sum(until > self._clock.now() for until in self._until_by_replica.values())

    def expire(self) -> None:
        """Forget the pauses that are over."""
        now = self._clock.now()
        for replica_id in [id_ for id_, until in self._until_by_replica.items() if until <= now]:
            del self._until_by_replica[replica_id]
