"""Bound the extra load that hedges and retries put on targets."""

from __future__ import annotations

from firtrestle.clocks import Clock, Millis

WINDOW = Millis(10_000)
LEAST_CAP = 10.0  # tokens, so that a quiet entry can retry at all
RETRY_RESERVE = 3.0  # tokens that hedges leave for retries


class ExtraLoadBudget:
    """Grant extra sub-requests in proportion to the needed ones of a window."""

    def __init__(self, fraction: float, clock: Clock) -> None:
        self.fraction = fraction
        self.needed = 0
        self.spent = 0
        self._clock = clock
        self._tokens = LEAST_CAP if fraction > 0 else 0.0
        self._cap = self._tokens
        self._window_needed = 0
        self._window_started_at = clock.now()

    def earn(self, sub_requests: int) -> None:
        """Count needed sub-requests."""
        self.needed += sub_requests
        self._window_needed += sub_requests
        now = self._clock.now()
        if now - self._window_started_at > WINDOW:
            self._cap = max(LEAST_CAP, self._window_needed * self.fraction)
            self._window_needed = 0
            self._window_started_at = now
        if self.fraction > 0:
            self._tokens = min(self._cap, self._tokens + sub_requests * self.fraction)

    def scarcity(self) -> float:
        """Return 1 for a full budget, up to 2 for an empty one: how much later to hedge."""
        return 2.0 - self._tokens / self._cap if self._cap else 2.0

    def spend_on_retry(self) -> bool:
        """Take the right to one retry, if there is any."""
        return self._spend(1.0)

    def spend_on_hedge(self) -> bool:
        """Take the right to one hedge, if enough is left for retries."""
        return self._spend(1.0 + RETRY_RESERVE)

    def _spend(self, needed_tokens: float) -> bool:
        if self._tokens < needed_tokens:
            return False
        self._tokens -= 1
        self.spent += 1
        return True
