"""Drop lapsed instances as their grace periods end."""

from __future__ import annotations

import trio

from firtrestle.clocks import Millis, sleep
from firtrestle.instances import Instances

MIN_INTERVAL = Millis(20)  # collects the ends of lapses that were read together


class LapseExpiries:
    """Drop each lapsed instance as its grace period ends.

    A grace period leaves little of the drain time, within which no request may be sent.
    """

    def __init__(self, instances: Instances, nursery: trio.Nursery) -> None:
        self._instances = instances
        self._nursery = nursery
        self._is_waiting = False

    def start(self) -> None:
        """Wait for the ends of the grace periods, unless that is under way."""
        if not self._is_waiting:
            self._is_waiting = True
            self._nursery.start_soon(self._expire)

    async def _expire(self) -> None:
        while (left := self._instances.time_until_expiry()) is not None:
            await sleep(max(left, MIN_INTERVAL))
            self._instances.expire()
        self._is_waiting = False
