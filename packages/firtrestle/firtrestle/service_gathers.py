"""Gather the replies of one routed request over the services that its route names."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from loguru import logger

from firtrestle.answers import Answer, Parts, merge
from firtrestle.attempts import Attempt, ShardState
from firtrestle.clocks import Clock, Millis
from firtrestle.crash_records import CrashRecords, message_fingerprint
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.gathers import Gather
from firtrestle.hedgers import Hedger, Progress
from firtrestle.instance_pools import InstancePools, PartCall
from firtrestle.instances import Instance, Instances
from firtrestle.outcomes import SubOutcome
from firtrestle.part_replies import CallerMessage, PartReply
from firtrestle.peers import Cancellable
from firtrestle.repeat_budgets import RepeatBudgets
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.replica_subsets import ReplicaSubsets
from firtrestle.replicas import Replica, Replicas
from firtrestle.routes import Route, RouteTable
from firtrestle.snapshots import ReplicaId

LATENCY_RESERVE = Millis(10)  # of the latency target: merging and the way to the caller
OVERDUE_SHARE = 0.5  # of the latency target: a reply that is later helps no answer
LEAST_FIT_SUCCESS = 0.7  # of a replica; one that sheds more gives its place to another
MAX_UNREACHED = 6  # instances that took nothing, after which a shard is given up
FIRST_HEDGE_SHARE = 0.3  # of the latency target, before replies of the route are known
EARLIEST_HEDGE_SHARE = 0.15  # of the latency target: noise lies below it
LATEST_HEDGE_SHARE = 0.5  # of the latency target: a later hedge comes too late
CLOSED_SHARE = 0.7  # of the shards, before which a late reply tells of a slow moment here


@dataclass(slots=True)
class ServiceTools:
    """Hold what all service gathers of a daemon share."""

    clock: Clock
    rng: random.Random
    replicas: Replicas
    chooser: ReplicaChooser
    hedger: Hedger
    instances: Instances
    pools: InstancePools
    budgets: RepeatBudgets
    subsets: ReplicaSubsets
    crashes: CrashRecords
    data_centre: str
    _seen_by_service: dict[str, tuple[Instance, ...]] = field(default_factory=dict)

    def serving(self, service: str) -> tuple[Instance, ...]:
        """Return the instances of a service that may get new work, their records up to date."""
        serving = self.instances.serving(service)
        if serving and self._seen_by_service.get(service) is not serving:
            self._seen_by_service[service] = serving
            for instance in serving:
                record = self.replicas.get(instance.replica_id)
                record.far = instance.data_centre != self.data_centre
        return serving


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold one caller's request with the route and table version that it started with."""

    message: CallerMessage
    route: Route
    table: RouteTable
    arrived_at: Millis
    give_up_at: Millis

    @property
    def fingerprint(self) -> str:
        """Return what tells the request from others; worked out only where something broke."""
        return message_fingerprint(self.message)

    @property
    def answer_by(self) -> Millis:
        """Return when an answer earns its full worth at the latest."""
        return Millis(self.arrived_at + self.route.latency_target - LATENCY_RESERVE)


@dataclass(slots=True)
class _Record:
    """Hold what became of a request's attempts."""

    sent: int = 0
    hedges: int = 0
    not_run: int = 0  # attempts that certainly did not run
    reason_by_service: dict[str, SubOutcome] = field(default_factory=dict)
    last_failure: PartReply | None = None

    @property
    def may_have_run(self) -> bool:
        """Say whether some attempt ran or can't be told not to have; one in flight can't."""
        return self.sent > self.not_run


