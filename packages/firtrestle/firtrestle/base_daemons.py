"""Hold what daemons of all kinds are built from, and how they begin and end."""

from __future__ import annotations

import random
import signal
import time
from typing import Any

import trio

from firtrestle.clocks import Clock, Millis
from firtrestle.events import EventLog
from firtrestle.hedgers import Hedger
from firtrestle.kernels import Kernel
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.settings import Settings
from firtrestle.spreads import Spreader, SpreadMap

STOP_POLL = Millis(20)  # between looks whether all requests are finished


class BaseDaemon:
    """Run one daemon; a subclass builds its parts and says how it serves and stops."""

    def __init__(self, settings: Settings, kernel: Kernel, nursery: trio.Nursery) -> None:
        self.settings = settings
        self.clock = Clock()
        self.incarnation = time.time_ns() // 1_000_000
        self._nursery = nursery
        self._kernel = kernel
        self._rng = random.Random(f"{settings.daemon.id}/{self.incarnation}")
        self.events = EventLog(
            settings.daemon.id, self.incarnation, self.clock, settings.events.capacity
        )
        self.items = SpreadMap()
        self._spreader = Spreader(self.items, settings.peers.fanout, self._rng, self.clock)

    def _build_chooser(self) -> ReplicaChooser:
        chooser = self._kernel.choosers.get(self.settings.policies.chooser)
        return chooser.from_config(self.settings.targets, self.clock, self._rng)

    def _build_hedger(self) -> Hedger:
        return self._kernel.hedgers.get(self.settings.policies.hedger).from_config(self.clock)

    async def _accept(self, listener: Any, serve: Any, scope: trio.CancelScope) -> None:
        with scope:
            await trio.serve_listeners(serve, [listener], handler_nursery=self._nursery)

    async def _wait_for_stop(self, listening: trio.CancelScope) -> None:
        """Serve until a signal asks to stop; `listening` ends the listening for callers."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for _ in received:
                break
        await self._stop(listening)
        self._nursery.cancel_scope.cancel()

    async def _stop(self, listening: trio.CancelScope) -> None:
        """Be not ready, finish every request, and return."""
        raise NotImplementedError
