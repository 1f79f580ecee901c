"""Run requests of peers that have lost their links to the instances, and parts of gathers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.loop_monitors import LoopMonitor
from firtrestle.messages import Relay, Relayed
from firtrestle.partial_gathers import PartialGather
from firtrestle.relay_messages import RelayTerms, decode_relay, encode_result
from firtrestle.routed_requests import RoutedRequest
from firtrestle.routes import RouteTable
from firtrestle.service_tools import ServiceTools

MAX_RUNNING = 64  # requests of peers at the same time
MAX_BUSY_SHARE = 0.8  # of the processor; beyond it, this daemon's own callers come first
LOAD_WINDOW = Millis(300)
MAX_REPLY_BYTES = 4_000_000  # of one service; below the size of a frame


class ServingState(Protocol):
    """Define what relays share with the front: the routes, and the requests that a stop awaits."""

    table: RouteTable
    stopping: bool
    running: int


class RelayServer:
    """Run peers' requests here, never by way of a third daemon, unless this one is short of time.

    A refusal means that nothing was sent, so that the peer may ask another daemon.
    """

    def __init__(
        self,
        tools: ServiceTools,
        state: ServingState,
        knows_registry: Callable[[], bool] = lambda: True,
    ) -> None:
        self.running = 0
        self.served = 0
        self.refused = 0
        self._tools = tools
        self._state = state
        self._knows_registry = knows_registry
        self._load = _LoadMeter(tools.clock, tools.loop)

    async def serve(self, relay: Relay) -> Relayed:
        """Run a peer's request, and return what each of its services replied."""
        started_at = self._tools.clock.now()
        decoded = decode_relay(relay, self._state.table, started_at)
        refusal = decoded if isinstance(decoded, str) else self._refusal()
        if refusal or isinstance(decoded, str):
            self.refused += 1
            logger.bind(
                request_id=relay.request_id,
                running=self.running,
                busy_share=round(self._load.share(), 2),
                reason=refusal,
            ).info("relay refused")
            return Relayed(refusal=refusal)
        self.running += 1
        self._state.running += 1
        try:
            return await self._run(*decoded, started_at)
        finally:
            self.running -= 1
            self._state.running -= 1

    async def _run(self, request: RoutedRequest, terms: RelayTerms, started_at: Millis) -> Relayed:
        with self._tools.gate.admission(request, len(terms.services)) as admission:
            refused = await admission.wait()
            if refused is not None:
                self.refused += 1
                return Relayed(refusal=str(refused.kind))
            self.served += 1
            gather = PartialGather(self._tools, request, terms, MAX_REPLY_BYTES)
            await admission.run(gather, gather.collect, may_end=False)
        relayed = encode_result(
            request.route.merge, gather.reply_by_service, gather.attempt_summary
        )
        logger.bind(
            request_id=request.message.request_id,
            services=len(terms.services),
            replies=len(relayed.replies),
            left_out=relayed.reasons,
            sent=relayed.sent,
            ran=relayed.may_have_run,
            took_ms=round(self._tools.clock.now() - started_at, 1),
        ).info("relay served")
        return relayed

    def _refusal(self) -> str:
        """Return why no request of a peer is run now, empty if they are."""
        if self._state.stopping:
            return "stopping"
        if not self._knows_registry():
            return "not ready"
        uplink = self._tools.uplink
        if not uplink.is_settled or uplink.is_unheard:
            return "no links to the instances"
        if self.running >= MAX_RUNNING or self._load.share() > MAX_BUSY_SHARE:
            return "overloaded"
        return ""


class _LoadMeter:
    """Measure the share of time in which the event loop works, over a short window."""

    def __init__(self, clock: Clock, loop: LoopMonitor) -> None:
        self._clock = clock
        self._loop = loop
        self._sampled_at = clock.now()
        self._busy_at_sample = loop.busy_time()
        self._share = 0.0

    def share(self) -> float:
        now = self._clock.now()
        if now - self._sampled_at >= LOAD_WINDOW:
            busy = self._loop.busy_time()
            self._share = (busy - self._busy_at_sample) / (now - self._sampled_at)
            self._sampled_at, self._busy_at_sample = now, busy
        return self._share
