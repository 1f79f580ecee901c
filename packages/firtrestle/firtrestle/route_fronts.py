"""Take routed requests from callers and answer them."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import Protocol

import trio
from loguru import logger

from firtrestle import signals
from firtrestle.answers import Answer
from firtrestle.clocks import Clock, Millis, move_on_after
from firtrestle.errors import ErrorKind, Refused
from firtrestle.http_servers import HttpRequest, HttpResponse
from firtrestle.part_replies import CallerMessage
from firtrestle.routes import RouteTable
from firtrestle.service_gathers import RoutedRequest, ServiceGather, ServiceTools

DEADLINE_RESERVE = Millis(10)  # of a deadline: time for the answer to reach the caller
COME_BACK = frozenset({ErrorKind.NO_TARGET, ErrorKind.OVERLOADED})
COME_BACK_PAUSE = Millis(200)  # for a queue to drain; a shard that is gone takes seconds to return
COME_BACK_SPREAD = (0.5, 1.5)  # times the pause, so that callers don't come back together
LONGEST_PRIMING = Millis(150)  # for a starting daemon to read what it serves, in two short calls


@dataclass(frozen=True, slots=True)
class Incoming:
    """Hold a decoded request; `time_left` is None where the caller named no deadline."""

    message: CallerMessage
    path: str
    time_left: Millis | None


class CallerCodec(Protocol):
    """Read requests of callers and write answers to them."""

    def read(self, request: HttpRequest) -> Incoming | Refused:
        """Decode a request, or say what is wrong with it."""

    def write(self, incoming: Incoming, answer: Answer) -> HttpResponse:
        """Encode an answer."""

    def refuse(self, request_id: str, refused: Refused) -> HttpResponse:
        """Encode a refusal; the caller must be able to trust it when it says not run."""


@dataclass(slots=True)
class RouteState:
    """Hold what changes while the front runs."""

    table: RouteTable
    applied_at: Millis = Millis(0)  # when the table came into force here
    stopping: bool = False
    running: int = 0


class RouteFront:
    """Route, run and answer requests."""

    def __init__(
        self,
        state: RouteState,
        tools: ServiceTools,
        codec: CallerCodec,
        rng: random.Random,
        primed: trio.Event,
    ) -> None:
        self._primed = primed
        self.state = state
        self._tools = tools
        self._codec = codec
        self._rng = rng
        self._clock: Clock = tools.clock

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        arrived_at = self._clock.now()
        incoming = self._codec.read(request)
        if isinstance(incoming, Refused):
            return self._refuse("", "", arrived_at, incoming)
        self.state.running += 1
        done = False
        try:
            response = await self._answer(incoming, arrived_at)
            done = True
            return response
        finally:
            self.state.running -= 1
            if not done:
                self._note_left(incoming, arrived_at)

    async def _answer(self, incoming: Incoming, arrived_at: Millis) -> HttpResponse:
        request_id = incoming.message.request_id
        if not self._primed.is_set():
            with move_on_after(LONGEST_PRIMING):
                await self._primed.wait()
        table = self.state.table
        if table.version == 0:
            refused = Refused(ErrorKind.NOT_READY, retry_after=Millis(500))
            return self._refuse(request_id, "", arrived_at, refused)
        route = table.route_for(incoming.message.host, incoming.path)
        if route is None:
            refused = Refused(ErrorKind.NOT_FOUND, detail=f"no route for {incoming.path}")
            return self._refuse(request_id, "", arrived_at, refused)
        time_left = route.timeout
        if incoming.time_left is not None:
            time_left = min(time_left, Millis(incoming.time_left - DEADLINE_RESERVE))
        services = route.pick_services(self._rng)
        if time_left <= 0 or not services:
            kind = ErrorKind.DEADLINE_PASSED if services else ErrorKind.NO_TARGET
            return self._refuse(request_id, route.name, arrived_at, Refused(kind))
        give_up_at = Millis(arrived_at + time_left)
        routed = RoutedRequest(incoming.message, route, table, arrived_at, give_up_at)
        held_off = self._held_off(routed)
        if held_off is not None:
            return self._refuse(request_id, route.name, arrived_at, held_off)
        gather = ServiceGather(self._tools, routed, services)
        result = await gather.run()
        if isinstance(result, Refused):
            return self._refuse(request_id, route.name, arrived_at, result, gather)
        self._note_answer(request_id, routed, gather, result)
        return self._codec.write(incoming, result)

    def _held_off(self, routed: RoutedRequest) -> Refused | None:
        """Return the refusal of a request that crashes instances, None for others."""
        crashes = self._tools.crashes
        left = None if crashes.is_idle else crashes.time_left(routed.fingerprint)
        if left is None:
            return None
        return Refused(ErrorKind.QUARANTINED, detail=routed.fingerprint, retry_after=left)

    def _note_answer(
        self, request_id: str, routed: RoutedRequest, gather: ServiceGather, answer: Answer
    ) -> None:
        latency = Millis(self._clock.now() - routed.arrived_at)
        record = gather.record
        logger.bind(
            request_id=request_id,
            route=routed.route.name,
            version=routed.table.version,
            status=answer.status,
            missing=answer.missing,
            left_out={name: str(reason) for name, reason in record.reason_by_service.items()},
            sent=record.sent,
            hedges=record.hedges,
            latency_ms=round(latency, 1),
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
            kind=str(refused.kind),
            ran=str(refused.ran),
            detail=refused.detail,
            sent=gather.record.sent if gather is not None else 0,
            after_ms=round(self._clock.now() - arrived_at, 1),
        ).info("refused")
        signals.query_refused.send(route_name, refused=refused)
        repeatable = gather is not None and gather.is_repeatable
        may_come_back = refused.kind in COME_BACK or (
            refused.kind is ErrorKind.OUTCOME_UNKNOWN and repeatable
        )
        if may_come_back and refused.retry_after is None:
            pause = Millis(COME_BACK_PAUSE * self._rng.uniform(*COME_BACK_SPREAD))
            refused = replace(refused, retry_after=pause)
        return self._codec.refuse(request_id, refused)

    def _note_left(self, incoming: Incoming, arrived_at: Millis) -> None:
        after = round(self._clock.now() - arrived_at, 1)
        logger.bind(request_id=incoming.message.request_id, after_ms=after).info("caller left")
