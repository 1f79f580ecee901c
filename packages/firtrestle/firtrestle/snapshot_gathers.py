"""Send one query to the shards of a pinned snapshot and merge their rows."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Sequence
from statistics import median

from firtrestle import signals
from firtrestle.attempts import Attempt, Quarantined, ShardState, SnapshotGone
from firtrestle.catalogues import Weighing
from firtrestle.clocks import Millis
from firtrestle.events import EventKind
from firtrestle.gather_tools import GatherTools
from firtrestle.gathers import Gather
from firtrestle.hedgers import Progress
from firtrestle.messages import SubReply, SubRequest
from firtrestle.outcomes import SubOutcome
from firtrestle.peers import Cancellable
from firtrestle.queries import GatherResult, MissingShard, Query
from firtrestle.snapshots import ReplicaId, Snapshot

RETRY_PAUSE = Millis(30)
SUSPECT_RETRY_PAUSE = Millis(100)  # lets gossip tell all daemons of a suspect before its retry
VERY_LATE_RATIO = 2.0  # multiple of the hedge delay; later hedges may use the retry reserve
# Share of the hedge delay that bounds the latency recorded for a cancelled attempt. At 1, rounding
# would raise the hedge delay a little with each hedge.
LOSER_LATENCY_SHARE = 0.99
MAX_QUEUE_FOR_HEDGE = 2  # targets with more waiting sub-requests get no hedges
MAX_RETRY_PAUSE = Millis(300)
MAX_TRIES_PER_SHARD = 30
LATENCY_WAIT_SHARE = 0.5  # share of the timeout for which entries that favour latency wait
RETRYABLE_ON_TRIED_REPLICA = frozenset(
    {SubOutcome.UNREACHABLE, SubOutcome.NOT_HOLDER, SubOutcome.HOLDER_LOST}
)
FINAL_OUTCOMES = frozenset({SubOutcome.DEADLINE, SubOutcome.CANCELLED})


class SnapshotGather(Gather):
    """Run one query over the shards of one snapshot."""

    def __init__(
        self, tools: GatherTools, query: Query, snapshot: Snapshot, numbers: itertools.count
    ) -> None:
        super().__init__(tools)
        self._waiting_shards: deque[int] = deque()
        self._tools: GatherTools = tools
        self._query = query
        self._snapshot = snapshot
        self._numbers = numbers
        self._budget = tools.budget(query.entry.name, query.entry.extra_load)
        self._result = GatherResult(snapshot)
        self._latencies: list[Millis] = []
        self._loser_latencies: list[Millis] = []
        self._early_end: SnapshotGone | Quarantined | None = None
        self._may_change_version = True

    async def run(
        self, may_change_version: bool = True
    ) -> GatherResult | SnapshotGone | Quarantined:
        """Return what was gathered by the deadline.

        `may_change_version` allows SnapshotGone; the caller then restarts on a newer version.
        """
        self._may_change_version = may_change_version
        shards = range(len(self._snapshot.documents_by_shard))
        self._budget.earn(len(shards))
        await self._gather(shards)
        signals.sub_requests_sent.send(self._query.entry.name, count=self._result.sent)
        self._tools.hedger.learn(self._snapshot.collection, self._latencies + self._loser_latencies)
        if self._early_end is not None:
            return self._early_end
        self._waiting_shards.clear()
        for shard, state in list(self._open_by_shard.items()):
            self._give_up_shard(
                shard, SubOutcome.DEADLINE if state.attempts else state.last_failure
            )
        return self._result

    def _send_first(self) -> None:
        """Send to each shard, or for a query without history to its canaries only."""
        shards = list(self._open_by_shard)
        canaries = self._tools.quarantines.canaries_for(self._query)
        if canaries and len(shards) > canaries:
            self._tools.rng.shuffle(shards)
            self._waiting_shards.extend(shards[canaries:])
            shards = shards[:canaries]
        for shard in shards:
            self._send_or_give_up(shard)

    def _send_waiting(self) -> None:
        while self._waiting_shards:
            shard = self._waiting_shards.popleft()
            self._send_or_give_up(shard, repeat=self._open_by_shard[shard].tries > 0)

    def _continue_after_canary(self) -> None:
        """Go on after the canaries failed: with one more if a target died, else with all shards."""
        if not self._is_suspect():
            self._send_waiting()
        elif self._waiting_shards:
            self._schedule_resend(self._waiting_shards.popleft(), SUSPECT_RETRY_PAUSE)

    def _sub_request(self, attempt: Attempt) -> SubRequest:
        query = self._query
        return SubRequest(
            request_id=query.request_id,
            attempt=attempt.number,
            target_id=attempt.replica.id.target_id,
            searcher=attempt.replica.id.searcher,
            collection=self._snapshot.collection,
            version=self._snapshot.version,
            shard=attempt.shard,
            kind="search",
            query=query.body,
            budget_ms=max(0.0, query.deadline - self._tools.clock.now()),
            urgent=query.urgent,
            fingerprint=query.fingerprint,
            suspect=self._is_suspect(),
        )

    def _checked_outcome(self, attempt: Attempt, reply: SubReply) -> SubOutcome:
        outcome = SubOutcome(reply.outcome)
        if outcome is not SubOutcome.OK:
            return outcome
        sent = (self._query.request_id, attempt.number, attempt.shard, self._snapshot.version)
        if sent != (reply.request_id, reply.attempt, reply.shard, reply.version):
            return SubOutcome.BAD_REPLY
        return SubOutcome.OK

    def _handle_success(
        self, state: ShardState, attempt: Attempt, reply: SubReply, latency: Millis
    ) -> None:
        """Merge a shard's rows, and cancel its other attempts."""
        for loser in state.attempts:
            waited = Millis(self._tools.clock.now() - loser.sent_at)
            loser.replica.record_min_latency(waited)
            self._loser_latencies.append(
                min(waited, Millis(state.hedge_delay * LOSER_LATENCY_SHARE))
            )
            loser.cancel()
        self._latencies.append(latency)
        for row in reply.rows:
            if self._result.rows_by_id.setdefault(str(row.get("id")), row) is not row:
                self._result.duplicate_rows += 1
        documents = self._snapshot.documents_by_shard[state.number]
        covered = min(documents, reply.documents)
        self._result.covered_by_shard[state.number] = covered
        if covered < documents or reply.truncated:
            missing = MissingShard(state.number, documents - covered, "truncated")
            self._result.missing_by_shard[state.number] = missing
        self._tools.quarantines.clear(self._query)
        self._send_waiting()

    def _handle_failure(
        self, state: ShardState, attempt: Attempt, reply: SubReply, outcome: SubOutcome
    ) -> None:
        self._tools.events.add(
            EventKind.SUB_FAILED,
            self._query.request_id,
            shard=state.number,
            target=attempt.replica.id.target_id,
            outcome=str(outcome),
            reason=reply.reason,
            reached=reply.sent,
        )
        if outcome is SubOutcome.DIED and self._record_death(attempt):
            return
        if state.attempts:
            return
        state.last_failure = outcome
        if outcome in FINAL_OUTCOMES or state.tries >= MAX_TRIES_PER_SHARD:
            self._give_up_shard(state.number, outcome)
            return
        if outcome is SubOutcome.DIED and self._is_suspect():
            self._retry_suspect(state)
            return
        may_retry = self._may_retry(state, reply, outcome)
        if may_retry and self._send_next(state.number):
            return
        if outcome is SubOutcome.SNAPSHOT_GONE and self._may_change_version:
            self._early_end = SnapshotGone(self._snapshot.version, self._result.sent)
        elif may_retry and outcome in RETRYABLE_ON_TRIED_REPLICA:
            self._retry_unreached_later(state)
        elif self._may_retry_shed(state, reply, outcome):
            state.retried_after_shed = True
            self._schedule_resend(state.number, Millis(reply.retry_after_ms))
        else:
            self._give_up_shard(state.number, outcome)

    def _may_retry_shed(self, state: ShardState, reply: SubReply, outcome: SubOutcome) -> bool:
        """Return whether a shed shard is retried after the target's retry-after, once per shard."""
        if outcome is not SubOutcome.SHED or not reply.retry_after_ms or state.retried_after_shed:
            return False
        retry_at = self._tools.clock.now() + reply.retry_after_ms
        return self._query.entry.weighs is Weighing.COVERAGE and retry_at < self._query.deadline

    def _record_death(self, attempt: Attempt) -> bool:
        """Count a target's crash against the query; return whether that quarantined it."""
        target_id = attempt.replica.id.target_id
        quarantines = self._tools.quarantines
        if self._result.covered_by_shard:
            return False
        if quarantines.record_crash(self._query, target_id):
            self._early_end = Quarantined(self._result.sent)
            return True
        return False

    def _retry_unreached_later(self, state: ShardState) -> None:
        """Schedule a retry after a pause, for any replica including tried ones.

        If other shards wait for a canary, the first of them is sent in this one's place.
        """
        pause = Millis(min(RETRY_PAUSE * state.tries, MAX_RETRY_PAUSE))
        self._waiting_shards.append(state.number)
        if len(self._waiting_shards) > 1:
            pause = RETRY_PAUSE
        self._schedule_resend(self._waiting_shards.popleft(), pause)

    def _may_retry(self, state: ShardState, reply: SubReply, outcome: SubOutcome) -> bool:
        """Return whether a shard may be retried, and spend a token if the retry costs one."""
        if not reply.sent or outcome is SubOutcome.DRAINING:
            return True
        if outcome is SubOutcome.HOLDER_LOST and not state.used_holder_lost_retry:
            # Free once: at most the sub-requests in flight at that holder reached a target.
            state.used_holder_lost_retry = True
            return True
        return self._budget.spend_on_retry()

    def _is_suspect(self) -> bool:
        return self._tools.quarantines.is_suspect(self._query.fingerprint)

    def _retry_suspect(self, state: ShardState) -> None:
        """Retry a suspect on one target only, once all daemons know of it."""
        if self._budget.spend_on_retry():
            self._schedule_resend(state.number, SUSPECT_RETRY_PAUSE)
        else:
            self._give_up_shard(state.number, SubOutcome.DIED)

    def _replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        return self._snapshot.replicas_by_shard.get(shard, ())

    def _next_attempt_number(self) -> int:
        return next(self._numbers)

    def _start(self, attempt: Attempt) -> Cancellable:
        self._result.sent += 1
        return self._tools.holders.start(
            self._sub_request(attempt), self._delivery_callback(attempt)
        )

    def _record_missing(self, shard: int, reason: SubOutcome) -> None:
        documents = self._snapshot.documents_by_shard[shard]
        self._result.missing_by_shard[shard] = MissingShard(shard, documents, reason)
        if not self._open_by_shard.keys() - set(self._waiting_shards):
            self._continue_after_canary()

    def _should_stop(self) -> bool:
        return self._early_end is not None or self._is_coverage_out_of_reach()

    def _is_coverage_out_of_reach(self) -> bool:
        """Return whether the least coverage is out of reach."""
        total = self._snapshot.total_documents
        missing = sum(shard.documents for shard in self._result.missing_by_shard.values())
        return total > 0 and (total - missing) / total < self._query.entry.least_coverage

    def _stop_at(self) -> Millis:
        """Return the time at which to stop waiting for replies."""
        query = self._query
        if query.entry.weighs is Weighing.LATENCY and self._reached_least_coverage():
            allowed = (query.deadline - self._started_at) * LATENCY_WAIT_SHARE
            return Millis(self._started_at + allowed)
        return query.deadline

    def _reached_least_coverage(self) -> bool:
        return self._result.coverage >= max(self._query.entry.least_coverage, 0.01)

    def _hedge_delay(self) -> Millis | None:
        shards = len(self._snapshot.documents_by_shard) - len(self._waiting_shards)
        if len(self._latencies) < (shards - 1) * self._tools.hedger.min_answered_share:
            return None
        median_reply = Millis(median(self._latencies)) if self._latencies else Millis(0)
        progress = Progress(self._snapshot.collection, shards, len(self._latencies), median_reply)
        delay = self._tools.hedger.delay(progress)
        return None if delay is None else Millis(delay * self._budget.hedge_delay_factor())

    def _try_hedge(self, state: ShardState, delay: Millis) -> bool:
        """Hedge a shard if a target's queue and the budget allow; return whether it was sent."""
        if self._is_suspect() or not self._has_hedge_target(state):
            return False
        waited = self._tools.clock.now() - state.attempts[-1].sent_at
        is_very_late = waited >= VERY_LATE_RATIO * delay
        paid = self._budget.spend_on_retry() if is_very_late else self._budget.spend_on_hedge()
        if not paid:
            return False
        state.hedges += 1
        state.hedge_delay = delay
        self._send_next(state.number, repeat=True)
        self._tools.events.add(EventKind.SUB_HEDGED, self._query.request_id, shard=state.number)
        return True

    def _has_hedge_target(self, state: ShardState) -> bool:
        """Return whether a target with a short queue serves the shard.

        The first hedge needs an untried target, later ones may go to a tried one.
        """
        now = self._tools.clock.now()
        ids = self._snapshot.replicas_by_shard.get(state.number, ())
        candidates = list(ids)
        if not state.hedges:
            candidates = self._on_untried_targets(
                state, [id_ for id_ in ids if id_ not in state.tried_ids]
            )
        return any(
            self._tools.replicas.get(id_).queue(now) <= MAX_QUEUE_FOR_HEDGE for id_ in candidates
        )
