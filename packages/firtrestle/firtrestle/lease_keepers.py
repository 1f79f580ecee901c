"""Request, renew and return the leases on the targets that this daemon holds."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from firtrestle.clocks import Clock, Millis, move_on_after
from firtrestle.leases import LEASE_DURATION, LOTS_PER_TARGET, Lease, LotOwners, TargetLease
from firtrestle.messages import AskLeases, Leases, ReturnLeases
from firtrestle.settings import TargetSettings
from firtrestle.voters import CallDaemon

RENEWAL_INTERVAL = Millis(500)
UNLEASED_RENEWAL_INTERVAL = Millis(100)  # while a target has no lease at all


class LeaseKeeper:
    """Keep the leases on the targets that this daemon holds.

    Each process has its own holder name, because sub-requests that an earlier process of the same
    daemon left running at a target still occupy their slots.
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
        self._owners_being_asked: set[str] = set()
        self._request_number = 0
        self._renew_now = trio.Event()
        self._has_been_ready = False

    def hold(self, target_id: str, lease: TargetLease, on_change: Callable[[], None]) -> None:
        """Keep `lease` up to date for a target, and call `on_change` after each change."""
        self._lease_by_target[target_id] = lease
        self._on_change_by_target[target_id] = on_change
        self._renew_now.set()

    def drop(self, target_id: str) -> None:
        """Return the leases on a target; no sub-request may be running under them."""
        lease = self._lease_by_target.pop(target_id, None)
        self._on_change_by_target.pop(target_id, None)
        if lease is None:
            return
        returned = ReturnLeases(self._holder, self._request_number, [target_id])
        for daemon_id in set(self._owners.owners(target_id)) | set(lease.by_owner):
            self._nursery.start_soon(self._call, daemon_id, returned)
        lease.by_owner.clear()

    async def run(self) -> None:
        """Renew the leases until cancelled."""
        while True:
            for daemon_id, leases in self._leases_by_owner().items():
                if daemon_id not in self._owners_being_asked:
                    self._owners_being_asked.add(daemon_id)
                    self._nursery.start_soon(self._request_leases, daemon_id, leases)
            for on_change in list(self._on_change_by_target.values()):
                on_change()
            interval = RENEWAL_INTERVAL if self._all_leased() else UNLEASED_RENEWAL_INTERVAL
            with move_on_after(Millis(interval * self._rng.uniform(0.8, 1.2))):
                await self._renew_now.wait()
            self._renew_now = trio.Event()

    def is_ready(self) -> bool:
        """Return whether all held targets have been leased at the same time at least once."""
        self._has_been_ready = self._has_been_ready or self._all_leased()
        return self._has_been_ready

    def _all_leased(self) -> bool:
        now = self._clock.now()
        return all(lease.slots(LOTS_PER_TARGET, now) for lease in self._lease_by_target.values())

    def _leases_by_owner(self) -> dict[str, dict[str, TargetLease]]:
        """Return the leases to request from each owner, by target."""
        leases_by_owner: dict[str, dict[str, TargetLease]] = {}
        for target_id, lease in self._lease_by_target.items():
            for daemon_id in set(self._owners.owners(target_id)):
                leases_by_owner.setdefault(daemon_id, {})[target_id] = lease
        return leases_by_owner

    async def _request_leases(self, daemon_id: str, leases: dict[str, TargetLease]) -> None:
        """Request leases from one owner.

        A lease starts when the request is sent, so that it ends here before it ends for the owner.
        """
        self._request_number += 1
        ask = AskLeases(self._holder, self._request_number, list(leases))
        valid_until = Millis(self._clock.now() + LEASE_DURATION)
        try:
            answer = await self._call(daemon_id, ask)
        finally:
            self._owners_being_asked.discard(daemon_id)
        if not isinstance(answer, Leases):
            return
        run_deadline = Millis(valid_until + self._settings.longest_run_ms)
        for target_id, lots in answer.lots_by_target.items():
            lease = leases.get(target_id)
            if lease is not None and lease is self._lease_by_target.get(target_id):
                lease.by_owner[daemon_id] = Lease(frozenset(lots), valid_until, run_deadline)
                self._on_change_by_target[target_id]()
