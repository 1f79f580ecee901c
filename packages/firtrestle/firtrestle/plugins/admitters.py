"""Register the admitters."""

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
MIN_ENDED = 20
ORDINARY_SLACK = 1.3  # queries let in for each one served
URGENT_SLACK = 2.0
SHORTEST_RETRY = Millis(500)
LONGEST_RETRY = Millis(4_000)
BURST = Millis(1_000)  # of an entry's rate that may come at once


@dataclass(slots=True)
class _Bucket:
    """Hold the tokens of one entry's rate limit."""

    tokens: float
    filled_at: Millis


@dataclass(slots=True)
class _Record:
    """Hold the queries of one entry and class that ended over the window, and the served ones."""

    ended: deque[Millis] = field(default_factory=deque)
    served: deque[Millis] = field(default_factory=deque)

    def expire(self, now: Millis) -> None:
        for times in (self.ended, self.served):
            while times and now - times[0] > WINDOW:
                times.popleft()


class OpenDoor(Admitter):
    """Let everything in; the baseline."""

    name = "none"

    def admit(self, arrival: Arrival) -> Refused | None:
        return None

    def finished(self, arrival: Arrival, served: bool) -> None:
        return


class DeadlineAdmitter(Admitter):
    """Hold entries to their limits, and refuse what recent queries show can't be served."""

    name = "deadline"

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        super().__init__(clock, rng)
        self._running_by_entry: dict[str, int] = {}
        self._bucket_by_entry: dict[str, _Bucket] = {}
        self._record_by_key: dict[tuple[str, bool], _Record] = {}

    def admit(self, arrival: Arrival) -> Refused | None:
        if arrival.time_left <= 0:
            return Refused(ErrorKind.DEADLINE_PASSED)
        refused = self._over_limit(arrival) or self._overloaded(arrival)
        if refused is not None:
            return refused
        name = arrival.entry.name
        self._running_by_entry[name] = self._running_by_entry.get(name, 0) + 1
        return None

    def finished(self, arrival: Arrival, served: bool) -> None:
        self._running_by_entry[arrival.entry.name] -= 1
        record = self._record(arrival)
        record.ended.append(self._clock.now())
        if served:
            record.served.append(self._clock.now())

    def _over_limit(self, arrival: Arrival) -> Refused | None:
        entry = arrival.entry
        if self._running_by_entry.get(entry.name, 0) + 1 > entry.concurrency * arrival.part:
            return Refused(ErrorKind.OVER_LIMIT, detail="concurrency", retry_after=self._spread())
        rate = entry.rate_per_second * arrival.part
        now = self._clock.now()
        most = rate * BURST / MILLIS_PER_SECOND
        bucket = self._bucket_by_entry.setdefault(entry.name, _Bucket(most, now))
        gained = (now - bucket.filled_at) * rate / MILLIS_PER_SECOND
        bucket.tokens = min(most, bucket.tokens + gained)
        bucket.filled_at = now
        if bucket.tokens < 1:
            return Refused(ErrorKind.OVER_LIMIT, detail="rate", retry_after=self._spread())
        bucket.tokens -= 1
        return None

    def _overloaded(self, arrival: Arrival) -> Refused | None:
        """Refuse at random so that what comes stays near what is served."""
        record = self._record(arrival)
        now = self._clock.now()
        record.expire(now)
        if len(record.ended) < MIN_ENDED:
            return None
        slack = URGENT_SLACK if arrival.urgent else ORDINARY_SLACK
        excess = len(record.ended) - slack * (len(record.served) + 1)
        if self._rng.random() >= excess / len(record.ended):
            return None
        record.ended.append(now)
        return Refused(ErrorKind.OVERLOADED, retry_after=self._spread())

    def _record(self, arrival: Arrival) -> _Record:
        key = (arrival.entry.name, arrival.urgent)
        return self._record_by_key.setdefault(key, _Record())

    def _spread(self) -> Millis:
        return Millis(self._rng.uniform(SHORTEST_RETRY, LONGEST_RETRY))


def register(kernel: Kernel) -> None:
    """Add the admitters to the kernel."""
    kernel.admitters.add(OpenDoor)
    kernel.admitters.add(DeadlineAdmitter)
