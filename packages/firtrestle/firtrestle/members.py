"""Track which daemons are alive, by pings, suspicion and incarnations."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.events import EventKind, EventLog
from firtrestle.gossip_maps import MAX_ITEMS_PER_PULL, Gossiper, Item
from firtrestle.hashing import hash64
from firtrestle.isolations import faults
from firtrestle.messages import Done, Ping, PingFor, Pong
from firtrestle.peers import Cancellable, Deliver, PeerAddress, PeerClients, PeerFailure
from firtrestle.rendezvous import rank
from firtrestle.settings import DaemonSettings, PeerSettings
from firtrestle.vm_lists import Vm, VmList

MEMBER_PREFIX = "member/"
INDIRECT_PINGS = 3
PINGS_PER_RECONNECT = 4  # one of so many pings goes to a daemon that is not known to be alive


class MemberStatus(IntEnum):
    """Define the states of one incarnation; a higher one overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


STATUSES = len(MemberStatus)

OnSynchronized = Callable[[Ping, Pong, Millis], None]


@dataclass(frozen=True, slots=True)
class Member:
    """Represent the known state of one daemon."""

    id: str
    incarnation: int
    status: MemberStatus
    data_centre: str
    host: str
    port: int
    peer_port: int

    @property
    def address(self) -> PeerAddress:
        """Return the address at which the daemon serves peers."""
        return PeerAddress(self.host, self.peer_port)

    @property
    def stamp(self) -> int:
        """Return the stamp of this state; it grows with the incarnation, then with the status."""
        return self.incarnation * STATUSES + self.status

    def to_value(self) -> list[Any]:
        """Return the value of the member's gossip item."""
        return [self.data_centre, self.host, self.port, self.peer_port]

    @classmethod
    def from_item(cls, key: str, item: Item) -> Member:
        """Build a member from its gossip item."""
        incarnation, status = divmod(item.stamp, STATUSES)
        member_id = key.removeprefix(MEMBER_PREFIX)
        return cls(member_id, incarnation, MemberStatus(status), *item.value)


