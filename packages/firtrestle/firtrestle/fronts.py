"""Answer callers' queries on the entries of the catalogue."""

from __future__ import annotations

import json
import uuid
from dataclasses import dataclass
from typing import Any

from firtrestle import signals
from firtrestle.admitters import Admitter, Arrival
from firtrestle.catalogues import Catalogue, Entry, EntryKind, QueryClass
from firtrestle.claims import Claims
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.events import EventKind, EventLog
from firtrestle.gather_tools import GatherTools
from firtrestle.http_servers import REQUEST_ID_HEADER, HttpRequest, HttpResponse
from firtrestle.outcomes import SubOutcome
from firtrestle.pauses import PauseGuard
from firtrestle.problems import problem_response
from firtrestle.queries import GatherResult, Query, query_fingerprint, query_shape
from firtrestle.searches import Searches, SnapshotViews
from firtrestle.settings import Settings
from firtrestle.shares import Shares
from firtrestle.snapshots import choose_snapshot
from firtrestle.submits import Receipt, Submits, check_key
from firtrestle.whole_numbers import parse_whole

TIMEOUT_HEADER = "request-timeout-ms"
PRIORITY_HEADER = "priority"
KEY_HEADER = "idempotency-key"
MAX_REQUEST_ID_LENGTH = 128
SUSPICION_POLL_INTERVAL = Millis(20)
URGENT_LEVELS = ("u=0", "u=1", "u=2")  # urgency values of RFC 9218
OVERLOAD_OUTCOMES = (SubOutcome.SHED, SubOutcome.DEADLINE)
OVERLOAD_KINDS = (ErrorKind.OVERLOADED, ErrorKind.DEADLINE_PASSED)
ORDINARY_LEVELS = ("u=3", "u=4", "u=5", "u=6", "u=7")


@dataclass(slots=True)
class FrontState:
    """Hold the mutable state that a front shares with its daemon."""

    catalogue: Catalogue
    stopping: bool = False
    running: int = 0


