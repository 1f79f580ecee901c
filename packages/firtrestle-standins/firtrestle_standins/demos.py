"""Demo of the whole system: load on a fleet while a target and a daemon are killed."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.events import Event
from firtrestle.traces import replay

from firtrestle_standins.callers import Callers, Plan, search_plans
from firtrestle_standins.loads import balanced_callers
from firtrestle_standins.rigs import Rig
from firtrestle_standins.shapes import FEES, REGISTRY, REVIEW_DESK

CATALOGUE = """
entries:
  corner-lookup:
    owner: review-desk
    class: urgent
    collection: corners
    paths: [/legacy/corners]
    least_coverage: 0.9
    timeout_ms: 2000
  lodgement-search:
    owner: registry
    collection: registry
    timeout_ms: 2000
  fee-entry:
    owner: fee-ledger
    kind: submit
    collection: fees
    timeout_ms: 2000
"""
SEED = 7
QUERIES = 300
RATE_PER_SECOND = 40.0
KILL_TARGET_AFTER = Millis(2_000)
KILL_DAEMON_AFTER = Millis(2_000)  # counted from the kill of the target
QUERY_TIMEOUT = Millis(2_000)
COLUMNS = ("group", "sent", "answered", "whole", "refused", "coverage", "p50 ms", "p99 ms")


async def run() -> bool:
    """Run the demo; return whether no row was lost, duplicated or wrong and no rule violated."""
    rig = Rig(seed=SEED)
    try:
        return await _run_on_rig(rig)
    finally:
        rig.close()


async def _run_on_rig(rig: Rig) -> bool:
    print("starting 1 platform, 17 targets and 3 daemons in 2 data centres", flush=True)
    await rig.start_platform()
    async with trio.open_nursery() as nursery:
        for shape in (REVIEW_DESK, REGISTRY, FEES):
            nursery.start_soon(rig.start_targets, shape)
    await rig.publish_catalogue(CATALOGUE)
    await rig.start_daemons(3)
    await rig.wait_until_ready()
    async with balanced_callers(rig, SEED) as callers, trio.open_nursery() as nursery:
        nursery.start_soon(_kill_during_load, rig)
        await callers.run(_plans(rig), RATE_PER_SECOND)
    await rig.collect_events()
    return _report(rig, callers)


def _plans(rig: Rig) -> list[Plan]:
    corners = search_plans(
        QUERIES // 2, "/collections/corner-lookup", "corners", QUERY_TIMEOUT, SEED, "corner lookup"
    )
    registry = search_plans(
        QUERIES // 2, "/collections/lodgement-search", "registry", QUERY_TIMEOUT, SEED, "registry"
    )
    old_path = search_plans(20, "/legacy/corners", "corners", QUERY_TIMEOUT, SEED, "old path")
    mixed = [plan for pair in zip(corners, registry, strict=True) for plan in pair]
    return mixed + old_path


async def _kill_during_load(rig: Rig) -> None:
    await sleep(KILL_TARGET_AFTER)
    print("killing target corners-3 and daemon d2", flush=True)
    rig.kill("corners-3")
    await sleep(KILL_DAEMON_AFTER)
    rig.kill("d2")


def _report(rig: Rig, callers: Callers) -> bool:
    print(" ".join(f"{name:>13}" for name in COLUMNS))
    for group, tally in callers.tally_by_group.items():
        cells = (
            group,
            tally.sent,
            tally.answered,
            tally.whole,
            sum(tally.refused.values()),
            f"{tally.coverage:.2%}",
            f"{tally.percentile(50):.1f}",
            f"{tally.percentile(99):.1f}",
        )
        print(" ".join(f"{cell:>13}" for cell in cells))
    tallies = callers.tally_by_group.values()
    lost = sum(tally.rows_lost + tally.without_answer for tally in tallies)
    doubled = sum(tally.rows_doubled for tally in tallies)
    wrong = sum(tally.rows_wrong for tally in tallies)
    print(f"extra load on targets: {_extra_load(rig.trace()):.2%}")
    print(f"lost {lost}, doubled {doubled}, wrong {wrong}")
    violations_by_rule = {name: found for name, found in replay(rig.trace()).items() if found}
    for name, found in violations_by_rule.items():
        print(f"rule {name} has {len(found)} violations, first: {found[0].message}")
    return not (lost or doubled or wrong or violations_by_rule)


def _extra_load(trace: Sequence[Event]) -> float:
    """Return the extra load on targets as a share of the sub-requests needed, one per shard.

    Counts the attempts of answered queries. An attempt that was refused by a holder, or that found
    no holder, did not reach a target and does not count.
    """
    answered = [event for event in trace if "sent" in event.fields and "shards" in event.fields]
    needed = sum(event.fields["shards"] for event in answered)
    sent = sum(event.fields["sent"] for event in answered)
    ids = {event.request_id for event in answered}
    unreached = sum(e.fields.get("reached") is False and e.request_id in ids for e in trace)
    return (sent - unreached) / max(1, needed) - 1


def main() -> None:
    """Run the demo and exit 0 only if every check passed."""
    sys.exit(0 if trio.run(run) else 1)


if __name__ == "__main__":
    main()
