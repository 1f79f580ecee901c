"""Run a daemon that serves routes, each backed by one or more services."""

from __future__ import annotations

import importlib
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import trio
from loguru import logger

from firtrestle.backoffs import Backoffs
from firtrestle.base_daemons import STOP_POLL_INTERVAL, BaseDaemon
from firtrestle.clocks import MILLIS_PER_SECOND, Millis, move_on_after, sleep
from firtrestle.connect_probes import ConnectProber
from firtrestle.crash_records import CrashRecords
from firtrestle.departures import Departures
from firtrestle.evacuation_items import EvacuationItems
from firtrestle.evacuations import Evacuations
from firtrestle.events import EventKind
from firtrestle.fault_probes import FaultProbes
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer
from firtrestle.instance_pools import InstancePools, PoolTools
from firtrestle.instance_replies import CallerMessage, InstanceReply
from firtrestle.instances import Instance, Instances
from firtrestle.isolations import faults
from firtrestle.kernels import Kernel
from firtrestle.lapse_expiries import LapseExpiries
from firtrestle.listeners import listen
from firtrestle.loop_monitors import LoopMonitor
from firtrestle.members import Members
from firtrestle.message_memory import MessageMemory
from firtrestle.messages import Done, Ping, PingFor, Pull, Relay
from firtrestle.part_relays import PartRelays
from firtrestle.pauses import PauseGuard
from firtrestle.peer_servers import PeerServer, refuse_sub_request
from firtrestle.peers import PeerAddress, PeerClients
from firtrestle.rate_limits import RateLimits
from firtrestle.registry_readers import ReaderRole, RegistryProgress
from firtrestle.relay_servers import RelayServer
from firtrestle.relays import Relays
from firtrestle.rendezvous import rank
from firtrestle.repeat_budgets import RepeatBudgets
from firtrestle.replica_subsets import FleetSize, ReplicaSubsets
from firtrestle.replicas import Replicas
from firtrestle.report_exchanges import ReportExchange
from firtrestle.route_fronts import RouteFront, RouteState
from firtrestle.route_sources import SourcePublisher, SourceTools
from firtrestle.routes import RouteTable
from firtrestle.service_tools import ServiceTools
from firtrestle.settings import Settings
from firtrestle.settings_reloads import reload_settings
from firtrestle.snapshots import ReplicaId
from firtrestle.unsent_replies import EVACUATED, LEAVING, PAUSED
from firtrestle.uplink_monitors import UplinkMonitor
from firtrestle.uplink_reports import UplinkReports
from firtrestle.uplinks import Uplink, UplinkState
from firtrestle.warm_up_items import WarmUpItems

