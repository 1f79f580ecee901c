"""Send one routed request to the services of its route and merge their replies."""

from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Sequence

from loguru import logger

from firtrestle.answers import MIN_PART_BOUND, Answer, Parts, max_part_bytes, merge
from firtrestle.attempts import Attempt, ShardState
from firtrestle.clocks import Millis
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.gathers import Gather
from firtrestle.hedgers import Progress
from firtrestle.http_clients import MAX_REPLY_BYTES
from firtrestle.instance_pools import InstanceCall
from firtrestle.instance_replies import InstanceReply
from firtrestle.outcomes import SubOutcome
from firtrestle.peers import Cancellable
from firtrestle.relay_messages import RelayTerms
from firtrestle.replicas import Replica
from firtrestle.routed_requests import AttemptSummary, RoutedRequest
from firtrestle.service_tools import ServiceTools
from firtrestle.snapshots import ReplicaId
from firtrestle.uplinks import UplinkState

# Share of the latency target. An attempt that is older when the gather ends counts as overdue: its
# reply would be of no use to the answer.
MIN_OVERDUE_SHARE = 0.5
MAX_UNREACHED_PER_SHARD = 6  # unreachable instances before a shard is given up
DEFAULT_HEDGE_DELAY_SHARE = 0.3  # share of the latency target, until latencies are known
MIN_HEDGE_DELAY_SHARE = 0.15  # share of the latency target; shorter waits are noise
MAX_HEDGE_DELAY_SHARE = 0.5  # share of the latency target; later hedges reply too late
MAX_RETURN_SPREAD = 1.5  # longest time to come back, as a ratio of the pause that it follows from
ROUNDING = 1e-9  # keeps a share of services that is a whole number from being rounded up
MAX_CANARIES = 3  # shards sent one after the other while no instance has answered
MIN_CLOSED_SHARDS_SHARE = 0.7  # below it, late replies point to a slow daemon, not slow replicas


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
        self._tried_before = terms.tried_by_service
        self._tried_by_service: dict[str, int] = {}  # of services given up here
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
        return self._failure_answer() or self._refusal()

    async def collect(self) -> None:
        """Get the services' replies."""
        self._count()
        await self._gather(range(len(self._services)))
        self._tools.hedger.learn(self._route.name, self.latencies)
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

    def _failure_answer(self) -> Answer | None:
        """Return an instance's own failure reply, unchanged, if only one service was asked."""
        failure = self.attempt_summary.last_failure
        if len(self._services) > 1 or failure is None:
            return None
        return Answer(failure.status, failure.body, (failure.stamp,), headers=failure.headers)

    def _refusal(self) -> Refused:
        ran = Ran.UNKNOWN if self.attempt_summary.may_have_run else Ran.FALSE
        reasons = sorted(
            {str(reason) for reason in self.attempt_summary.reason_by_service.values()}
        )
        detail = ", ".join(reasons)
        if self._tools.clock.now() >= self._request.deadline:
            kind = ErrorKind.DEADLINE_PASSED
        elif ran is Ran.UNKNOWN:
            kind = ErrorKind.OUTCOME_UNKNOWN
        elif SubOutcome.SHED in reasons:
            kind = ErrorKind.OVERLOADED
        else:
            kind = ErrorKind.NO_TARGET
        return Refused(kind, ran, detail, self._retry_after())

    def _retry_after(self) -> Millis | None:
        """Return when enough services can be asked again, None if pauses don't decide that."""
        pauses = sorted(self._pause_by_service.values())
        needed = self._least_replies() - (len(self._services) - len(pauses))
        if needed <= 0:
            return None
        spread = self._tools.rng.uniform(1.0, MAX_RETURN_SPREAD)
        return Millis(pauses[needed - 1] * spread)

    def _send_first(self) -> None:
        """Send to each shard, unless those without a usable instance are too many for an answer.

        Nothing is sent then, so that the refusal may state that the request has not run.
        """
        for shard in list(self._open_by_shard):
            service = self._services[shard]
            if not (self._tools.availability.is_usable(service) and self._may_reach(shard)):
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
        service = self._services[shard]
        limit = self._request.table.connection_limit(service)
        return self._tools.availability.replica_ids(service, limit)

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
        return reply.outcome

    def _handle_success(
        self, state: ShardState, attempt: Attempt, reply: InstanceReply, latency: Millis
    ) -> None:
        """Keep a service's reply, and cancel its other attempts."""
        now = self._tools.clock.now()
        if not self._tools.crashes.is_empty:
            self._tools.crashes.record_success(self._request.fingerprint)
        if not self._tools.slow_reports.is_empty:
            self._report_good(attempt.replica.id, latency)
        for loser in state.attempts:
            waited = Millis(now - self._awaited_since(loser))
            self.latencies.append(waited)
            if waited > latency:  # a hedge that was beaten by an earlier attempt lost no race
                self._record_lost_race(loser, waited)
            loser.cancel()
        self.latencies.append(latency)
        self._parts.reply_by_service[self._services[state.number]] = reply
        self._release_held_back()

    def _report_good(self, replica_id: ReplicaId, latency: Millis) -> None:
        """Report a reply that came before it would have been hedged."""
        delay = self._hedge_delay()
        if delay is None or latency <= delay:
            self._tools.slow_reports.record_good(replica_id)

    def _record_lost_race(self, loser: Attempt, waited: Millis) -> None:
        self._tools.slow_reports.record(loser.replica.id)
        if loser.replica.record_lost_race(waited, self._tools.clock.now()):
            self._log_ejection(loser, waited)

    def _has_capacity(self, replica: Replica) -> bool:
        return self._tools.availability.has_capacity(replica) and self._may_connect(replica.id)

    def _may_reach(self, shard: int) -> bool:
        """Return whether a request can be sent to a replica of a shard."""
        return self._tools.uplink.opens or any(map(self._may_connect, self._replica_ids(shard)))

    def _may_connect(self, replica_id: ReplicaId) -> bool:
        """Return whether a request can be sent to a replica, if need be over an open connection."""
        if self._tools.uplink.opens:
            return True
        return self._route.repeatable and self._tools.pools.has_idle(replica_id)

    def _record_overdue(self, state: ShardState) -> None:
        """Record as overdue a shard's attempts that are still open, and old enough, at the end.

        Peers are told, and the load is limited, only if another instance was heard meanwhile, as
        this daemon may have lost its links. The next request is better sent elsewhere either way.
        """
        if not self._has_read_all_replies():
            return
        now = self._tools.clock.now()
        for attempt in state.attempts:
            waited = Millis(now - self._awaited_since(attempt))
            if waited < self._route.latency_target * MIN_OVERDUE_SHARE:
                continue
            if self._tools.uplink.has_heard_since(attempt.sent_at):
                self._tools.slow_reports.record(attempt.replica.id)
                attempt.replica.record_overdue(waited, now)
            else:
                attempt.replica.record_lost_race(waited, now)

    def _log_ejection(self, loser: Attempt, waited: Millis) -> None:
        logger.bind(
            request_id=self._request.message.request_id,
            instance=loser.replica.id.target_id,
            waited_ms=round(waited),
            for_ms=round(loser.replica.ejected_until - self._tools.clock.now()),
        ).info("slow instance passed over")

    def _handle_failure(
        self, state: ShardState, attempt: Attempt, reply: InstanceReply, outcome: SubOutcome
    ) -> None:
        service = self._services[state.number]
        logger.bind(
            request_id=self._request.message.request_id,
            service=service,
            instance=attempt.replica.id.target_id,
            outcome=str(outcome),
            reached=reply.reached,
            reason=reply.reason,
            after_ms=round(self._tools.clock.now() - attempt.sent_at),
        ).debug("attempt failed")
        state.last_failure = outcome
        if outcome is SubOutcome.MISDIRECTED:
            self._tools.instances.bar(attempt.replica.id)
        if not reply.reached:
            state.unreached += 1
        elif outcome is SubOutcome.DIED and not self._parts.reply_by_service:
            self._record_broken_reply(state, attempt, reply)
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

    def _record_broken_reply(
        self, state: ShardState, attempt: Attempt, reply: InstanceReply
    ) -> None:
        crashes, replica_id = self._tools.crashes, attempt.replica.id
        fingerprint = self._request.fingerprint
        if reply.given_up:
            crashes.record_unanswered(fingerprint, [replica_id])
            return
        crashes.record_broken_reply(
            fingerprint, replica_id, self._tools.uplink.has_heard(replica_id)
        )
        is_repeat = state.number in self._canaries or state.tries - state.unreached > 1
        if is_repeat:
            crashes.spread_suspicion(fingerprint)

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
        if written and not self._parts.reply_by_service:
            self._tools.crashes.record_unanswered(
                self._request.fingerprint, [attempt.replica.id for attempt in written]
            )
        super()._cancel_all()
        self.attempt_summary.not_run_count += len(attempts) - len(written)

    def _give_up_shard(self, shard: int, reason: SubOutcome) -> None:
        state = self._open_by_shard.get(shard)
        if state is not None:
            self._tried_by_service[self._services[shard]] = state.tries - state.unreached
        super()._give_up_shard(shard, reason)

    def _may_retry(self, state: ShardState, reply: InstanceReply) -> bool:
        """Return whether the shard may be retried, and spend a repeat if the retry costs one."""
        if self._tools.uplink.state is UplinkState.DOWN:
            return False
        if reply.may_have_run and not self._route.repeatable:
            return False
        if reply.may_have_run and self._is_unproved():
            return False
        if not self._has_attempts_left(state):
            return False
        if not reply.reached:
            return state.unreached < MAX_UNREACHED_PER_SHARD
        return self._has_untried_replica(state) and self._spend_repeat(state)

    def _is_unproved(self) -> bool:
        """Return whether the request is suspected, and no instance has answered it."""
        return self._is_suspect and not self._parts.reply_by_service

    def _has_attempts_left(self, state: ShardState) -> bool:
        tried_before = self._tried_before.get(self._services[state.number], 0)
        return tried_before + state.tries - state.unreached < self._route.max_attempts

    def _has_untried_replica(self, state: ShardState) -> bool:
        """Return whether an untried replica has capacity.

        Checked before the budget, so that no repeat is spent on a request that can't be sent.
        """
        return any(
            replica_id not in state.tried_ids
            and self._has_capacity(self._tools.replicas.get(replica_id))
            for replica_id in self._replica_ids(state.number)
        )

    def _spend_repeat(self, state: ShardState, hedge: bool = False) -> bool:
        budgets = self._tools.budgets
        return budgets.for_service(self._services[state.number]).spend(budgets.slack, hedge)

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
        reasons = self.attempt_summary.reason_by_service
        if self._covers_enough(len(self._services) - len(reasons)):
            return False
        missing = sum(not self._is_left_to_peers(service) for service in reasons)
        return not self._covers_enough(len(self._services) - missing)

    def _is_left_to_peers(self, service: str) -> bool:
        """Return whether a service without a reply may still get one by way of a peer."""
        return False

    def _least_replies(self) -> int:
        """Return how many services must reply for an answer."""
        least = math.ceil(len(self._services) * self._route.least_coverage - ROUNDING)
        return max(1, least)

    def _has_least_coverage(self) -> bool:
        return self._covers_enough(len(self._parts.reply_by_service))

    def _covers_enough(self, replies: int) -> bool:
        return replies > 0 and replies / len(self._services) >= self._route.least_coverage

    def _stop_at(self) -> Millis:
        if self._has_least_coverage():
            return min(self._request.deadline, self._request.answer_by)
        return self._request.deadline

    def _awaited_since(self, attempt: Attempt) -> Millis:
        call = self._call_by_attempt.get(attempt.number)
        return attempt.sent_at if call is None or call.sent_at is None else call.sent_at

    def _has_read_all_replies(self) -> bool:
        return self._tools.loop.was_idle

    def _hedge_delay(self) -> Millis | None:
        if not self._route.repeatable or self._route.max_attempts < 2:
            return None
        target = self._route.latency_target
        closed = len(self._services) - len(self._open_by_shard)
        if closed < int(MIN_CLOSED_SHARDS_SHARE * len(self._services)):
            return Millis(target * MAX_HEDGE_DELAY_SHARE)
        delay = self._tools.hedger.delay(
            Progress(self._route.name, len(self._services), len(self.latencies), Millis(0))
        )
        if delay is None:
            return Millis(target * DEFAULT_HEDGE_DELAY_SHARE)
        return Millis(
            min(max(delay, target * MIN_HEDGE_DELAY_SHARE), target * MAX_HEDGE_DELAY_SHARE)
        )

    def _hedge_candidates(self) -> list[ShardState]:
        if self._is_unproved():
            return []
        return [
            state
            for state in self._open_by_shard.values()
            if state.attempts and not state.is_exhausted and self._has_attempts_left(state)
        ]

    def _try_hedge(self, state: ShardState, delay: Millis) -> bool:
        if not self._has_untried_replica(state):
            state.is_exhausted = True
            return True
        if not self._spend_repeat(state, hedge=True):
            return False
        budgets = self._tools.budgets
        logger.bind(
            request_id=self._request.message.request_id,
            service=self._services[state.number],
            instance=state.attempts[-1].replica.id.target_id,
            delay_ms=round(delay, 1),
            repeats_left=round(
                budgets.for_service(self._services[state.number]).remaining(budgets.slack), 1
            ),
        ).debug("hedged")
        state.hedges += 1
        self.attempt_summary.hedges += 1
        return self._send_next(state.number)
