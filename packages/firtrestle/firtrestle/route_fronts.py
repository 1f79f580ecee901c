"""Answer callers' requests by routing them to services."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace
from typing import Protocol

import trio
from loguru import logger

from firtrestle import signals
from firtrestle.admission_gates import STOPPING_RETRY_AFTER
from firtrestle.answers import Answer
from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis, move_on_after
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.http_servers import HttpRequest, HttpResponse
from firtrestle.instance_replies import CallerMessage
from firtrestle.registry_readers import RegistryProgress
from firtrestle.routed_requests import RoutedRequest
from firtrestle.routes import RouteTable
from firtrestle.service_gathers import ServiceGather
from firtrestle.service_tools import ServiceTools
from firtrestle.split_gathers import SplitGather, expected_shards
from firtrestle.uplinks import UplinkState

RESPONSE_RESERVE = Millis(10)  # kept back from the caller's deadline to transmit the response
KINDS_WORTH_RETRYING = frozenset({ErrorKind.NO_TARGET, ErrorKind.OVERLOADED})
KINDS_WORTH_REPEATING = frozenset({ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TARGET_REFUSED})
# Long enough for a queue to drain; a shard without replicas takes seconds to return anyway.
DEFAULT_RETRY_AFTER = Millis(200)
RETRY_AFTER_JITTER = (0.5, 1.5)  # factors of the delay, so that callers don't retry in step
# A starting daemon reads its initial state in two short calls.
MAX_STARTUP_WAIT = Millis(150)


@dataclass(frozen=True, slots=True)
class DecodedRequest:
    """Represent a decoded request; `time_left` is None if the caller set no deadline."""

    message: CallerMessage
    path: str
    time_left: Millis | None


class CallerCodec(Protocol):
    """Decode callers' requests and encode the responses."""

    def read(self, request: HttpRequest) -> DecodedRequest | Refused:
        """Return the decoded request, or the refusal of an invalid one."""

    def write(self, request: DecodedRequest, answer: Answer) -> HttpResponse | Refused:
        """Encode an answer, or refuse to: a status must not deny that its request may have run."""

    def refuse(self, request_id: str, refused: Refused) -> HttpResponse:
        """Encode a refusal; callers must be able to rely on a statement that nothing ran."""


@dataclass(slots=True)
class RouteState:
    """Hold the mutable state that a front shares with its daemon."""

    table: RouteTable
    applied_at: Millis = Millis(0)  # when this daemon put the table into force
    stopping: bool = False
    answers_by: Millis = Millis(math.inf)  # when a stopping daemon sends its last answers
    running: int = 0


