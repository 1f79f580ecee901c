"""Run a daemon that serves routes over services."""

from __future__ import annotations

import importlib
import signal
from pathlib import Path
from typing import Any

import trio
from loguru import logger

from firtrestle.base_daemons import STOP_POLL, BaseDaemon
from firtrestle.clocks import MILLIS_PER_SECOND, Millis, move_on_after, sleep
from firtrestle.crash_records import CrashRecords
from firtrestle.events import EventKind
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer
from firtrestle.instance_pools import InstancePools
from firtrestle.instances import Instances
from firtrestle.kernels import Kernel
from firtrestle.listeners import listen
from firtrestle.logs import configure_logs
from firtrestle.members import Members
from firtrestle.messages import Done, Ping, PingFor, Pull
from firtrestle.pauses import PauseGuard
from firtrestle.peer_servers import PeerServer
from firtrestle.peers import FINISHED, Cancellable, PeerAddress, PeerClients, PeerFailure
from firtrestle.registry_readers import ReaderDuty, RegistryProgress
from firtrestle.repeat_budgets import RepeatBudgets, RepeatTerms
from firtrestle.replica_subsets import FleetSize, ReplicaSubsets
from firtrestle.replicas import Replicas
from firtrestle.route_fronts import RouteFront, RouteState
from firtrestle.route_sources import News, SourceTools
from firtrestle.routes import RouteTable
from firtrestle.service_gathers import ServiceTools
from firtrestle.settings import Settings, load_settings
from firtrestle.snapshots import ReplicaId

