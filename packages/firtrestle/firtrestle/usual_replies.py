"""Learn how long the slower replies to a route's requests usually take."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from firtrestle.clocks import Clock, Millis

SLOWER_SHARE = 0.95  # of a request's replies are at least as fast
MIN_REPLIES = 20  # before a time is usual
KEPT_REQUESTS = 30
MAX_AGE = Millis(60_000)


@dataclass(frozen=True, slots=True)
class _Sample:
    at: Millis
    latency: Millis
    replies: int


class UsualReplies:
    """Keep the time of a slower reply of each recent request, by route.

    Attempts that were cancelled don't count: they may have been silent.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._samples_by_route: dict[str, deque[_Sample]] = {}

    def learn(self, route_name: str, latencies: Sequence[Millis]) -> None:
        """Record the times of one request's replies."""
        if not latencies:
            return
        samples = self._samples_by_route.setdefault(route_name, deque(maxlen=KEPT_REQUESTS))
        index = math.ceil(len(latencies) * SLOWER_SHARE) - 1
        samples.append(_Sample(self._clock.now(), sorted(latencies)[index], len(latencies)))

    def usual(self, route_name: str) -> Millis | None:
        """Return how long a slower reply usually takes, None while too few are known."""
        since = self._clock.now() - MAX_AGE
        known = self._samples_by_route.get(route_name, ())
        samples = [sample for sample in known if sample.at >= since]
        if sum(sample.replies for sample in samples) < MIN_REPLIES:
            return None
        return Millis(median(sample.latency for sample in samples))
