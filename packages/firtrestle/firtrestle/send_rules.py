"""Decide what a service gather may send next: to which instances, and whether as a repeat."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from loguru import logger

from firtrestle.attempts import ShardState
from firtrestle.clocks import Millis
from firtrestle.instance_replies import InstanceReply
from firtrestle.repeat_reserves import HEDGE_RESERVE, HOPELESS_RESERVE, Prospect, reserve_share
from firtrestle.replicas import Replica
from firtrestle.routed_requests import RoutedRequest
from firtrestle.service_tools import ServiceTools
from firtrestle.snapshots import ReplicaId
from firtrestle.uplinks import UplinkState

# Judges what a repeat of a shard can do for its gather.
Judge = Callable[[ShardState], Prospect]

MAX_UNREACHED_PER_SHARD = 6  # unreachable instances before a shard is given up


class SendRules:
    """Decide which instances of a request's services may be asked, and pay for repeats.

    `tried_by_service` counts the attempts elsewhere, before this gather, that may have run.
    """

    def __init__(
        self,
        tools: ServiceTools,
        request: RoutedRequest,
        services: tuple[str, ...],
        tried_by_service: dict[str, int],
    ) -> None:
        self.tried_before = tried_by_service
        self._tools = tools
        self._route = request.route
        self._table = request.table
        self._request_id = request.message.request_id
        self._services = services

    def replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        """Return the instances of a shard's service that this daemon uses."""
        service = self._services[shard]
        limit = self._table.connection_limit(service)
        return self._tools.availability.replica_ids(service, limit)

    def candidate_ids(self, state: ShardState) -> Sequence[ReplicaId]:
        """Return the instances that a shard may be sent to next, also those it was sent to.

        One that was shed by all that this daemon uses may be sent to the others.
        """
        ids = self.replica_ids(state.number)
        if not state.unexecuted or not state.tried_ids.issuperset(ids):
            return ids
        serving = self._tools.availability.serving(self._services[state.number])
        return [instance.replica_id for instance in serving]

    def untried_replicas(self, state: ShardState) -> list[Replica]:
        """Return the instances of a shard's service that were not asked."""
        serving = self._tools.availability.serving(self._services[state.number])
        get = self._tools.replicas.get
        return [get(i.replica_id) for i in serving if i.replica_id not in state.tried_ids]

    def has_capacity(self, replica: Replica) -> bool:
        """Return whether a replica takes one more request and can be reached."""
        return self._tools.availability.has_capacity(replica) and self._may_connect(replica.id)

    def may_reach(self, shard: int) -> bool:
        """Return whether a request can be sent to a replica of a shard."""
        return self._tools.uplink.opens or any(map(self._may_connect, self.replica_ids(shard)))

    def may_retry(
        self, state: ShardState, reply: InstanceReply, is_unproved: bool, judge: Judge
    ) -> bool:
        """Return whether the shard may be retried, and spend a repeat if the retry costs one.

        `is_unproved` says that the request is suspected and no instance has answered it.
        """
        if self._tools.uplink.state is UplinkState.DOWN:
            return False
        if reply.may_have_run and (is_unproved or not self._route.repeatable):
            return False
        if not self.has_attempts_left(state):
            return False
        if not reply.reached:
            return state.unreached < MAX_UNREACHED_PER_SHARD
        return self.has_untried_replica(state) and self.spend_repeat(state, judge)

    def has_attempts_left(self, state: ShardState) -> bool:
        """Return whether the route allows one more attempt for a shard."""
        tried_before = self.tried_before.get(self._services[state.number], 0)
        return tried_before + state.runs < self._route.max_attempts

    def has_untried_replica(self, state: ShardState) -> bool:
        """Return whether an untried replica has capacity.

        Checked before the budget, so that no repeat is spent on a request that can't be sent.
        """
        return any(
            replica_id not in state.tried_ids
            and self.has_capacity(self._tools.replicas.get(replica_id))
            for replica_id in self.candidate_ids(state)
        )

    def spend_repeat(self, state: ShardState, judge: Judge, is_hedge: bool = False) -> bool:
        """Spend a repeat of a shard's service, if the budget has one left for this request.

        The request's prospect is judged only if little is left, as that takes time.
        """
        budgets = self._tools.budgets
        service = self._services[state.number]
        budget = budgets.for_service(service)
        if budget.has_left(budgets.slack, HOPELESS_RESERVE):
            return budget.spend(budgets.slack, HOPELESS_RESERVE)
        if not budget.has_left(budgets.slack, 0.0):
            return False
        prospect = judge(state)
        is_most_urgent = self._table.is_most_urgent(service, self._route.priority)
        reserve = reserve_share(prospect.need, is_most_urgent, is_hedge)
        if budget.spend(budgets.slack, reserve):
            return True
        self.record_withheld(state, prospect, is_hedge, reserve)
        return False

    def record_withheld(
        self, state: ShardState, prospect: Prospect, is_hedge: bool, reserve: float
    ) -> None:
        """Log and count a repeat that is not sent, so that the budget has it for others."""
        self._tools.counts.repeats_withheld += 1
        logger.bind(
            request_id=self._request_id,
            service=self._services[state.number],
            priority=self._route.priority,
            hedge=is_hedge,
            need=str(prospect.need),
            chance_with=round(prospect.chance_with, 2),
            chance_without=round(prospect.chance_without, 2),
            repeats_left=round(self.repeats_left(state), 1),
            reserve=reserve,
        ).debug("repeat withheld")

    def log_hedge(self, state: ShardState, delay: Millis) -> None:
        """Log that a shard is hedged."""
        logger.bind(
            request_id=self._request_id,
            service=self._services[state.number],
            instance=state.attempts[-1].replica.id.target_id,
            delay_ms=round(delay, 1),
            repeats_left=round(self.repeats_left(state), 1),
        ).debug("hedged")

    def has_hedge_left(self, state: ShardState) -> bool:
        """Return whether the budget of a shard's service has a repeat left for a hedge."""
        budgets = self._tools.budgets
        budget = budgets.for_service(self._services[state.number])
        return budget.has_left(budgets.slack, HEDGE_RESERVE)

    def repeats_left(self, state: ShardState) -> float:
        """Return how many repeats the budget of a shard's service still allows."""
        budgets = self._tools.budgets
        return budgets.for_service(self._services[state.number]).remaining(budgets.slack)

    def _may_connect(self, replica_id: ReplicaId) -> bool:
        """Return whether a request can be sent to a replica, if need be over an open connection."""
        if self._tools.uplink.opens:
            return True
        return self._route.repeatable and self._tools.pools.has_idle(replica_id)
