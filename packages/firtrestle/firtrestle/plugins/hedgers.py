"""Register the hedgers."""

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
TRIGGER_PERCENT = 98.5
EAGER_RATIO = 1.7  # of the median: a tenth of healthy replies are later, a fifth may be repeated
LEAST_RATIO = 1.2  # of a query's median reply
FIRST_RATIO = 3.0  # before enough replies are known
MEDIAN_AGE = Millis(1_000)  # a fifth of a window; computing a quantile takes a millisecond
SHORTEST_MEDIAN = Millis(0.1)


class NoHedger(Hedger):
    """Never hedge; the baseline."""

    name = "none"

    def delay(self, progress: Progress) -> Millis | None:
        return None

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        return


class QuantileHedger(Hedger):
    """Hedge what is late by the recent latencies of the collection."""

    name = "quantile"
    least_answered = 0.75

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._window_by_collection = defaultdict(partial(LatencyWindow, clock))

    def delay(self, progress: Progress) -> Millis | None:
        window = self._window_by_collection[progress.collection]
        return window.quantile(TRIGGER_PERCENT) if window.count >= MIN_SAMPLES else None

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        window = self._window_by_collection[collection]
        for latency in latencies:
            window.add(latency)


class AdaptiveHedger(QuantileHedger):
    """Hedge what is late by the median of the query's own replies.

    The ratio that counts as late is a recent quantile too, so that a slow moment of the daemon
    or of all targets, which slows each reply of a query alike, sets off no hedges.
    """

    name = "adaptive"

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._ratios_by_collection = defaultdict(partial(LatencyWindow, clock))

    def delay(self, progress: Progress) -> Millis | None:
        if progress.shards == 1:
            return super().delay(progress)
        ratios = self._ratios_by_collection[progress.collection]
        ratio = FIRST_RATIO
        if ratios.count >= MIN_SAMPLES:
            ratio = max(LEAST_RATIO, ratios.quantile(TRIGGER_PERCENT))
        return Millis(ratio * progress.median_reply)

    def learn(self, collection: str, latencies: Sequence[Millis]) -> None:
        super().learn(collection, latencies)
        if len(latencies) < 2:
            return
        middle = max(SHORTEST_MEDIAN, median(latencies))
        ratios = self._ratios_by_collection[collection]
        for latency in latencies:
            ratios.add(Millis(latency / middle))


class EagerHedger(QuantileHedger):
    """Hedge early, for routes whose budget of repeats is ample.

    The delay follows the median, which a few slow replicas don't move as they move a high quantile.
    """

    name = "eager"
    least_answered = 0.0

    def delay(self, progress: Progress) -> Millis | None:
        window = self._window_by_collection[progress.collection]
        if window.count < MIN_SAMPLES:
            return None
        return Millis(window.quantile(50.0, MEDIAN_AGE) * EAGER_RATIO)


def register(kernel: Kernel) -> None:
    """Add the hedgers to the kernel."""
    kernel.hedgers.add(NoHedger)
    kernel.hedgers.add(QuantileHedger)
    kernel.hedgers.add(AdaptiveHedger)
    kernel.hedgers.add(EagerHedger)
