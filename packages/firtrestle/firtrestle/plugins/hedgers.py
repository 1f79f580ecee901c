"""Register the hedgers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from firtrestle.clocks import Millis
from firtrestle.hedgers import Hedger, Progress
from firtrestle.latencies import LatencyWindow

if TYPE_CHECKING:
    from firtrestle.kernels import Kernel

MIN_SAMPLES = 50
TRIGGER_PERCENT = 98.0
MEDIAN_FACTOR = 1.5
MIN_ANSWERED = 0.6  # share of the query's shards that must have answered first


class NoHedger(Hedger):
    """Never hedge; the baseline."""

    name = "none"

    def delay(self, window: LatencyWindow, progress: Progress) -> Millis | None:
        return None


class AdaptiveHedger(Hedger):
    """Hedge what is late by the recent quantile and by the query's own other shards."""

    name = "adaptive"

    def delay(self, window: LatencyWindow, progress: Progress) -> Millis | None:
        if window.count < MIN_SAMPLES:
            return None
        late = window.quantile(TRIGGER_PERCENT)
        if progress.shards == 1:
            return late
        if progress.answered < MIN_ANSWERED * (progress.shards - 1):
            return None
        return Millis(max(late, MEDIAN_FACTOR * progress.median_reply))


def register(kernel: Kernel) -> None:
    """Add the hedgers to the kernel."""
    kernel.hedgers.add(NoHedger)
    kernel.hedgers.add(AdaptiveHedger)
