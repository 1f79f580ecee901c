"""Run a daemon that serves the collections of a catalogue."""

from __future__ import annotations

from typing import Any

import trio
from loguru import logger

from firtrestle import signals
from firtrestle.base_daemons import STOP_POLL_INTERVAL, BaseDaemon
from firtrestle.catalogues import RESERVED_PREFIX, Catalogue, parse_catalogue
from firtrestle.claims import Claims, KeyTable
from firtrestle.clocks import Millis, move_on_after, sleep
from firtrestle.comparisons import Comparisons
from firtrestle.events import EventKind
from firtrestle.fronts import Front, FrontState
from firtrestle.gather_tools import GatherTools
from firtrestle.gossip_maps import Item
from firtrestle.holders import Holders
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer
from firtrestle.joins import Joiner
from firtrestle.kernels import Kernel
from firtrestle.lease_keepers import LeaseKeeper
from firtrestle.leases import LeaseTable, LotOwners
from firtrestle.listeners import listen
from firtrestle.members import Members
from firtrestle.messages import Borrow, Loan
from firtrestle.operator_routes import OperatorRoutes
from firtrestle.pauses import PauseGuard
from firtrestle.peer_calls import PeerCallDispatcher
from firtrestle.peer_servers import PeerServer
from firtrestle.peers import PeerClients, PeerFailure
from firtrestle.platforms import DOCUMENT_PREFIX, DocumentWatcher, FaultFinder
from firtrestle.quarantines import Quarantines
from firtrestle.replicas import Replicas
from firtrestle.retirements import merged_comparisons, retirement_faults
from firtrestle.settings import Settings
from firtrestle.shares import Shares
from firtrestle.vm_lists import parse_vm_list
from firtrestle.voters import Voters

CATALOGUE_DOCUMENT = "catalogue"
VM_LIST_DOCUMENT = "vms"
MIN_COUNT_PUBLISH_INTERVAL = Millis(1_000)
# The interval grows with the fleet, so that all daemons together publish at most 10 times a second.
COUNT_PUBLISH_INTERVAL_PER_DAEMON = Millis(100)


