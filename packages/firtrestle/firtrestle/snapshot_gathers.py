"""Gather the rows of one query over the shards of a pinned snapshot."""

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
from firtrestle.queries import Gathered, MissingShard, Query
from firtrestle.snapshots import ReplicaId, Snapshot

RETRY_PAUSE = Millis(30)
SUSPECT_PAUSE = Millis(100)  # for all daemons to hear of a suspect before it is tried again
VERY_LATE = 2.0  # times the hedge delay, from which a hedge may use what is left for retries
LOSER_SHARE = 0.99  # of the hedge delay, as a loser's time: rounding must not let it creep up
QUIET_QUEUE = 2  # sub-requests that wait at a target, up to which it takes hedges
LONGEST_PAUSE = Millis(300)
MAX_TRIES_PER_SHARD = 30
LATENCY_SHARE = 0.5  # of the time, after which an entry that weighs latency stops waiting
SAME_REPLICA_AGAIN = frozenset(
    {SubOutcome.UNREACHABLE, SubOutcome.NOT_HOLDER, SubOutcome.HOLDER_LOST}
)
FINAL = frozenset({SubOutcome.DEADLINE, SubOutcome.CANCELLED})


class SnapshotGather(Gather):
    """Run one scatter of one query over one snapshot."""

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
        self._result = Gathered(snapshot)
        self._latencies: list[Millis] = []
        self._given_up: list[Millis] = []
        self._ended: SnapshotGone | Quarantined | None = None
        self._may_move = True

    async def run(self, may_move: bool = True) -> Gathered | SnapshotGone | Quarantined:
        """Return what was gathered by the deadline; `may_move` allows SnapshotGone."""
        self._may_move = may_move
        shards = range(len(self._snapshot.documents_by_shard))
        self._budget.earn(len(shards))
        await self._gather(shards)
        signals.sub_requests_sent.send(self._query.entry.name, count=self._result.sent)
        self._tools.hedger.learn(self._snapshot.collection, self._latencies + self._given_up)
        if self._ended is not None:
            return self._ended
        self._waiting_shards.clear()
        for shard, state in list(self._open_by_shard.items()):
            self._miss(shard, SubOutcome.DEADLINE if state.attempts else state.last_failure)
        return self._result

    def _send_first(self) -> None:
        """Send to each shard, or to a canary alone for a query without history."""
        shards = list(self._open_by_shard)
        canaries = self._tools.quarantines.canaries_for(self._query)
        if canaries and len(shards) > canaries:
            self._tools.rng.shuffle(shards)
            self._waiting_shards.extend(shards[canaries:])
            shards = shards[:canaries]
        for shard in shards:
            self._send_or_miss(shard)

    def _release_waiting(self) -> None:
        while self._waiting_shards:
            shard = self._waiting_shards.popleft()
            self._send_or_miss(shard, repeat=self._open_by_shard[shard].tries > 0)

    def _replace_canary(self) -> None:
        """Go on after a canary failed: with one more if a target died, else with all."""
        if not self._is_suspect():
            self._release_waiting()
        elif self._waiting_shards:
            self._send_later(self._waiting_shards.popleft(), SUSPECT_PAUSE)

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
            budget_ms=max(0.0, query.give_up_at - self._tools.clock.now()),
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

    def _accept(
        self, state: ShardState, attempt: Attempt, reply: SubReply, latency: Millis
    ) -> None:
        """Merge a shard's rows once, and cancel its other attempts."""
        for loser in state.attempts:
            lost = Millis(self._tools.clock.now() - loser.sent_at)
            loser.replica.note_slow(lost)
            self._given_up.append(min(lost, Millis(state.hedge_delay * LOSER_SHARE)))
            loser.cancel()
        self._latencies.append(latency)
        for row in reply.rows:
            if self._result.rows_by_id.setdefault(str(row.get("id")), row) is not row:
                self._result.doubled_rows += 1
        documents = self._snapshot.documents_by_shard[state.number]
        covered = min(documents, reply.documents)
        self._result.covered_by_shard[state.number] = covered
        if covered < documents or reply.truncated:
            missing = MissingShard(state.number, documents - covered, "truncated")
            self._result.missing_by_shard[state.number] = missing
        self._tools.quarantines.clear(self._query)
        self._release_waiting()

    def _fail(
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
        if outcome is SubOutcome.DIED and self._died(attempt):
            return
        if state.attempts:
            return
        state.last_failure = outcome
        if outcome in FINAL or state.tries >= MAX_TRIES_PER_SHARD:
            self._miss(state.number, outcome)
            return
        if outcome is SubOutcome.DIED and self._is_suspect():
            self._retry_suspect(state)
            return
        may_retry = self._may_retry(state, reply, outcome)
        if may_retry and self._send_next(state.number):
            return
        if outcome is SubOutcome.SNAPSHOT_GONE and self._may_move:
            self._ended = SnapshotGone(self._snapshot.version, self._result.sent)
        elif may_retry and outcome in SAME_REPLICA_AGAIN:
            self._reach_later(state)
        elif self._may_come_back(state, reply, outcome):
            state.came_back = True
            self._send_later(state.number, Millis(reply.retry_after_ms))
        else:
            self._miss(state.number, outcome)

    def _may_come_back(self, state: ShardState, reply: SubReply, outcome: SubOutcome) -> bool:
        """Say whether to try a shed shard once more when its target asks to, as time allows."""
        if outcome is not SubOutcome.SHED or not reply.retry_after_ms or state.came_back:
            return False
        back_at = self._tools.clock.now() + reply.retry_after_ms
        return self._query.entry.weighs is Weighing.COVERAGE and back_at < self._query.give_up_at

    def _died(self, attempt: Attempt) -> bool:
        """Count a target's death against the query; return whether it is held off now."""
        target_id = attempt.replica.id.target_id
        quarantines = self._tools.quarantines
        if self._result.covered_by_shard:
            return False
        if quarantines.note_death(self._query, target_id):
            self._ended = Quarantined(self._result.sent)
            return True
        return False

    def _reach_later(self, state: ShardState) -> None:
        """Try a shard again after a pause; where shards wait for it, one of them takes its turn."""
        pause = Millis(min(RETRY_PAUSE * state.tries, LONGEST_PAUSE))
        self._waiting_shards.append(state.number)
        if len(self._waiting_shards) > 1:
            pause = RETRY_PAUSE
        self._send_later(self._waiting_shards.popleft(), pause)

    def _may_retry(self, state: ShardState, reply: SubReply, outcome: SubOutcome) -> bool:
        """Say whether another try is free, or paid from the budget."""
        if not reply.sent or outcome is SubOutcome.DRAINING:
            return True
        if outcome is SubOutcome.HOLDER_LOST and not state.lost_holder:
            state.lost_holder = True  # at most what was in flight there has reached a target
            return True
        return self._budget.spend_on_retry()

    def _is_suspect(self) -> bool:
        return self._tools.quarantines.is_suspect(self._query.fingerprint)

    def _retry_suspect(self, state: ShardState) -> None:
        """Try a suspect on one more target, alone and once all daemons know of it."""
        if self._budget.spend_on_retry():
            self._send_later(state.number, SUSPECT_PAUSE)
        else:
            self._miss(state.number, SubOutcome.DIED)

    def _replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        return self._snapshot.replicas_by_shard.get(shard, ())

    def _next_number(self) -> int:
        return next(self._numbers)

    def _start(self, attempt: Attempt) -> Cancellable:
        self._result.sent += 1
        return self._tools.holders.start(self._sub_request(attempt), self._delivery(attempt))

    def _note_miss(self, shard: int, reason: SubOutcome) -> None:
        documents = self._snapshot.documents_by_shard[shard]
        self._result.missing_by_shard[shard] = MissingShard(shard, documents, reason)
        if not self._open_by_shard.keys() - set(self._waiting_shards):
            self._replace_canary()

    def _is_over(self) -> bool:
        return self._ended is not None or self._is_hopeless()

    def _is_hopeless(self) -> bool:
        """Say whether the least coverage can't be reached any more."""
        total = self._snapshot.total_documents
        lost = sum(one.documents for one in self._result.missing_by_shard.values())
        return total > 0 and (total - lost) / total < self._query.entry.least_coverage

    def _stop_at(self) -> Millis:
        """Return when to stop waiting for replies."""
        query = self._query
        if query.entry.weighs is Weighing.LATENCY and self._reached_least_coverage():
            allowed = (query.give_up_at - self._started_at) * LATENCY_SHARE
            return Millis(self._started_at + allowed)
        return query.give_up_at

    def _reached_least_coverage(self) -> bool:
        return self._result.coverage >= max(self._query.entry.least_coverage, 0.01)

    def _hedge_delay(self) -> Millis | None:
        shards = len(self._snapshot.documents_by_shard) - len(self._waiting_shards)
        if len(self._latencies) < (shards - 1) * self._tools.hedger.least_answered:
            return None
        middle = Millis(median(self._latencies)) if self._latencies else Millis(0)
        progress = Progress(self._snapshot.collection, shards, len(self._latencies), middle)
        delay = self._tools.hedger.delay(progress)
        return None if delay is None else Millis(delay * self._budget.scarcity())

    def _hedge(self, state: ShardState, delay: Millis) -> bool:
        """Hedge a shard, if a target has room for it and the budget allows; return whether."""
        if self._is_suspect() or not self._has_quiet_replica(state):
            return False
        waited = self._tools.clock.now() - state.attempts[-1].sent_at
        is_very_late = waited >= VERY_LATE * delay
        paid = self._budget.spend_on_retry() if is_very_late else self._budget.spend_on_hedge()
        if not paid:
            return False
        state.hedges += 1
        state.hedge_delay = delay
        self._send_next(state.number, repeat=True)
        self._tools.events.add(EventKind.SUB_HEDGED, self._query.request_id, shard=state.number)
        return True

    def _has_quiet_replica(self, state: ShardState) -> bool:
        """Say whether a target with a short queue, at first one not yet tried, holds the shard."""
        now = self._tools.clock.now()
        ids = self._snapshot.replicas_by_shard.get(state.number, ())
        others = list(ids)
        if not state.hedges:
            others = self._elsewhere(state, [one for one in ids if one not in state.tried])
        return any(self._tools.replicas.get(one).queue(now) <= QUIET_QUEUE for one in others)
