"""Lease each target's slots to its holder, so that no two daemons ever use the same slot.

A target's slots are dealt out in lots, each owned by one daemon of those that may be alive. The
holder asks the owners for leases of a short time. An owner waits until a lease and the longest
sub-request that may have begun under it are over before it grants the lot to another daemon, so
that a dead, frozen or cut-off holder never meets its successor at a target.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from firtrestle.clocks import Clock, Millis
from firtrestle.messages import AskLeases, Done, Leases, ReturnLeases
from firtrestle.rendezvous import owner, rank
from firtrestle.settings import TargetSettings
from firtrestle.voters import Voters

LOTS = 3  # of a target; slot n of each of its searchers is in lot n modulo this
LEASE = Millis(1_500)  # time in which sub-requests may begin under a lease
MARGIN = Millis(250)  # for a sub-request on its way and for clocks that drift


def own_wait(settings: TargetSettings) -> Millis:
    """Return how long a lot rests before another daemon may use it."""
    return Millis(LEASE + settings.longest_run_ms + MARGIN)


@dataclass(frozen=True, slots=True)
class Lease:
    """Allow lots until a moment, to sub-requests that end by a later one."""

    lots: frozenset[int]
    until: Millis
    run_until: Millis


@dataclass(slots=True)
class TargetLease:
    """Hold the leases on one target, by the daemon that granted them."""

    by_owner: dict[str, Lease] = field(default_factory=dict)

    def slots(self, of: int, now: Millis) -> int:
        """Return how many of a searcher's slots may be used now."""
        lots = self._lots(now)
        return sum(1 for slot in range(of) if slot % LOTS in lots)

    def run_until(self, now: Millis) -> Millis:
        """Return when a sub-request that begins now must have ended at the target."""
        ends = [lease.run_until for lease in self.by_owner.values() if now < lease.until]
        return min(ends, default=now)

    def _lots(self, now: Millis) -> set[int]:
        return {lot for one in self.by_owner.values() if now < one.until for lot in one.lots}


class LotOwners:
    """Know which daemon owns each lot of a target."""

    def __init__(self, voters: Voters, clock: Clock) -> None:
        self._voters = voters
        self._clock = clock
        self._owners_by_target: dict[str, list[str]] = {}
        self._version = -1

    def owners(self, target_id: str) -> list[str]:
        """Return the owner of each lot, in this daemon's view."""
        if self._version != self._voters.version:
            self._owners_by_target.clear()
            self._version = self._voters.version
        found = self._owners_by_target.get(target_id)
        if found is None:
            found = self._among(target_id, self._voters.ids())
            self._owners_by_target[target_id] = found
        return found

    def own_lots(self, target_id: str, wait: Millis) -> frozenset[int]:
        """Return the lots that this daemon has owned for some time without a gap."""
        voters = self._voters
        since = Millis(self._clock.wall() - wait)
        if not voters.is_established_since(since):
            return frozenset()
        views = [self.owners(target_id)]
        if voters.changed_at > since:
            views += [self._among(target_id, ids) for ids in voters.sets_since(since)]
        me = voters.my_id
        return frozenset(lot for lot in range(LOTS) if all(one[lot] == me for one in views))

    def _among(self, target_id: str, ids: Iterable[str]) -> list[str]:
        """Deal the lots out to different data centres, so that each side of a split has some."""
        by_data_centre: dict[str, list[str]] = {}
        for daemon_id in ids:
            by_data_centre.setdefault(self._voters.data_centre_of(daemon_id), []).append(daemon_id)
        ranked = rank(target_id, by_data_centre)
        return [
            owner(f"{target_id}/{lot}", by_data_centre[ranked[lot % len(ranked)]]) or ""
            for lot in range(LOTS)
        ]


@dataclass(slots=True)
class _Grant:
    holder: str
    number: int
    until: Millis


class LeaseTable:
    """Grant the lots that this daemon owns, each target's to one holder at a time."""

    def __init__(
        self, voters: Voters, owners: LotOwners, settings: TargetSettings, clock: Clock
    ) -> None:
        self._voters = voters
        self._owners = owners
        self._wait = own_wait(settings)
        self._clock = clock
        self._grant_by_target: dict[str, _Grant] = {}

    def grant(self, ask: AskLeases) -> Leases:
        """Lease what is owned here and free, or leased to the same holder."""
        lots_by_target: dict[str, list[int]] = {}
        for target_id in ask.targets:
            lots = self._grant_one(target_id, ask)
            if lots:
                lots_by_target[target_id] = sorted(lots)
        return Leases(lots_by_target)

    def take_back(self, returned: ReturnLeases) -> Done:
        """Free what a holder gives back, unless it has asked again since."""
        for target_id in returned.targets:
            held = self._grant_by_target.get(target_id)
            mine = held is not None and held.holder == returned.holder
            if mine and held.number <= returned.number:
                del self._grant_by_target[target_id]
        return Done()

    def is_ready(self) -> bool:
        """Say whether this daemon may grant what it owns."""
        return self._voters.is_established_since(Millis(self._clock.wall() - self._wait))

    def _grant_one(self, target_id: str, ask: AskLeases) -> frozenset[int]:
        now = self._clock.now()
        held = self._grant_by_target.get(target_id)
        other = held is not None and held.holder != ask.holder
        if other and now < held.until:
            return frozenset()
        lots = self._owners.own_lots(target_id, self._wait)
        if lots:
            number = ask.number if held is None or other else max(ask.number, held.number)
            until = Millis(now + self._wait)
            self._grant_by_target[target_id] = _Grant(ask.holder, number, until)
        return lots
