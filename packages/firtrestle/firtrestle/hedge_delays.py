"""Compute from when a service gather hedges a late shard."""

from __future__ import annotations

from firtrestle.clocks import Millis
from firtrestle.hedgers import Hedger, Progress
from firtrestle.routes import Route

DEFAULT_HEDGE_DELAY_SHARE = 0.3  # share of the latency target, until latencies are known
MIN_HEDGE_DELAY_SHARE = 0.15  # share of the latency target; shorter waits are noise
MAX_HEDGE_DELAY_SHARE = 0.5  # share of the latency target; later hedges reply too late
MIN_CLOSED_SHARDS_SHARE = 0.7  # below it, late replies point to a slow daemon, not slow replicas


class HedgeDelays:
    """Compute the hedge delay of one gather from its route, its progress and past latencies."""

    def __init__(self, hedger: Hedger, route: Route, shards: int) -> None:
        self._hedger = hedger
        self._route = route
        self._shards = shards

    def delay(self, closed: int, samples: int) -> Millis | None:
        """Return the delay, None if the route allows no hedges; `closed` shards are done."""
        if not self._route.repeatable or self._route.max_attempts < 2:
            return None
        target = self._route.latency_target
        if closed < int(MIN_CLOSED_SHARDS_SHARE * self._shards):
            return Millis(target * MAX_HEDGE_DELAY_SHARE)
        delay = self._hedger.delay(Progress(self._route.name, self._shards, samples, Millis(0)))
        if delay is None:
            return Millis(target * DEFAULT_HEDGE_DELAY_SHARE)
        return Millis(
            min(max(delay, target * MIN_HEDGE_DELAY_SHARE), target * MAX_HEDGE_DELAY_SHARE)
        )
