"""Probe instances that failed beside others, for all who judge by their failures."""

from __future__ import annotations

import random
from collections.abc import Callable

from loguru import logger

from firtrestle.clocks import Millis, sleep
from firtrestle.connect_probes import ConnectProber
from firtrestle.crash_records import CrashRecords
from firtrestle.instances import Instance
from firtrestle.snapshots import ReplicaId
from firtrestle.uplinks import Uplink

CHECK_INTERVAL = Millis(300)
MAX_SUSPECTS = 12  # probed at once
WITNESSES = 4  # probed beside them, to show whether this daemon's links work

ListInstances = Callable[[], list[Instance]]


class FaultProbes:
    """Tell instances that are dead from links of this daemon that are lost.

    An instance is dead if it is not reached while a witness is: one that is not itself in doubt,
    and if possible replied a short time ago. One round of probes tells the uplink and the crash
    records alike, so that a failure never counts for both. Replies prove nothing of an instance
    that is in doubt: they may come over connections that were opened before links were lost.
    """

    def __init__(
        self,
        uplink: Uplink,
        crashes: CrashRecords,
        list_instances: ListInstances,
        prober: ConnectProber,
        rng: random.Random,
    ) -> None:
        self._uplink = uplink
        self._crashes = crashes
        self._list_instances = list_instances
        self._prober = prober
        self._rng = rng

    async def run(self) -> None:
        """Probe instances on which requests broke off, until cancelled.

        While the links are lost, only their return is probed for.
        """
        while True:
            await sleep(CHECK_INTERVAL)
            if self._crashes.suspected() and not self._uplink.is_lost:
                await self.probe()

    async def probe(self) -> None:
        """Probe some instances in doubt, beside witnesses, and record what that shows."""
        known = self._list_instances()
        if not known:
            return
        in_doubt = self._crashes.suspected() | self._uplink.failing_ids
        suspects = [instance for instance in known if instance.replica_id in in_doubt]
        suspects = self._rng.sample(suspects, min(MAX_SUSPECTS, len(suspects)))
        witnesses = self._choose_witnesses(known, in_doubt, WITNESSES)
        found = await self._prober.probe([*suspects, *witnesses])
        are_links_up = any(instance.replica_id in found.accepting for instance in witnesses)
        dead = []
        for instance in suspects:
            is_reachable = instance.replica_id in found.accepting
            is_refused = instance.replica_id in found.refusing
            logger.bind(
                instance=instance.id,
                reachable=is_reachable,
                refused=is_refused,
                others_reachable=are_links_up,
            ).info("instance in doubt probed")
            if is_reachable:
                self._crashes.record_reached(instance.replica_id)
            elif are_links_up:
                self._crashes.record_unreachable(instance.replica_id, is_refused)
                dead.append(instance)
        self._uplink.record_probes(bool(found.accepting), dead)

    async def reaches_one(self) -> bool:
        """Return whether one instance accepts a connection."""
        witnesses = self._choose_witnesses(self._list_instances(), set(), 1)
        return bool((await self._prober.probe(witnesses)).accepting)

    def _choose_witnesses(
        self, known: list[Instance], in_doubt: set[ReplicaId], count: int
    ) -> list[Instance]:
        """Return instances that are not in doubt: some heard recently, and some at random."""
        others = [instance for instance in known if instance.replica_id not in in_doubt]
        heard_ids = self._uplink.recently_heard_ids()
        heard = [instance for instance in others if instance.replica_id in heard_ids]
        from_heard = (count + self._rng.randint(0, 1)) // 2
        chosen = self._rng.sample(heard, min(from_heard, len(heard)))
        rest = [instance for instance in others if instance not in chosen]
        return chosen + self._rng.sample(rest, min(count - len(chosen), len(rest)))
