"""Track the daemons that may vote on idempotency keys, and the history of that set."""

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

CallDaemon = Callable[[str, Any], Awaitable[Any]]  # calls a daemon by id, also this one


@dataclass(slots=True)
class _Voter:
    address: PeerAddress
    data_centre: str
    joined_at: Millis
    listed: bool


@dataclass(frozen=True, slots=True)
class Eligibility:
    """State whether this daemon may vote on a key, and how many votes the key needs."""

    may_vote: bool
    quorum: int
    reason: str = ""


class Voters:
    """Track every daemon that may be alive, and the history of that set.

    A daemon is added when the platform lists it or when it announces itself. It is removed only
    when the platform no longer lists it: the platform may list a running daemon late, but never
    drops it.
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
        self._record_change()

    def address_of(self, daemon_id: str) -> PeerAddress | None:
        """Return the address on which a voter accepts calls."""
        voter = self._by_id.get(daemon_id)
        return voter.address if voter is not None else None

    def data_centre_of(self, daemon_id: str) -> str:
        """Return the data centre of a daemon in the set or its history, empty if unknown."""
        return self._data_centre_by_id.get(daemon_id, "")

    def ids(self) -> frozenset[str]:
        """Return all daemons that may be alive."""
        return self._history[-1][1]

    @property
    def changed_at(self) -> Millis:
        """Return the time of the last change of the set, in ms since the Unix epoch."""
        return self._history[-1][0]

    def apply_vm_list(self, vms: VmList) -> None:
        """Add listed daemons, and remove those that the platform no longer lists.

        A daemon that only announced itself is kept for as long as keys are valid, so that the
        platform has time to list it.
        """
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
            removable = voter.listed or now - voter.joined_at > self._settings.window_ms
            if daemon_id not in daemons and daemon_id != self.my_id and removable:
                del self._by_id[daemon_id]
        self._record_change()

    def add(self, join: Join) -> None:
        """Add a daemon that announced itself."""
        address = PeerAddress(join.host, join.peer_port)
        voter = self._by_id.get(join.daemon_id)
        if voter is None:
            now = self._clock.wall()
            self._by_id[join.daemon_id] = _Voter(address, join.data_centre, now, listed=False)
            self._record_change()
        else:
            voter.address = address

    def establish(self) -> None:
        """Start voting; to be called once every daemon that may be alive knows this one."""
        self.established_at = self._clock.wall()

    def is_established_since(self, moment: Millis) -> bool:
        """Return whether this daemon was a voter by `moment`, in ms since the Unix epoch."""
        return self.established_at is not None and self.established_at <= moment

    def group(self, key: str) -> list[str]:
        """Return the daemons that vote on a key."""
        return rank(key, self._by_id)[: self._settings.group_size]

    def others(self) -> list[str]:
        """Return the other daemons that may be alive."""
        return [daemon_id for daemon_id in self._by_id if daemon_id != self.my_id]

    def eligibility(self, key: str, issued_at: Millis) -> Eligibility:
        """Return whether this daemon has been in the key's group since before it was issued.

        A daemon that joined the group later may lack an earlier vote on the key. The quorum is a
        majority of the largest group since then, so that a majority of a group that has shrunk
        meanwhile is not enough.
        """
        since = Millis(issued_at - self._settings.clock_skew_ms)
        groups = [rank(key, ids)[: self._settings.group_size] for ids in self.sets_since(since)]
        quorum = max(len(group) for group in groups) // 2 + 1
        if not self.is_established_since(since):
            return Eligibility(False, quorum, "the daemon is younger than the key")
        if not all(self.my_id in group for group in groups):
            return Eligibility(False, quorum, "the daemon has not held the key throughout")
        return Eligibility(True, quorum)

    def sets_since(self, since: Millis) -> list[frozenset[str]]:
        """Return each set of daemons in force at `since` or later, the newest first."""
        sets: list[frozenset[str]] = []
        for changed_at, ids in reversed(self._history):
            sets.append(ids)
            if changed_at <= since:
                break
        return sets

    def _record_change(self) -> None:
        ids = frozenset(self._by_id)
        if self._history and self._history[-1][1] == ids:
            return
        now = self._clock.wall()
        self._history.append((now, ids))
        self.version += 1
        self._data_centre_by_id |= {
            daemon_id: voter.data_centre for daemon_id, voter in self._by_id.items()
        }
        retention_ms = self._settings.window_ms + 2 * self._settings.clock_skew_ms
        while len(self._history) > 1 and now - self._history[1][0] > retention_ms:
            self._history.popleft()
        in_history = frozenset().union(*(past_ids for _, past_ids in self._history))
        for daemon_id in set(self._data_centre_by_id) - in_history:
            del self._data_centre_by_id[daemon_id]
