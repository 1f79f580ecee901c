"""Read clocks and wait, in milliseconds."""

from __future__ import annotations

import time
from typing import NewType

import trio

Millis = NewType("Millis", float)

MILLIS_PER_SECOND = 1000.0


class Clock:
    """Read the clocks of the process; tests may pass a subclass."""

    def now(self) -> Millis:
        """Return trio's monotonic clock in milliseconds."""
        return Millis(trio.current_time() * MILLIS_PER_SECOND)

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return Millis(time.time() * MILLIS_PER_SECOND)


async def sleep(duration: Millis) -> None:
    """Sleep for a number of milliseconds; a negative one counts as 0."""
    await trio.sleep(max(0.0, duration) / MILLIS_PER_SECOND)


def move_on_after(duration: Millis) -> trio.CancelScope:
    """Return a cancel scope that is cancelled after a number of milliseconds."""
    return trio.move_on_after(max(0.0, duration) / MILLIS_PER_SECOND)