class ServiceGather(Gather):
    """Run one request over its services."""

    def __init__(
        self, tools: ServiceTools, request: RoutedRequest, services: tuple[str, ...]
    ) -> None:
        super().__init__(tools)
        self._tools: ServiceTools = tools
        self._request = request
        self._route = request.route
        self._services = services
        self._parts = Parts(services)
        self._numbers = itertools.count(1)
        self._latencies: list[Millis] = []
        self.record = _Record()

    async def run(self) -> Answer | Refused:
        """Return the answer, or a refusal that says whether the request may have run."""
        for service in self._services:
            self._tools.budgets.of(service).earn()
        await self._gather(range(len(self._services)))
        self._tools.hedger.learn(self._route.name, self._latencies)
        for shard, state in list(self._open_by_shard.items()):
            self._note_overdue(state)
            reason = SubOutcome.DEADLINE if state.attempts else state.last_failure
            self._miss(shard, reason)
        if self._parts.reply_by_service and self._has_least_coverage():
            return merge(self._route.merge, self._parts)
        return self._passed_failure() or self._refusal()

    @property
    def is_repeatable(self) -> bool:
        """Say whether the request may run more than once."""
        return self._route.repeatable

    def _passed_failure(self) -> Answer | None:
        """Return the failure of a single instance as its own answer."""
        failure = self.record.last_failure
        if len(self._services) > 1 or failure is None:
            return None
        return Answer(failure.status, failure.body, (failure.stamp,), headers=failure.headers)

    def _refusal(self) -> Refused:
        ran = Ran.UNKNOWN if self.record.may_have_run else Ran.FALSE
        reasons = sorted({str(reason) for reason in self.record.reason_by_service.values()})
        detail = ", ".join(reasons)
        if self._tools.clock.now() >= self._request.give_up_at:
            kind = ErrorKind.DEADLINE_PASSED
        elif ran is Ran.UNKNOWN:
            kind = ErrorKind.OUTCOME_UNKNOWN
        elif SubOutcome.SHED in reasons:
            kind = ErrorKind.OVERLOADED
        else:
            kind = ErrorKind.NO_TARGET
        return Refused(kind, ran, detail)

    def _replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        service = self._services[shard]
        serving = self._tools.serving(service)
        chosen = self._tools.subsets.choose(serving, self._limit(service), self._is_fit)
        return [instance.replica_id for instance in chosen]

    def _is_fit(self, instance: Instance) -> bool:
        """Say whether a replica of this daemon's subset is worth its place there."""
        now = self._tools.clock.now()
        record = self._tools.replicas.get(instance.replica_id)
        return not record.is_ejected(now) and record.likely_success(now) >= LEAST_FIT_SUCCESS

    def _limit(self, service: str) -> int:
        """Return how many connections an instance of a service takes from all, 0 if unlimited."""
        terms = self._request.table.terms_by_service.get(service)
        return terms.connection_limit if terms is not None else 0

    def _next_number(self) -> int:
        return next(self._numbers)

    def _start(self, attempt: Attempt) -> Cancellable:
        self.record.sent += 1
        call = PartCall(
            self._request.message,
            self._request.give_up_at,
            self._delivery(attempt),
            fresh=not self._route.repeatable,
        )
        instance = self._tools.instances.get(attempt.replica.id)
        if instance is None:
            call.finish(PartReply(SubOutcome.UNREACHABLE, reason="the instance is gone"))
            return call
        replicas = len(self._tools.instances.serving(instance.service))
        plan = self._tools.subsets.plan(self._limit(instance.service), replicas)
        return self._tools.pools.start(instance, call, plan.connections)

    def _checked_outcome(self, attempt: Attempt, reply: PartReply) -> SubOutcome:
        if not reply.may_have_run:
            self.record.not_run += 1
        return reply.outcome

    def _accept(
        self, state: ShardState, attempt: Attempt, reply: PartReply, latency: Millis
    ) -> None:
        """Take a service's reply, and stop its other attempts."""
        now = self._tools.clock.now()
        if not self._tools.crashes.is_idle:
            self._tools.crashes.note_survived(self._request.fingerprint)
        for loser in state.attempts:
            lost = Millis(now - loser.sent_at)
            self._latencies.append(lost)
            if loser.replica.note_lost(lost, now):
                self._log_ejection(loser, lost)
            loser.cancel()
        self._latencies.append(latency)
        self._parts.reply_by_service[self._services[state.number]] = reply

    def _has_room(self, replica: Replica) -> bool:
        return replica.has_room()

    def _note_overdue(self, state: ShardState) -> None:
        """Learn from attempts that were cut off when the answer had to leave."""
        now = self._tools.clock.now()
        for attempt in state.attempts:
            waited = Millis(now - attempt.sent_at)
            if waited >= self._route.latency_target * OVERDUE_SHARE:
                attempt.replica.note_overdue(waited, now)

    def _log_ejection(self, loser: Attempt, lost: Millis) -> None:
        logger.bind(
            request_id=self._request.message.request_id,
            instance=loser.replica.id.target_id,
            waited_ms=round(lost),
            for_ms=round(loser.replica.ejected_until - self._tools.clock.now()),
        ).info("slow instance passed over")

    def _fail(
        self, state: ShardState, attempt: Attempt, reply: PartReply, outcome: SubOutcome
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
            self._tools.crashes.note_gone(attempt.replica.id)
        elif outcome is SubOutcome.DIED and not self._parts.reply_by_service:
            self._tools.crashes.note_break(self._request.fingerprint, attempt.replica.id)
        if reply.stamp and outcome is SubOutcome.REFUSED:
            self.record.last_failure = reply
        if state.attempts:
            return
        if not (self._may_try_again(state, reply) and self._send_next(state.number)):
            self._miss(state.number, outcome)

    def _may_try_again(self, state: ShardState, reply: PartReply) -> bool:
        """Say whether another instance may get the request, and pay for it."""
        if reply.may_have_run and not self._route.repeatable:
            return False
        if not self._has_attempt_left(state):
            return False
        if not reply.reached:
            return state.unreached < MAX_UNREACHED
        return self._has_replica_left(state) and self._pay(state)

    def _has_attempt_left(self, state: ShardState) -> bool:
        return state.tries - state.unreached < self._route.max_attempts

    def _has_replica_left(self, state: ShardState) -> bool:
        """Say whether an untried replica has room; a repeat that can't be sent isn't paid for."""
        return any(
            one not in state.tried and self._has_room(self._tools.replicas.get(one))
            for one in self._replica_ids(state.number)
        )

    def _pay(self, state: ShardState, hedge: bool = False) -> bool:
        budgets = self._tools.budgets
        return budgets.of(self._services[state.number]).spend(budgets.slack, hedge)

    def _note_miss(self, shard: int, reason: SubOutcome) -> None:
        self.record.reason_by_service[self._services[shard]] = reason

    def _is_over(self) -> bool:
        """Say whether the least coverage can't be reached any more."""
        lost = len(self.record.reason_by_service)
        return not self._covers_enough(len(self._services) - lost)

    def _has_least_coverage(self) -> bool:
        return self._covers_enough(len(self._parts.reply_by_service))

    def _covers_enough(self, parts: int) -> bool:
        return parts > 0 and parts / len(self._services) >= self._route.least_coverage

    def _stop_at(self) -> Millis:
        if self._has_least_coverage():
            return min(self._request.give_up_at, self._request.answer_by)
        return self._request.give_up_at

    def _hedge_delay(self) -> Millis | None:
        if not self._route.repeatable or self._route.max_attempts < 2:
            return None
        target = self._route.latency_target
        closed = len(self._services) - len(self._open_by_shard)
        if closed < int(CLOSED_SHARE * len(self._services)):
            return Millis(target * LATEST_HEDGE_SHARE)
        delay = self._tools.hedger.delay(
            Progress(self._route.name, len(self._services), len(self._latencies), Millis(0))
        )
        if delay is None:
            return Millis(target * FIRST_HEDGE_SHARE)
        return Millis(min(max(delay, target * EARLIEST_HEDGE_SHARE), target * LATEST_HEDGE_SHARE))

    def _hedgeable(self) -> list[ShardState]:
        return [
            state
            for state in self._open_by_shard.values()
            if state.attempts and not state.is_exhausted and self._has_attempt_left(state)
        ]

    def _hedge(self, state: ShardState, delay: Millis) -> bool:
        if not self._has_replica_left(state):
            state.is_exhausted = True
            return True
        if not self._pay(state, hedge=True):
            return False
        budgets = self._tools.budgets
        logger.bind(
            request_id=self._request.message.request_id,
            service=self._services[state.number],
            instance=state.attempts[-1].replica.id.target_id,
            delay_ms=round(delay, 1),
            repeats_left=round(budgets.of(self._services[state.number]).left(budgets.slack), 1),
        ).debug("hedged")
        state.hedges += 1
        self.record.hedges += 1
        return self._send_next(state.number)
