"""Represent routes: which requests go to which services, with which timeouts and limits."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from firtrestle.clocks import Millis


@dataclass(frozen=True, slots=True)
class WholeReply:
    """Represent the merge rule for one service: its reply is returned unchanged."""


@dataclass(frozen=True, slots=True)
class TopRecords:
    """Represent the merge rule for shards: keep the `count` greatest fixed-size records."""

    count: int
    record_bytes: int = 16


MergeRule = WholeReply | TopRecords


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Represent one of the services that a route's requests are distributed over by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Represent one route.

    Exactly one of `shards` and `choices` is set: a request goes to all services in `shards`, or
    to one of `choices`. `priority` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout: Millis
    latency_target: Millis
    max_attempts: int
    priority: int = 0
    shards: tuple[str, ...] = ()
    choices: tuple[WeightedService, ...] = ()
    merge: MergeRule = WholeReply()
    least_coverage: float = 1.0

    def services(self) -> set[str]:
        """Return every service that the route may use."""
        return set(self.shards) or {choice.service for choice in self.choices}

    def pick_services(self, rng: random.Random) -> tuple[str, ...]:
        """Return the services for one request, empty if all weights are zero."""
        if self.shards:
            return self.shards
        if len(self.choices) == 1:
            return (self.choices[0].service,)
        weights = [choice.weight for choice in self.choices]
        if not any(weights):
            return ()
        return (rng.choices(self.choices, weights)[0].service,)


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """Represent the operators' limits for one service.

    `connection_limit` bounds the connections of all daemons together to each instance; 0 means no
    limit. `warm_up_rate` is the number of requests a second that one cold instance can bear; 0
    means no bound.
    """

    name: str
    connection_limit: int
    warm_up_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size of callers' requests and how long reading them may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout: Millis = Millis(3_000)
    idle_timeout: Millis = Millis(15_000)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Represent the routes of one version of the desired state.

    The routes of a host are ordered by decreasing length of their prefixes.
    """

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    terms_by_service: dict[str, ServiceTerms] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    least_priority_by_service: dict[str, int] = field(default_factory=dict)

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: list[Route],
        terms_by_service: dict[str, ServiceTerms],
        limits: CallerLimits,
    ) -> RouteTable:
        """Build a table from routes in any order."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(routes_of_host, key=lambda route: -len(route.prefix)))
            for host, routes_of_host in by_host.items()
        }
        least_priority_by_service: dict[str, int] = {}
        for route in routes:
            for service in route.services():
                known = least_priority_by_service.get(service, route.priority)
                least_priority_by_service[service] = min(known, route.priority)
        return cls(version, ordered, terms_by_service, limits, least_priority_by_service)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None.

        `host` may carry a port, which is ignored.
        """
        name = host.partition(":")[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def is_most_urgent(self, service: str, priority: int) -> bool:
        """Return whether no route that may use a service is more urgent than a priority."""
        return priority <= self.least_priority_by_service.get(service, priority)

    def connection_limit(self, service: str) -> int:
        """Return an instance's connection limit over all daemons, 0 if unlimited."""
        terms = self.terms_by_service.get(service)
        return terms.connection_limit if terms is not None else 0

    def services(self) -> set[str]:
        """Return every service that some route may use."""
        all_routes = (route for routes in self.routes_by_host.values() for route in routes)
        return {service for route in all_routes for service in route.services()}