HOUSEKEEPING_INTERVAL = Millis(500)
FLEET_DISCOVERY_TIME = Millis(2_000)  # after a start; until then a daemon may know few others
LATE_PLUGINS_DELAY = Millis(3_000)  # so that imports do not delay the first answers after a start
EXIT_RESERVE = Millis(500)  # part of the grace period kept for the process to exit before SIGKILL
ANSWER_RESERVE = Millis(100)  # for the last answers to be written
FLUSH_DELAY = Millis(50)  # lets the last answers reach the network before the process exits
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class RouteDaemon(BaseDaemon):
    """Build and run a daemon whose routes and instances come from a route source."""

    def __init__(
        self,
        settings: Settings,
        kernel: Kernel,
        nursery: trio.Nursery,
        settings_file: Path | None = None,
    ) -> None:
        super().__init__(settings, kernel, nursery)
        self._settings_file = settings_file
        clock, rng = self.clock, self._rng
        self._started_at = clock.now()
        source = kernel.sources.get(settings.routes.source)
        caller_codec, instance_codec = kernel.codecs[settings.routes.source]
        self._clients = PeerClients(nursery)
        self._progress = RegistryProgress(
            clock, source.parts, self._gossiper.eras, source.earlier_name_by_part
        )
        self._members = Members(
            Members.me_from_config(settings.daemon, self.incarnation),
            settings.peers,
            self._gossiper,
            self._clients,
            clock,
            self.events,
            rng,
            tuple(PeerAddress.from_text(seed) for seed in settings.routes.seeds),
            on_synchronized=lambda *exchange: self._publisher.synchronize(*exchange),
        )
        self._pause_guard = PauseGuard(
            clock, self.events, Millis(settings.peers.pause_ms), self._members.refresh
        )
        self._peer_server = PeerServer(self._serve_peer, refuse_sub_request)
        self._replicas = Replicas(clock)
        self._backoffs = Backoffs(clock, rng)
        self._rate_limits = RateLimits(clock, rng, self._count_users)
        self._warm_ups = WarmUpItems.from_config(
            settings, self.items, clock, lambda replica_id: self.instances.get(replica_id)
        )
        self._memory = memory = MessageMemory.from_config(settings.daemon, clock)
        self._uplink = Uplink(clock, rng, self._on_uplink_change)
        self._evacuations = Evacuations(clock)
        self._pools = InstancePools(
            PoolTools(
                instance_codec,
                clock,
                nursery,
                self._backoffs,
                self._warm_ups.warm_ups,
                self._observe_reply,
                memory.replies,
                self._uplink,
                settings.daemon.source_address,
                self._evacuations.covers,
            )
        )
        self._departures = Departures(
            self.items,
            clock,
            Millis(settings.routes.instance_drain_ms),
            self._on_departure,
        )
        self._crashes = CrashRecords(self.items, clock, self._rank_in_fleet)
        self.instances = Instances(
            clock,
            self._remove_replicas,
            self._departures,
            self._withdraw_waiting,
            self._crashes.record_instance_lost,
            Millis(settings.routes.check_in_ms),
            lambda: self._lapses.start(),
            self._evacuations,
        )
        self._lapses = LapseExpiries(self.instances, nursery)
        self._evacuations.add_listener(self._on_evacuation)
        self._fault_probes = FaultProbes(
            self._uplink,
            self._crashes,
            self.instances.all,
            ConnectProber(settings.daemon.source_address),
            rng,
        )
        self._uplink_monitor = UplinkMonitor(
            self._uplink, self._fault_probes, self._pools.silent, clock, rng
        )
        self._budgets = RepeatBudgets.from_config(settings.routes, clock)
        self._reports = ReportExchange(clock, self.instances, self._replicas, self._members)
        self._subsets = ReplicaSubsets(settings.daemon.id, settings.daemon.data_centre)
        self._loop = LoopMonitor(clock)
        self._uplink_reports = UplinkReports(
            self.items,
            self._members,
            self._uplink,
            clock,
            self._uplink_monitor.record_loss_of_peer,
        )
        self._relays = Relays(
            settings.daemon.id,
            clock,
            rng,
            self._uplink_reports.reaching_peers,
            self._members.call_within,
        )
        reaching_peers, call_peer = self._uplink_reports.reaching_peers, self._members.call_within
        self._splits = PartRelays.from_config(settings, clock, rng, reaching_peers, call_peer)
        tools = ServiceTools(
            clock=clock,
            rng=rng,
            replicas=self._replicas,
            chooser=self._build_chooser(),
            hedger=self._build_hedger(),
            instances=self.instances,
            pools=self._pools,
            budgets=self._budgets,
            subsets=self._subsets,
            crashes=self._crashes,
            backoffs=self._backoffs,
            rate_limits=self._rate_limits,
            warm_ups=self._warm_ups.warm_ups,
            slow_reports=self._reports.slow,
            failing_reports=self._reports.failing,
            loop=self._loop,
            uplink=self._uplink,
            relays=self._relays,
            splits=self._splits,
            data_centre=settings.daemon.data_centre,
            reply_memory_bytes=memory.replies.limit_bytes,
        )
        self.state = RouteState(RouteTable())
        self._counts = tools.counts
        self._relay_server = RelayServer(tools, self.state, self._progress.complete.is_set)
        self._reader_role = ReaderRole(
            self._progress, self._members, clock, rng, self.instances.set_registry_reachable
        )
        evacuation_items = EvacuationItems(
            self.items, self._evacuations, self._progress, source.evacuations_part
        )
        self._publisher = publisher = SourcePublisher(
            self.items,
            self.instances,
            self._progress,
            source.instances_part,
            self._apply_routes,
            evacuation_items,
            self._warm_ups,
        )
        self.front = RouteFront(self.state, tools, caller_codec, rng, self._progress)
        self._source = source.from_config(
            settings, SourceTools(publisher, self._progress, self._reader_role, rng, clock)
        )
        publisher.start(self._source.parse_routes)
        front = settings.front
        self._http = HttpServer(
            self._handle,
            replace(HttpBounds.from_config(front), are_provisional=True),
            front.max_connections,
            memory=memory.requests,
            writes=memory.responses,
        )
        self._operator_http = HttpServer(self._handle_operator, HttpBounds(), front.max_connections)

    async def run(self) -> None:
        """Serve until stopped; raise OSError if a port cannot be bound."""
        daemon = self.settings.daemon
        callers = await listen(daemon.address, daemon.port)
        ready = await listen(daemon.address, self.settings.routes.ready_port)
        peers = await listen(daemon.address, daemon.peer_port)
        logger.bind(port=daemon.port, incarnation=self.incarnation).info("started")
        trio.lowlevel.add_instrument(self._loop)
        start = self._nursery.start_soon
        accept_scope = trio.CancelScope()
        start(self._accept, callers, self._http.serve, accept_scope)
        start(self._accept, ready, self._operator_http.serve, trio.CancelScope())
        start(self._accept, peers, self._peer_server.serve, trio.CancelScope())
        start(self._gossiper.push_changes, self._members.live_peers, self._members.call)
        start(self._members.run)
        start(self._pause_guard.run)
        start(self._uplink_monitor.run)
        start(self._fault_probes.run)
        start(self._source.run)
        start(self._reader_role.run)
        start(self._run_housekeeping)
        start(self._reports.run)
        start(self._reload_on_hangup)
        start(self._load_late_plugins)
        await self._wait_for_stop(accept_scope)

    async def _run_housekeeping(self) -> None:
        """Periodically drop expired state and update the fleet size."""
        while True:
            self.instances.expire()
            self._departures.expire()
            self._backoffs.expire()
            self._rate_limits.expire()
            self._warm_ups.expire()
            self._reports.expire()
            self._crashes.expire()
            self._pools.close_stale()
            self._uplink_reports.publish()
            self._update_fleet_size()
            await sleep(HOUSEKEEPING_INTERVAL)

    def _on_uplink_change(self, before: UplinkState) -> None:
        if self._uplink.state is UplinkState.DOWN:
            self._pools.abandon("this daemon's links to the instances are lost")
        elif (
            self._uplink.state is UplinkState.UP
            and before is not UplinkState.SUSPECT
            and self._uplink.opens
        ):
            self._replicas.forget_failures()
        self._uplink_reports.publish()

    def _rank_in_fleet(self, key: str) -> int:
        """Return this daemon's place among the live ones, in an order that depends on a key."""
        own_id = self.settings.daemon.id
        return rank(key, {own_id, *self._members.live_ids()}).index(own_id)

    def _update_fleet_size(self) -> None:
        """Count every known daemon, dead ones too.

        During a network partition both sides then use the same fleet size, so limits that are
        divided by it still add up to no more than their total.
        """
        known = self._members.by_id.values()
        local = sum(member.data_centre == self.settings.daemon.data_centre for member in known)
        self._subsets.fleet = FleetSize(len(known), local)
        min_fleet_size = self.settings.routes.least_fleet_size
        self._budgets.fleet_size = max(len(known), min_fleet_size)

    def _count_users(self, instance: Instance) -> float:
        """Return how many daemons are expected to use an instance, this one included."""
        is_discovering = self.clock.now() - self._started_at < FLEET_DISCOVERY_TIME
        return self._subsets.expected_users(
            self.state.table.connection_limit(instance.service),
            len(self.instances.serving(instance.service)),
            self.settings.routes.least_fleet_size if is_discovering else 1,
        )

    async def _load_late_plugins(self) -> None:
        """Import plug-ins that answers do not need, in a worker thread after the start."""
        await sleep(LATE_PLUGINS_DELAY)
        for name in self.settings.late_plugins:
            module = await trio.to_thread.run_sync(importlib.import_module, name)
            module.register(self._kernel)

    async def _reload_on_hangup(self) -> None:
        """Reload the settings on each SIGHUP."""
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            async for _ in received:
                if self._settings_file is not None:
                    self.reload(self._settings_file)

    def reload(self, settings_file: Path) -> None:
        """Apply the changed log settings; report other changes, which need a restart."""
        self.settings = reload_settings(self.settings, settings_file)

    async def _stop(self, accept_scope: trio.CancelScope) -> None:
        """Report not ready, and finish the running requests within the grace period."""
        logger.bind(running=self.state.running).info("stopping")
        self.events.add(EventKind.STOPPING)
        grace = Millis(self.settings.routes.grace_ms - EXIT_RESERVE)
        self.front.stop_by(Millis(self.clock.now() + grace - ANSWER_RESERVE))
        self._members.leave()
        self._http.close_after_answers()
        with move_on_after(grace):
            await sleep(Millis(self.settings.front.drain_ms))
            accept_scope.cancel()
            self._http.close_idle()
            while self.state.running or self._http.open_connections:
                await sleep(STOP_POLL_INTERVAL)
        await sleep(FLUSH_DELAY)
        logger.bind(running=self.state.running).info("stopped")

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await self._pause_guard.wait_until_refreshed()
        return await self.front.handle(request)

    async def _handle_operator(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case "/ready" | "/-/ready":
                return HttpResponse.from_json(
                    {"ready": self.is_ready()}, 200 if self.is_ready() else 503
                )
            case "/-/metrics":
                return HttpResponse(200, self._metrics(), METRICS_CONTENT_TYPE)
            case "/-/status":
                return HttpResponse.from_json(self.status())
        return HttpResponse.from_json({"error": "nothing is served here"}, 404)

    def _metrics(self) -> bytes:
        from firtrestle import metrics  # imported late to keep the start short

        routes_age = self.clock.now() - self.state.applied_at
        metrics.REVISION.set(self.state.table.version)
        metrics.ROUTES_AGE.set(routes_age / MILLIS_PER_SECOND)
        metrics.REGISTRY_AGE.set(self._progress.age() / MILLIS_PER_SECOND)
        eras = self._progress.eras
        metrics.REGISTRY_ERA.set(eras.span.newest if eras.span is not None else 0)
        metrics.REGISTRY_RESTORES.set(eras.restores)
        metrics.ROWS_OF_OTHER_ERAS.set(eras.refused_rows)
        metrics.TOO_LONG_ANSWERS.set(self._progress.too_long_answers)
        metrics.PLATFORM_READS.set(self._source.status()["calls"])
        metrics.RUNNING.set(self.state.running)
        metrics.set_by_label(metrics.ISOLATED_FAULTS, faults.count_by_task)
        metrics.LOOP_BUSY.set(self._loop.busy_time() / MILLIS_PER_SECOND)
        metrics.IN_FLIGHT.set(sum(replica.in_flight for replica in self._replicas.by_id.values()))
        metrics.QUEUED.set(self._pools.waiting)
        metrics.OVER_BOUNDS.set(self._pools.replies_over_bounds)
        metrics.CONNECTIONS.set(self._pools.open_connections)
        metrics.set_by_label(metrics.MESSAGE_BYTES, self._memory.used_bytes_by_kind())
        metrics.set_by_label(metrics.RESPONSES_CUT, self._memory.responses.cut_by_reason)
        metrics.set_by_label(metrics.REPLICAS, self._replicas.count_by_state())
        metrics.REPORTED_SLOW.set(self._reports.slow.verdict_count())
        metrics.REPORTED_FAILING.set(self._reports.failing.verdict_count())
        metrics.record_gathers(self._counts)
        metrics.UPLINK_LOST.set(self._uplink.is_lost)
        metrics.UPLINK_LOSSES.set(self._uplink.losses)
        metrics.OPENING_LOST.set(not self._uplink.opens)
        metrics.record_relays(self._relays, self._relay_server, self._splits)
        metrics.UNHEARD.set(self._uplink.unheard_for() / MILLIS_PER_SECOND)
        metrics.EVACUATED.set(len(self._evacuations.zones()))
        metrics.LEAVING.set(self._departures.count())
        metrics.HELD_BACK.set(self._backoffs.count())
        metrics.LIMITED.set(self._rate_limits.count())
        metrics.set_by_label(metrics.WARM_UPS, self._warm_ups.warm_ups.counts())
        metrics.QUARANTINED.set(self._crashes.quarantined())
        metrics.set_by_label(metrics.REPEATS_LEFT, self._budgets.remaining_by_service())
        return metrics.exposition()

    def is_ready(self) -> bool:
        """Return whether a load balancer should send callers to this daemon."""
        known = self.state.table.version > 0 and self._progress.complete.is_set()
        return known and not self.state.stopping

    def status(self) -> dict[str, Any]:
        """Return what `firtrestle status` shows."""
        return {
            "daemon": self.settings.daemon.id,
            "incarnation": self.incarnation,
            "ready": self.is_ready(),
            "stopping": self.state.stopping,
            "version": self.state.table.version,
            "running": self.state.running,
            "instances": self.instances.count(),
            "connections": self._pools.open_connections,
            "registry_eras": self._progress.eras.to_wire(),
            "evacuated": self._evacuations.status(),
            "members": {m.id: m.status.name.lower() for m in self._members.by_id.values()},
            "uplink": str(self._uplink.state),
            "opens_connections": self._uplink.opens,
            "source": self._source.status(),
        }

    def _apply_routes(self, table: RouteTable) -> None:
        previous = self.state.table
        self.state.table = table
        self.state.applied_at = self.clock.now()
        limits = table.limits
        self._http.bounds = HttpBounds(
            limits.max_body_bytes, limits.head_timeout, limits.idle_timeout, limits.max_head_bytes
        )
        services = table.services() | previous.services()
        self._budgets.retain_only(services)
        self._subsets.retain_only(services)
        logger.bind(version=table.version, before=previous.version).info("desired state in force")

    def _observe_reply(
        self, instance: Instance, message: CallerMessage, reply: InstanceReply
    ) -> None:
        """Take in what an instance says of itself in a reply, also in one no longer awaited."""
        if reply.leaving:
            self._departures.record(instance, message.request_id, reply.status)
        if reply.rate_limit is not None:
            self._rate_limits.record(instance, message.request_id, reply.rate_limit)
        elif reply.may_have_run:
            self._rate_limits.lift(instance, message.request_id)
        if reply.retry_after:
            self._backoffs.record(instance, message.request_id, reply.retry_after)
            if self.instances.get(instance.replica_id) is not None:
                self._replicas.get(instance.replica_id).limit_return()
            self._pools.refuse_waiting(instance.replica_id, PAUSED)

    def _on_departure(self, replica_id: ReplicaId) -> None:
        self.instances.refresh()
        instance = self.instances.get(replica_id)
        if instance is not None:
            self._withdraw_waiting(instance)

    def _on_evacuation(self, zone: str) -> None:
        """Let the calls that wait for an instance of an evacuated data centre go to another one."""
        for instance in self.instances.all():
            if self._evacuations.covers(instance.data_centre):
                self._pools.refuse_waiting(instance.replica_id, EVACUATED)

    def _withdraw_waiting(self, instance: Instance) -> None:
        """Let the calls that wait for a leaving instance go to another one.

        Without another one they wait on, as long as the instance is a last resort.
        """
        serving = self.instances.serving(instance.service)
        has_other = any(other.id != instance.id for other in serving)
        if has_other or not self._departures.is_last_resort(instance.replica_id):
            self._pools.refuse_waiting(instance.replica_id, LEAVING)

    def _remove_replicas(self, replica_ids: set[ReplicaId]) -> None:
        self._replicas.remove(replica_ids)
        self._pools.remove(replica_ids)
        self._uplink.forget(replica_ids)

    async def _serve_peer(self, value: Any) -> Any:
        match value:
            case Ping():
                pong = self._gossiper.serve_ping(value)
                self._progress.report_in(pong)
                return pong
            case PingFor():
                return await self._members.serve_ping_for(value)
            case Pull():
                self._reports.merge(value)
                return self._gossiper.serve_pull(value)
            case Relay():
                await self._pause_guard.wait_until_refreshed()
                return await self._relay_server.serve(value)
        return Done(True)
