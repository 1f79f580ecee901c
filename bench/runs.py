"""Run one scenario under one policy and sum up what came of it."""

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

from bench.scenarios import DESK, Scenario

DAEMONS = 3
POISON_RESENDS = 6
POISON_PAUSE = Millis(1_500)
POLICY_SETTINGS: dict[str, dict[str, Any]] = {
    "baseline": {
        "policies": {"chooser": "random", "hedger": "none", "admitter": "none"},
        "quarantine": {"canaries": 0, "deaths": 1_000_000},
    },
    "chosen": {},
}


@dataclass(frozen=True, slots=True)
class GroupResult:
    """Hold the figures of one group of queries; times in ms."""

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
    """Hold the figures of one run."""

    scenario: str
    policy: str
    seed: int
    extra_load: float
    hedges: int
    targets_crashed: int
    breaches: dict[str, int]
    groups: list[GroupResult]

    def to_dict(self) -> dict[str, Any]:
        """Return the figures as plain values."""
        return asdict(self)


async def run_scenario(scenario: Scenario, policy: str, seed: int) -> RunResult:
    """Run a scenario on processes of its own."""
    rig = Rig(seed=seed, daemon_settings=POLICY_SETTINGS[policy])
    try:
        return await _run_on(rig, scenario, policy, seed)
    finally:
        rig.close()


async def _run_on(rig: Rig, scenario: Scenario, policy: str, seed: int) -> RunResult:
    await rig.start_platform()
    await rig.start_targets(scenario.shape, dict(scenario.faults))
    await rig.publish_catalogue(scenario.catalogue())
    await rig.start_daemons(DAEMONS)
    await rig.wait_until_ready()
    async with balanced_callers(rig, seed) as callers, trio.open_nursery() as work:
        work.start_soon(scenario.script, rig)
        if scenario.poison:
            work.start_soon(_send_poison, callers, scenario)
        for rate, plans in scenario.plans(seed):
            work.start_soon(callers.run, plans, rate)
    await rig.collect_events()
    if errors := rig.daemon_errors():
        print(errors, file=sys.stderr)
    return _sum_up(rig, callers, scenario, policy, seed)


async def _send_poison(callers: Callers, scenario: Scenario) -> None:
    await sleep(POISON_PAUSE)
    body = {"modulus": 97, "remainder": 1, "poison": scenario.poison}
    plan = Plan(DESK, scenario.shape.collection, body, scenario.timeout, group="poison")
    for _ in range(POISON_RESENDS):
        await callers.send(plan)
        await sleep(POISON_PAUSE)


def _sum_up(rig: Rig, callers: Callers, scenario: Scenario, policy: str, seed: int) -> RunResult:
    trace = rig.trace()
    breaches = {name: len(found) for name, found in replay(trace).items() if found}
    crashed = {e.process + str(e.incarnation) for e in trace if e.kind is EventKind.TARGET_CRASHED}
    return RunResult(
        scenario.name,
        policy,
        seed,
        _extra_load(trace),
        sum(event.kind is EventKind.SUB_HEDGED for event in trace),
        len(crashed),
        breaches,
        [_group(name, tally) for name, tally in sorted(callers.tally_by_group.items())],
    )


def _extra_load(trace: list[Event]) -> float:
    """Return the share of sub-requests that targets saw beyond one for each shard asked."""
    seen: dict[str, int] = {}
    needed: dict[str, set[int]] = {}
    for event in trace:
        if event.kind is EventKind.TARGET_RECEIVED:
            seen[event.request_id] = seen.get(event.request_id, 0) + 1
            needed.setdefault(event.request_id, set()).add(event.fields["shard"])
    total = sum(len(shards) for shards in needed.values())
    return sum(seen.values()) / total - 1 if total else 0.0


def _group(name: str, tally: Tally) -> GroupResult:
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
