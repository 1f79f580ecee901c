"""Keep the daemons that were ever known, and say from when on this knowledge can be relied on."""

from __future__ import annotations

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.gossip_maps import GossipMap, Item
from firtrestle.members import MEMBER_PREFIX, Member, MemberStatus
from firtrestle.peers import PeerAddress
from firtrestle.settings import DaemonSettings, Settings

# In this time a daemon that joins learns of the others, and they of it.
SETTLING_TIME = Millis(2_000)


class KnownDaemons:
    """Keep every daemon that was ever known, also those that are dead or have left.

    Both sides of a partition then go on with the same daemons. A daemon that starts in a partition
    may know, or be known by, one side only: it has settled once it has known the others for a
    while and each data centre has a daemon that is alive.
    """

    def __init__(self, own_id: str, data_centre: str, clock: Clock, expects_peers: bool) -> None:
        """Prepare; with `expects_peers`, the daemon has not settled before it knows another one."""
        self.own_id = own_id
        self.ids = {own_id}
        self._data_centre = data_centre
        self._clock = clock
        self._member_by_id: dict[str, Member] = {}
        self._known_since = None if expects_peers else clock.now()
        self._has_settled = False

    @classmethod
    def from_config(cls, settings: Settings, items: GossipMap, clock: Clock) -> KnownDaemons:
        """Build from the settings, and follow the members' gossip items."""
        daemon = settings.daemon
        own_address = _advertised_address(daemon)
        seeds = {PeerAddress.from_text(seed) for seed in settings.routes.seeds}
        expects_peers = bool(seeds - {own_address})
        known = cls(daemon.id, daemon.data_centre, clock, expects_peers)
        items.add_listener(MEMBER_PREFIX, known.on_item)
        return known

    def on_item(self, key: str, item: Item) -> None:
        """Take in a member's gossip item."""
        self.record(Member.from_item(key, item))

    def record(self, member: Member) -> None:
        """Take in the state of a daemon."""
        if member.id == self.own_id:
            return
        self.ids.add(member.id)
        self._member_by_id[member.id] = member
        if self._known_since is None:
            self._known_since = self._clock.now()

    def has_settled(self) -> bool:
        """Return whether the daemons are known for long enough; true from then on."""
        if not self._has_settled and self._has_just_settled():
            self._has_settled = True
            logger.bind(daemons=len(self.ids), known_ms=round(self._known_for())).info(
                "daemons of the fleet are known"
            )
        return self._has_settled

    def _has_just_settled(self) -> bool:
        if self._known_for() < SETTLING_TIME:
            return False
        members = self._member_by_id.values()
        expected = {m.data_centre for m in members if m.status is not MemberStatus.LEFT}
        alive = {m.data_centre for m in members if m.status is MemberStatus.ALIVE}
        return expected <= alive | {self._data_centre}

    def _known_for(self) -> Millis:
        if self._known_since is None:
            return Millis(0)
        return Millis(self._clock.now() - self._known_since)


def _advertised_address(daemon: DaemonSettings) -> PeerAddress:
    return PeerAddress(daemon.address, daemon.advertised_peer_port or daemon.peer_port)
