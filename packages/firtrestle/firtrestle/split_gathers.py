"""Gather the replies to a caller's request, by way of several daemons at the same time."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Any

import trio
from loguru import logger

from firtrestle.clocks import Millis
from firtrestle.hedge_delays import MAX_HEDGE_DELAY_SHARE, MIN_CLOSED_SHARDS_SHARE
from firtrestle.outcomes import SubOutcome
from firtrestle.part_relays import PartRefusal, PeerPart, Split
from firtrestle.relay_messages import RelayResult
from firtrestle.relaying_gathers import RelayingGather
from firtrestle.routed_requests import RoutedRequest
from firtrestle.service_tools import ServiceTools
from firtrestle.work_estimates import Estimate

# The first pass queues the messages to the peers, the second writes them: peers start to work
# before this daemon spends its processor time on its own shards.
PASSES_TO_WRITE = 2


def expected_shards(tools: ServiceTools, request: RoutedRequest, services: tuple[str, ...]) -> int:
    """Return how many shards of a request this daemon is expected to run itself."""
    estimate = _estimate_if_divisible(tools, request, services)
    if estimate is None:
        return len(services)
    return math.ceil(len(services) / tools.splits.count_parts(request, services, estimate))


def _estimate_if_divisible(
    tools: ServiceTools, request: RoutedRequest, services: tuple[str, ...]
) -> Estimate | None:
    """Return the estimate by which a request may be divided, None if it must not be."""
    may_divide = (
        tools.splits.is_enabled
        and len(services) > 1
        and request.route.repeatable
        and tools.uplink.is_settled
        and not tools.uplink.is_in_doubt
    )
    return tools.work.processor_estimate() if may_divide else None


class SplitGather(RelayingGather):
    """Run some shards of a gather here and let peers run the others, if it takes long here.

    The shards of a peer's part are neither open here nor missing until its answer is known, so
    that coverage is judged over the whole. A part that a peer may have got is not sent again.
    """

    def __init__(
        self, tools: ServiceTools, request: RoutedRequest, services: tuple[str, ...]
    ) -> None:
        super().__init__(tools, request, services)
        self._split: Split | None = None
        self._shards_here: list[int] = []
        self._open_parts: set[PeerPart] = set()
        self._closed_here_at: Millis | None = None

    async def collect(self) -> None:
        """Get the services' replies, of this daemon and of the peers that run parts."""
        self._split = self._divide()
        if self._split is None:
            await super().collect()
            return
        self._shards_here = list(self._split.shards_here)
        self._tools.splits.divided += 1
        try:
            await super().collect()
        finally:
            self._log(self._split)

    def _divide(self) -> Split | None:
        """Return the parts of the gather, None if it runs here as a whole."""
        estimate = _estimate_if_divisible(self._tools, self._request, self._services)
        if estimate is None or self._is_suspect:
            return None
        split = self._tools.splits.divide(self._request, self._services, estimate)
        return split if split is not None and self._may_cover() else None

    def _may_cover(self) -> bool:
        """Return whether enough services have a usable instance.

        Otherwise the gather stays whole: it is refused before anything is sent.
        """
        is_usable = self._tools.availability.is_usable
        return self._coverage.is_enough(sum(map(is_usable, self._services)))

    def _count(self) -> None:
        """Credit the repeat budgets of the services that are run here; peers credit theirs."""
        if self._split is None:
            super()._count()
            return
        self._is_counted = True
        self._credit(self._shards_here)

    def _credit(self, shards: Iterable[int]) -> None:
        for shard in shards:
            self._tools.budgets.for_service(self._services[shard]).earn()

    async def _gather(self, shards: Sequence[int]) -> None:
        """Run the parts at the same time, until it is time to stop."""
        if self._split is None:
            await super()._gather(shards)
            return
        self._open_parts = set(self._split.parts)
        self.attempt_summary.sent += len(self._open_parts)  # each may run, until it is answered
        async with trio.open_nursery() as nursery:
            for part in self._split.parts:
                nursery.start_soon(self._run_part, part)
            for _ in range(PASSES_TO_WRITE):
                await trio.lowlevel.checkpoint()
            await super()._gather(tuple(self._shards_here))
            nursery.cancel_scope.cancel()
        for part in self._open_parts:
            self._cut_off(part)

    async def _run_part(self, part: PeerPart) -> None:
        answer = await self._tools.splits.ask(part, self._request)
        self._reply_sender.send_nowait((part, answer))

    def _is_open(self) -> bool:
        return super()._is_open() or bool(self._open_parts)

    def _services_elsewhere(self) -> int:
        return sum(len(part.terms.services) for part in self._open_parts)

    def _handle_reply(self, attempt: Any, reply: Any) -> None:
        """Handle the reply of an instance, or a peer's answer to a part."""
        if not isinstance(attempt, PeerPart):
            super()._handle_reply(attempt, reply)
            if not self._open_by_shard:
                self._closed_here_at = self._tools.clock.now()
            return
        self._open_parts.discard(attempt)
        self.attempt_summary.sent -= 1
        if isinstance(reply, PartRefusal):
            self._run_here(attempt, is_credited=False)
            return
        if reply.is_unreached:
            reply.summary.reason_by_service.clear()
            self._merge_part(reply)
            self._run_here(attempt, is_credited=True)
            return
        self._close_to_peers(attempt)
        self._merge_part(reply)
        if reply.reply_by_service:
            self._tools.uplink.record_heard_by_peer(reply.reply_by_service)
            self._release_held_back()

    def _merge_part(self, result: RelayResult) -> None:
        before = self.attempt_summary.relayed_to
        self._merge_result(result)
        if before:
            self.attempt_summary.relayed_to = f"{before},{result.peer_id}"

    def _run_here(self, part: PeerPart, is_credited: bool) -> None:
        """Run the shards of a part that its peer sent to no instance."""
        if not is_credited:
            self._credit(part.shards)
        self._shards_here += part.shards
        self._open(part.shards)
        for shard in part.shards:
            self._send_or_give_up(shard)

    def _cut_off(self, part: PeerPart) -> None:
        """Record a part without an answer as missing; its peer may have run it."""
        self._tools.splits.record_cut_off(part, self._request)
        self._close_to_peers(part)
        for service in part.terms.services:
            self.attempt_summary.reason_by_service[service] = SubOutcome.DEADLINE

    def _close_to_peers(self, part: PeerPart) -> None:
        """Keep the services of a part, which its peer may have run, from being sent again."""
        for service in part.terms.services:
            attempts = self._route.max_attempts
            self._tried_by_service[service] = self._reached_by_service[service] = attempts

    def _hedge_delay(self) -> Millis | None:
        """Return the hedge delay; late replies point to a slow daemon by the shards run here."""
        delay = super()._hedge_delay()
        if self._split is None or delay is None:
            return delay
        run_here = len(self._shards_here)
        closed = run_here - len(self._open_by_shard)
        if closed < int(MIN_CLOSED_SHARDS_SHARE * run_here):
            return Millis(self._route.latency_target * MAX_HEDGE_DELAY_SHARE)
        return delay

    def _log(self, split: Split) -> None:
        names_here = {self._services[shard] for shard in self._shards_here}
        closed_at = self._closed_here_at or self._tools.clock.now()
        logger.bind(
            request_id=self._request.message.request_id,
            route=self._route.name,
            shards=len(self._services),
            work_ms=round(split.estimate.value * len(self._services), 1),
            estimate_age_ms=round(split.estimate.age),
            time_left_ms=round(split.time_left, 1),
            services_here=len(names_here),
            replies_here=len(names_here & self.reply_by_service.keys()),
            took_here_ms=round(closed_at - self._started_at, 1),
            parts=[part.to_log() for part in split.parts],
        ).info("gather divided")
