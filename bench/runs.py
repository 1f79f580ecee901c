"""Run a scenario under a policy, and summarise its results."""

from __future__ import annotations

import sys
from dataclasses import asdict, dataclass
from typing import Any

import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.events import Event, EventKind
from firtrestle.traces import replay
from firtrestle_standins.callers import Callers, Plan, Tally
from firtrestle_standins.loads import balanced_callers
from firtrestle_standins.rigs import Rig

from bench.scenarios import DESK_PATH, Scenario

DAEMON_COUNT = 3
POISON_SENDS = 6
POISON_INTERVAL = Millis(1_500)
POLICY_SETTINGS: dict[str, dict[str, Any]] = {
    "baseline": {
        "policies": {"chooser": "random", "hedger": "none", "admitter": "none"},
        "quarantine": {"canaries": 0, "deaths": 1_000_000},
    },
    "chosen": {},
}


@dataclass(frozen=True, slots=True)
class GroupResult:
    """Represent the results of one group of queries; latencies in ms, coverage as a share."""

    group: str
    sent: int
    answered: int
    whole: int
    p50: float
    p99: float
    p999: float
    coverage: float
    refused: dict[str, int]
    without_answer: int
    rows_lost: int
    rows_doubled: int
    rows_wrong: int


@dataclass(frozen=True, slots=True)
class RunResult:
    """Represent the results of one run; `extra_load` is a share of the needed sub-requests."""

    scenario: str
    policy: str
    seed: int
    extra_load: float
    hedges: int
    targets_crashed: int
    breaches: dict[str, int]
    groups: list[GroupResult]

    def to_dict(self) -> dict[str, Any]:
        """Return the results as JSON-serialisable values."""
        return asdict(self)


async def run_scenario(scenario: Scenario, policy: str, seed: int) -> RunResult:
    """Run a scenario on a new rig, and stop the rig's processes."""
    rig = Rig(seed=seed, daemon_settings=POLICY_SETTINGS[policy])
    try:
        return await _run_on(rig, scenario, policy, seed)
    finally:
        rig.close()


async def _run_on(rig: Rig, scenario: Scenario, policy: str, seed: int) -> RunResult:
    await rig.start_platform()
    await rig.start_targets(scenario.shape, dict(scenario.faults))
    await rig.publish_catalogue(scenario.catalogue())
    await rig.start_daemons(DAEMON_COUNT)
    await rig.wait_until_ready()
    async with balanced_callers(rig, seed) as callers, trio.open_nursery() as nursery:
        nursery.start_soon(scenario.script, rig)
        if scenario.poison:
            nursery.start_soon(_send_poison, callers, scenario)
        for rate, plans in scenario.plans(seed):
            nursery.start_soon(callers.run, plans, rate)
    await rig.collect_events()
    if errors := rig.daemon_errors():
        print(errors, file=sys.stderr)
    return _summarise(rig, callers, scenario, policy, seed)


async def _send_poison(callers: Callers, scenario: Scenario) -> None:
    await sleep(POISON_INTERVAL)
    body = {"modulus": 97, "remainder": 1, "poison": scenario.poison}
    plan = Plan(DESK_PATH, scenario.shape.collection, body, scenario.timeout, group="poison")
    for _ in range(POISON_SENDS):
        await callers.send(plan)
        await sleep(POISON_INTERVAL)


def _summarise(rig: Rig, callers: Callers, scenario: Scenario, policy: str, seed: int) -> RunResult:
    trace = rig.trace()
    breaches = {name: len(violations) for name, violations in replay(trace).items() if violations}
    crashed = {
        event.process + str(event.incarnation)
        for event in trace
        if event.kind is EventKind.TARGET_CRASHED
    }
    return RunResult(
        scenario.name,
        policy,
        seed,
        _extra_load(trace),
        sum(event.kind is EventKind.SUB_HEDGED for event in trace),
        len(crashed),
        breaches,
        [_group_result(name, tally) for name, tally in sorted(callers.tally_by_group.items())],
    )


def _extra_load(trace: list[Event]) -> float:
    """Return the sub-requests received beyond one per request and shard, as a share of these."""
    received_by_request: dict[str, int] = {}
    shards_by_request: dict[str, set[int]] = {}
    for event in trace:
        if event.kind is EventKind.TARGET_RECEIVED:
            received_by_request[event.request_id] = received_by_request.get(event.request_id, 0) + 1
            shards_by_request.setdefault(event.request_id, set()).add(event.fields["shard"])
    needed = sum(len(shards) for shards in shards_by_request.values())
    return sum(received_by_request.values()) / needed - 1 if needed else 0.0


def _group_result(name: str, tally: Tally) -> GroupResult:
    return GroupResult(
        name,
        tally.sent,
        tally.answered,
        tally.whole,
        tally.percentile(50),
        tally.percentile(99),
        tally.percentile(99.9),
        tally.coverage,
        dict(tally.refused),
        tally.without_answer,
        tally.rows_lost,
        tally.rows_doubled,
        tally.rows_wrong,
    )
