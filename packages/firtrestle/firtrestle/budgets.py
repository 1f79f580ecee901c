"""Bound the extra load that hedges and retries of an entry put on targets."""

from __future__ import annotations

from firtrestle.clocks import Clock, Millis

WINDOW = Millis(10_000)
MIN_CAP_TOKENS = 10.0  # lets an entry with little traffic retry at all
RETRY_RESERVE_TOKENS = 3.0  # hedges leave these for retries


class ExtraLoadBudget:
    """Grant repeats as a token bucket: each needed sub-request earns `fraction` of a token."""

    def __init__(self, fraction: float, clock: Clock) -> None:
        self.fraction = fraction
        self.needed = 0
        self.spent = 0
        self._clock = clock
        self._tokens = MIN_CAP_TOKENS if fraction > 0 else 0.0
        self._cap = self._tokens
        self._window_needed = 0
        self._window_started_at = clock.now()

    def earn(self, sub_requests: int) -> None:
        """Add tokens for needed sub-requests, the first attempts of their shards."""
        self.needed += sub_requests
        self._window_needed += sub_requests
        now = self._clock.now()
        if now - self._window_started_at > WINDOW:
            self._cap = max(MIN_CAP_TOKENS, self._window_needed * self.fraction)
            self._window_needed = 0
            self._window_started_at = now
        if self.fraction > 0:
            self._tokens = min(self._cap, self._tokens + sub_requests * self.fraction)

    def hedge_delay_factor(self) -> float:
        """Return the factor that delays hedges: 1 for a full budget, up to 2 for an empty one."""
        return 2.0 - self._tokens / self._cap if self._cap else 2.0

    def spend_on_retry(self) -> bool:
        """Spend a token on a retry; return whether there was one."""
        return self._spend(1.0)

    def spend_on_hedge(self) -> bool:
        """Spend a token on a hedge unless the reserve for retries is reached; return whether."""
        return self._spend(1.0 + RETRY_RESERVE_TOKENS)

    def _spend(self, needed_tokens: float) -> bool:
        if self._tokens < needed_tokens:
            return False
        self._tokens -= 1
        self.spent += 1
        return True
