"""Estimate whether a gather will reach its least coverage, with and without a repeat."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection

from firtrestle.attempts import Attempt, ShardState
from firtrestle.clocks import Millis
from firtrestle.coverages import Coverage
from firtrestle.repeat_reserves import Prospect, RepeatNeed, reach_chance, repeat_need
from firtrestle.routed_requests import RoutedRequest
from firtrestle.send_rules import SendRules
from firtrestle.service_tools import ServiceTools


class GatherProspects:
    """Judge what a repeat of a shard can do for one gather's least coverage."""

    def __init__(
        self, tools: ServiceTools, request: RoutedRequest, coverage: Coverage, rules: SendRules
    ) -> None:
        self._tools = tools
        self._request = request
        self._coverage = coverage
        self._rules = rules
        self._repeats_by_shard: dict[int, int] = {}

    def judge(self, replies: int, open_states: Collection[ShardState]) -> Prospect:
        """Return the prospect of a gather with some replies, as one shard asks for a repeat."""
        now = self._tools.clock.now()
        shares = self._tools.try_shares
        failing, sound = shares.answered(of_failing=True), shares.answered(of_failing=False)
        needed = self._coverage.least_replies() - replies
        with_repeat, without = [], []
        for state in open_states:
            chance = 0.0
            if state.attempts:
                is_failing = state.attempts[-1].replica.is_reported_failing(now)
                chance = failing if is_failing else sound
            without.append(chance)
            failure = 1.0 - chance
            others = self._rules.untried_replicas(state)[: self._repeats(state)]
            for replica in others:
                failure *= 1.0 - (failing if replica.is_reported_failing(now) else sound)
            with_repeat.append(1.0 - failure)
        chance_with = reach_chance(needed, with_repeat)
        chance_without = reach_chance(needed, without)
        if self._coverage.services == 1:  # no other shard of the request could use the repeat
            return Prospect(RepeatNeed.DECISIVE, chance_with, chance_without)
        return Prospect(repeat_need(chance_with, chance_without), chance_with, chance_without)

    def judge_late(
        self,
        replies: int,
        open_states: Collection[ShardState],
        asking: ShardState,
        hedge_delay: Millis | None,
        awaited_since: Callable[[Attempt], Millis],
    ) -> Prospect | None:
        """Return the prospect after the latency target if other shards suffice, else None.

        Those count that have an attempt which is not to be hedged itself.
        """
        now = self._tools.clock.now()
        if now < self._request.answer_by:
            return None
        late_before = -math.inf if hedge_delay is None else now - hedge_delay
        expected = sum(
            state is not asking
            and bool(state.attempts)
            and awaited_since(state.attempts[-1]) >= late_before
            for state in open_states
        )
        if not self._coverage.is_enough(replies + expected):
            return None
        return Prospect(RepeatNeed.SURPLUS, 1.0, 1.0)

    def _repeats(self, state: ShardState) -> int:
        """Return how often a shard may be repeated, by its budget as the gather first asked."""
        sent = max(0, state.tries - 1)
        if state.number not in self._repeats_by_shard:
            left = max(0, int(self._rules.repeats_left(state)))
            self._repeats_by_shard[state.number] = left + sent
        return max(0, self._repeats_by_shard[state.number] - sent)
