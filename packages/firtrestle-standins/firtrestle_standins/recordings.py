"""Record short traces of failures: `python -m firtrestle_standins.recordings NAME FOLDER`."""

from __future__ import annotations

import json
import random
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.keys import new_key
from firtrestle.traces import replay

from firtrestle_standins.callers import Callers, Plan, search_plans
from firtrestle_standins.loads import balanced_callers
from firtrestle_standins.rigs import Rig
from firtrestle_standins.shapes import Shape

DESK = Shape("desk", 3, 1, 3, 30, 2.0, shards=3, documents=90)
LEDGER = Shape("ledger", 2, 1, 3, 30, 2.0, shards=2, documents=0)
CATALOGUE = """
entries:
  desk: {owner: o, collection: desk, timeout_ms: 3000, extra_load: 0.1, canary: always}
  ledger: {owner: o, collection: ledger, kind: submit, timeout_ms: 1500}
"""
QUERY_TIMEOUT = Millis(3_000)
QUERIES = 40
RATE_PER_SECOND = 20.0
SEED = 3
COUNTED_EVENT_KINDS = ("caller-answered", "caller-refused", "target-ran", "target-crashed")

Script = Callable[[Rig, Callers], Awaitable[None]]


async def _kills(rig: Rig, callers: Callers) -> None:
    await sleep(Millis(500))
    rig.kill("desk-1")
    await sleep(Millis(500))
    rig.kill("d2")


async def _index_change(rig: Rig, callers: Callers) -> None:
    for number, shards in ((2, 4), (3, 2)):
        await sleep(Millis(500))
        await rig.add_version(DESK, DESK.version(number, shards, extra_documents=10 * number))
        await sleep(Millis(200))
        await rig.drop_version(DESK, number - 1)


async def _drain(rig: Rig, callers: Callers) -> None:
    await sleep(Millis(500))
    await rig.control("desk-0", draining=True)


async def _keys(rig: Rig, callers: Callers) -> None:
    rng = random.Random(SEED)
    clock = Clock()
    # Daemons accept only keys issued at least the clock skew (2 s) after they were established.
    await sleep(Millis(2_500))
    for _ in range(8):
        key = new_key(clock.wall(), rng.getrandbits(74))
        headers = {"Idempotency-Key": key}
        plan = Plan("/collections/ledger", "ledger", {"n": key}, Millis(1_500), headers, "keys")
        for _ in range(3):
            await callers.send(plan)


async def _poison(rig: Rig, callers: Callers) -> None:
    for target in DESK.target_ids():
        await rig.control(target, poison="boom")
    body = {"modulus": 3, "poison": "boom"}
    for _ in range(4):
        await callers.send(Plan("/collections/desk", "desk", body, QUERY_TIMEOUT, group="poison"))


SCRIPT_BY_NAME: dict[str, Script] = {
    "kills": _kills,
    "index-change": _index_change,
    "drain": _drain,
    "keys": _keys,
    "poison": _poison,
}


async def record_trace(name: str, folder: Path) -> dict[str, int]:
    """Run one failure script under light load and write its trace and outcome.

    Returns the number of violations of each rule.
    """
    rig = Rig(seed=SEED)
    try:
        await rig.start_platform()
        for shape in (DESK, LEDGER):
            await rig.start_targets(shape)
        await rig.publish_catalogue(CATALOGUE)
        await rig.start_daemons(3, data_centres=3)
        await rig.wait_until_ready()
        await _run_script(rig, name)
        rig.save_trace(folder / f"{name}.jsonl")
        return _write_outcome(rig, folder / f"{name}.outcome.json")
    finally:
        rig.close()


async def _run_script(rig: Rig, name: str) -> None:
    plans = search_plans(QUERIES, "/collections/desk", "desk", QUERY_TIMEOUT, SEED)
    async with balanced_callers(rig, SEED) as callers, trio.open_nursery() as nursery:
        nursery.start_soon(SCRIPT_BY_NAME[name], rig, callers)
        nursery.start_soon(callers.run, plans, RATE_PER_SECOND)
    await rig.collect_events()


def _write_outcome(rig: Rig, path: Path) -> dict[str, int]:
    trace = rig.trace()
    count_by_rule = {rule: len(found) for rule, found in replay(trace).items()}
    kinds = [str(event.kind) for event in trace]
    events = {kind: kinds.count(kind) for kind in COUNTED_EVENT_KINDS}
    path.write_text(json.dumps({"breaches": count_by_rule, "events": events}, indent=1) + "\n")
    return count_by_rule


def main() -> None:
    """Record the script named on the command line, or all of them."""
    name, folder = sys.argv[1], Path(sys.argv[2])
    names = list(SCRIPT_BY_NAME) if name == "all" else [name]
    for script_name in names:
        print(script_name, trio.run(record_trace, script_name, folder))


if __name__ == "__main__":
    main()
