"""Decide which replicas a daemon connects to, where not all daemons can connect to all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache

from firtrestle.instances import Instance
from firtrestle.rendezvous import rank

LIMIT_SHARE = 0.8  # of an instance's limit that all daemons use; closing ones still count there
LEAST_WIDTH = 2  # replicas, so that a hedge or a retry finds another one
USUAL_CONNECTIONS = 2  # of a daemon to an instance, so that a hedge need not wait
NEAR_SHARE = 0.5  # of an instance's limit that the daemons of its own data centre may use


@dataclass(frozen=True, slots=True)
class ConnectionPlan:
    """Say to how many replicas of a service a daemon connects, and how often to each."""

    width: int
    connections: int


@dataclass(slots=True)
class FleetSize:
    """Count the daemons that may be up, in all and in this daemon's data centre."""

    daemons: int = 1
    near: int = 1


@lru_cache
def connection_plan(limit: int, replicas: int, daemons: int) -> ConnectionPlan:
    """Plan the connections of one of some daemons; `limit` is an instance's, 0 for none.

    Few connections a daemon are thinned out to one before replicas are left out.
    """
    if not limit:
        return ConnectionPlan(replicas, USUAL_CONNECTIONS)
    share = limit * LIMIT_SHARE / max(1, daemons)
    if share >= 1.0:
        return ConnectionPlan(replicas, int(share))
    width = min(replicas, max(LEAST_WIDTH, int(share * replicas)))
    return ConnectionPlan(width, 1)


class ReplicaSubsets:
    """Order the replicas of each service for one daemon, each daemon differently.

    The order depends on the names alone, so that a daemon or replica that comes or goes moves few
    connections. Replicas of the own data centre come first while their limit allows that for all
    daemons there.
    """

    def __init__(self, daemon_id: str, data_centre: str) -> None:
        self.fleet = FleetSize()
        self._daemon_id = daemon_id
        self._data_centre = data_centre
        self._ordered_by_service: dict[str, tuple[tuple[Instance, ...], bool, list[Instance]]] = {}

    def plan(self, limit: int, replicas: int) -> ConnectionPlan:
        """Return how a service's replicas are shared among the daemons that may be up."""
        return connection_plan(limit, replicas, self.fleet.daemons)

    def choose(
        self,
        serving: tuple[Instance, ...],
        limit: int,
        is_fit: Callable[[Instance], bool],
    ) -> list[Instance]:
        """Return the replicas to use now; unfit ones are replaced by the next in the order."""
        plan = self.plan(limit, len(serving))
        if plan.width >= len(serving):
            return list(serving)
        ordered = self._ordered(serving, self.fleet.near <= limit * NEAR_SHARE)
        return sorted(ordered, key=lambda one: not is_fit(one))[: plan.width]

    def forget_but(self, services: set[str]) -> None:
        """Drop the orders of services that no route names any more."""
        for name in set(self._ordered_by_service) - services:
            del self._ordered_by_service[name]

    def _ordered(self, serving: tuple[Instance, ...], near_first: bool) -> list[Instance]:
        service = serving[0].service
        held = self._ordered_by_service.get(service)
        if held is not None and held[0] is serving and held[1] == near_first:
            return held[2]
        by_id = {one.id: one for one in serving}
        ordered = [by_id[one] for one in rank(self._daemon_id, by_id)]
        if near_first:
            ordered.sort(key=lambda one: one.data_centre != self._data_centre)
        self._ordered_by_service[service] = (serving, near_first, ordered)
        return ordered
