"""Decide when a straggling shard gets a second sub-request."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis
from firtrestle.latencies import LatencyWindow


@dataclass(frozen=True, slots=True)
class Progress:
    """Hold how far one query has come."""

    shards: int
    answered: int
    elapsed: Millis
    median_reply: Millis


class Hedger:
    """Say how long a sub-request may take before it is hedged."""

    name: str

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    @classmethod
    def from_config(cls, clock: Clock) -> Hedger:
        """Build a hedger."""
        return cls(clock)

    def delay(self, window: LatencyWindow, progress: Progress) -> Millis | None:
        """Return the time after sending from which a shard may be hedged, None for not yet."""
        raise NotImplementedError
