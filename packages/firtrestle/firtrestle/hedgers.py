"""Define when a straggling shard is hedged."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis


@dataclass(frozen=True, slots=True)
class Progress:
    """Represent the progress of one query; `median_reply` covers the shards that answered."""

    collection: str
    shards: int
    answered: int
    median_reply: Millis


class Hedger:
    """Compute how long a sub-request may take before it is hedged."""

    name: str
    min_answered_share = 0.0  # share of a query's other shards that must have answered first

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    @classmethod
    def from_config(cls, clock: Clock) -> Hedger:
        """Build a hedger without samples."""
        return cls(clock)

    def delay(self, progress: Progress) -> Millis | None:
        """Return the time after sending from which a shard may be hedged, None for not yet."""
        raise NotImplementedError

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        """Record one query's sub-request latencies, including those of cancelled attempts."""
        raise NotImplementedError
