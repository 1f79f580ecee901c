"""Provide the hedgers: none, and by quantile, ratio to the median, and median."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from functools import partial
from statistics import median
from typing import TYPE_CHECKING

from firtrestle.clocks import Clock, Millis
from firtrestle.hedgers import Hedger, Progress
from firtrestle.latencies import LatencyWindow

if TYPE_CHECKING:
    from firtrestle.kernels import Kernel

MIN_SAMPLES = 60
TRIGGER_PERCENTILE = 98.5
EAGER_MEDIAN_RATIO = 1.7  # a tenth of healthy replies take longer; a fifth may be repeated
MIN_MEDIAN_RATIO = 1.2  # multiple of the median reply of a query
DEFAULT_MEDIAN_RATIO = 3.0  # until enough replies are recorded
MAX_MEDIAN_AGE = Millis(1_000)  # a fifth of a window, as computing a percentile takes 1 ms
MIN_MEDIAN = Millis(0.1)


class NoHedger(Hedger):
    """Never hedge; the baseline."""

    name = "none"

    def delay(self, progress: Progress) -> Millis | None:
        return None

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        return


class QuantileHedger(Hedger):
    """Hedge at a high percentile of the collection's recent latencies."""

    name = "quantile"
    min_answered_share = 0.75

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._window_by_collection = defaultdict(partial(LatencyWindow, clock))

    def delay(self, progress: Progress) -> Millis | None:
        window = self._window_by_collection[progress.collection]
        return window.percentile(TRIGGER_PERCENTILE) if window.count >= MIN_SAMPLES else None

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        window = self._window_by_collection[collection]
        for latency in latencies:
            window.add(latency)


class AdaptiveHedger(QuantileHedger):
    """Hedge at a multiple of the median latency of the query's own replies.

    The multiple is a recent percentile of the ratio of latency to median. A slowdown of the daemon
    or of all targets, which delays all replies of a query alike, thus causes no hedges.
    """

    name = "adaptive"

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._ratios_by_collection = defaultdict(partial(LatencyWindow, clock))

    def delay(self, progress: Progress) -> Millis | None:
        if progress.shards == 1:
            return super().delay(progress)
        ratios = self._ratios_by_collection[progress.collection]
        ratio = DEFAULT_MEDIAN_RATIO
        if ratios.count >= MIN_SAMPLES:
            ratio = max(MIN_MEDIAN_RATIO, ratios.percentile(TRIGGER_PERCENTILE))
        return Millis(ratio * progress.median_reply)

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        super().learn(collection, latencies)
        if len(latencies) < 2:
            return
        median_latency = max(MIN_MEDIAN, median(latencies))
        ratios = self._ratios_by_collection[collection]
        for latency in latencies:
            ratios.add(Millis(latency / median_latency))


class EagerHedger(QuantileHedger):
    """Hedge early, for routes with an ample budget of repeats.

    The delay follows the median, because a few slow replicas raise a high percentile but hardly the
    median.
    """

    name = "eager"
    min_answered_share = 0.0

    def delay(self, progress: Progress) -> Millis | None:
        window = self._window_by_collection[progress.collection]
        if window.count < MIN_SAMPLES:
            return None
        return Millis(window.percentile(50.0, MAX_MEDIAN_AGE) * EAGER_MEDIAN_RATIO)


def register(kernel: Kernel) -> None:
    """Add the hedgers to the kernel."""
    kernel.hedgers.add(NoHedger)
    kernel.hedgers.add(QuantileHedger)
    kernel.hedgers.add(AdaptiveHedger)
    kernel.hedgers.add(EagerHedger)
