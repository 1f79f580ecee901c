"""Define how the replica for a sub-request is chosen."""

from __future__ import annotations

import random
from collections.abc import Sequence

from firtrestle.clocks import Clock
from firtrestle.replicas import Replica
from firtrestle.settings import TargetSettings


class ReplicaChooser:
    """Choose among the replicas of a shard."""

    name: str

    def __init__(self, settings: TargetSettings, clock: Clock, rng: random.Random) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng

    @classmethod
    def from_config(
        cls, settings: TargetSettings, clock: Clock, rng: random.Random
    ) -> ReplicaChooser:
        """Build a chooser from validated settings."""
        return cls(settings, clock, rng)

    def choose(self, replicas: Sequence[Replica]) -> Replica | None:
        """Return the best replica, None if there are none."""
        raise NotImplementedError
