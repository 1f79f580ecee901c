"""Announce this daemon to all others before it votes on idempotency keys."""

from __future__ import annotations

import random

import trio
from loguru import logger

from firtrestle.clocks import Millis, sleep
from firtrestle.members import Member
from firtrestle.messages import Done, Join
from firtrestle.peers import PeerAddress, PeerClients
from firtrestle.platforms import DocumentWatcher
from firtrestle.settings import PlatformSettings
from firtrestle.vm_lists import Vm, VmList
from firtrestle.voters import Voters

JOIN_TIMEOUT = Millis(500)
RETRY_DELAY = Millis(250)
MAX_CONCURRENT_JOINS = 16
JOIN_SPACING = Millis(50)  # so that the streams to a large fleet are not all open at once


class Joiner:
    """Announce this daemon to every daemon that the platform lists, then make it a voter."""

    def __init__(
        self,
        me: Member,
        voters: Voters,
        watcher: DocumentWatcher,
        clients: PeerClients,
        settings: PlatformSettings,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._voters = voters
        self._watcher = watcher
        self._clients = clients
        self._settings = settings
        self._rng = rng
        self._listed_by_id: dict[str, Vm] = {}

    def apply_vm_list(self, vms: VmList) -> None:
        """Set the daemons to announce this one to."""
        self._listed_by_id = {vm.id: vm for vm in vms.daemons().values() if vm.id != self._me.id}

    async def run(self) -> None:
        """Wait until every older daemon is listed, announce this one to all, and start voting."""
        await sleep(Millis(self._settings.list_lag_ms))
        while not await self._watcher.read_now():
            await sleep(Millis(self._settings.retry_ms * self._rng.uniform(0.5, 1.5)))
        joined: set[str] = set()
        while missing := set(self._listed_by_id) - joined:
            limit = trio.CapacityLimiter(MAX_CONCURRENT_JOINS)
            async with trio.open_nursery() as nursery:
                for daemon_id in missing:
                    nursery.start_soon(self._join, daemon_id, joined, limit)
            if set(self._listed_by_id) - joined:
                await sleep(RETRY_DELAY)
        self._voters.establish()
        logger.info(
            "established as a voter on idempotency keys: {} other daemons confirmed the join",
            len(joined),
        )

    async def _join(self, daemon_id: str, joined: set[str], limit: trio.CapacityLimiter) -> None:
        vm = self._listed_by_id.get(daemon_id)
        if vm is None:
            return
        me = self._me
        join = Join(me.id, me.incarnation, me.data_centre, me.host, me.port, me.peer_port)
        client = self._clients.get(PeerAddress(vm.host, vm.peer_port))
        async with limit:
            answer = await client.call(join, JOIN_TIMEOUT)
            client.release()
            await sleep(JOIN_SPACING)
        if isinstance(answer, Done) and answer.ok:
            joined.add(daemon_id)
