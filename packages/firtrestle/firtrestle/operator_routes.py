"""Serve the read-only HTTP API for operators under `/-/`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from firtrestle import metrics
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.credits import merged_credits
from firtrestle.errors import ErrorKind, Refused
from firtrestle.events import EventLog
from firtrestle.fronts import Front
from firtrestle.gossip_maps import GossipMap
from firtrestle.holders import Holders
from firtrestle.http_servers import HttpRequest, HttpResponse
from firtrestle.isolations import faults
from firtrestle.lease_keepers import LeaseKeeper
from firtrestle.leases import LeaseTable
from firtrestle.members import Members, MemberStatus
from firtrestle.peer_servers import PeerServer
from firtrestle.peers import PeerClients
from firtrestle.platforms import REJECTED_PREFIX, DocumentWatcher
from firtrestle.problems import problem_response
from firtrestle.quarantines import Quarantines
from firtrestle.retirements import comparisons_of, merged_comparisons
from firtrestle.shares import Shares
from firtrestle.voters import Voters
from firtrestle.whole_numbers import parse_whole

MAX_EVENTS_PER_RESPONSE = 5_000
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
EVENT_POLL_INTERVAL = Millis(50)
MAX_NOT_READY = Millis(15_000)  # then a daemon reports ready even without its shares and leases
MAX_EVENT_WAIT = Millis(10_000)


@dataclass(slots=True)
class OperatorRoutes:
    """Serve liveness, readiness, metrics, status, events and credits of one daemon."""

    front: Front
    members: Members
    holders: Holders
    items: GossipMap
    voters: Voters
    quarantines: Quarantines
    shares: Shares
    leases: LeaseTable
    lease_keeper: LeaseKeeper
    events: EventLog
    watchers: list[DocumentWatcher]
    clients: PeerClients
    peer_server: PeerServer
    clock: Clock
    started_at: Millis

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request under the reserved prefix."""
        if request.method != "GET":
            return problem_response(
                Refused.not_run(ErrorKind.METHOD_NOT_ALLOWED, detail="use GET"), ""
            )
        match request.path:
            case "/-/live":
                return HttpResponse.from_json({"live": True})
            case "/-/ready":
                return self._ready()
            case "/-/metrics":
                return HttpResponse(200, self._metrics(), METRICS_CONTENT_TYPE)
            case "/-/status":
                return HttpResponse.from_json(self.status())
            case "/-/events":
                return await self._events(request)
            case "/-/credits":
                return HttpResponse.from_json({"credits": merged_credits(self.items)})
        refused = Refused.not_run(
            ErrorKind.NOT_FOUND, detail=f"nothing is served at {request.path}"
        )
        return problem_response(refused, "")

    def is_ready(self) -> bool:
        """Return whether a load balancer should send callers to this daemon."""
        state = self.front.state
        serving = state.catalogue.revision > 0 and not state.stopping
        return serving and (self._has_shares_and_leases() or self._has_start_wait_expired())

    def _has_shares_and_leases(self) -> bool:
        """Return whether this daemon may use its limit shares and has the leases it needs."""
        leased = self.leases.is_ready() and self.lease_keeper.is_ready()
        return self.shares.has_own_part() and leased

    def _has_start_wait_expired(self) -> bool:
        return self.clock.now() - self.started_at > MAX_NOT_READY

    def status(self) -> dict[str, Any]:
        """Return what `firtrestle status` shows."""
        state = self.front.state
        me = self.members.me
        rejected = self.items.by_key.get(REJECTED_PREFIX + "catalogue")
        newer = rejected is not None and rejected.stamp > state.catalogue.revision
        return {
            "daemon": me.id,
            "incarnation": me.incarnation,
            "data_centre": me.data_centre,
            "ready": self.is_ready(),
            "stopping": state.stopping,
            "established": self.voters.established_at is not None,
            "revision": state.catalogue.revision,
            "rejected": [rejected.stamp, rejected.value] if newer else None,
            "platform_reads": sum(watcher.reads for watcher in self.watchers),
            "running": state.running,
            "members": [
                {
                    "id": member.id,
                    "data_centre": member.data_centre,
                    "status": member.status.name.lower(),
                    "address": f"{member.host}:{member.port}",
                }
                for member in sorted(self.members.by_id.values(), key=lambda member: member.id)
            ],
            "targets": [
                {
                    "id": report.target_id,
                    "collection": report.collection,
                    "state": str(report.state),
                    "holder": self.holders.holder_of(report.target_id),
                    "versions": sorted(report.versions()),
                    "connection_limit": report.connection_limit,
                }
                for report in sorted(self.holders.reports(), key=lambda report: report.target_id)
            ],
            "held": {
                target_id: {
                    "connections": pool.open_connections,
                    "connection_share": pool.connection_share,
                    "queue": pool.queue_length,
                    "in_flight": pool.in_flight_by_searcher,
                    "leased_lots": pool.leased_lots,
                }
                for target_id, pool in sorted(self.holders.held_targets().items())
            },
            "limits": {
                entry.name: {
                    "rate_per_second": entry.rate_per_second,
                    "concurrency": entry.concurrency,
                }
                for entry in state.catalogue.by_name.values()
            },
            "quarantine": self.quarantines.in_force(),
            "comparisons": [
                {
                    "entry": comparison.entry.name,
                    "replaces": comparison.entry.replaces.entry,
                    "same": comparison.compared.same,
                    "differing": comparison.compared.differing,
                    "fault": comparison.fault,
                }
                for comparison in comparisons_of(state.catalogue, merged_comparisons(self.items))
            ],
        }

    def _ready(self) -> HttpResponse:
        ready = self.is_ready()
        return HttpResponse.from_json({"ready": ready}, 200 if ready else 503)

    def _metrics(self) -> bytes:
        metrics.REVISION.set(self.front.state.catalogue.revision)
        for status in MemberStatus:
            count = sum(member.status is status for member in self.members.by_id.values())
            metrics.MEMBERS.labels(status.name.lower()).set(count)
        clients = self.clients.by_address.values()
        sent = self.peer_server.bytes_sent + sum(client.bytes_sent for client in clients)
        received = self.peer_server.bytes_received
        received += sum(client.bytes_received for client in clients)
        metrics.PEER_BYTES.labels("sent").set(sent)
        metrics.PEER_BYTES.labels("received").set(received)
        for task, count in faults.count_by_task.items():
            metrics.ISOLATED_FAULTS.labels(task).set(count)
        metrics.PLATFORM_READS.set(sum(watcher.reads for watcher in self.watchers))
        return metrics.exposition()

    async def _events(self, request: HttpRequest) -> HttpResponse:
        """Return events after a sequence number; wait up to `wait_ms` if there are none yet."""
        after = parse_whole(request.parameters.get("after", "0"))
        wait_ms = parse_whole(request.parameters.get("wait_ms", "0"))
        if after is None or wait_ms is None:
            detail = "after and wait_ms must be whole numbers"
            return problem_response(Refused.not_run(ErrorKind.BAD_REQUEST, detail=detail), "")
        wait = min(Millis(wait_ms), MAX_EVENT_WAIT)
        waited = Millis(0)
        while not (found := self.events.after(after)) and waited < wait:
            await sleep(EVENT_POLL_INTERVAL)
            waited = Millis(waited + EVENT_POLL_INTERVAL)
        request_id = request.parameters.get("request_id")
        page = found[:MAX_EVENTS_PER_RESPONSE]
        shown = [e.to_dict() for e in page if not request_id or e.request_id == request_id]
        last = page[-1].seq if page else after
        return HttpResponse.from_json({"last": last, "events": shown})
