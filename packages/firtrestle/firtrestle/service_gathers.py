"""Send one routed request to the services of its route and merge their replies."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Sequence

from firtrestle.answers import MIN_PART_BOUND, Answer, Parts, max_part_bytes, merge
from firtrestle.attempts import Attempt, ShardState
from firtrestle.clocks import Millis
from firtrestle.coverages import Coverage
from firtrestle.early_ends import EarlyEnds
from firtrestle.errors import Refused
from firtrestle.gather_prospects import GatherProspects
from firtrestle.gather_refusals import failure_answer, gather_refusal, time_to_return
from firtrestle.gathers import Gather
from firtrestle.hedge_delays import HedgeDelays
from firtrestle.http_clients import MAX_REPLY_BYTES
from firtrestle.instance_calls import InstanceCall
from firtrestle.instance_replies import InstanceReply
from firtrestle.outcomes import SubOutcome
from firtrestle.peers import Cancellable
from firtrestle.relay_messages import RelayTerms
from firtrestle.repeat_reserves import Prospect
from firtrestle.replicas import Replica
from firtrestle.reply_records import ReplyRecords
from firtrestle.routed_requests import AttemptSummary, RoutedRequest
from firtrestle.send_rules import SendRules
from firtrestle.service_tools import ServiceTools
from firtrestle.snapshots import ReplicaId

MAX_CANARIES = 3  # shards sent one after the other while no instance has answered


class ServiceGather(Gather):
    """Run one request over its services, each of which is one shard of the gather."""

    def __init__(
        self,
        tools: ServiceTools,
        request: RoutedRequest,
        services: tuple[str, ...],
        relay_terms: RelayTerms | None = None,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        """Prepare a request of this daemon's caller, or of a peer's on the terms of its relay."""
        super().__init__(tools)
        self._tools: ServiceTools = tools
        self._request = request
        self._route = request.route
        self._services = services
        self._parts = Parts(services)
        self._numbers = itertools.count(1)
        self.latencies: list[Millis] = []
        self._call_by_attempt: dict[int, InstanceCall] = {}
        self.attempt_summary = AttemptSummary()
        # All replies of a gather together fit into the memory for replies.
        memory_share = max(MIN_PART_BOUND, tools.reply_memory_bytes // len(services))
        bound = min(max_reply_bytes, max_part_bytes(self._route.merge))
        self._max_reply_bytes = min(memory_share, bound)
        terms = relay_terms or RelayTerms(services)
        self._is_counted = terms.is_counted
        self._rules = SendRules(tools, request, services, terms.tried_by_service)
        self._records = ReplyRecords(tools, request)
        self._coverage = Coverage(len(services), request.route.least_coverage)
        self._hedge_delays = HedgeDelays(tools.hedger, request.route, len(services))
        self._prospects = GatherProspects(tools, request, self._coverage, self._rules)
        self._ends = EarlyEnds(tools, request, self._coverage, self._rules)
        self._is_hopeless = False  # as too few shards can still get a reply
        self._tried_by_service: dict[str, int] = {}  # may have run; of services given up here
        self._reached_by_service: dict[str, int] = {}
        self._pause_by_service: dict[str, Millis] = {}  # those given up as all instances pause
        # A suspected request is sent to one shard, and once, until an instance has answered it.
        crashes = tools.crashes
        self._is_suspect = not crashes.is_empty and crashes.is_suspect(request.fingerprint)
        self._is_given_up = False  # as it broke off again when it was sent to one shard alone
        self._held_back: deque[tuple[int, InstanceReply | None]] = deque()
        self._canaries: set[int] = set()  # shards that were sent alone

    async def run(self) -> Answer | Refused:
        """Return the merged answer, or a refusal that says whether the request may have run."""
        await self.collect()
        if self._parts.reply_by_service and self._has_least_coverage():
            return merge(self._route.merge, self._parts)
        return failure_answer(len(self._services), self.attempt_summary) or self._refusal()

    async def collect(self) -> None:
        """Get the services' replies."""
        self._count()
        await self._gather(range(len(self._services)))
        self._tools.hedger.learn(self._route.name, self.latencies)
        replies = len(self._parts.reply_by_service)
        self._ends.record(replies, self._open_by_shard.values(), self.attempt_summary)
        for shard, state in list(self._open_by_shard.items()):
            self._record_overdue(state)
            reason = SubOutcome.DEADLINE if state.attempts else state.last_failure
            self._give_up_shard(shard, reason)

    def _count(self) -> None:
        """Credit the services' repeat budgets with the request, once over all daemons."""
        if not self._is_counted:
            self._is_counted = True
            for service in self._services:
                self._tools.budgets.for_service(service).earn()

    @property
    def reply_by_service(self) -> dict[str, InstanceReply]:
        """Return the replies collected so far."""
        return self._parts.reply_by_service

    @property
    def is_repeatable(self) -> bool:
        """Return whether the route allows the request to run more than once."""
        return self._route.repeatable

    @property
    def connections_opened(self) -> int:
        """Return how many of the attempts had to open a connection."""
        return sum(call.opened_connection for call in self._call_by_attempt.values())

    def _refusal(self) -> Refused:
        is_past_deadline = self._tools.clock.now() >= self._request.deadline
        return gather_refusal(self.attempt_summary, is_past_deadline, self.time_to_return())

    def time_to_return(self) -> Millis | None:
        """Return when the caller may find usable instances, None if no instance's pause says so."""
        pauses = self._pause_by_service.values()
        return time_to_return(self._coverage, pauses, self._tools.rng)

    def _send_first(self) -> None:
        """Send to each shard, unless those without a usable instance are too many for an answer.

        Nothing is sent then, so that the refusal may state that the request has not run.
        """
        for shard in list(self._open_by_shard):
            service = self._services[shard]
            if not (self._tools.availability.is_usable(service) and self._rules.may_reach(shard)):
                self._give_up_shard(shard, SubOutcome.NO_REPLICA)
        if self._should_stop():
            return
        if self._is_suspect and len(self._services) > 1:
            self._held_back.extend((shard, None) for shard in self._open_by_shard)
            self._send_canary()
        else:
            super()._send_first()

    def _send_canary(self) -> None:
        """Send one of the shards held back; give all up if several were sent to no avail."""
        while self._held_back and len(self._canaries) < MAX_CANARIES:
            shard, reply = self._held_back.popleft()
            self._canaries.add(shard)
            if self._send_held_back(shard, reply):
                return
        self._give_up_held_back()

    def _send_held_back(self, shard: int, reply: InstanceReply | None) -> bool:
        """Send a shard that was held back, after its failure if there was one."""
        state = self._open_by_shard[shard]
        if (reply is None or self._may_retry(state, reply)) and self._send_next(shard):
            return True
        self._give_up_unsent(shard, reply)
        return False

    def _release_held_back(self) -> None:
        """Send the shards held back, as an instance has answered the request."""
        while self._held_back:
            self._send_held_back(*self._held_back.popleft())

    def _give_up_held_back(self) -> None:
        while self._held_back:
            self._give_up_unsent(*self._held_back.popleft())

    def _give_up_unsent(self, shard: int, reply: InstanceReply | None) -> None:
        self._give_up_shard(shard, SubOutcome.NO_REPLICA if reply is None else reply.outcome)

    def _replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        state = self._open_by_shard.get(shard)
        return self._rules.replica_ids(shard) if state is None else self._rules.candidate_ids(state)

    def _next_attempt_number(self) -> int:
        return next(self._numbers)

    def _start(self, attempt: Attempt) -> Cancellable:
        self.attempt_summary.sent += 1
        call = InstanceCall(
            self._request.message,
            self._request.deadline,
            self._delivery_callback(attempt),
            fresh=not self._route.repeatable,
            max_reply_bytes=self._max_reply_bytes,
        )
        self._call_by_attempt[attempt.number] = call
        limit = self._request.table.connection_limit(self._services[attempt.shard])
        taken = self._tools.availability.take(attempt.replica.id, limit)
        if taken is None:
            call.finish(InstanceReply(SubOutcome.UNREACHABLE, reason="the instance is gone"))
            return call
        instance, connections = taken
        return self._tools.pools.start(instance, call, connections)

    def _checked_outcome(self, attempt: Attempt, reply: InstanceReply) -> SubOutcome:
        if not reply.may_have_run:
            self.attempt_summary.not_run_count += 1
        self._records.record_reply(attempt, reply, self._awaited_since(attempt))
        return reply.outcome

    def _handle_success(
        self, state: ShardState, attempt: Attempt, reply: InstanceReply, latency: Millis
    ) -> None:
        """Keep a service's reply, and cancel its other attempts."""
        now = self._tools.clock.now()
        self._records.record_success()
        if not self._tools.slow_reports.is_empty:
            self._records.record_reply_time(attempt.replica.id, latency, self._hedge_delay())
        for loser in state.attempts:
            waited = Millis(now - self._awaited_since(loser))
            self.latencies.append(waited)
            if waited > latency:  # a hedge that was beaten by an earlier attempt lost no race
                self._records.record_lost_race(loser, waited)
            loser.cancel()
        self.latencies.append(latency)
        self._ends.reply_times.append(latency)
        self._parts.reply_by_service[self._services[state.number]] = reply
        self._release_held_back()

    def _has_capacity(self, replica: Replica) -> bool:
        return self._rules.has_capacity(replica)

    def _record_overdue(self, state: ShardState) -> None:
        """Record what a shard's attempts tell that are still open at the end."""
        now, has_read_all = self._tools.clock.now(), self._has_read_all_replies()
        for attempt in state.attempts:
            waited = Millis(now - self._awaited_since(attempt))
            self._records.record_unfinished(attempt, waited, has_read_all)

    def _handle_failure(
        self, state: ShardState, attempt: Attempt, reply: InstanceReply, outcome: SubOutcome
    ) -> None:
        self._records.log_failure(self._services[state.number], attempt, reply, outcome)
        state.last_failure = outcome
        if outcome is SubOutcome.MISDIRECTED:
            self._tools.instances.bar(attempt.replica.id)
        if reply.reached:
            state.unexecuted += not reply.may_have_run
        else:
            state.unreached += 1
        if reply.reached and outcome is SubOutcome.DIED and not self._parts.reply_by_service:
            is_repeat = state.number in self._canaries or state.runs > 1
            self._records.record_broken_reply(attempt, reply, is_repeat)
        if reply.stamp and outcome is SubOutcome.REFUSED:
            self.attempt_summary.last_failure = reply
        if state.attempts:
            return
        if outcome is SubOutcome.DIED and self._may_be_at_fault():
            self._hold_back(state, reply)
        elif not (self._may_retry(state, reply) and self._send_next(state.number)):
            self._give_up_shard(state.number, outcome)
        if self._held_back and not any(state.attempts for state in self._open_by_shard.values()):
            self._send_canary()

    def _may_be_at_fault(self) -> bool:
        """Return whether the request itself may break off its replies, of which it has none."""
        return len(self._services) > 1 and not self._parts.reply_by_service

    def _hold_back(self, state: ShardState, reply: InstanceReply) -> None:
        """Retry a shard once another one has replied; give all up if it was sent alone."""
        if state.number in self._canaries:
            self._is_given_up = True
            self._give_up_shard(state.number, reply.outcome)
            self._give_up_held_back()
        else:
            self._held_back.append((state.number, reply))

    def _cancel_all(self) -> None:
        """Cancel the open attempts; without any reply, their instances may yet crash by them."""
        attempts = [a for state in self._open_by_shard.values() for a in state.attempts]
        written = [a for a in attempts if self._call_by_attempt[a.number].sent_at is not None]
        if not self._parts.reply_by_service:
            self._records.record_unanswered(attempt.replica.id for attempt in written)
        super()._cancel_all()
        self.attempt_summary.not_run_count += len(attempts) - len(written)

    def _give_up_shard(self, shard: int, reason: SubOutcome) -> None:
        state = self._open_by_shard.get(shard)
        if state is not None:
            self._tried_by_service[self._services[shard]] = state.runs
            self._reached_by_service[self._services[shard]] = state.reached
        super()._give_up_shard(shard, reason)

    def _may_retry(self, state: ShardState, reply: InstanceReply) -> bool:
        if reply.reached and self._is_surplus(state):
            return False
        if not self._rules.may_retry(state, reply, self._is_unproved(), self._judge):
            return False
        if reply.reached and not reply.may_have_run:
            self._tools.counts.sheds_repeated += 1
        return True

    def _judge(self, state: ShardState) -> Prospect:
        """Return what a repeat of a shard can do for this gather."""
        expected = len(self._parts.reply_by_service) + self._services_elsewhere()
        return self._prospects.judge(expected, self._open_by_shard.values())

    def _is_surplus(self, state: ShardState, is_hedge: bool = False) -> bool:
        """Return whether a repeat after the latency target is for a shard that isn't needed."""
        prospect = self._prospects.judge_late(
            len(self._parts.reply_by_service) + self._services_elsewhere(),
            self._open_by_shard.values(),
            state,
            self._hedge_delay(),
            self._awaited_since,
        )
        if prospect is not None:
            self._rules.record_withheld(state, prospect, is_hedge, 0.0)
        return prospect is not None

    def _is_unproved(self) -> bool:
        """Return whether the request is suspected, and no instance has answered it."""
        return self._is_suspect and not self._parts.reply_by_service

    def _record_missing(self, shard: int, reason: SubOutcome) -> None:
        service = self._services[shard]
        request_id = self._request.message.request_id
        pause = self._tools.availability.unsent_pause(service, reason, request_id)
        if pause:
            self._pause_by_service[service] = pause
            reason = SubOutcome.SHED
        self.attempt_summary.reason_by_service[service] = reason

    def _should_stop(self) -> bool:
        """Return whether the least coverage is out of reach, also with the help of a peer."""
        if self._is_hopeless:
            return True
        reasons = self.attempt_summary.reason_by_service
        if self._coverage.is_enough(len(self._services) - len(reasons)):
            return False
        missing = sum(not self._is_left_to_peers(service) for service in reasons)
        return not self._coverage.is_enough(len(self._services) - missing)

    def _is_left_to_peers(self, service: str) -> bool:
        """Return whether a service without a reply may still get one by way of a peer."""
        return False

    def _services_elsewhere(self) -> int:
        """Return how many of the gather's services other daemons run, and may still get replies."""
        return 0

    def _has_least_coverage(self) -> bool:
        return self._coverage.is_enough(len(self._parts.reply_by_service))

    def _stop_at(self) -> Millis:
        if self._has_least_coverage():
            return min(self._request.deadline, self._request.answer_by)
        return self._request.deadline

    def _next_wake(self) -> Millis:
        return min(super()._next_wake(), self._ends.next_check_at)

    def _hedge_stragglers(self) -> None:
        super()._hedge_stragglers()
        if self._ends.is_due():
            self._is_hopeless = self._ends.check(
                len(self._parts.reply_by_service),
                sum(map(self._is_left_to_peers, self.attempt_summary.reason_by_service))
                + self._services_elsewhere(),
                self._open_by_shard.values(),
                self._awaited_since,
            )

    def _awaited_since(self, attempt: Attempt) -> Millis:
        call = self._call_by_attempt.get(attempt.number)
        return attempt.sent_at if call is None or call.sent_at is None else call.sent_at

    def _has_read_all_replies(self) -> bool:
        return self._tools.loop.was_idle

    def _hedge_delay(self) -> Millis | None:
        closed = len(self._services) - len(self._open_by_shard)
        return self._hedge_delays.delay(closed, len(self.latencies))

    def _hedge_candidates(self) -> list[ShardState]:
        if self._is_unproved():
            return []
        return [
            state
            for state in self._open_by_shard.values()
            if state.attempts and not state.is_exhausted and self._rules.has_attempts_left(state)
        ]

    def _try_hedge(self, state: ShardState, delay: Millis) -> bool:
        if not self._rules.has_untried_replica(state):
            state.is_exhausted = True
            return True
        if self._is_surplus(state, is_hedge=True):
            return False
        if not self._rules.spend_repeat(state, self._judge, is_hedge=True):
            return False
        self._rules.log_hedge(state, delay)
        state.hedges += 1
        self.attempt_summary.hedges += 1
        return self._send_next(state.number)
