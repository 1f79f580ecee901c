"""Define the benchmark scenarios: shapes, load, faults and scripted events."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from firtrestle.clocks import Millis, sleep
from firtrestle_standins.callers import Plan, search_plans
from firtrestle_standins.rigs import Rig
from firtrestle_standins.shapes import REGISTRY, REVIEW_DESK, Shape

Script = Callable[[Rig], Awaitable[None]]

QUERY_TIMEOUT = Millis(2_000)
SOAK_FAULT_COUNT = 25
SOAK_FAULT_INTERVAL = Millis(5_000)  # length of a fault, and pause after it
DESK_PATH = "/collections/desk"
CATALOGUE = """
entries:
  desk:
    owner: bench
    class: urgent
    collection: {collection}
    timeout_ms: 2000
    canary: {canary}
  desk-ordinary:
    owner: bench
    class: ordinary
    collection: {collection}
    timeout_ms: 2000
"""


async def _no_script(rig: Rig) -> None:
    return


@dataclass(frozen=True, slots=True)
class Scenario:
    """Represent a scenario; `script` runs concurrently with the load."""

    name: str
    description: str
    shape: Shape = REVIEW_DESK
    rate_per_second: float = 30.0
    ordinary_rate_per_second: float = 0.0
    seconds: float = 20.0
    timeout: Millis = QUERY_TIMEOUT
    poison: str = ""
    canary: str = "new-shapes"
    faults: dict[str, Any] = field(default_factory=dict)
    script: Script = _no_script
    policies: tuple[str, ...] = ("baseline", "chosen")
    in_all: bool = True

    def catalogue(self) -> str:
        """Return the catalogue as YAML."""
        return CATALOGUE.format(collection=self.shape.collection, canary=self.canary)

    def plans(self, seed: int) -> list[tuple[float, list[Plan]]]:
        """Return each group of queries with its rate per second."""
        collection = self.shape.collection
        count = round(self.rate_per_second * self.seconds)
        groups = [
            (
                self.rate_per_second,
                search_plans(count, DESK_PATH, collection, self.timeout, seed, "urgent"),
            )
        ]
        if self.ordinary_rate_per_second:
            count = round(self.ordinary_rate_per_second * self.seconds)
            path = DESK_PATH + "-ordinary"
            plans = search_plans(count, path, collection, self.timeout, seed, "ordinary")
            groups.append((self.ordinary_rate_per_second, plans))
        return groups


async def _slow_instance(rig: Rig) -> None:
    await sleep(Millis(4_000))
    await rig.control("corners-2", slow_factor=10.0)


async def _crash_and_restart(rig: Rig) -> None:
    await sleep(Millis(4_000))
    rig.kill("corners-4")
    await sleep(Millis(5_000))
    rig.restart_target("corners-4")


async def _index_change(rig: Rig) -> None:
    for number in range(2, 6):
        await sleep(Millis(3_000))
        await rig.add_version(REVIEW_DESK, REVIEW_DESK.version(number, extra_documents=30 * number))
        await sleep(Millis(500))
        await rig.drop_version(REVIEW_DESK, number - 1)


async def _repartition(rig: Rig) -> None:
    for number, shards in ((2, 20), (3, 45), (4, 30)):
        await sleep(Millis(4_000))
        await rig.add_version(REVIEW_DESK, REVIEW_DESK.version(number, shards=shards))
        await sleep(Millis(500))
        await rig.drop_version(REVIEW_DESK, number - 1)


async def _drain(rig: Rig) -> None:
    await sleep(Millis(5_000))
    await rig.control("corners-1", draining=True)
    await sleep(Millis(3_000))
    for vm in rig.vms:
        if vm["id"] == "corners-6":
            vm["state"] = "leaving"
    await rig.publish_vms()


async def _cold_start(rig: Rig) -> None:
    await sleep(Millis(3_000))
    rig.kill("corners-5")
    await sleep(Millis(3_000))
    rig.restart_target("corners-5")
    await sleep(Millis(500))
    await rig.control("corners-5", slow_factor=6.0)
    await sleep(Millis(3_000))
    await rig.control("corners-5", slow_factor=1.0)


async def _lying_reports(rig: Rig) -> None:
    await rig.control("corners-0", claimed_load=0.0, slow_factor=6.0)
    await rig.control("corners-5", claimed_load=0.0, fail_share=0.5)


async def _lost_searcher(rig: Rig) -> None:
    await sleep(Millis(5_000))
    rig.kill("registry-2")


async def _soak(rig: Rig) -> None:
    """Inject faults and changes one after the other, drawn from the rig's seed."""
    rng = random.Random(f"soak/{rig.seed}")
    catalogue = SCENARIO_BY_NAME["soak"].catalogue()
    for _ in range(SOAK_FAULT_COUNT):
        target = rng.choice(REVIEW_DESK.target_ids())
        daemon = rng.choice(rig.daemons())
        fault = rng.choice(("target", "daemon", "slow", "freeze", "change"))
        if fault == "target":
            rig.kill(target)
            await sleep(SOAK_FAULT_INTERVAL)
            rig.restart_target(target)
        elif fault == "daemon":
            await rig.stop(daemon)
            rig.start_daemon(daemon)
        elif fault == "slow":
            await rig.control(target, slow_factor=8.0)
            await sleep(SOAK_FAULT_INTERVAL)
            await rig.control(target, slow_factor=1.0)
        elif fault == "freeze":
            rig.freeze(daemon)
            await sleep(SOAK_FAULT_INTERVAL)
            rig.thaw(daemon)
        else:
            await rig.publish_catalogue(catalogue)
        await sleep(SOAK_FAULT_INTERVAL)


