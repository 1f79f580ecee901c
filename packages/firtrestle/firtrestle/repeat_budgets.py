"""Bound the repeated requests that each service gets, over sliding windows and all daemons."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis

SAFETY = 0.9  # of what is allowed: sends arrive later than they are counted
HEDGE_SHARE = 0.7  # of a window's allowance that hedges may use, the rest is left to retries
SLICES = 20  # of a window
KEPT_SLICES = 4 * SLICES  # three windows are needed; dropped some at a time


@dataclass(frozen=True, slots=True)
class RepeatTerms:
    """Hold the operator's bound: `ratio` of the requests plus `slack`, in each window."""

    ratio: float
    slack: float
    window: Millis


class _Slices:
    """Count events by slices of a window, for three windows back."""

    def __init__(self, length: Millis) -> None:
        self._length = length
        self._numbers: list[int] = []
        self._totals: list[int] = []  # up to the end of each slice, since ever
        self._dropped = 0  # the total before the first slice that is held

    def number(self, now: Millis) -> int:
        """Return the number of the slice that holds a time."""
        return int(now / (self._length / SLICES))

    def add(self, now: Millis) -> None:
        """Count an event now."""
        number = self.number(now)
        if self._numbers and self._numbers[-1] == number:
            self._totals[-1] += 1
            return
        self._totals.append(self._total() + 1)
        self._numbers.append(number)
        if self._numbers[0] < number - KEPT_SLICES:
            self._drop(bisect_left(self._numbers, number - 3 * SLICES))

    def between(self, first: int, last: int) -> int:
        """Return the events of the slices from the first to the last, both included."""
        return max(0, self._total_through(last) - self._total_through(first - 1))

    def _total(self) -> int:
        return self._totals[-1] if self._totals else self._dropped

    def _total_through(self, number: int) -> int:
        index = bisect_right(self._numbers, number)
        return self._totals[index - 1] if index else self._dropped

    def _drop(self, count: int) -> None:
        self._dropped = self._totals[count - 1]
        del self._numbers[:count], self._totals[:count]


class RepeatBudget:
    """Grant repeats of one service's requests to one daemon.

    The daemon's own requests earn its part of the ratio; the slack is divided by the daemons that
    may be up. What peers do need not be known, so that a cut or a kill can't exceed the sum.
    """

    def __init__(self, terms: RepeatTerms, clock: Clock) -> None:
        self._terms = terms
        self._clock = clock
        self._requests = _Slices(terms.window)
        self._repeats = _Slices(terms.window)

    def earn(self) -> None:
        """Count a request that a caller sent."""
        self._requests.add(self._clock.now())

    def left(self, slack: float) -> float:
        """Return how many more repeats fit into the window; `slack` is this daemon's part."""
        number = self._repeats.number(self._clock.now())
        return self._allowed(slack) - self._repeats.between(number - SLICES - 1, number)

    def spend(self, slack: float, hedge: bool = False) -> bool:
        """Take the right to one repeat; hedges leave a reserve for retries."""
        reserve = self._allowed(slack) * (1.0 - HEDGE_SHARE) if hedge else 0.0
        if self.left(slack) - reserve < 1.0 or not self._fits_every_window(slack):
            return False
        self._repeats.add(self._clock.now())
        return True

    def _fits_every_window(self, slack: float) -> bool:
        """Say whether one more repeat fits into each window that holds this moment.

        A window's requests are its own, those of the window before it or those of the one half a
        window before, whichever has most; a partial slice counts for repeats, not for requests.
        """
        now = self._repeats.number(self._clock.now())
        for first in range(now - SLICES, now + 1):
            requests = max(
                self._requests.between(first + 1, now),
                self._requests.between(first - SLICES + 1, first - 1),
                self._requests.between(first - SLICES // 2 + 1, min(first + SLICES // 2 - 1, now)),
            )
            allowed = SAFETY * (requests * self._terms.ratio + slack)
            if self._repeats.between(first, now) + 1 > allowed:
                return False
        return True

    def _allowed(self, slack: float) -> float:
        number = self._requests.number(self._clock.now())
        requests = self._requests.between(number - SLICES + 1, number)
        return SAFETY * (requests * self._terms.ratio + slack)


class RepeatBudgets:
    """Keep the budgets by service, and this daemon's part of the slack."""

    def __init__(self, terms: RepeatTerms, clock: Clock, started_at: Millis) -> None:
        self._terms = terms
        self._clock = clock
        self._started_at = started_at
        self._budget_by_service: dict[str, RepeatBudget] = {}
        self.fleet_size = 0  # daemons that may be up; 0 while unknown

    def of(self, service: str) -> RepeatBudget:
        """Return a service's budget."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(self._terms, self._clock)
            self._budget_by_service[service] = budget
        return budget

    def left_by_service(self) -> dict[str, float]:
        """Return how many repeats each service's window still allows."""
        return {name: one.left(self.slack) for name, one in self._budget_by_service.items()}

    def forget_but(self, services: set[str]) -> None:
        """Drop the budgets of services that no route names any more."""
        for name in set(self._budget_by_service) - services:
            del self._budget_by_service[name]

    @property
    def slack(self) -> float:
        """Return this daemon's part of the slack.

        It grows over the first window: a daemon that was restarted may have spent its part just
        before. While the fleet's size is unknown there is none.
        """
        if not self.fleet_size:
            return 0.0
        grown = min(1.0, (self._clock.now() - self._started_at) / self._terms.window)
        return self._terms.slack / self.fleet_size * grown
