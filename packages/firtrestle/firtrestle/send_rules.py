"""Decide what a service gather may send next: to which instances, and whether as a repeat."""

from __future__ import annotations

from collections.abc import Sequence

from firtrestle.attempts import ShardState
from firtrestle.instance_replies import InstanceReply
from firtrestle.replicas import Replica
from firtrestle.routed_requests import RoutedRequest
from firtrestle.service_tools import ServiceTools
from firtrestle.snapshots import ReplicaId
from firtrestle.uplinks import UplinkState

MAX_UNREACHED_PER_SHARD = 6  # unreachable instances before a shard is given up


class SendRules:
    """Decide which instances of a request's services may be asked, and pay for repeats.

    `tried_by_service` counts the attempts that were made elsewhere, before this gather.
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
        self._services = services

    def replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        """Return the instances of a shard's service that this daemon uses."""
        service = self._services[shard]
        limit = self._table.connection_limit(service)
        return self._tools.availability.replica_ids(service, limit)

    def has_capacity(self, replica: Replica) -> bool:
        """Return whether a replica takes one more request and can be reached."""
        return self._tools.availability.has_capacity(replica) and self._may_connect(replica.id)

    def may_reach(self, shard: int) -> bool:
        """Return whether a request can be sent to a replica of a shard."""
        return self._tools.uplink.opens or any(map(self._may_connect, self.replica_ids(shard)))

    def may_retry(self, state: ShardState, reply: InstanceReply, is_unproved: bool) -> bool:
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
        return self.has_untried_replica(state) and self.spend_repeat(state)

    def has_attempts_left(self, state: ShardState) -> bool:
        """Return whether the route allows one more attempt for a shard."""
        tried_before = self.tried_before.get(self._services[state.number], 0)
        return tried_before + state.tries - state.unreached < self._route.max_attempts

    def has_untried_replica(self, state: ShardState) -> bool:
        """Return whether an untried replica has capacity.

        Checked before the budget, so that no repeat is spent on a request that can't be sent.
        """
        return any(
            replica_id not in state.tried_ids
            and self.has_capacity(self._tools.replicas.get(replica_id))
            for replica_id in self.replica_ids(state.number)
        )

    def spend_repeat(self, state: ShardState, hedge: bool = False) -> bool:
        """Spend a repeat of the budget of a shard's service, if one is left."""
        budgets = self._tools.budgets
        return budgets.for_service(self._services[state.number]).spend(budgets.slack, hedge)

    def repeats_left(self, state: ShardState) -> float:
        """Return how many repeats the budget of a shard's service still allows."""
        budgets = self._tools.budgets
        return budgets.for_service(self._services[state.number]).remaining(budgets.slack)

    def _may_connect(self, replica_id: ReplicaId) -> bool:
        """Return whether a request can be sent to a replica, if need be over an open connection."""
        if self._tools.uplink.opens:
            return True
        return self._route.repeatable and self._tools.pools.has_idle(replica_id)