class CatalogueDaemon(BaseDaemon):
    """Build and run a daemon that serves the collections of a catalogue."""

    def __init__(self, settings: Settings, kernel: Kernel, nursery: trio.Nursery) -> None:
        super().__init__(settings, kernel, nursery)
        clock, rng, events = self.clock, self._rng, self.events
        daemon_id = settings.daemon.id
        self._clients = PeerClients(nursery, settings.daemon.address)
        me = Members.me_from_config(settings.daemon, self.incarnation)
        self.members = Members(
            me, settings.peers, self._gossiper, self._clients, clock, events, rng
        )
        self._pause_guard = PauseGuard(
            clock, events, Millis(settings.peers.pause_ms), self.members.refresh
        )
        self.voters = Voters(daemon_id, me.address, settings.claims, clock, me.data_centre)
        own_name = f"{daemon_id}#{self.incarnation}"
        self._table = KeyTable(self.voters, settings.claims, clock)
        self._claims = Claims(own_name, self.voters, self._call_voter, settings.claims, clock, rng)
        targets = settings.targets
        lot_owners = LotOwners(self.voters, clock)
        self._leases = LeaseTable(self.voters, lot_owners, targets, clock)
        self._lease_keeper = LeaseKeeper(
            own_name, lot_owners, self._call_voter, targets, clock, nursery, rng
        )
        self.holders = Holders(
            self.members, self.items, targets, self._lease_keeper, clock, events, nursery, rng
        )
        quarantines = Quarantines(settings.quarantine, self.items, clock, events)
        self._gather_tools = tools = self._build_tools(quarantines)
        admitter = kernel.admitters.get(settings.policies.admitter).from_config(clock, rng)
        self.state = FrontState(Catalogue())
        self._shares = Shares(self.voters, self._call_voter, clock, rng)
        self.front = Front(
            settings, self.state, tools, self._claims, admitter, self._shares, self._pause_guard
        )
        self._comparisons = Comparisons(
            self.front.searches.run, lambda: self.state.catalogue, nursery, clock, rng
        )
        signals.query_answered.connect(self._comparisons.on_answer)
        platform = settings.platform
        self._catalogue_watcher = self._build_watcher(
            CATALOGUE_DOCUMENT,
            platform.configuration_service,
            _catalogue_faults,
            self._find_transition_faults,
        )
        self._vms_watcher = self._build_watcher(VM_LIST_DOCUMENT, platform.vm_list, _vm_list_faults)
        self._joiner = Joiner(
            me, self.voters, self._vms_watcher, self._clients, settings.platform, rng
        )
        self._peer_call_dispatcher = PeerCallDispatcher(
            self._gossiper,
            self.members,
            self.holders,
            self.voters,
            self._table,
            self._claims,
            self._pause_guard,
            self._lend,
            self._leases,
        )
        self._peer_server = PeerServer(
            self._peer_call_dispatcher.serve, self._peer_call_dispatcher.start_sub_request
        )
        self._routes = OperatorRoutes(
            self.front,
            self.members,
            self.holders,
            self.items,
            self.voters,
            quarantines,
            self._shares,
            self._leases,
            self._lease_keeper,
            events,
            [self._catalogue_watcher, self._vms_watcher],
            self._clients,
            self._peer_server,
            clock,
            clock.now(),
        )
        front = settings.front
        self._http = HttpServer(self._handle, HttpBounds.from_config(front), front.max_connections)
        self.items.add_listener(DOCUMENT_PREFIX + CATALOGUE_DOCUMENT, self._on_catalogue)
        self.items.add_listener(DOCUMENT_PREFIX + VM_LIST_DOCUMENT, self._on_vms)

    def _build_tools(self, quarantines: Quarantines) -> GatherTools:
        return GatherTools(
            clock=self.clock,
            rng=self._rng,
            events=self.events,
            holders=self.holders,
            replicas=Replicas(self.clock),
            chooser=self._build_chooser(),
            hedger=self._build_hedger(),
            quarantines=quarantines,
        )

    def _build_watcher(
        self,
        name: str,
        address: str,
        find_faults: FaultFinder,
        find_transition_faults: FaultFinder | None = None,
    ) -> DocumentWatcher:
        return DocumentWatcher(
            name,
            address,
            find_faults,
            self.settings.platform,
            self.items,
            self.members,
            self.clock,
            self._rng,
            find_transition_faults,
        )

    def _find_transition_faults(self, text: str, revision: int) -> list[str]:
        """Return why a catalogue may not replace the one in force, empty if it may."""
        new = parse_catalogue(text, revision)
        if isinstance(new, list):
            return [str(fault) for fault in new]
        return retirement_faults(self.state.catalogue, new, merged_comparisons(self.items))

    async def run(self) -> None:
        """Serve until stopped; raise OSError if a port cannot be bound."""
        daemon = self.settings.daemon
        callers = await listen(daemon.address, daemon.port)
        peers = await listen(daemon.address, daemon.peer_port)
        self.events.add(EventKind.STARTED, role="daemon", data_centre=daemon.data_centre)
        logger.info("serving callers on port {}, peers on port {}", daemon.port, daemon.peer_port)
        start = self._nursery.start_soon
        accept_scope = trio.CancelScope()
        start(self._accept, callers, self._http.serve, accept_scope)
        start(self._accept, peers, self._peer_server.serve, trio.CancelScope())
        start(self._gossiper.push_changes, self.members.live_peers, self.members.call)
        start(self.members.run)
        start(self.holders.run)
        start(self._lease_keeper.run)
        start(self._pause_guard.run)
        start(self._vms_watcher.run, True)  # reads first, whether this daemon is the reader or not
        start(self._catalogue_watcher.run, False)
        start(self._joiner.run)
        start(self._publish_counts_periodically)
        start(self._shares.run, lambda: self.state.catalogue)
        await self._wait_for_stop(accept_scope)

    async def _stop(self, accept_scope: trio.CancelScope) -> None:
        """Leave the fleet, finish the running requests and publish the last counts."""
        logger.info("stopping")
        self.events.add(EventKind.STOPPING)
        self.state.stopping = True
        self.members.leave()
        self._http.close_after_answers()
        await sleep(Millis(self.settings.front.drain_ms))
        accept_scope.cancel()
        self._http.close_idle()
        with move_on_after(Millis(self.settings.front.max_timeout_ms)):
            while self._is_busy():
                await sleep(STOP_POLL_INTERVAL)
        self._publish_counts()
        self.events.add(EventKind.STOPPED)
        await sleep(STOP_POLL_INTERVAL)
        logger.info("stopped")

    def _is_busy(self) -> bool:
        pools = self.holders.held_targets().values()
        queued = any(pool.queue_length for pool in pools)
        return bool(
            self.state.running
            or self._http.open_connections
            or self._peer_call_dispatcher.running
            or queued
        )

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path.startswith(RESERVED_PREFIX):
            return await self._routes.handle(request)
        return await self.front.handle(request)

    def _lend(self, borrow: Borrow) -> Loan:
        return self._shares.lend(borrow, self.state.catalogue.by_name.get(borrow.entry))

    async def _call_voter(self, daemon_id: str, value: Any) -> Any:
        if daemon_id == self.members.me.id:
            return await self._peer_call_dispatcher.serve(value)
        address = self.voters.address_of(daemon_id)
        if address is None:
            return PeerFailure(False, "the daemon is unknown")
        timeout = Millis(self.settings.peers.call_timeout_ms)
        return await self._clients.get(address).call(value, timeout)

    async def _publish_counts_periodically(self) -> None:
        while True:
            fleet_size = len(self.members.live())
            await sleep(
                Millis(
                    max(MIN_COUNT_PUBLISH_INTERVAL, COUNT_PUBLISH_INTERVAL_PER_DAEMON * fleet_size)
                )
            )
            self._publish_counts()

    def _publish_counts(self) -> None:
        """Publish this daemon's counts of answered requests and of compared answers."""
        self._kernel.ledger.publish(self.items, self._incarnation_name())
        self._comparisons.publish(self.items, self._incarnation_name())

    def _incarnation_name(self) -> str:
        """Return the key that keeps counts of this incarnation apart from earlier ones."""
        return f"{self.settings.daemon.id}/{self.incarnation}"

    def _on_catalogue(self, key: str, item: Item) -> None:
        catalogue = parse_catalogue(item.value, item.stamp)
        if isinstance(catalogue, list) or catalogue.revision <= self.state.catalogue.revision:
            return
        self.state.catalogue = catalogue
        logger.info("catalogue revision {} applied", catalogue.revision)
        self.events.add(EventKind.CATALOGUE_APPLIED, revision=catalogue.revision)
        signals.catalogue_applied.send(catalogue)

    def _on_vms(self, key: str, item: Item) -> None:
        vms = parse_vm_list(item.value, item.stamp)
        if isinstance(vms, str):
            return
        self.events.add(EventKind.VMS_APPLIED, version=vms.version)
        self.voters.apply_vm_list(vms)
        self._joiner.apply_vm_list(vms)
        self.members.apply_vm_list(vms)
        self.holders.apply_vm_list(vms)
        self._gather_tools.replicas.retain_only(set(vms.targets()))


def _catalogue_faults(text: str, revision: int) -> list[str]:
    parsed = parse_catalogue(text, revision)
    return [str(fault) for fault in parsed] if isinstance(parsed, list) else []


def _vm_list_faults(text: str, version: int) -> list[str]:
    parsed = parse_vm_list(text, version)
    return [parsed] if isinstance(parsed, str) else []