HOUSEKEEPING_PAUSE = Millis(500)
LATE_PLUGINS_PAUSE = Millis(3_000)  # so that a restarted daemon serves its first callers
GRACE_MARGIN = Millis(500)  # of the grace, for the process to end by itself
FLUSH_PAUSE = Millis(50)  # for the last answers to leave before the process ends
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class RouteDaemon(BaseDaemon):
    """Build the parts of one daemon over a route source, and run them."""

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
        source = kernel.sources.get(settings.routes.source)
        caller_codec, instance_codec = kernel.codecs[settings.routes.source]
        self._clients = PeerClients(nursery)
        self._progress = RegistryProgress(clock, source.parts)
        self._members = Members(
            Members.me_from_config(settings.daemon, self.incarnation),
            settings.peers,
            self._spreader,
            self._clients,
            clock,
            self.events,
            rng,
            tuple(PeerAddress.from_text(one) for one in settings.routes.seeds),
            on_synchronized=lambda *answered: self._news.synchronize(*answered),
        )
        self._pauses = PauseGuard(
            clock, self.events, Millis(settings.peers.pause_ms), self._members.refresh
        )
        self._peer_server = PeerServer(self._serve_peer, _refuse_sub_request)
        self._replicas = Replicas(clock)
        self._pools = InstancePools(instance_codec, clock, nursery)
        self.instances = Instances(clock, self._forget)
        self._budgets = self._build_budgets()
        self._crashes = CrashRecords(self.items, clock)
        self._subsets = ReplicaSubsets(settings.daemon.id, settings.daemon.data_centre)
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
            data_centre=settings.daemon.data_centre,
        )
        self.state = RouteState(RouteTable())
        self._duty = ReaderDuty(
            self._progress, self._members, clock, rng, self.instances.note_registry
        )
        self._news = news = News(
            self.items, self.instances, self._progress, source.instances_part, self._apply
        )
        self.front = RouteFront(self.state, tools, caller_codec, rng, self._progress.complete)
        self._source = source.from_config(
            settings, SourceTools(news, self._progress, self._duty, rng)
        )
        news.start(self._source.parse_routes)
        front = settings.front
        self._http = HttpServer(self._handle, HttpBounds.from_config(front), front.max_connections)
        self._ready_http = HttpServer(self._answer_operator, HttpBounds(), front.max_connections)

    def _build_budgets(self) -> RepeatBudgets:
        routes = self.settings.routes
        terms = RepeatTerms(
            routes.repeat_ratio, routes.repeat_slack, Millis(routes.repeat_window_ms)
        )
        return RepeatBudgets(terms, self.clock, self.clock.now())

    async def run(self) -> None:
        """Serve until stopped; raise OSError when a port can't be had."""
        daemon = self.settings.daemon
        callers = await listen(daemon.address, daemon.port)
        ready = await listen(daemon.address, self.settings.routes.ready_port)
        peers = await listen(daemon.address, daemon.peer_port)
        logger.bind(port=daemon.port, incarnation=self.incarnation).info("started")
        start = self._nursery.start_soon
        listening = trio.CancelScope()
        start(self._accept, callers, self._http.serve, listening)
        start(self._accept, ready, self._ready_http.serve, trio.CancelScope())
        start(self._accept, peers, self._peer_server.serve, trio.CancelScope())
        start(self._spreader.push_changes, self._members.live_peers, self._members.call)
        start(self._members.run)
        start(self._pauses.run)
        start(self._source.run)
        start(self._duty.run)
        start(self._keep_house)
        start(self._note_reloads)
        start(self._load_late_plugins)
        await self._wait_for_stop(listening)

    async def _keep_house(self) -> None:
        """Drop what is stale, and follow the fleet's size, for ever."""
        while True:
            self.instances.expire()
            self._crashes.expire()
            self._pools.close_stale()
            self._count_fleet()
            await sleep(HOUSEKEEPING_PAUSE)

    def _count_fleet(self) -> None:
        """Count the daemons that may be up: all ever heard of, so that a cut changes nothing."""
        known = self._members.by_id.values()
        near = sum(one.data_centre == self.settings.daemon.data_centre for one in known)
        self._subsets.fleet = FleetSize(len(known), near)
        least = self.settings.routes.least_fleet_size
        self._budgets.fleet_size = max(len(known), least)

    async def _load_late_plugins(self) -> None:
        """Load what answers don't need once a start is over, beside the event loop."""
        await sleep(LATE_PLUGINS_PAUSE)
        for name in self.settings.late_plugins:
            module = await trio.to_thread.run_sync(importlib.import_module, name)
            module.register(self._kernel)

    async def _note_reloads(self) -> None:
        """Read the settings again whenever that is asked for, for ever."""
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            async for _ in received:
                if self._settings_file is not None:
                    self.reload(self._settings_file)

    def reload(self, settings_file: Path) -> None:
        """Take over what can change while serving: logs. The rest waits for the next start."""
        settings = load_settings(settings_file)
        if not isinstance(settings, Settings):
            faults = [str(fault) for fault in settings]
            logger.bind(faults=faults).error("settings not reloaded: they are unusable")
            return
        waiting = [
            name
            for name in Settings.model_fields
            if name != "logs" and getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = self.settings.model_copy(update={"logs": settings.logs})
        configure_logs(settings.logs, settings.daemon)
        logger.bind(level=settings.logs.level, waiting=waiting).info("settings reloaded")

    async def _stop(self, listening: trio.CancelScope) -> None:
        """Be not ready, finish every request, and return within the grace."""
        logger.bind(running=self.state.running).info("stopping")
        self.events.add(EventKind.STOPPING)
        self.state.stopping = True
        self._members.leave()
        self._http.close_after_answers()
        with move_on_after(Millis(self.settings.routes.grace_ms - GRACE_MARGIN)):
            await sleep(Millis(self.settings.front.drain_ms))
            listening.cancel()
            self._http.close_idle()
            while self.state.running or self._http.open_connections:
                await sleep(STOP_POLL)
        await sleep(FLUSH_PAUSE)
        logger.bind(running=self.state.running).info("stopped")

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await self._pauses.settle()
        return await self.front.handle(request)

    async def _answer_operator(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case "/ready" | "/-/ready":
                return HttpResponse.from_json(
                    {"ready": self.is_ready()}, 200 if self.is_ready() else 503
                )
            case "/-/metrics":
                return HttpResponse(200, self._metrics(), METRICS_TYPE)
            case "/-/status":
                return HttpResponse.from_json(self.status())
        return HttpResponse.from_json({"error": "nothing is served here"}, 404)

    def _metrics(self) -> bytes:
        from firtrestle import metrics  # not at the start: see _load_late_plugins

        since = self.clock.now() - self.state.applied_at
        metrics.REVISION.set(self.state.table.version)
        metrics.ROUTES_AGE.set(since / MILLIS_PER_SECOND)
        metrics.REGISTRY_AGE.set(self._progress.age() / MILLIS_PER_SECOND)
        metrics.PLATFORM_READS.set(self._source.status()["calls"])
        metrics.RUNNING.set(self.state.running)
        metrics.IN_FLIGHT.set(sum(one.in_flight for one in self._replicas.by_id.values()))
        metrics.QUEUED.set(self._pools.waiting)
        metrics.CONNECTIONS.set(self._pools.open_connections)
        for state, count in self._replicas.count_by_state().items():
            metrics.REPLICAS.labels(state).set(count)
        for service, left in self._budgets.left_by_service().items():
            metrics.REPEATS_LEFT.labels(service).set(left)
        return metrics.exposition()

    def is_ready(self) -> bool:
        """Say whether callers should be sent here."""
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
            "members": {m.id: m.status.name.lower() for m in self._members.by_id.values()},
            "source": self._source.status(),
        }

    def _apply(self, table: RouteTable) -> None:
        before = self.state.table
        self.state.table = table
        self.state.applied_at = self.clock.now()
        limits = table.limits
        self._http.bounds = HttpBounds(
            limits.max_body_bytes, limits.head_timeout, limits.idle_timeout, limits.max_head_bytes
        )
        services = table.services() | before.services()
        self._budgets.forget_but(services)
        self._subsets.forget_but(services)
        logger.bind(version=table.version, before=before.version).info("desired state in force")

    def _forget(self, replica_ids: set[ReplicaId]) -> None:
        for replica_id in replica_ids:
            self._crashes.note_gone(replica_id)
        self._replicas.forget(replica_ids)
        self._pools.forget(replica_ids)

    async def _serve_peer(self, value: Any) -> Any:
        match value:
            case Ping():
                pong = self._spreader.serve_ping(value)
                pong.progress = self._progress.told()
                return pong
            case PingFor():
                return await self._members.serve_ping_for(value)
            case Pull():
                return self._spreader.serve_pull(value)
        return Done(True)


def _refuse_sub_request(sub: Any, deliver: Any) -> Cancellable:
    deliver(PeerFailure(False, "sub-requests go straight to instances"))
    return FINISHED
