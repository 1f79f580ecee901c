"""Estimate the processor time of a sub-request here, and the time in which instances reply."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from firtrestle.clocks import Clock, Millis

MAX_AGE = Millis(5_000)  # older estimates are unknown
WINDOW = Millis(1_000)  # a machine that changes its speed is known to after this time
MIN_WINDOW_ATTEMPTS = 30  # with fewer in the window, older samples are used as well
# Samples of fewer sub-requests vary with the event loop's other tasks.
MIN_SAMPLE_ATTEMPTS = 20
MAX_SAMPLES = 256  # more than a daemon closes in a window
MAX_REPLY_TIMES = 32  # per route


class BusyLoop(Protocol):
    """Define what estimates need to know of the event loop."""

    suspensions: int

    def busy_time(self) -> Millis:
        """Return the time in which the loop did not wait for input."""


class Estimate(NamedTuple):
    """Represent an estimate; `spread` is the distance of its quartiles."""

    value: Millis
    spread: Millis
    age: Millis
    lower: Millis  # the lower quartile


@dataclass(slots=True)
class _Sample:
    at: Millis
    value: Millis
    weight: float


class WorkEstimates:
    """Learn the cost of a sub-request from the loop's busy time while requests run.

    Busy time counts also while the process is preempted, so that estimates are of elapsed time.
    """

    def __init__(self, clock: Clock, loop: BusyLoop) -> None:
        self._clock = clock
        self._loop = loop
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)
        self._reply_times_by_route: dict[str, deque[_Sample]] = {}
        self._busy_at_sample = loop.busy_time()
        self._attempts = 0.0  # since the last sample
        self._running = 0
        self._suspensions = loop.suspensions

    def begin(self) -> None:
        """Start to count the loop's busy time, as a request starts to run."""
        self._forget_if_suspended()
        if not self._running:
            self._busy_at_sample = self._loop.busy_time()
            self._attempts = 0.0
        self._running += 1

    def end(self) -> None:
        """Stop to count the loop's busy time once no request runs."""
        self._running = max(0, self._running - 1)
        self._forget_if_suspended()
        if not self._running:
            self._close_sample()

    def record_attempts(self, count: float) -> None:
        """Count sub-requests, or halves of them, that the loop has worked on."""
        self._forget_if_suspended()
        self._attempts += count
        if self._attempts >= MIN_SAMPLE_ATTEMPTS:
            self._close_sample()

    def record_reply_time(self, route_name: str, latency: Millis) -> None:
        """Record how long the instances took to reply to a request of a route."""
        self._forget_if_suspended()
        times = self._reply_times_by_route.setdefault(route_name, deque(maxlen=MAX_REPLY_TIMES))
        times.append(_Sample(self._clock.now(), latency, 1.0))

    def processor_time(self) -> Millis | None:
        """Return the processor time of one sub-request, None while unknown or too old."""
        estimate = self.processor_estimate()
        return None if estimate is None else estimate.value

    def processor_estimate(self) -> Estimate | None:
        """Return the processor time of one sub-request with its spread and age."""
        self._forget_if_suspended()
        return _estimate(self._samples, self._clock.now(), MIN_WINDOW_ATTEMPTS)

    def reply_time(self, route_name: str) -> Millis | None:
        """Return the time in which a route's instances reply, None while unknown or too old."""
        estimate = self.reply_estimate(route_name)
        return None if estimate is None else estimate.value

    def reply_estimate(self, route_name: str) -> Estimate | None:
        """Return the time in which a route's instances reply with its spread and age."""
        self._forget_if_suspended()
        samples = self._reply_times_by_route.get(route_name)
        return None if samples is None else _estimate(samples, self._clock.now(), math.inf)

    def _close_sample(self) -> None:
        busy = self._loop.busy_time()
        if self._attempts > 0:
            value = Millis((busy - self._busy_at_sample) / self._attempts)
            self._samples.append(_Sample(self._clock.now(), value, self._attempts))
        self._busy_at_sample = busy
        self._attempts = 0.0

    def _forget_if_suspended(self) -> None:
        """Drop all samples after a suspension, whose time is not that of any work."""
        if self._suspensions == self._loop.suspensions:
            return
        self._suspensions = self._loop.suspensions
        self._samples.clear()
        self._reply_times_by_route.clear()
        self._busy_at_sample = self._loop.busy_time()
        self._attempts = 0.0


def _estimate(samples: deque[_Sample], now: Millis, min_weight: float) -> Estimate | None:
    """Return the weighted median of recent samples, None without any."""
    if not samples or now - samples[-1].at > MAX_AGE:
        return None
    recent: list[_Sample] = []
    weight = 0.0
    for sample in reversed(samples):
        age = now - sample.at
        if age > MAX_AGE or (age > WINDOW and weight >= min_weight):
            break
        recent.append(sample)
        weight += sample.weight
    newest_at = recent[0].at
    recent.sort(key=lambda sample: sample.value)
    lower, median, upper = (_quantile(recent, weight * share) for share in (0.25, 0.5, 0.75))
    return Estimate(median, Millis(upper - lower), Millis(now - newest_at), lower)


def _quantile(samples: list[_Sample], weight: float) -> Millis:
    """Return the value up to which ordered samples have a given weight."""
    passed = 0.0
    for sample in samples:
        passed += sample.weight
        if passed >= weight:
            return sample.value
    return samples[-1].value
