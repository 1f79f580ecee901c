"""Lease each target's slots to its holder, so that no two daemons ever use the same slot.

A target's slots are divided into lots, and each lot is owned by one of the daemons that may be
alive. The holder requests short leases from the owners. Before an owner grants a lot to another
daemon, it waits until the lease and the longest sub-request that may have begun under it are over,
so that a crashed, frozen or partitioned holder never uses a slot at the same time as its successor.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from firtrestle.clocks import Clock, Millis
from firtrestle.messages import AskLeases, Done, Leases, ReturnLeases
from firtrestle.rendezvous import owner, rank
from firtrestle.settings import TargetSettings
from firtrestle.voters import Voters

LOTS_PER_TARGET = 3  # slot n of each of a target's searchers is in lot n modulo this number
LEASE_DURATION = Millis(1_500)  # sub-requests may begin under a lease for this long
HANDOVER_MARGIN = Millis(250)  # covers a sub-request's time on the network and clock drift


def handover_wait(settings: TargetSettings) -> Millis:
    """Return how long after a grant a lot must not be granted to another holder."""
    return Millis(LEASE_DURATION + settings.longest_run_ms + HANDOVER_MARGIN)


@dataclass(frozen=True, slots=True)
class Lease:
    """Allow the use of lots.

    Sub-requests may begin before `valid_until` and must end by `run_deadline`, both in ms of the
    monotonic clock.
    """

    lots: frozenset[int]
    valid_until: Millis
    run_deadline: Millis


@dataclass(slots=True)
class TargetLease:
    """Collect the leases on one target, by the daemon that granted them."""

    by_owner: dict[str, Lease] = field(default_factory=dict)

    def slots(self, searcher_slots: int, now: Millis) -> int:
        """Return how many of a searcher's slots may be used now."""
        lots = self._valid_lots(now)
        return sum(1 for slot in range(searcher_slots) if slot % LOTS_PER_TARGET in lots)

    def run_deadline(self, now: Millis) -> Millis:
        """Return when a sub-request that begins now must have ended at the target."""
        ends = [lease.run_deadline for lease in self.by_owner.values() if now < lease.valid_until]
        return min(ends, default=now)

    def _valid_lots(self, now: Millis) -> set[int]:
        return {
            lot for lease in self.by_owner.values() if now < lease.valid_until for lot in lease.lots
        }


class LotOwners:
    """Assign each lot of a target to a daemon, by rendezvous hashing."""

    def __init__(self, voters: Voters, clock: Clock) -> None:
        self._voters = voters
        self._clock = clock
        self._owners_by_target: dict[str, list[str]] = {}
        self._version = -1

    def owners(self, target_id: str) -> list[str]:
        """Return the owner of each lot according to this daemon's set of voters."""
        if self._version != self._voters.version:
            self._owners_by_target.clear()
            self._version = self._voters.version
        found = self._owners_by_target.get(target_id)
        if found is None:
            found = self._assign(target_id, self._voters.ids())
            self._owners_by_target[target_id] = found
        return found

    def own_lots(self, target_id: str, wait: Millis) -> frozenset[int]:
        """Return the lots that this daemon has owned without a gap for at least `wait`."""
        voters = self._voters
        since = Millis(self._clock.wall() - wait)
        if not voters.is_established_since(since):
            return frozenset()
        assignments = [self.owners(target_id)]
        if voters.changed_at > since:
            assignments += [self._assign(target_id, ids) for ids in voters.sets_since(since)]
        me = voters.my_id
        return frozenset(
            lot
            for lot in range(LOTS_PER_TARGET)
            if all(owners[lot] == me for owners in assignments)
        )

    def _assign(self, target_id: str, ids: Iterable[str]) -> list[str]:
        """Assign the lots to different data centres, so that each side of a partition owns some."""
        by_data_centre: dict[str, list[str]] = {}
        for daemon_id in ids:
            by_data_centre.setdefault(self._voters.data_centre_of(daemon_id), []).append(daemon_id)
        ranked = rank(target_id, by_data_centre)
        return [
            owner(f"{target_id}/{lot}", by_data_centre[ranked[lot % len(ranked)]]) or ""
            for lot in range(LOTS_PER_TARGET)
        ]


@dataclass(slots=True)
class _Grant:
    holder: str
    request_number: int
    handover_at: Millis


class LeaseTable:
    """Grant the lots that this daemon owns, those of each target to one holder at a time."""

    def __init__(
        self, voters: Voters, owners: LotOwners, settings: TargetSettings, clock: Clock
    ) -> None:
        self._voters = voters
        self._owners = owners
        self._wait = handover_wait(settings)
        self._clock = clock
        self._grant_by_target: dict[str, _Grant] = {}

    def grant(self, ask: AskLeases) -> Leases:
        """Lease the requested targets' own lots that are free or leased to the same holder."""
        lots_by_target: dict[str, list[int]] = {}
        for target_id in ask.targets:
            lots = self._grant_lots(target_id, ask)
            if lots:
                lots_by_target[target_id] = sorted(lots)
        return Leases(lots_by_target)

    def release(self, returned: ReturnLeases) -> Done:
        """Release targets that a holder returns, unless it has requested them again since."""
        for target_id in returned.targets:
            grant = self._grant_by_target.get(target_id)
            same_holder = grant is not None and grant.holder == returned.holder
            if same_holder and grant.request_number <= returned.number:
                del self._grant_by_target[target_id]
        return Done()

    def is_ready(self) -> bool:
        """Return whether all leases granted before this daemon became a voter are over."""
        return self._voters.is_established_since(Millis(self._clock.wall() - self._wait))

    def _grant_lots(self, target_id: str, ask: AskLeases) -> frozenset[int]:
        now = self._clock.now()
        grant = self._grant_by_target.get(target_id)
        other_holder = grant is not None and grant.holder != ask.holder
        if other_holder and now < grant.handover_at:
            return frozenset()
        lots = self._owners.own_lots(target_id, self._wait)
        if lots:
            number = (
                ask.number
                if grant is None or other_holder
                else max(ask.number, grant.request_number)
            )
            handover_at = Millis(now + self._wait)
            self._grant_by_target[target_id] = _Grant(ask.holder, number, handover_at)
        return lots
