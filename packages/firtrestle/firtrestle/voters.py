"""Know which daemons may hold a key, and since when without a gap."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from firtrestle.clocks import Clock, Millis
from firtrestle.messages import Join
from firtrestle.peers import PeerAddress
from firtrestle.rendezvous import rank
from firtrestle.settings import ClaimSettings
from firtrestle.vm_lists import VmList

CallDaemon = Callable[[str, Any], Awaitable[Any]]  # by id, this daemon included


@dataclass(slots=True)
class _Voter:
    address: PeerAddress
    data_centre: str
    joined_at: Millis
    listed: bool


@dataclass(frozen=True, slots=True)
class Standing:
    """Say whether this daemon may vote on a key, and how many votes the key needs."""

    may_vote: bool
    quorum: int
    reason: str = ""


class Voters:
    """Hold every daemon that may be alive, and the history of that set.

    A daemon enters when it is listed or announces itself, and leaves only when the platform,
    which lists it late but never drops it while it runs, has dropped it.
    """

    def __init__(
        self,
        my_id: str,
        address: PeerAddress,
        settings: ClaimSettings,
        clock: Clock,
        data_centre: str = "",
    ) -> None:
        self.my_id = my_id
        self.established_at: Millis | None = None
        self.version = 0
        self._settings = settings
        self._clock = clock
        self._by_id = {my_id: _Voter(address, data_centre, clock.wall(), listed=False)}
        self._data_centre_by_id = {my_id: data_centre}
        self._history: deque[tuple[Millis, frozenset[str]]] = deque()
        self._note_change()

    def address_of(self, daemon_id: str) -> PeerAddress | None:
        """Return where a voter takes calls."""
        voter = self._by_id.get(daemon_id)
        return voter.address if voter is not None else None

    def data_centre_of(self, daemon_id: str) -> str:
        """Return where a daemon of the set or of its history stands."""
        return self._data_centre_by_id.get(daemon_id, "")

    def ids(self) -> frozenset[str]:
        """Return all daemons that may be alive."""
        return self._history[-1][1]

    @property
    def changed_at(self) -> Millis:
        """Return when the set changed last, in milliseconds since the Unix epoch."""
        return self._history[-1][0]

    def apply_list(self, vms: VmList) -> None:
        """Add listed daemons and drop those that the platform has dropped."""
        daemons = vms.daemons()
        now = self._clock.wall()
        for vm in daemons.values():
            voter = self._by_id.get(vm.id)
            address = PeerAddress(vm.host, vm.peer_port)
            if voter is None:
                self._by_id[vm.id] = _Voter(address, vm.data_centre, now, listed=True)
            else:
                voter.listed = True
                voter.address = address
        for daemon_id, voter in list(self._by_id.items()):
            forgotten = voter.listed or now - voter.joined_at > self._settings.window_ms
            if daemon_id not in daemons and daemon_id != self.my_id and forgotten:
                del self._by_id[daemon_id]
        self._note_change()

    def add(self, join: Join) -> None:
        """Add a daemon that announced itself."""
        address = PeerAddress(join.host, join.peer_port)
        voter = self._by_id.get(join.daemon_id)
        if voter is None:
            now = self._clock.wall()
            self._by_id[join.daemon_id] = _Voter(address, join.data_centre, now, listed=False)
            self._note_change()
        else:
            voter.address = address

    def establish(self) -> None:
        """Start to vote: every daemon that may be alive knows this one."""
        self.established_at = self._clock.wall()

    def is_established_since(self, moment: Millis) -> bool:
        """Say whether this daemon has voted since a moment, in ms since the Unix epoch."""
        return self.established_at is not None and self.established_at <= moment

    def group(self, key: str) -> list[str]:
        """Return the daemons that hold a key."""
        return rank(key, self._by_id)[: self._settings.group_size]

    def others(self) -> list[str]:
        """Return the other daemons that may be alive."""
        return [daemon_id for daemon_id in self._by_id if daemon_id != self.my_id]

    def standing(self, key: str, issued_at: Millis) -> Standing:
        """Say whether this daemon has held the key since before it was made."""
        since = Millis(issued_at - self._settings.clock_skew_ms)
        groups = [rank(key, ids)[: self._settings.group_size] for ids in self.sets_since(since)]
        quorum = max(len(group) for group in groups) // 2 + 1
        if not self.is_established_since(since):
            return Standing(False, quorum, "the daemon is younger than the key")
        if not all(self.my_id in group for group in groups):
            return Standing(False, quorum, "the daemon has not held the key throughout")
        return Standing(True, quorum)

    def sets_since(self, since: Millis) -> list[frozenset[str]]:
        """Return each set in force at a moment or later."""
        sets: list[frozenset[str]] = []
        for changed_at, ids in reversed(self._history):
            sets.append(ids)
            if changed_at <= since:
                break
        return sets

    def _note_change(self) -> None:
        ids = frozenset(self._by_id)
        if self._history and self._history[-1][1] == ids:
            return
        now = self._clock.wall()
        self._history.append((now, ids))
        self.version += 1
        self._data_centre_by_id |= {one: voter.data_centre for one, voter in self._by_id.items()}
        keep = self._settings.window_ms + 2 * self._settings.clock_skew_ms
        while len(self._history) > 1 and now - self._history[1][0] > keep:
            self._history.popleft()
        remembered = frozenset().union(*(one for _, one in self._history))
        for daemon_id in set(self._data_centre_by_id) - remembered:
            del self._data_centre_by_id[daemon_id]
