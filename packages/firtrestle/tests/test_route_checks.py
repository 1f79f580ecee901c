"""Check each finding in a desired state, and that a sound one has none."""

from dataclasses import replace

import pytest
from firtrestle.clocks import Millis
from firtrestle.route_checks import (
    Finding,
    FindingKind,
    RepeatBound,
    check_routes,
    check_version,
    compare_routes,
)
from firtrestle.routes import CallerLimits, RouteTable, ServiceTerms, TopRecords, WeightedService
from route_fakes import plain_route, scatter_route

GATHER = replace(scatter_route(2), name="gather", prefix="/g/")
SINGLE = replace(plain_route(), name="single", prefix="/s/", choices=(WeightedService("x", 1.0),))
SERVICES = ("s0", "s1", "x")


def table(*routes, services=SERVICES, limits=None, version=1):
    terms = {name: ServiceTerms(name, 31) for name in services}
    return RouteTable.from_routes(version, list(routes), terms, limits or CallerLimits())


def test_a_sound_state_has_no_finding():
    assert check_routes(table(GATHER, SINGLE), RepeatBound(0.2, 50)) == []


UNREACHABLE_CASES = {
    "same host and prefix": table(GATHER, SINGLE, replace(SINGLE, name="again")),
    "begins no path": table(GATHER, replace(SINGLE, prefix="s/")),
    "without a port": table(GATHER, replace(SINGLE, host="h:80")),
    "no route uses": table(GATHER, SINGLE, services=(*SERVICES, "unused")),
    "not among the services": table(GATHER, SINGLE, services=("s0", "s1")),
    "weight 0": table(
        GATHER, replace(SINGLE, choices=(WeightedService("x", 1.0), WeightedService("s0", 0.0)))
    ),
}


# Guards against an entry that is published and silently gets no request.
@pytest.mark.parametrize("text", UNREACHABLE_CASES)
def test_an_entry_that_can_never_match_is_found(text):
    [finding] = check_routes(UNREACHABLE_CASES[text])
    assert finding.kind is FindingKind.UNREACHABLE
    assert text in finding.message


CONTRADICTIONS = {
    "latency target": table(GATHER, replace(SINGLE, latency_target=Millis(2_000))),
    "priority -1": table(GATHER, replace(SINGLE, priority=-1)),
    "0 records": table(replace(GATHER, merge=TopRecords(0)), SINGLE),
    "refuses usual requests": table(GATHER, SINGLE, limits=CallerLimits(max_head_bytes=100)),
    "idle": table(GATHER, SINGLE, limits=CallerLimits(idle_timeout=Millis(1_000))),
}


@pytest.mark.parametrize("text", CONTRADICTIONS)
def test_limits_that_contradict_each_other_are_found(text):
    [finding] = check_routes(CONTRADICTIONS[text])
    assert finding.kind is FindingKind.CONTRADICTION
    assert text in finding.message


def test_attempts_without_a_budget_of_repeats_are_found():
    findings = check_routes(table(GATHER, SINGLE), RepeatBound(0.0, 0.0))
    assert {finding.place for finding in findings} == {"routes.gather", "routes.single"}


def test_a_shard_that_is_listed_twice_is_an_error():
    [finding] = check_routes(table(replace(GATHER, shards=("s0", "s1", "s0")), SINGLE))
    assert finding.kind is FindingKind.ERROR


def test_a_version_that_does_not_rise_is_an_error():
    assert check_version(table(version=7), table(version=8)) == []
    assert check_version(table(version=7), table(version=7)) == [
        Finding(FindingKind.ERROR, "version", "7 is not above 7, which is in force")
    ]


def test_differences_name_each_entry_and_field():
    before = table(GATHER, SINGLE)
    changed = replace(SINGLE, timeout=Millis(2_000))
    limits = CallerLimits(max_body_bytes=1)
    after = table(changed, replace(GATHER, name="new"), services=("s0", "s1"), limits=limits)
    rows = {(d.place, d.field, d.before, d.after) for d in compare_routes(before, after)}
    assert rows == {
        ("routes.gather", "", "", "removed"),
        ("routes.new", "", "", "added"),
        ("routes.single", "timeout", "1000", "2000"),
        ("services.x", "", "", "removed"),
        ("limits", "max_body_bytes", "262144", "1"),
    }
