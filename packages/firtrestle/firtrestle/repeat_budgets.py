"""Bound the repeats that each service gets from all daemons in any sliding window."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis
from firtrestle.settings import RouteSettings

SAFETY_FACTOR = 0.9  # leaves a margin, as repeats arrive later than they are counted
SLICES_PER_WINDOW = 20
MAX_KEPT_SLICES = 4 * SLICES_PER_WINDOW  # three windows are needed; one more to drop in bulk


@dataclass(frozen=True, slots=True)
class RepeatTerms:
    """Hold the operators' bound: per window, `ratio` of the requests plus `slack` repeats."""

    ratio: float
    slack: float
    window: Millis

    @classmethod
    def from_config(cls, settings: RouteSettings) -> RepeatTerms:
        """Build from the settings."""
        window = Millis(settings.repeat_window_ms)
        return cls(settings.repeat_ratio, settings.repeat_slack, window)


class _SlicedCounter:
    """Count events in slices of a window, for at least the last three windows."""

    def __init__(self, length: Millis) -> None:
        self._length = length
        self._numbers: list[int] = []
        self._totals: list[int] = []  # cumulative, up to the end of each slice
        self._dropped_total = 0  # the cumulative total before the first kept slice

    def number(self, now: Millis) -> int:
        """Return the number of the slice that contains a time."""
        return int(now / (self._length / SLICES_PER_WINDOW))

    def add(self, now: Millis) -> None:
        """Count one event."""
        number = self.number(now)
        if self._numbers and self._numbers[-1] == number:
            self._totals[-1] += 1
            return
        self._totals.append(self._total() + 1)
        self._numbers.append(number)
        if self._numbers[0] < number - MAX_KEPT_SLICES:
            self._drop(bisect_left(self._numbers, number - 3 * SLICES_PER_WINDOW))

    def count_between(self, first: int, last: int) -> int:
        """Return the number of events in the slices from first to last, inclusive."""
        return max(0, self._total_through(last) - self._total_through(first - 1))

    def _total(self) -> int:
        return self._totals[-1] if self._totals else self._dropped_total

    def _total_through(self, number: int) -> int:
        index = bisect_right(self._numbers, number)
        return self._totals[index - 1] if index else self._dropped_total

    def _drop(self, count: int) -> None:
        self._dropped_total = self._totals[count - 1]
        del self._numbers[:count], self._totals[:count]


class RepeatBudget:
    """Grant one daemon's repeats of one service's requests.

    The daemon's own requests earn its part of the ratio, and the slack is divided among the
    daemons that may be up. As this needs no knowledge of peers' repeats, a network cut or a killed
    daemon can't make the sum over all daemons exceed the bound.
    """

    def __init__(self, terms: RepeatTerms, clock: Clock) -> None:
        self._terms = terms
        self._clock = clock
        self._requests = _SlicedCounter(terms.window)
        self._repeats = _SlicedCounter(terms.window)

    def earn(self) -> None:
        """Count a request of a caller, which earns part of a repeat."""
        self._requests.add(self._clock.now())

    def remaining(self, slack: float) -> float:
        """Return how many more repeats the current window allows; `slack` is this daemon's part."""
        number = self._repeats.number(self._clock.now())
        return self._allowed(slack) - self._repeats.count_between(
            number - SLICES_PER_WINDOW - 1, number
        )

    def has_left(self, slack: float, reserve_share: float) -> bool:
        """Return whether a repeat leaves a share of the allowance to others."""
        return self.remaining(slack) - self._allowed(slack) * reserve_share >= 1.0

    def spend(self, slack: float, reserve_share: float = 0.0) -> bool:
        """Spend one repeat if the terms allow it and it leaves the reserve."""
        if not self.has_left(slack, reserve_share) or not self._fits_every_window(slack):
            return False
        self._repeats.add(self._clock.now())
        return True

    def _fits_every_window(self, slack: float) -> bool:
        """Return whether one more repeat fits into each window that contains the present.

        The terms allow for the most requests of three windows: the same one, the one before it
        and the one half a window earlier. Partial slices count for repeats but not for requests.
        """
        current = self._repeats.number(self._clock.now())
        for first in range(current - SLICES_PER_WINDOW, current + 1):
            requests = max(
                self._requests.count_between(first + 1, current),
                self._requests.count_between(first - SLICES_PER_WINDOW + 1, first - 1),
                self._requests.count_between(
                    first - SLICES_PER_WINDOW // 2 + 1,
                    min(first + SLICES_PER_WINDOW // 2 - 1, current),
                ),
            )
            allowed = SAFETY_FACTOR * (requests * self._terms.ratio + slack)
            if self._repeats.count_between(first, current) + 1 > allowed:
                return False
        return True

    def _allowed(self, slack: float) -> float:
        number = self._requests.number(self._clock.now())
        requests = self._requests.count_between(number - SLICES_PER_WINDOW + 1, number)
        return SAFETY_FACTOR * (requests * self._terms.ratio + slack)


class RepeatBudgets:
    """Keep one budget per service, and compute this daemon's part of the slack."""

    def __init__(self, terms: RepeatTerms, clock: Clock, started_at: Millis) -> None:
        self._terms = terms
        self._clock = clock
        self._started_at = started_at
        self._budget_by_service: dict[str, RepeatBudget] = {}
        self.fleet_size = 0  # daemons that may be up; 0 while unknown

    @classmethod
    def from_config(cls, routes: RouteSettings, clock: Clock) -> RepeatBudgets:
        """Build the budgets of a daemon that starts now."""
        return cls(RepeatTerms.from_config(routes), clock, clock.now())

    def for_service(self, service: str) -> RepeatBudget:
        """Return a service's budget, created if there is none."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(self._terms, self._clock)
            self._budget_by_service[service] = budget
        return budget

    def remaining_by_service(self) -> dict[str, float]:
        """Return how many more repeats each service's current window allows."""
        return {
            name: budget.remaining(self.slack) for name, budget in self._budget_by_service.items()
        }

    def retain_only(self, services: set[str]) -> None:
        """Drop the budgets of services that are not among the given ones."""
        for name in set(self._budget_by_service) - services:
            del self._budget_by_service[name]

    @property
    def slack(self) -> float:
        """Return this daemon's part of the slack, 0 while the fleet size is unknown.

        It grows from 0 over the first window after the start, as the daemon may have spent its
        part just before a restart.
        """
        if not self.fleet_size:
            return 0.0
        grown = min(1.0, (self._clock.now() - self._started_at) / self._terms.window)
        return self._terms.slack / self.fleet_size * grown
