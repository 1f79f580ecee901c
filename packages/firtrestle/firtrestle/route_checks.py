"""Check a desired state before it is published, and compare it with the one in force."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields
from enum import StrEnum

from firtrestle.routes import CallerLimits, Route, RouteTable, ServiceTerms, TopRecords

# Shorter than the request line and the usual headers of any caller.
MIN_USEFUL_HEAD_BYTES = 512


class FindingKind(StrEnum):
    """Classify what a check finds."""

    ERROR = "error"  # the daemons refuse the document
    UNREACHABLE = "unreachable"  # an entry that no request can match or use
    CONTRADICTION = "contradiction"  # limits of which one makes another ineffective


@dataclass(frozen=True, slots=True)
class Finding:
    """Represent one finding, at the place of an entry in the document."""

    kind: FindingKind
    place: str
    message: str


@dataclass(frozen=True, slots=True)
class RepeatBound:
    """Hold the daemons' settings that bound hedges and retries."""

    ratio: float
    slack: float


@dataclass(frozen=True, slots=True)
class RouteDifference:
    """Represent one field that differs from the version in force, or an added or removed entry."""

    place: str
    field: str
    before: str
    after: str


def check_routes(table: RouteTable, repeats: RepeatBound | None = None) -> list[Finding]:
    """Return the entries that can never match, and the limits that contradict each other."""
    routes = _routes(table)
    findings = [*_unmatched_routes(table), *_unused_services(table, routes)]
    for route in routes:
        findings += _unreachable_parts(table, route)
        findings += _route_contradictions(route, repeats)
    return findings + list(_caller_limit_contradictions(table.limits))


def compare_routes(before: RouteTable, after: RouteTable) -> list[RouteDifference]:
    """Return what a desired state changes in the one in force."""
    differences = [
        *_compare_named(
            "route", _by_name(_routes(before)), _by_name(_routes(after)), _route_fields(Route)
        ),
        *_compare_named(
            "service",
            before.terms_by_service,
            after.terms_by_service,
            _route_fields(ServiceTerms),
        ),
    ]
    for name in _route_fields(CallerLimits):
        old, new = getattr(before.limits, name), getattr(after.limits, name)
        if old != new:
            differences.append(RouteDifference("limits", name, str(old), str(new)))
    return differences


def check_version(before: RouteTable, after: RouteTable) -> list[Finding]:
    """Return an error if daemons would ignore a desired state, as its version does not rise."""
    if after.version > before.version:
        return []
    message = f"{after.version} is not above {before.version}, which is in force"
    return [Finding(FindingKind.ERROR, "version", message)]


def _routes(table: RouteTable) -> list[Route]:
    return [route for routes in table.routes_by_host.values() for route in routes]


def _by_name(routes: list[Route]) -> dict[str, Route]:
    return {route.name: route for route in routes}


def _unmatched_routes(table: RouteTable) -> Iterator[Finding]:
    """Yield the routes that no request selects, whatever its path and host."""
    for host, routes in table.routes_by_host.items():
        first_by_prefix: dict[str, Route] = {}
        for route in routes:
            place = _place(route)
            if not host or ":" in host:
                yield Finding(
                    FindingKind.UNREACHABLE, place, f"host '{route.host}' is no name without a port"
                )
            if not route.prefix.startswith("/"):
                yield Finding(
                    FindingKind.UNREACHABLE, place, f"prefix '{route.prefix}' begins no path"
                )
            first = first_by_prefix.setdefault(route.prefix, route)
            if first is not route:
                yield Finding(
                    FindingKind.UNREACHABLE,
                    place,
                    f"route '{first.name}' has the same host and prefix and goes first",
                )


def _unused_services(table: RouteTable, routes: list[Route]) -> Iterator[Finding]:
    used = {service for route in routes for service in route.services()}
    for name in sorted(table.terms_by_service.keys() - used):
        yield Finding(FindingKind.UNREACHABLE, f"services.{name}", "no route uses this service")


def _unreachable_parts(table: RouteTable, route: Route) -> Iterator[Finding]:
    """Yield the services of a route that get none of its requests, or do not exist."""
    place = _place(route)
    for service in sorted(route.services() - table.terms_by_service.keys()):
        yield Finding(
            FindingKind.UNREACHABLE, place, f"service '{service}' is not among the services"
        )
    for choice in route.choices:
        if choice.weight == 0:
            yield Finding(
                FindingKind.UNREACHABLE,
                place,
                f"service '{choice.service}' has weight 0 and gets no request",
            )
    duplicates = {shard for shard in route.shards if route.shards.count(shard) > 1}
    for shard in sorted(duplicates):
        yield Finding(FindingKind.ERROR, place, f"shard '{shard}' is listed more than once")


def _route_contradictions(route: Route, repeats: RepeatBound | None) -> Iterator[Finding]:
    place = _place(route)
    if route.timeout < route.latency_target:
        yield _contradiction(
            place,
            f"the timeout of {route.timeout:g} ms ends requests before the latency target of "
            f"{route.latency_target:g} ms",
        )
    if route.priority < 0:
        yield _contradiction(place, f"priority {route.priority} is above the highest, 0")
    if isinstance(route.merge, TopRecords) and route.merge.count == 0:
        yield _contradiction(place, "a gather that keeps 0 records returns empty answers")
    if repeats is not None and route.max_attempts > 1 and not (repeats.ratio or repeats.slack):
        yield _contradiction(
            place,
            f"{route.max_attempts} attempts are allowed, but the settings allow no repeats",
        )


def _caller_limit_contradictions(limits: CallerLimits) -> Iterator[Finding]:
    if limits.max_head_bytes < MIN_USEFUL_HEAD_BYTES:
        yield _contradiction(
            "limits", f"a head of at most {limits.max_head_bytes} bytes refuses usual requests"
        )
    if limits.idle_timeout < limits.head_timeout:
        yield _contradiction(
            "limits",
            f"connections close after {limits.idle_timeout:g} ms idle, before the "
            f"{limits.head_timeout:g} ms in which a head may arrive",
        )


def _contradiction(place: str, message: str) -> Finding:
    return Finding(FindingKind.CONTRADICTION, place, message)


def _place(route: Route) -> str:
    return f"routes.{route.name}"


def _route_fields(model: type[Route] | type[ServiceTerms] | type[CallerLimits]) -> list[str]:
    return [field.name for field in fields(model) if field.name != "name"]


def _compare_named(
    kind: str,
    before: dict[str, Route] | dict[str, ServiceTerms],
    after: dict[str, Route] | dict[str, ServiceTerms],
    names: list[str],
) -> Iterator[RouteDifference]:
    for entry in sorted(before.keys() | after.keys()):
        place = f"{kind}s.{entry}"
        old, new = before.get(entry), after.get(entry)
        if old is None or new is None:
            yield RouteDifference(place, "", "", "added" if old is None else "removed")
            continue
        for name in names:
            a, b = getattr(old, name), getattr(new, name)
            if a != b:
                yield RouteDifference(place, name, str(a), str(b))
