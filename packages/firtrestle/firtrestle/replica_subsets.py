"""Choose the replicas that a daemon connects to when connection limits rule out using all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache

from firtrestle.instances import Instance
from firtrestle.rendezvous import rank

USABLE_LIMIT_SHARE = 0.8  # kept below 1, as instances still count closing connections
MIN_SUBSET_SIZE = 2  # a hedge or retry needs a second replica
DEFAULT_CONNECTIONS = 2  # two, so that a hedge need not wait for a free connection
LOCAL_LIMIT_SHARE = 0.5  # share of an instance's limit for daemons in its data centre


@dataclass(frozen=True, slots=True)
class ConnectionPlan:
    """Represent how many replicas of a service a daemon uses, and its connections to each."""

    subset_size: int
    connections: int


@dataclass(slots=True)
class FleetSize:
    """Count the daemons that may be up, overall and in this daemon's data centre."""

    daemons: int = 1
    local_daemons: int = 1


@lru_cache
def connection_plan(limit: int, replicas: int, daemons: int) -> ConnectionPlan:
    """Plan one daemon's connections to a service.

    `limit` is the connection limit of one instance over all daemons, 0 if unlimited. Connections
    to each replica are reduced to one before replicas are left out.
    """
    if not limit:
        return ConnectionPlan(replicas, DEFAULT_CONNECTIONS)
    share = limit * USABLE_LIMIT_SHARE / max(1, daemons)
    if share >= 1.0:
        return ConnectionPlan(replicas, int(share))
    subset_size = min(replicas, max(MIN_SUBSET_SIZE, int(share * replicas)))
    return ConnectionPlan(subset_size, 1)


class ReplicaSubsets:
    """Choose this daemon's subset of each service's replicas by rendezvous hashing.

    The order depends on daemon and replica ids alone, so that a daemon or replica that joins or
    leaves moves few connections. Replicas in the daemon's own data centre come first if their
    connection limit allows that for all daemons there.
    """

    def __init__(self, daemon_id: str, data_centre: str) -> None:
        self.fleet = FleetSize()
        self._daemon_id = daemon_id
        self._data_centre = data_centre
        self._ordered_by_service: dict[str, tuple[tuple[Instance, ...], bool, list[Instance]]] = {}

    def plan(self, limit: int, replicas: int) -> ConnectionPlan:
        """Return this daemon's connection plan, given the daemons that may be up."""
        return connection_plan(limit, replicas, self.fleet.daemons)

    def expected_users(self, limit: int, replicas: int, least_daemons: int) -> float:
        """Return how many daemons are expected to have an instance in their subset.

        `least_daemons` is the number of daemons to reckon with while few are known.
        """
        daemons = max(self.fleet.daemons, least_daemons)
        replicas = max(1, replicas)  # an instance that no longer serves may still be asked
        used_share = min(1.0, self.plan(limit, replicas).subset_size / replicas)
        return max(1.0, daemons * used_share)

    def choose(
        self,
        serving: tuple[Instance, ...],
        limit: int,
        is_healthy: Callable[[Instance], bool],
    ) -> list[Instance]:
        """Return the replicas to use; unhealthy ones are replaced by the next in the order."""
        plan = self.plan(limit, len(serving))
        if plan.subset_size >= len(serving):
            return list(serving)
        ordered = self._ordered(serving, self.fleet.local_daemons <= limit * LOCAL_LIMIT_SHARE)
        return sorted(ordered, key=lambda instance: not is_healthy(instance))[: plan.subset_size]

    def retain_only(self, services: set[str]) -> None:
        """Drop the orders of services that are not among the given ones."""
        for name in set(self._ordered_by_service) - services:
            del self._ordered_by_service[name]

    def _ordered(self, serving: tuple[Instance, ...], local_first: bool) -> list[Instance]:
        service = serving[0].service
        cached = self._ordered_by_service.get(service)
        if cached is not None and cached[0] is serving and cached[1] == local_first:
            return cached[2]
        by_id = {instance.id: instance for instance in serving}
        ordered = [by_id[id_] for id_ in rank(self._daemon_id, by_id)]
        if local_first:
            ordered.sort(key=lambda instance: instance.data_centre != self._data_centre)
        self._ordered_by_service[service] = (serving, local_first, ordered)
        return ordered
