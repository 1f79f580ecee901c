"""Track latency distributions over recent time windows."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from firtrestle.clocks import Clock, Millis

MIN_LATENCY_MICROS = 1
MAX_LATENCY_MICROS = 120_000_000
SIGNIFICANT_DIGITS = 2
MICROS_PER_MILLI = 1_000
PERCENTILE_CACHE_TTL = Millis(100)


def new_histogram() -> HdrHistogram:
    """Build an empty histogram of microseconds."""
    return HdrHistogram(MIN_LATENCY_MICROS, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)


def record_latency(histogram: HdrHistogram, latency: Millis) -> None:
    """Add one latency to a histogram."""
    micros = min(MAX_LATENCY_MICROS, max(MIN_LATENCY_MICROS, round(latency * MICROS_PER_MILLI)))
    histogram.record_value(micros)


def percentile(histogram: HdrHistogram, percent: float) -> Millis:
    """Return the latency at a percentile."""
    return Millis(histogram.get_value_at_percentile(percent) / MICROS_PER_MILLI)


class LatencyWindow:
    """Track latencies in two histograms, which cover the last one to two windows."""

    def __init__(self, clock: Clock, window: Millis = Millis(5_000)) -> None:
        self._clock = clock
        self._window = window
        self._current = new_histogram()
        self._previous = new_histogram()
        self._rotated_at = clock.now()
        self._cache: dict[float, tuple[Millis, Millis]] = {}

    @property
    def count(self) -> int:
        """Return the number of latencies in both windows."""
        return self._current.get_total_count() + self._previous.get_total_count()

    def add(self, latency: Millis) -> None:
        """Record one latency, starting a new window if the current one is over."""
        now = self._clock.now()
        if now - self._rotated_at > self._window:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._rotated_at = now
        record_latency(self._current, latency)

    def percentile(self, percent: float, max_age: Millis = PERCENTILE_CACHE_TTL) -> Millis:
        """Return the latency at a percentile over both windows, at most `max_age` old."""
        now = self._clock.now()
        cached = self._cache.get(percent)
        if cached is not None and now - cached[0] < max_age:
            return cached[1]
        source = self._current
        if self._previous.get_total_count():
            source = new_histogram()
            source.add(self._current)
            source.add(self._previous)
        value = percentile(source, percent)
        self._cache[percent] = (now, value)
        return value
