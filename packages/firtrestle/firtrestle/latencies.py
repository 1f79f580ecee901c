"""Keep windowed latency distributions."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from firtrestle.clocks import Clock, Millis

LOWEST_MICROS = 1
HIGHEST_MICROS = 120_000_000
DIGITS = 2
MICROS_PER_MILLI = 1_000
QUANTILE_CACHE = Millis(100)


def new_histogram() -> HdrHistogram:
    """Build an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROS, HIGHEST_MICROS, DIGITS)


def record(histogram: HdrHistogram, latency: Millis) -> None:
    """Add one latency to a histogram."""
    micros = min(HIGHEST_MICROS, max(LOWEST_MICROS, round(latency * MICROS_PER_MILLI)))
    histogram.record_value(micros)


def quantile(histogram: HdrHistogram, percent: float) -> Millis:
    """Return the latency at a percentile."""
    return Millis(histogram.get_value_at_percentile(percent) / MICROS_PER_MILLI)


class LatencyWindow:
    """Hold the latencies of the last one to two windows."""

    def __init__(self, clock: Clock, window: Millis = Millis(5_000)) -> None:
        self._clock = clock
        self._window = window
        self._current = new_histogram()
        self._previous = new_histogram()
        self._turned_at = clock.now()
        self._cache: dict[float, tuple[Millis, Millis]] = {}

    @property
    def count(self) -> int:
        """Return the number of latencies held."""
        return self._current.get_total_count() + self._previous.get_total_count()

    def add(self, latency: Millis) -> None:
        """Record one latency."""
        now = self._clock.now()
        if now - self._turned_at > self._window:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._turned_at = now
        record(self._current, latency)

    def quantile(self, percent: float, longest_age: Millis = QUANTILE_CACHE) -> Millis:
        """Return the latency at a percentile over both windows, at most `longest_age` old."""
        now = self._clock.now()
        cached = self._cache.get(percent)
        if cached is not None and now - cached[0] < longest_age:
            return cached[1]
        source = self._current
        if self._previous.get_total_count():
            source = new_histogram()
            source.add(self._current)
            source.add(self._previous)
        value = quantile(source, percent)
        self._cache[percent] = (now, value)
        return value
