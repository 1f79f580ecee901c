"""Tell crashed instances from instances that this daemon didn't reach for a while."""

from __future__ import annotations

import random

from loguru import logger

from firtrestle.clocks import Millis, sleep
from firtrestle.connect_probes import ConnectProber
from firtrestle.crash_records import CrashRecords
from firtrestle.instances import Instances

CHECK_INTERVAL = Millis(300)
MAX_SUSPECTS = 12  # probed at once
MAX_OTHERS = 4  # probed beside them, to show whether this daemon's links work


class CrashProbes:
    """Probe suspected instances: one has crashed if it is unreachable while others are reached.

    Replies prove nothing: they may come over connections that were opened before links were lost,
    or after the links have returned.
    """

    def __init__(
        self,
        crashes: CrashRecords,
        instances: Instances,
        prober: ConnectProber,
        rng: random.Random,
    ) -> None:
        self._crashes = crashes
        self._instances = instances
        self._prober = prober
        self._rng = rng

    async def run(self) -> None:
        """Probe suspected instances until cancelled."""
        while True:
            await sleep(CHECK_INTERVAL)
            if self._crashes.suspected():
                await self.check()

    async def check(self) -> None:
        """Probe some suspected instances, beside others, and decide on those."""
        suspected = self._crashes.suspected()
        known = self._instances.all()
        suspects = [instance for instance in known if instance.replica_id in suspected]
        others = [instance for instance in known if instance.replica_id not in suspected]
        suspects = self._rng.sample(suspects, min(MAX_SUSPECTS, len(suspects)))
        others = self._rng.sample(others, min(MAX_OTHERS, len(others)))
        accepting = {
            instance.replica_id
            for instance in await self._prober.find_accepting([*suspects, *others])
        }
        are_links_up = any(instance.replica_id in accepting for instance in others)
        for instance in suspects:
            is_reachable = instance.replica_id in accepting
            logger.bind(
                instance=instance.id, reachable=is_reachable, others_reachable=are_links_up
            ).info("suspected crash probed")
            if is_reachable:
                self._crashes.record_reached(instance.replica_id)
            elif are_links_up:
                self._crashes.record_unreachable(instance.replica_id)
