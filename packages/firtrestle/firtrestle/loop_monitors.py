"""Measure how much of its time the event loop works rather than waits."""

from __future__ import annotations

import trio

from firtrestle.clocks import Clock, Millis


class LoopMonitor(trio.abc.Instrument):
    """Accumulate the time in which the event loop runs tasks."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._idle = Millis(0)
        self._waiting_since = self._started_at

    def before_io_wait(self, timeout: float) -> None:
        """Note when the loop starts to wait for input or the next timer."""
        self._waiting_since = self._clock.now()

    def after_io_wait(self, timeout: float) -> None:
        """Add the wait that has ended to the idle time."""
        self._idle = Millis(self._idle + self._clock.now() - self._waiting_since)

    def busy_time(self) -> Millis:
        """Return the time since the start in which the loop did not wait."""
        return Millis(self._clock.now() - self._started_at - self._idle)