class Front:
    """Admit queries, run them and build the responses."""

    def __init__(
        self,
        settings: Settings,
        state: FrontState,
        tools: GatherTools,
        claims: Claims,
        admitter: Admitter,
        shares: Shares,
        pauses: PauseGuard,
    ) -> None:
        self.state = state
        self.views = SnapshotViews(tools)
        self._settings = settings
        self._tools = tools
        self.searches = Searches(tools, self.views)
        self._submits = Submits(tools, claims)
        self._admitter = admitter
        self._shares = shares
        self._pauses = pauses
        self._clock: Clock = tools.clock
        self._events: EventLog = tools.events

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request on a collection path or a legacy path."""
        request_id = request.header(REQUEST_ID_HEADER) or str(uuid.uuid4())
        if len(request_id) > MAX_REQUEST_ID_LENGTH or not request_id.isprintable():
            refused = Refused.not_run(
                ErrorKind.BAD_REQUEST, detail="X-Request-Id is too long or unprintable"
            )
            return problem_response(refused, "")
        started_at = self._clock.now()
        self._events.add(EventKind.QUERY_RECEIVED, request_id, path=request.path)
        self.state.running += 1
        answered = False
        try:
            response = await self._answer(request, request_id, started_at)
            answered = True
            return response
        finally:
            self.state.running -= 1
            if not answered:
                self._events.add(EventKind.QUERY_LEFT, request_id)

    async def _answer(
        self, request: HttpRequest, request_id: str, started_at: Millis
    ) -> HttpResponse:
        entry = self._find_entry(request)
        if isinstance(entry, Refused):
            return self._refuse(entry, request_id, "")
        query = self._read_query(request, request_id, entry, started_at)
        if isinstance(query, Refused):
            return self._refuse(query, request_id, entry.name)
        await self._pauses.wait_until_refreshed()
        await self._wait_for_pending_suspicion(query)
        time_left = Millis(query.deadline - self._clock.now())
        self._shares.record_arrival(entry)
        arrival = Arrival(entry, query.urgent, time_left, self._shares.part(entry))
        refused = self._quarantine_refusal(query) or self._admitter.admit(arrival)
        if refused is not None:
            return self._refuse(refused, request_id, entry.name)
        self._shares.add_running(entry, 1)
        result: GatherResult | Receipt | Refused = Refused(ErrorKind.INTERNAL, Ran.UNKNOWN)
        try:
            result = await self._run(query)
        finally:
            self._shares.add_running(entry, -1)
            self._admitter.finished(arrival, not _was_overloaded(result))
        if isinstance(result, Refused):
            return self._refuse(result, request_id, entry.name)
        return self._build_response(query, result, Millis(self._clock.now() - started_at))

    async def _run(self, query: Query) -> GatherResult | Receipt | Refused:
        if query.entry.kind is EntryKind.SEARCH:
            return await self.searches.run(query)
        snapshot = choose_snapshot(self.views.for_collection(query.entry.collection))
        if snapshot is None:
            return Refused.not_run(ErrorKind.NO_TARGET)
        return await self._submits.run(query, snapshot)

    def _find_entry(self, request: HttpRequest) -> Entry | Refused:
        if self.state.catalogue.revision == 0:
            return Refused.not_run(ErrorKind.NOT_READY)
        entry = self.state.catalogue.entry_for(request.path)
        if entry is None:
            return Refused.not_run(
                ErrorKind.NOT_FOUND, detail=f"nothing is served at {request.path}"
            )
        allowed_methods = ("GET", "POST") if entry.kind is EntryKind.SEARCH else ("POST",)
        if request.method not in allowed_methods:
            return Refused.not_run(
                ErrorKind.METHOD_NOT_ALLOWED, detail=f"use {' or '.join(allowed_methods)}"
            )
        return entry

    def _read_query(
        self, request: HttpRequest, request_id: str, entry: Entry, started_at: Millis
    ) -> Query | Refused:
        body = _read_body(request)
        if isinstance(body, Refused):
            return body
        timeout = self._read_timeout(request, entry)
        if isinstance(timeout, Refused):
            return timeout
        urgent = _read_priority(request, entry)
        if isinstance(urgent, Refused):
            return urgent
        key = request.header(KEY_HEADER).strip('"')
        if entry.kind is EntryKind.SUBMIT:
            refused = check_key(key, self._settings.claims, self._clock)
            if refused is not None:
                return refused
        reserve = self._settings.front.answer_reserve_ms
        deadline = Millis(started_at + timeout - reserve)
        fingerprint = query_fingerprint(entry.collection, body)
        shape = query_shape(entry.collection, body)
        return Query(request_id, entry, body, urgent, deadline, key, fingerprint, shape)

    def _read_timeout(self, request: HttpRequest, entry: Entry) -> Millis | Refused:
        raw = request.header(TIMEOUT_HEADER)
        if not raw:
            return entry.timeout
        milliseconds = parse_whole(raw)
        if not milliseconds:
            detail = "Request-Timeout-Ms must be a whole number of milliseconds"
            return Refused.not_run(ErrorKind.BAD_REQUEST, detail=detail)
        return Millis(min(milliseconds, self._settings.front.max_timeout_ms))

    async def _wait_for_pending_suspicion(self, query: Query) -> None:
        """Wait while a daemon retries the same request as a suspect, at most until the deadline."""
        while self._tools.quarantines.is_suspicion_pending(query.fingerprint):
            if self._clock.now() >= query.deadline:
                return
            await sleep(SUSPICION_POLL_INTERVAL)

    def _quarantine_refusal(self, query: Query) -> Refused | None:
        """Return the refusal of a quarantined query, None for others."""
        quarantine_left = self._tools.quarantines.time_left(query.fingerprint)
        if quarantine_left is None:
            return None
        return Refused.not_run(ErrorKind.QUARANTINED, retry_after=quarantine_left)

    def _refuse(self, refused: Refused, request_id: str, entry_name: str) -> HttpResponse:
        self._events.add(
            EventKind.QUERY_REFUSED,
            request_id,
            entry=entry_name,
            refusal=str(refused.kind),
            ran=str(refused.ran),
            detail=refused.detail,
        )
        signals.query_refused.send(entry_name, refused=refused)
        return problem_response(refused, request_id)

    def _build_response(
        self, query: Query, result: GatherResult | Receipt, latency: Millis
    ) -> HttpResponse:
        document, fields = _describe(query, result)
        self._events.add(
            EventKind.QUERY_ANSWERED,
            query.request_id,
            entry=query.entry.name,
            latency_ms=round(latency, 3),
            **fields,
        )
        signals.query_answered.send(query.entry.name, query=query, result=result, latency=latency)
        headers = {"X-Request-Id": query.request_id}
        if isinstance(result, Receipt) and result.replayed:
            headers["Idempotent-Replayed"] = "true"
        return HttpResponse(200, json.dumps(document).encode(), headers=headers)


def _was_overloaded(result: GatherResult | Receipt | Refused) -> bool:
    """Return whether targets shed the query or ran out of time; other failures do not count."""
    if isinstance(result, GatherResult):
        return any(
            missing.reason in OVERLOAD_OUTCOMES for missing in result.missing_by_shard.values()
        )
    return isinstance(result, Refused) and result.kind in OVERLOAD_KINDS


def _describe(
    query: Query, result: GatherResult | Receipt
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the JSON document of the answer and the fields of its event."""
    if isinstance(result, Receipt):
        return result.document, {"key": query.key, "replayed": result.replayed}
    fields = {
        "version": result.snapshot.version,
        "covered": result.covered,
        "total": result.snapshot.total_documents,
        "covered_by_shard": {str(k): v for k, v in result.covered_by_shard.items()},
        "rows": len(result.rows_by_id),
        "sent": result.sent,
        "shards": len(result.snapshot.documents_by_shard),
    }
    return result.to_document(query), fields


def _read_body(request: HttpRequest) -> dict[str, Any] | Refused:
    raw: str | bytes = request.body
    if request.method == "GET":
        raw = request.parameters.get("q", "{}")
    try:
        body = json.loads(raw or "{}")
    except (ValueError, RecursionError):
        return Refused.not_run(ErrorKind.BAD_REQUEST, detail="the query is not JSON")
    if not isinstance(body, dict):
        return Refused.not_run(ErrorKind.BAD_REQUEST, detail="the query must be a JSON object")
    return body


def _read_priority(request: HttpRequest, entry: Entry) -> bool | Refused:
    """Return whether the query is urgent; a caller can only lower its entry's class."""
    raw = request.header(PRIORITY_HEADER).split(",")[0].strip()
    urgent_entry = entry.query_class is QueryClass.URGENT
    if not raw or raw in URGENT_LEVELS:
        return urgent_entry
    if raw in ORDINARY_LEVELS:
        return False
    return Refused.not_run(ErrorKind.BAD_REQUEST, detail="Priority must be u=0 to u=7 (RFC 9218)")
