"""Provide the parts and the shutdown sequence that both kinds of daemons share."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import AsyncIterator
from typing import Any

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.events import EventLog
from firtrestle.gossip_maps import Gossiper, GossipMap
from firtrestle.hedgers import Hedger
from firtrestle.kernels import Kernel
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.settings import Settings

STOP_POLL_INTERVAL = Millis(20)


class BaseDaemon:
    """Run one daemon; a subclass builds its parts and implements `run` and `_stop`."""

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
        self.items = GossipMap()
        self._gossiper = Gossiper(self.items, settings.peers.fanout, self._rng, self.clock)

    def _build_chooser(self) -> ReplicaChooser:
        chooser = self._kernel.choosers.get(self.settings.policies.chooser)
        return chooser.from_config(self.settings.targets, self.clock, self._rng)

    def _build_hedger(self) -> Hedger:
        return self._kernel.hedgers.get(self.settings.policies.hedger).from_config(self.clock)

    async def _accept(self, listener: Any, serve: Any, scope: trio.CancelScope) -> None:
        """Accept connections until `scope` is cancelled, which leaves accepted ones open."""
        with scope:
            await trio.serve_listeners(serve, [listener], handler_nursery=self._nursery)

    async def _wait_for_stop(self, accept_scope: trio.CancelScope) -> None:
        """Wait for SIGTERM or SIGINT, then stop and cancel all tasks.

        Cancelling `accept_scope` closes the port for callers. Signals are received until the stop
        has ended: a second one would end the process before it has answered its callers.
        """
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for _ in received:
                break
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_ignore_signals, received)
                await self._stop(accept_scope)
                nursery.cancel_scope.cancel()
        self._nursery.cancel_scope.cancel()

    async def _stop(self, accept_scope: trio.CancelScope) -> None:
        """Report not ready, finish the running requests, and return."""
        raise NotImplementedError


async def _ignore_signals(received: AsyncIterator[int]) -> None:
    async for number in received:
        logger.bind(signal=signal.Signals(number).name).info("signal ignored, already stopping")
