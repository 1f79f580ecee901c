"""Decide when a straggling shard gets a second sub-request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis


@dataclass(frozen=True, slots=True)
class Progress:
    """Hold how far one query has come; `median_reply` is over the shards that answered."""

    collection: str
    shards: int
    answered: int
    median_reply: Millis


class Hedger:
    """Say how long a sub-request may take before it is hedged."""

    name: str
    least_answered = 0.0  # share of a query's other shards that must have answered first

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    @classmethod
    def from_config(cls, clock: Clock) -> Hedger:
        """Build a hedger."""
        return cls(clock)

    def delay(self, progress: Progress) -> Millis | None:
        """Return the time after sending from which a shard may be hedged, None for not yet."""
        raise NotImplementedError

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        """Take in one query's sub-request latencies, those given up on included."""
        raise NotImplementedError
