"""Scatter one query over the shards of a snapshot and gather the replies."""

from __future__ import annotations

import itertools
import math
from collections import deque
from functools import partial
from statistics import median

import trio

from firtrestle import signals
from firtrestle.attempts import Attempt, Quarantined, ShardState, SnapshotGone
from firtrestle.catalogues import Weighing
from firtrestle.clocks import Millis, move_on_after
from firtrestle.events import EventKind
from firtrestle.gather_tools import GatherTools
from firtrestle.hedgers import Progress
from firtrestle.messages import SubReply, SubRequest
from firtrestle.outcomes import SubOutcome
from firtrestle.queries import Gathered, MissingShard, Query
from firtrestle.snapshots import ReplicaId, Snapshot

RETRY_PAUSE = Millis(30)
SUSPECT_PAUSE = Millis(100)  # for all daemons to hear of a suspect before it is tried again
VERY_LATE = 2.0  # times the hedge delay, from which a hedge may use what is left for retries
MAX_HEDGES = 2  # of a shard; the second may go to a replica again
LOSER_SHARE = 0.99  # of the hedge delay, as a loser's time: rounding must not let it creep up
QUIET_QUEUE = 2  # sub-requests that wait at a target, up to which it takes hedges
HEDGE_RECHECK = Millis(20)  # after a hedge that was due was not sent
LONGEST_PAUSE = Millis(300)
MAX_TRIES_PER_SHARD = 30
LATENCY_SHARE = 0.5  # of the time, after which an entry that weighs latency stops waiting
SAME_REPLICA_AGAIN = frozenset(
    {SubOutcome.UNREACHABLE, SubOutcome.NOT_HOLDER, SubOutcome.HOLDER_LOST}
)
FINAL = frozenset({SubOutcome.DEADLINE, SubOutcome.CANCELLED})


