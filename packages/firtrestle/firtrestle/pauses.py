"""Notice that the process was paused, and refresh its views before it dispatches."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.events import EventKind, EventLog

TICK = Millis(100)
REFRESH_TIMEOUT = Millis(1_000)


class PauseGuard:
    """Hold new work back after a pause until peers have told the news."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        longest: Millis,
        refresh: Callable[[], Awaitable[bool]],
    ) -> None:
        self.pauses = 0
        self._clock = clock
        self._events = events
        self._longest = longest
        self._refresh = refresh
        self._ticked_at = clock.now()
        self._refreshing = trio.Lock()

    async def run(self) -> None:
        """Tick for ever, refreshing after each pause."""
        while True:
            await sleep(TICK)
            await self.settle()

    async def settle(self) -> None:
        """Return once the views are no older than the last pause."""
        if not self.was_paused():
            self._ticked_at = self._clock.now()
            return
        async with self._refreshing:
            if self.was_paused():
                await self._recover()

    def was_paused(self) -> bool:
        """Say whether the process was paused and has not refreshed its views yet."""
        return self._clock.now() - self._ticked_at > self._longest

    async def _recover(self) -> None:
        length = self._clock.now() - self._ticked_at
        self.pauses += 1
        logger.warning("the process was paused for {:.0f} ms", length)
        self._events.add(EventKind.PAUSED, length_ms=round(length))
        with move_on_after(REFRESH_TIMEOUT):
            await self._refresh()
        self._ticked_at = self._clock.now()
