"""Detect that the process was paused, and refresh its state from peers before it goes on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.events import EventKind, EventLog

TICK_INTERVAL = Millis(100)
REFRESH_TIMEOUT = Millis(1_000)


class PauseGuard:
    """Delay new work after a pause until this process has refreshed its state from peers.

    A gap of more than `max_gap` between ticks counts as a pause.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        max_gap: Millis,
        refresh: Callable[[], Awaitable[bool]],
    ) -> None:
        self.pauses = 0
        self._clock = clock
        self._events = events
        self._max_gap = max_gap
        self._refresh = refresh
        self._ticked_at = clock.now()
        self._refresh_lock = trio.Lock()

    async def run(self) -> None:
        """Tick until cancelled, refreshing the state after each pause."""
        while True:
            await sleep(TICK_INTERVAL)
            await self.wait_until_refreshed()

    async def wait_until_refreshed(self) -> None:
        """Return once the state was refreshed after the last pause, or the refresh timed out."""
        if not self.was_paused():
            self._ticked_at = self._clock.now()
            return
        async with self._refresh_lock:
            if self.was_paused():
                await self._recover()

    def was_paused(self) -> bool:
        """Return whether the process was paused and has not refreshed its state yet."""
        return self._clock.now() - self._ticked_at > self._max_gap

    async def _recover(self) -> None:
        length = self._clock.now() - self._ticked_at
        self.pauses += 1
        logger.warning(
            "process was paused for {:.0f} ms; refreshing state from peers before new work", length
        )
        self._events.add(EventKind.PAUSED, length_ms=round(length))
        with move_on_after(REFRESH_TIMEOUT):
            await self._refresh()
        self._ticked_at = self._clock.now()
