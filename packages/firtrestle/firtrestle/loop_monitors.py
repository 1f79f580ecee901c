"""Measure how much of its time the event loop works rather than waits."""

from __future__ import annotations

import trio

from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis

MIN_WAIT = Millis(0.5)  # a poll of a busy loop returns sooner
# Longer than any tasks between two waits take on the slowest machine.
MIN_SUSPENSION = Millis(1_000)


class LoopMonitor(trio.abc.Instrument):
    """Accumulate the time in which the event loop runs tasks.

    `was_idle` says whether the loop had nothing to do just before the tasks that run now, so that
    no input was left unread. `suspensions` counts how often the process stood still for long.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._idle = Millis(0)
        self._waiting_since = self._started_at
        self._working_since = self._started_at
        self.was_idle = True
        self.suspensions = 0

    def before_io_wait(self, timeout: float) -> None:
        """Note when the loop starts to wait for input or the next timer."""
        self._waiting_since = self._clock.now()
        if self._waiting_since - self._working_since >= MIN_SUSPENSION:
            self.suspensions += 1

    def after_io_wait(self, timeout: float) -> None:
        """Add the wait that has ended to the idle time.

        A poll without a time-out doesn't wait: if it takes long, this process was preempted.
        """
        self._working_since = self._clock.now()
        elapsed = self._working_since - self._waiting_since
        if elapsed - timeout * MILLIS_PER_SECOND >= MIN_SUSPENSION:
            self.suspensions += 1
        waited = Millis(elapsed if timeout > 0 else 0)
        self._idle = Millis(self._idle + waited)
        self.was_idle = waited >= MIN_WAIT

    def busy_time(self) -> Millis:
        """Return the time since the start in which the loop did not wait."""
        return Millis(self._clock.now() - self._started_at - self._idle)