class Gather:
    """Run one scatter of one query over one snapshot."""

    def __init__(
        self, tools: GatherTools, query: Query, snapshot: Snapshot, numbers: itertools.count
    ) -> None:
        self._tools = tools
        self._query = query
        self._snapshot = snapshot
        self._numbers = numbers
        self._budget = tools.budget(query.entry.name, query.entry.extra_load)
        self._result = Gathered(snapshot)
        self._open_by_shard: dict[int, ShardState] = {}
        self._waiting_shards: deque[int] = deque()
        self._latencies: list[Millis] = []
        self._given_up: list[Millis] = []
        self._no_hedge_before = Millis(0)
        self._started_at = tools.clock.now()
        self._send, self._receive = trio.open_memory_channel(math.inf)
        self._again_at_by_shard: dict[int, Millis] = {}
        self._ended: SnapshotGone | Quarantined | None = None
        self._may_move = True

    async def run(self, may_move: bool = True) -> Gathered | SnapshotGone | Quarantined:
        """Return what was gathered by the deadline; `may_move` allows SnapshotGone."""
        self._may_move = may_move
        shards = range(len(self._snapshot.documents_by_shard))
        self._open_by_shard = {shard: ShardState(shard) for shard in shards}
        self._budget.earn(len(shards))
        try:
            self._send_first()
            while self._open_by_shard and self._ended is None and not self._is_hopeless():
                if self._tools.clock.now() >= self._stop_at():
                    break
                await self._step()
        finally:
            self._cancel_all()
        signals.sub_requests_sent.send(self._query.entry.name, count=self._result.sent)
        self._tools.hedger.learn(self._snapshot.collection, self._latencies + self._given_up)
        if self._ended is not None:
            return self._ended
        self._waiting_shards.clear()
        for shard, state in list(self._open_by_shard.items()):
            self._miss(shard, SubOutcome.DEADLINE if state.attempts else state.last_failure)
        return self._result

    async def _step(self) -> None:
        """Take one reply, or hedge when none came in time."""
        with move_on_after(Millis(self._next_wake() - self._tools.clock.now())):
            attempt, reply = await self._receive.receive()
            self._take(attempt, reply)
            return
        self._send_again()
        self._hedge_late()

    def _cancel_all(self) -> None:
        for state in self._open_by_shard.values():
            for attempt in state.attempts:
                attempt.cancel()

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

    def _send_or_miss(self, shard: int, repeat: bool = False) -> None:
        if not self._send_next(shard, repeat):
            self._miss(shard, SubOutcome.NO_REPLICA)

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

    def _send_next(self, shard: int, repeat: bool = False) -> bool:
        """Send a shard's sub-request to its best untried replica; return whether there is one."""
        state = self._open_by_shard[shard]
        ids = self._snapshot.replicas_by_shard.get(shard, ())
        untried = [one for one in ids if one not in state.tried] or (ids if repeat else [])
        other_targets = self._elsewhere(state, untried)
        replica = self._tools.chooser.choose(
            [self._tools.replicas.get(one) for one in other_targets or untried]
        )
        if replica is None:
            return False
        state.tries += 1
        state.tried.add(replica.id)
        number = next(self._numbers)
        attempt = Attempt(number, shard, replica, self._tools.clock.now())
        state.attempts.append(attempt)
        replica.in_flight += 1
        self._result.sent += 1
        attempt.call = self._tools.holders.start(
            self._sub_request(attempt), partial(self._deliver, attempt)
        )
        return True

    def _deliver(self, attempt: Attempt, reply: SubReply) -> None:
        attempt.uncount()
        self._send.send_nowait((attempt, reply))

    def _elsewhere(self, state: ShardState, ids: list[ReplicaId]) -> list[ReplicaId]:
        targets = {one.target_id for one in state.tried}
        return [one for one in ids if one.target_id not in targets]

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

    def _take(self, attempt: Attempt, reply: SubReply) -> None:
        now = self._tools.clock.now()
        latency = Millis(now - attempt.sent_at)
        outcome = self._checked_outcome(attempt, reply)
        attempt.replica.note(outcome, latency, reply.queue, now)
        state = self._open_by_shard.get(attempt.shard)
        if state is None:
            return
        state.attempts.remove(attempt)
        if outcome is SubOutcome.OK:
            self._accept(state, reply, latency)
        else:
            self._fail(state, attempt, reply, outcome)

    def _checked_outcome(self, attempt: Attempt, reply: SubReply) -> SubOutcome:
        outcome = SubOutcome(reply.outcome)
        if outcome is not SubOutcome.OK:
            return outcome
        sent = (self._query.request_id, attempt.number, attempt.shard, self._snapshot.version)
        if sent != (reply.request_id, reply.attempt, reply.shard, reply.version):
            return SubOutcome.BAD_REPLY
        return SubOutcome.OK

    def _accept(self, state: ShardState, reply: SubReply, latency: Millis) -> None:
        """Merge a shard's rows once, and cancel its other attempts."""
        del self._open_by_shard[state.number]
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

    def _send_later(self, shard: int, pause: Millis) -> None:
        self._again_at_by_shard[shard] = Millis(self._tools.clock.now() + pause)

    def _send_again(self) -> None:
        """Try the replicas again of each shard whose pause is over."""
        now = self._tools.clock.now()
        for shard in [s for s, at in self._again_at_by_shard.items() if now >= at]:
            del self._again_at_by_shard[shard]
            state = self._open_by_shard.get(shard)
            waits = state is not None and not state.attempts
            if waits and not self._send_next(shard, repeat=True):
                self._miss(shard, SubOutcome.NO_REPLICA)

    def _miss(self, shard: int, reason: SubOutcome) -> None:
        self._open_by_shard.pop(shard, None)
        documents = self._snapshot.documents_by_shard[shard]
        self._result.missing_by_shard[shard] = MissingShard(shard, documents, reason)
        if not self._open_by_shard.keys() - set(self._waiting_shards):
            self._replace_canary()

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

    def _next_wake(self) -> Millis:
        stop_at = min([self._stop_at(), *self._again_at_by_shard.values()])
        delay = self._hedge_delay()
        if delay is None:
            return stop_at
        candidates = [s.attempts[-1].sent_at for s in self._hedgeable()]
        due = min(candidates, default=stop_at) + delay
        return Millis(min(stop_at, max(due, self._no_hedge_before)))

    def _hedge_delay(self) -> Millis | None:
        shards = len(self._snapshot.documents_by_shard) - len(self._waiting_shards)
        if len(self._latencies) < (shards - 1) * self._tools.hedger.least_answered:
            return None
        middle = Millis(median(self._latencies)) if self._latencies else Millis(0)
        progress = Progress(self._snapshot.collection, shards, len(self._latencies), middle)
        delay = self._tools.hedger.delay(progress)
        return None if delay is None else Millis(delay * self._budget.scarcity())

    def _hedgeable(self) -> list[ShardState]:
        return [s for s in self._open_by_shard.values() if s.attempts and s.hedges < MAX_HEDGES]

    def _hedge_late(self) -> None:
        """Send a second sub-request for each shard past the hedge delay, within the budget."""
        delay = self._hedge_delay()
        if delay is None:
            return
        now = self._tools.clock.now()
        for state in self._hedgeable():
            is_due = now >= state.attempts[-1].sent_at + delay  # as in _next_wake, to the last bit
            if is_due and not self._hedge(state, delay):
                self._no_hedge_before = Millis(now + HEDGE_RECHECK)

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
