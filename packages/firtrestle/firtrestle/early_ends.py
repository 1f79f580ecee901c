"""Decide when a gather is ended early, as too few of its shards can still get a reply."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from loguru import logger

from firtrestle.attempts import Attempt, ShardState
from firtrestle.clocks import Millis
from firtrestle.coverages import Coverage
from firtrestle.routed_requests import AttemptSummary, RoutedRequest
from firtrestle.send_rules import SendRules
from firtrestle.service_tools import ServiceTools

# Of the time in which 95 in 100 replies to a request come. The replies of slow instances, which may
# be eleven times as slow as others, are among these where they are many.
SILENCE_RATIO = 3.0
RECHECK_INTERVAL = Millis(20)
# After a suspension of this process, time-outs may be handled before replies that have arrived.
CONFIRMATION_INTERVAL = Millis(3)


class EarlyEnds:
    """Follow one gather, and tell when silent instances keep it from its least coverage.

    A silent shard counts while it may be hedged. Nothing is ended before the latency target, while
    this daemon's own links are in doubt, or if the caller can't send the request again.
    """

    def __init__(
        self, tools: ServiceTools, request: RoutedRequest, coverage: Coverage, rules: SendRules
    ) -> None:
        self._tools = tools
        self._request = request
        self._route = request.route
        self._coverage = coverage
        self._rules = rules
        self._started_at = tools.clock.now()
        self._is_confirming = False
        self._silence_limit: Millis | None = None  # of a gather that was ended for silence
        self.reply_times: list[Millis] = []
        self.next_check_at = Millis(math.inf)
        if request.route.repeatable:
            self.next_check_at = Millis(self._started_at + request.route.latency_target)

    def is_due(self) -> bool:
        """Return whether the gather is to be checked now."""
        return self._tools.clock.now() >= self.next_check_at

    def check(
        self,
        replies: int,
        left_to_peers: int,
        open_states: Collection[ShardState],
        awaited_since: Callable[[Attempt], Millis],
    ) -> bool:
        """Return whether the gather is to be ended, and set the time of the next check.

        `left_to_peers` counts the services that a peer may still get a reply of.
        """
        now = self._tools.clock.now()
        usual_reply = self._tools.usual_replies.usual(self._route.name)
        if usual_reply is None:
            self.next_check_at = Millis(math.inf)
            return False
        limit = Millis(max(self._route.latency_target, SILENCE_RATIO * usual_reply))
        self.next_check_at = Millis(max(now + RECHECK_INTERVAL, self._started_at + limit))
        silent = [
            state
            for state in open_states
            if state.attempts
            and all(
                _is_silent(attempt, awaited_since(attempt), limit, now)
                for attempt in state.attempts
            )
            and not self._may_be_hedged(state)
        ]
        hopeful = left_to_peers + len(open_states) - len(silent)
        is_out_of_reach = silent and not self._coverage.is_enough(replies + hopeful)
        if not (is_out_of_reach and self._hears_others() and self._tools.loop.was_idle):
            self._is_confirming = False
            return False
        if not self._is_confirming:
            self._is_confirming = True
            self.next_check_at = Millis(now + CONFIRMATION_INTERVAL)
            return False
        self._silence_limit = limit
        return True

    def record(
        self, replies: int, open_states: Collection[ShardState], summary: AttemptSummary
    ) -> None:
        """Log and count the end of a gather without its least coverage, if it is an early one."""
        self._tools.usual_replies.learn(self._route.name, self.reply_times)
        waiting = sum(bool(state.attempts) for state in open_states)
        now = self._tools.clock.now()
        if not waiting or self._coverage.is_enough(replies) or now >= self._request.deadline:
            return
        self._tools.counts.ended_early += 1
        limit = self._silence_limit
        logger.bind(
            request_id=self._request.message.request_id,
            route=self._route.name,
            priority=self._route.priority,
            reason="failed" if limit is None else "silent",
            replies=replies,
            needed=self._coverage.least_replies(),
            waiting=waiting,
            failed={name: str(reason) for name, reason in summary.reason_by_service.items()},
            silence_limit_ms=limit and round(limit),
            ran=summary.may_have_run,
            after_ms=round(now - self._request.arrived_at),
        ).info("gather ended early")

    def _may_be_hedged(self, state: ShardState) -> bool:
        return (
            not state.is_exhausted
            and self._rules.has_attempts_left(state)
            and self._rules.has_hedge_left(state)
            and self._rules.has_untried_replica(state)
        )

    def _hears_others(self) -> bool:
        """Return whether other instances have replied since the gather started."""
        uplink = self._tools.uplink
        is_sound = uplink.is_settled and not uplink.is_unheard
        return is_sound and uplink.has_heard_since(self._started_at)


def _is_silent(attempt: Attempt, awaited_since: Millis, limit: Millis, now: Millis) -> bool:
    """Return whether an instance has answered nothing since it was asked.

    One that has answered other requests meanwhile has a long queue.
    """
    return now - awaited_since >= limit and attempt.replica.answered_at < awaited_since