class RouteFront:
    """Route requests, run them and encode the responses."""

    def __init__(
        self,
        state: RouteState,
        tools: ServiceTools,
        codec: CallerCodec,
        rng: random.Random,
        progress: RegistryProgress,
    ) -> None:
        self._progress = progress
        self.state = state
        self._tools = tools
        self._codec = codec
        self._rng = rng
        self._clock: Clock = tools.clock
        self._running_scopes: set[trio.CancelScope] = set()

    def stop_by(self, answers_by: Millis) -> None:
        """Answer all requests by a time, as the process ends soon after it."""
        self.state.stopping = True
        self.state.answers_by = answers_by
        self._tools.gate.stop_by(answers_by)
        for scope in self._running_scopes:
            scope.deadline = self._last_answer_at()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request; log a caller that disconnects before it."""
        arrived_at = self._clock.now()
        decoded = self._codec.read(request)
        if isinstance(decoded, Refused):
            return self._refuse("", "", arrived_at, decoded)
        self.state.running += 1
        response: HttpResponse | None = None
        try:
            with trio.CancelScope(deadline=self._last_answer_at()) as scope:
                self._running_scopes.add(scope)
                response = await self._answer(decoded, arrived_at)
            if response is None:
                refused = Refused(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, "the daemon ends")
                response = self._refuse(decoded.message.request_id, "", arrived_at, refused)
            return response
        finally:
            self._running_scopes.discard(scope)
            self.state.running -= 1
            if response is None:
                self._log_caller_left(decoded, arrived_at)

    def _last_answer_at(self) -> float:
        """Return when a stopping daemon sends its last answers, in seconds of trio's clock."""
        return self.state.answers_by / MILLIS_PER_SECOND

    async def _answer(self, request: DecodedRequest, arrived_at: Millis) -> HttpResponse:
        request_id = request.message.request_id
        if not self._progress.complete.is_set():
            with move_on_after(MAX_STARTUP_WAIT):
                await self._progress.complete.wait()
        table = self.state.table
        # Without the registry's state, a request might be sent to an evacuated data centre.
        if table.version == 0 or not self._progress.complete.is_set():
            refused = Refused.not_run(ErrorKind.NOT_READY, retry_after=Millis(500))
            return self._refuse(request_id, "", arrived_at, refused)
        route = table.route_for(request.message.host, request.path)
        if route is None:
            refused = Refused.not_run(ErrorKind.NOT_FOUND, detail=f"no route for {request.path}")
            return self._refuse(request_id, "", arrived_at, refused)
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, Millis(request.time_left - RESPONSE_RESERVE))
        services = route.pick_services(self._rng)
        if time_left <= 0 or not services:
            kind = ErrorKind.DEADLINE_PASSED if services else ErrorKind.NO_TARGET
            return self._refuse(request_id, route.name, arrived_at, Refused.not_run(kind))
        deadline = Millis(arrived_at + time_left)
        if deadline > self.state.answers_by:
            if not route.repeatable:
                refused = Refused.not_run(ErrorKind.STOPPING, retry_after=STOPPING_RETRY_AFTER)
                return self._refuse(request_id, route.name, arrived_at, refused)
            deadline = self.state.answers_by
        routed = RoutedRequest(
            request.message, route, table, arrived_at, deadline, self._tools.loop.busy_time()
        )
        # It works here only as far as the instances are reached from here.
        is_down = self._tools.uplink.state is UplinkState.DOWN
        shards = 0 if is_down else expected_shards(self._tools, routed, services)
        with self._tools.gate.admission(routed, shards) as admission:
            refused = self._quarantine_refusal(routed) or await admission.wait()
            refused = refused or self._quarantine_refusal(routed)
            if refused is not None:
                return self._refuse(request_id, route.name, arrived_at, refused)
            if not self._tools.crashes.is_empty:
                self._tools.crashes.begin_trial(routed.fingerprint)
            gather = SplitGather(self._tools, routed, services)
            result = await admission.run(gather, gather.run)
        if isinstance(result, Answer):
            response = self._codec.write(request, result)
            if isinstance(response, HttpResponse):
                self._report_answer(request_id, routed, gather, result)
                return response
            self._tools.counts.statuses_withheld += 1
            retry_after = gather.time_to_return() if gather.is_repeatable else None
            result = replace(response, retry_after=retry_after)
        return self._refuse(request_id, route.name, arrived_at, result, gather)

    def _quarantine_refusal(self, routed: RoutedRequest) -> Refused | None:
        """Return the refusal of a request quarantined for crashing instances, None for others."""
        crashes = self._tools.crashes
        if crashes.is_empty:
            return None
        fingerprint = routed.fingerprint
        quarantine_left = crashes.time_left(fingerprint)
        if quarantine_left is None:
            return None
        return Refused.not_run(
            ErrorKind.QUARANTINED, detail=fingerprint, retry_after=quarantine_left
        )

    def _report_answer(
        self, request_id: str, routed: RoutedRequest, gather: ServiceGather, answer: Answer
    ) -> None:
        latency = Millis(self._clock.now() - routed.arrived_at)
        summary = gather.attempt_summary
        logger.bind(
            request_id=request_id,
            route=routed.route.name,
            version=routed.table.version,
            registry_age_ms=self._progress.logged_age(),
            status=answer.status,
            ran=str(answer.ran),
            missing=answer.missing,
            evacuated=self._tools.instances.evacuations.zones(),
            left_out={name: str(reason) for name, reason in summary.reason_by_service.items()},
            sent=summary.sent,
            hedges=summary.hedges,
            connections_opened=gather.connections_opened,
            relayed_to=summary.relayed_to,
            latency_ms=round(latency, 1),
            target_ms=round(routed.route.latency_target, 1),
            busy_ms=round(self._tools.loop.busy_time() - routed.busy_at_arrival, 1),
            late=latency > routed.route.latency_target,
        ).info("answered")
        signals.request_answered.send(routed.route.name, answer=answer, latency=latency)

    def _refuse(
        self,
        request_id: str,
        route_name: str,
        arrived_at: Millis,
        refused: Refused,
        gather: ServiceGather | None = None,
    ) -> HttpResponse:
        logger.bind(
            request_id=request_id,
            route=route_name,
            version=self.state.table.version,
            registry_age_ms=self._progress.logged_age(),
            kind=str(refused.kind),
            ran=str(refused.ran),
            detail=refused.detail,
            evacuated=self._tools.instances.evacuations.zones(),
            sent=gather.attempt_summary.sent if gather is not None else 0,
            relayed_to=gather.attempt_summary.relayed_to if gather is not None else "",
            after_ms=round(self._clock.now() - arrived_at, 1),
        ).info("refused")
        signals.query_refused.send(route_name, refused=refused)
        is_repeatable = gather is not None and gather.is_repeatable
        is_worth_retrying = (
            refused.kind in KINDS_WORTH_RETRYING
            or (refused.kind in KINDS_WORTH_REPEATING and is_repeatable)
            or (refused.kind is ErrorKind.DEADLINE_PASSED and refused.ran is Ran.FALSE)
        )
        if is_worth_retrying and refused.retry_after is None:
            retry_after = Millis(DEFAULT_RETRY_AFTER * self._rng.uniform(*RETRY_AFTER_JITTER))
            refused = replace(refused, retry_after=retry_after)
        return self._codec.refuse(request_id, refused)

    def _log_caller_left(self, request: DecodedRequest, arrived_at: Millis) -> None:
        after_ms = round(self._clock.now() - arrived_at, 1)
        logger.bind(request_id=request.message.request_id, after_ms=after_ms).info("caller left")
