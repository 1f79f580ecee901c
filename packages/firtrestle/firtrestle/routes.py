"""Hold the routes in force: which requests go to which services, and on what terms."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from firtrestle.clocks import Millis


@dataclass(frozen=True, slots=True)
class WholeReply:
    """Merge rule of a request that one service answers: its reply goes back unchanged."""


@dataclass(frozen=True, slots=True)
class TopRecords:
    """Merge rule of a request to all shards: the greatest fixed-size records of their replies."""

    count: int
    record_bytes: int = 16


MergeRule = WholeReply | TopRecords


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Hold one of the services that share a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold one route.

    `shards` names the services that all take part in an answer; `choices` those of which one
    does. Just one of the two is set. `priority` 0 is the most urgent.
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
        return set(self.shards) or {one.service for one in self.choices}

    def pick_services(self, rng: random.Random) -> tuple[str, ...]:
        """Return the services that one request goes to."""
        if self.shards:
            return self.shards
        if len(self.choices) == 1:
            return (self.choices[0].service,)
        weights = [one.weight for one in self.choices]
        if not any(weights):
            return ()
        return (rng.choices(self.choices, weights)[0].service,)


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """Hold what the operator says of one service; the limit is over all callers together."""

    name: str
    connection_limit: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_timeout: Millis = Millis(3_000)
    idle_timeout: Millis = Millis(15_000)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold the routes of one version of the desired state."""

    version: int = 0
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    terms_by_service: dict[str, ServiceTerms] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: list[Route],
        terms_by_service: dict[str, ServiceTerms],
        limits: CallerLimits,
    ) -> RouteTable:
        """Build a table in which the longest prefix of a host comes first."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(held, key=lambda route: -len(route.prefix)))
            for host, held in by_host.items()
        }
        return cls(version, ordered, terms_by_service, limits)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        name = host.partition(":")[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def services(self) -> set[str]:
        """Return every service that some route may use."""
        held = (route for routes in self.routes_by_host.values() for route in routes)
        return {service for route in held for service in route.services()}