class Members:
    """Keep this daemon's view of the fleet, and ping members at a fixed rate per daemon."""

    def __init__(
        self,
        me: Member,
        settings: PeerSettings,
        gossiper: Gossiper,
        clients: PeerClients,
        clock: Clock,
        events: EventLog,
        rng: random.Random,
        seeds: tuple[PeerAddress, ...] = (),
        on_synchronized: OnSynchronized = lambda ping, pong, asked_at: None,
    ) -> None:
        self._on_synchronized = on_synchronized
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self.me = me
        self.by_id: dict[str, Member] = {}
        self.version = 0
        self._settings = settings
        self._gossiper = gossiper
        self._items = gossiper.items
        self._clients = clients
        self._clock = clock
        self._events = events
        self._rng = rng
        self._suspected_at_by_id: dict[str, Millis] = {}
        self._listed_by_id: dict[str, Vm] = {}
        self._ping_order: list[str] = []
        self._probe_ids: set[str] = set()
        self._pings = 0
        self._partners: list[Member] = []
        self._partners_version = (-1, 0, 0)
        self._items.add_validator(MEMBER_PREFIX, _is_member_value)
        self._items.add_listener(MEMBER_PREFIX, self._on_item)
        self._announce()

    @classmethod
    def me_from_config(cls, daemon: DaemonSettings, incarnation: int) -> Member:
        """Build this daemon's own member."""
        return Member(
            daemon.id,
            incarnation,
            MemberStatus.ALIVE,
            daemon.data_centre,
            daemon.address,
            daemon.port,
            daemon.advertised_peer_port or daemon.peer_port,
        )

    def live(self) -> list[Member]:
        """Return the members that are alive or suspect, including this daemon."""
        return [m for m in self.by_id.values() if m.status <= MemberStatus.SUSPECT]

    def live_peers(self) -> list[Member]:
        """Return the live members except this daemon."""
        return [m for m in self.live() if m.id != self.me.id]

    def partners(self, local: int, remote: int) -> list[Member]:
        """Return live peers of this and of other data centres, the same ones while they live.

        Streams to them stay open, and over all daemons they connect the whole fleet.
        """
        if self._partners_version != (self.version, local, remote):
            self._partners_version = (self.version, local, remote)
            by_id = {member.id: member for member in self.live_peers()}
            ordered = [by_id[id_] for id_ in rank(f"partners/{self.me.id}", by_id)]
            near = [m for m in ordered if m.data_centre == self.me.data_centre]
            far = [m for m in ordered if m.data_centre != self.me.data_centre]
            successor = self._successor(near)
            near = [successor, *(m for m in near if m is not successor)] if near else []
            self._partners = near[:local] + far[:remote]
        return self._partners

    def _successor(self, near: list[Member]) -> Member | None:
        """Return the next daemon in a ring, so that each one is the partner of another."""
        in_order = sorted(near, key=lambda member: hash64(member.id))
        own_place = hash64(self.me.id)
        later = [member for member in in_order if hash64(member.id) > own_place]
        return next(iter(later or in_order), None)

    def live_ids(self, data_centre: str | None = None) -> list[str]:
        """Return the ids of the live members of a data centre, or of all if it has none."""
        live = self.live()
        local_ids = [m.id for m in live if m.data_centre == data_centre]
        return local_ids or [m.id for m in live]

    def leave(self) -> None:
        """Announce that this daemon takes no new work."""
        self._update_me(MemberStatus.LEFT)

    def apply_vm_list(self, vms: VmList) -> None:
        """Store which daemons the platform lists, and remove dead or left members not listed."""
        self._listed_by_id = vms.daemons()
        for member_id, member in list(self.by_id.items()):
            is_unlisted = member_id not in self._listed_by_id
            if is_unlisted and member.status >= MemberStatus.DEAD and member_id != self.me.id:
                self._items.remove(MEMBER_PREFIX + member_id)
                del self.by_id[member_id]

    def listed_peers(self) -> list[Vm]:
        """Return the other daemons that the platform lists."""
        return [vm for vm in self._listed_by_id.values() if vm.id != self.me.id]

    async def call(self, member: Member, value: Any) -> Any | PeerFailure:
        """Call a member with the ordinary timeout."""
        timeout = Millis(self._settings.call_timeout_ms)
        return await self._clients.get(member.address).call(value, timeout)

    async def call_within(self, member: Member, value: Any, timeout: Millis) -> Any | PeerFailure:
        """Call a member with a timeout of the caller's; if it fails, probe the member next."""
        answer = await self._clients.get(member.address).call(value, timeout)
        if isinstance(answer, PeerFailure):
            self._probe_ids.add(member.id)
        return answer

    def start_call(self, member: Member, value: Any, deliver: Deliver) -> Cancellable:
        """Start a call to a member; if it fails, the member is probed with the next ping."""

        def on_answer(answer: Any) -> None:
            if isinstance(answer, PeerFailure):
                self._probe_ids.add(member.id)
            deliver(answer)

        return self._clients.get(member.address).start(value, on_answer)

    async def run(self) -> None:
        """Ping one daemon after the other, forever."""
        async with trio.open_nursery() as nursery:
            while True:
                slept_at = self._clock.now()
                await sleep(Millis(self._settings.ping_ms * self._rng.uniform(0.8, 1.2)))
                paused = self._clock.now() - slept_at > 2 * self._settings.ping_ms
                if paused:  # the pause must not count as time in which suspects could refute
                    self._suspected_at_by_id.clear()
                    self._restart_suspicions()
                self._expire_suspects()
                target = self._next_to_ping()
                if target is not None:
                    nursery.start_soon(self._probe, *target)
                for member_id in self._take_probe_ids():
                    nursery.start_soon(self._probe, member_id, self.by_id[member_id].address)

    async def refresh(self) -> bool:
        """Exchange state with live peers in random order until one answers.

        Return whether one answered; True if there is no live peer.
        """
        peers = self.live_peers()
        self._rng.shuffle(peers)
        for peer in peers:
            if await self._ping(peer.address):
                return True
        return not peers

    async def refresh_from(self, member: Member) -> None:
        """Exchange state with one member; probe it if it doesn't answer."""
        if not await self._ping(member.address):
            self._probe_ids.add(member.id)

    async def serve_ping_for(self, request: PingFor) -> Done:
        """Ping another daemon on behalf of a peer."""
        member = self.by_id.get(request.daemon_id)
        if member is None:
            return Done(False, "unknown daemon")
        return Done(await self._ping(member.address))

    async def _probe(self, member_id: str, address: PeerAddress) -> None:
        if await self._ping(address):
            return
        member = self.by_id.get(member_id)
        if member is None or member.status != MemberStatus.ALIVE:
            return
        if await self._ping_indirectly(member):
            return
        self._put_status(member, MemberStatus.SUSPECT)

    async def _ping(self, address: PeerAddress) -> bool:
        """Ping a daemon, and exchange what differs; return whether it answered."""
        try:
            return await self._exchange_state(address)
        except Exception as error:  # the peer's answer was not understood
            faults.record("ping of a peer", error)
            return False

    async def _exchange_state(self, address: PeerAddress) -> bool:
        client = self._clients.get(address)
        timeout = Millis(self._settings.ping_timeout_ms)
        asked_at = self._clock.now()
        ping = Ping(self.me.id, list(self._items.digest), self._gossiper.eras.to_wire())
        pong = await client.call(ping, timeout)
        if not isinstance(pong, Pong):
            return False
        repair = self._gossiper.repair_for(pong)
        if repair is not None:
            answer = await client.call(repair, Millis(self._settings.call_timeout_ms))
            if isinstance(answer, PeerFailure):
                return True
            self._gossiper.store_rows(answer.items, answer.eras)
        # A repair of the maximum length may have left out items that the peer holds.
        if repair is None or len(repair.keys) < MAX_ITEMS_PER_PULL:
            self._on_synchronized(ping, pong, asked_at)
        return True

    async def _ping_indirectly(self, member: Member) -> bool:
        others = [m for m in self.live_peers() if m.id != member.id]
        helpers = self._rng.sample(others, min(INDIRECT_PINGS, len(others)))
        reached: list[bool] = []

        async def ask(helper: Member) -> None:
            answer = await self.call(helper, PingFor(self.me.id, member.id))
            if isinstance(answer, Done) and answer.ok:
                reached.append(True)

        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(ask, helper)
        return bool(reached)

    def _next_to_ping(self) -> tuple[str, PeerAddress] | None:
        self._pings += 1
        if self._pings % PINGS_PER_RECONNECT == 0:
            unreached = self._addresses_not_live()
            if unreached:
                return self._rng.choice(unreached)
        while self._ping_order:
            member = self.by_id.get(self._ping_order.pop())
            if member is not None and member.status <= MemberStatus.SUSPECT:
                return member.id, member.address
        self._ping_order = [m.id for m in self.live_peers()]
        self._rng.shuffle(self._ping_order)
        if self._ping_order:
            member = self.by_id[self._ping_order.pop()]
            return member.id, member.address
        unreached = self._addresses_not_live()
        return self._rng.choice(unreached) if unreached else None

    def _addresses_not_live(self) -> list[tuple[str, PeerAddress]]:
        """Return the listed daemons and the seeds that are not known to be alive.

        Without a list from the platform, dead members are included.
        """
        name_by_address = {
            PeerAddress(vm.host, vm.peer_port): vm.id
            for vm in self.listed_peers()
            if not self._is_live(vm.id)
        }
        live = {member.address for member in self.live()}
        for address in self._seeds:
            if address not in live:
                name_by_address.setdefault(address, str(address))
        if not self._listed_by_id:
            for member in self.by_id.values():
                if member.status == MemberStatus.DEAD:
                    name_by_address.setdefault(member.address, member.id)
        return [(name, address) for address, name in name_by_address.items()]

    def _take_probe_ids(self) -> list[str]:
        probe_ids, self._probe_ids = self._probe_ids, set()
        return [member_id for member_id in probe_ids if self._is_live(member_id)]

    def _is_live(self, member_id: str) -> bool:
        member = self.by_id.get(member_id)
        return member is not None and member.status <= MemberStatus.SUSPECT

    def _expire_suspects(self) -> None:
        """Mark members dead that have been suspects for more than `suspect_ms`."""
        now = self._clock.now()
        for member_id, suspected_at in list(self._suspected_at_by_id.items()):
            if now - suspected_at > self._settings.suspect_ms:
                member = self.by_id.get(member_id)
                if member is not None and member.status == MemberStatus.SUSPECT:
                    self._put_status(member, MemberStatus.DEAD)

    def _restart_suspicions(self) -> None:
        for member in self.by_id.values():
            if member.status == MemberStatus.SUSPECT:
                self._suspected_at_by_id[member.id] = self._clock.now()

    def _put_status(self, member: Member, status: MemberStatus) -> None:
        stamp = member.incarnation * STATUSES + status
        self._items.put(MEMBER_PREFIX + member.id, stamp, member.to_value())

    def _announce(self) -> None:
        self._items.put(MEMBER_PREFIX + self.me.id, self.me.stamp, self.me.to_value())

    def _update_me(self, status: MemberStatus, incarnation: int | None = None) -> None:
        me = self.me
        current = incarnation or me.incarnation
        self.me = Member(me.id, current, status, me.data_centre, me.host, me.port, me.peer_port)
        self._announce()

    def _on_item(self, key: str, item: Item) -> None:
        """Store a member's new state; refute one of this daemon with a higher incarnation."""
        member = Member.from_item(key, item)
        if member.id == self.me.id and member.stamp > self.me.stamp:
            self._update_me(self.me.status, member.incarnation + 1)
            return
        before = self.by_id.get(member.id)
        self.by_id[member.id] = member
        self.version += 1
        if member.status == MemberStatus.SUSPECT:
            self._suspected_at_by_id[member.id] = self._clock.now()
        else:
            self._suspected_at_by_id.pop(member.id, None)
        if before is None or before.status != member.status:
            name = member.status.name.lower()
            logger.info("member {} is {}", member.id, name)
            self._events.add(EventKind.MEMBER_CHANGED, member=member.id, status=name)


def _is_member_value(key: str, stamp: int, value: Any) -> bool:
    return isinstance(value, list) and len(value) == 4 and stamp >= 0
