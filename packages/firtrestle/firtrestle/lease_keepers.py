"""Ask for the leases of the targets held here, renew them, and give them back."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from firtrestle.clocks import Clock, Millis, move_on_after
from firtrestle.leases import LEASE, LOTS, Lease, LotOwners, TargetLease
from firtrestle.messages import AskLeases, Leases, ReturnLeases
from firtrestle.settings import TargetSettings
from firtrestle.voters import CallDaemon

RENEWAL = Millis(500)
EAGER_RENEWAL = Millis(100)  # while a target has no lease at all


class LeaseKeeper:
    """Keep the leases of this daemon as a holder.

    Each process has a holder name of its own: what an earlier one of the same daemon left running
    at a target still counts.
    """

    def __init__(
        self,
        holder: str,
        owners: LotOwners,
        call: CallDaemon,
        settings: TargetSettings,
        clock: Clock,
        nursery: trio.Nursery,
        rng: random.Random,
    ) -> None:
        self._holder = holder
        self._owners = owners
        self._call = call
        self._settings = settings
        self._clock = clock
        self._nursery = nursery
        self._rng = rng
        self._lease_by_target: dict[str, TargetLease] = {}
        self._on_change_by_target: dict[str, Callable[[], None]] = {}
        self._asking: set[str] = set()
        self._number = 0
        self._renew_now = trio.Event()
        self._was_ready = False

    def hold(self, target_id: str, lease: TargetLease, on_change: Callable[[], None]) -> None:
        """Keep a target's lease filled; tell when it changed."""
        self._lease_by_target[target_id] = lease
        self._on_change_by_target[target_id] = on_change
        self._renew_now.set()

    def drop(self, target_id: str) -> None:
        """Give the leases on a target back; nothing may run at it under them any more."""
        lease = self._lease_by_target.pop(target_id, None)
        self._on_change_by_target.pop(target_id, None)
        if lease is None:
            return
        returned = ReturnLeases(self._holder, self._number, [target_id])
        for daemon_id in set(self._owners.owners(target_id)) | set(lease.by_owner):
            self._nursery.start_soon(self._call, daemon_id, returned)
        lease.by_owner.clear()

    async def run(self) -> None:
        """Renew the leases, for ever."""
        while True:
            for daemon_id, leases in self._leases_by_owner().items():
                if daemon_id not in self._asking:
                    self._asking.add(daemon_id)
                    self._nursery.start_soon(self._ask, daemon_id, leases)
            for on_change in list(self._on_change_by_target.values()):
                on_change()
            pause = RENEWAL if self._all_leased() else EAGER_RENEWAL
            with move_on_after(Millis(pause * self._rng.uniform(0.8, 1.2))):
                await self._renew_now.wait()
            self._renew_now = trio.Event()

    def is_ready(self) -> bool:
        """Say whether every target held here has had a lease."""
        self._was_ready = self._was_ready or self._all_leased()
        return self._was_ready

    def _all_leased(self) -> bool:
        now = self._clock.now()
        return all(lease.slots(LOTS, now) for lease in self._lease_by_target.values())

    def _leases_by_owner(self) -> dict[str, dict[str, TargetLease]]:
        """Return what to ask each owner for, by target."""
        leases_by_owner: dict[str, dict[str, TargetLease]] = {}
        for target_id, lease in self._lease_by_target.items():
            for daemon_id in set(self._owners.owners(target_id)):
                leases_by_owner.setdefault(daemon_id, {})[target_id] = lease
        return leases_by_owner

    async def _ask(self, daemon_id: str, leases: dict[str, TargetLease]) -> None:
        """Ask one owner; the time of a lease counts from before the question."""
        self._number += 1
        ask = AskLeases(self._holder, self._number, list(leases))
        until = Millis(self._clock.now() + LEASE)
        try:
            answer = await self._call(daemon_id, ask)
        finally:
            self._asking.discard(daemon_id)
        if not isinstance(answer, Leases):
            return
        run_until = Millis(until + self._settings.longest_run_ms)
        for target_id, lots in answer.lots_by_target.items():
            lease = leases.get(target_id)
            if lease is not None and lease is self._lease_by_target.get(target_id):
                lease.by_owner[daemon_id] = Lease(frozenset(lots), until, run_until)
                self._on_change_by_target[target_id]()