def _scenarios() -> list[Scenario]:
    straggle = {"straggle_share": 0.01, "straggle_factor": 20.0, "latency_ms": 30.0}
    return [
        Scenario("calm", "no faults", faults={"latency_ms": 30.0}, rate_per_second=12.0),
        Scenario(
            "calm-canaries",
            "no faults, and each new query goes to one shard first as a canary",
            faults={"latency_ms": 30.0},
            rate_per_second=12.0,
            canary="always",
            policies=("chosen",),
        ),
        Scenario(
            "straggler",
            "1 in 100 sub-replies is 20 times slower",
            faults=straggle,
            rate_per_second=12.0,
            seconds=40.0,
        ),
        Scenario("slow-instance", "one instance is 10 times slower", script=_slow_instance),
        Scenario(
            "lying-load-reports",
            "one slow and one failing instance that report no load",
            script=_lying_reports,
        ),
        Scenario("shedding", "3 in 100 sub-requests are shed", faults={"shed_share": 0.03}),
        Scenario(
            "overload",
            "the urgent-alone load with ordinary load, in all twice what the slots can serve",
            faults={"latency_ms": 120.0},
            rate_per_second=15.0,
            ordinary_rate_per_second=85.0,
        ),
        Scenario(
            "urgent-alone",
            "the urgent load of the overload scenario by itself",
            faults={"latency_ms": 120.0},
            rate_per_second=15.0,
        ),
        Scenario(
            "crash-and-restart", "one instance is killed and restarted", script=_crash_and_restart
        ),
        Scenario("index-change", "four new index versions", script=_index_change),
        Scenario(
            "repartition", "index versions with 30, 20, 45 and 30 shards", script=_repartition
        ),
        Scenario("drain", "one instance drains, another's VM is listed as leaving", script=_drain),
        Scenario(
            "cold-start",
            "one instance is killed and restarted, and is slow at first",
            script=_cold_start,
        ),
        Scenario(
            "poison",
            "a request that crashes its targets is sent six times",
            faults={"poison": "boom"},
            poison="boom",
        ),
        Scenario(
            "small-registry",
            "four searchers, one lost",
            shape=REGISTRY,
            rate_per_second=60.0,
            script=_lost_searcher,
        ),
        Scenario(
            "soak",
            "five minutes of kills, stops, freezes, slow targets and catalogue changes",
            rate_per_second=10.0,
            seconds=300.0,
            script=_soak,
            policies=("chosen",),
            in_all=False,
        ),
    ]


SCENARIO_BY_NAME = {scenario.name: scenario for scenario in _scenarios()}
