"""Provide the admitters: none, and one by limits and recent success."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from firtrestle.admitters import Admitter, Arrival
from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis
from firtrestle.errors import ErrorKind, Refused

if TYPE_CHECKING:
    from firtrestle.kernels import Kernel

WINDOW = Millis(5_000)
MIN_ENDED_QUERIES = 20  # with fewer, no query is refused as overload
ORDINARY_ADMIT_RATIO = 1.3  # ended queries per served one, above which some are refused
URGENT_ADMIT_RATIO = 2.0
MIN_RETRY_AFTER = Millis(500)
MAX_RETRY_AFTER = Millis(4_000)
BURST_DURATION = Millis(1_000)  # arrivals of this time at an entry's rate may come at once


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    filled_at: Millis


@dataclass(slots=True)
class _RecentQueries:
    """Hold the end times of recent queries of one entry and class, and of those served.

    Queries refused as overload count as ended ones.
    """

    ended: deque[Millis] = field(default_factory=deque)
    served: deque[Millis] = field(default_factory=deque)

    def expire(self, now: Millis) -> None:
        for times in (self.ended, self.served):
            while times and now - times[0] > WINDOW:
                times.popleft()


class AdmitAll(Admitter):
    """Admit every query; the baseline."""

    name = "none"

    def admit(self, arrival: Arrival) -> Refused | None:
        return None

    def finished(self, arrival: Arrival, served: bool) -> None:
        return


class DeadlineAdmitter(Admitter):
    """Enforce the entries' limits, and refuse queries in proportion to recent overload."""

    name = "deadline"

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        super().__init__(clock, rng)
        self._running_by_entry: dict[str, int] = {}
        self._bucket_by_entry: dict[str, _TokenBucket] = {}
        self._recent_queries_by_key: dict[tuple[str, bool], _RecentQueries] = {}

    def admit(self, arrival: Arrival) -> Refused | None:
        if arrival.time_left <= 0:
            return Refused.not_run(ErrorKind.DEADLINE_PASSED)
        refused = self._check_limits(arrival) or self._check_overload(arrival)
        if refused is not None:
            return refused
        name = arrival.entry.name
        self._running_by_entry[name] = self._running_by_entry.get(name, 0) + 1
        return None

    def finished(self, arrival: Arrival, served: bool) -> None:
        self._running_by_entry[arrival.entry.name] -= 1
        recent = self._recent_queries(arrival)
        recent.ended.append(self._clock.now())
        if served:
            recent.served.append(self._clock.now())

    def _check_limits(self, arrival: Arrival) -> Refused | None:
        entry = arrival.entry
        if self._running_by_entry.get(entry.name, 0) + 1 > entry.concurrency * arrival.part:
            return Refused.not_run(
                ErrorKind.OVER_LIMIT, detail="concurrency", retry_after=self._random_retry_after()
            )
        rate = entry.rate_per_second * arrival.part
        now = self._clock.now()
        bucket_size = rate * BURST_DURATION / MILLIS_PER_SECOND
        bucket = self._bucket_by_entry.setdefault(entry.name, _TokenBucket(bucket_size, now))
        gained = (now - bucket.filled_at) * rate / MILLIS_PER_SECOND
        bucket.tokens = min(bucket_size, bucket.tokens + gained)
        bucket.filled_at = now
        if bucket.tokens < 1:
            return Refused.not_run(
                ErrorKind.OVER_LIMIT, detail="rate", retry_after=self._random_retry_after()
            )
        bucket.tokens -= 1
        return None

    def _check_overload(self, arrival: Arrival) -> Refused | None:
        """Refuse queries at random, so that the admitted ones stay close to those served."""
        recent = self._recent_queries(arrival)
        now = self._clock.now()
        recent.expire(now)
        if len(recent.ended) < MIN_ENDED_QUERIES:
            return None
        admit_ratio = URGENT_ADMIT_RATIO if arrival.urgent else ORDINARY_ADMIT_RATIO
        excess = len(recent.ended) - admit_ratio * (len(recent.served) + 1)
        if self._rng.random() >= excess / len(recent.ended):
            return None
        recent.ended.append(now)
        return Refused.not_run(ErrorKind.OVERLOADED, retry_after=self._random_retry_after())

    def _recent_queries(self, arrival: Arrival) -> _RecentQueries:
        key = (arrival.entry.name, arrival.urgent)
        return self._recent_queries_by_key.setdefault(key, _RecentQueries())

    def _random_retry_after(self) -> Millis:
        return Millis(self._rng.uniform(MIN_RETRY_AFTER, MAX_RETRY_AFTER))


def register(kernel: Kernel) -> None:
    """Add the admitters to the kernel."""
    kernel.admitters.add(AdmitAll)
    kernel.admitters.add(DeadlineAdmitter)
