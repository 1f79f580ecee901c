"""Measure how the cost of a daemon grows with the deployment: `python -m bench.slopes`."""

from __future__ import annotations

import json
import os
import re
import statistics
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import matplotlib
import trio
import typer
from firtrestle.clocks import MILLIS_PER_SECOND, Millis, sleep
from firtrestle.http_clients import HttpReply, fetch
from firtrestle_standins.callers import Callers, search_plans
from firtrestle_standins.records import EventFile
from firtrestle_standins.rigs import Rig
from firtrestle_standins.shapes import Shape

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402  the backend must be chosen first

FIGURES_FOLDER = Path(__file__).parents[1] / "docs" / "design" / "figures"
MEASUREMENT_SECONDS = 10.0
SETTLE_TIME = Millis(4_000)
DAEMON_COUNTS = (4, 8, 16, 32, 64)
TARGET_COUNTS = (10, 50, 150, 333)  # with three searchers each
ENTRY_COUNTS = (10, 100, 1_000)
SHARD_COUNTS = (4, 10, 30, 60)
CHANGES_PER_SECOND = (0.0, 0.5, 1.0, 2.0)
QUERIES_PER_SECOND = 8.0
BYTES_PER_KIB = 1_024
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Cost:
    """Represent the mean cost of one daemon: percent of a core, MiB, and KiB/s with its peers.

    `platform_calls_s` is the rate of platform calls by all daemons together.
    """

    cpu_percent: float
    memory_mb: float
    sent_kb_s: float
    received_kb_s: float
    platform_calls_s: float


@dataclass(frozen=True, slots=True)
class Fit:
    """Represent a line fitted to measured points, and the largest absolute residual."""

    slope: float
    intercept: float
    largest_residual: float


def fit(xs: list[float], ys: list[float]) -> Fit:
    """Fit a line to the points by least squares."""
    line = statistics.linear_regression(xs, ys)
    residuals = [abs(y - line.slope * x - line.intercept) for x, y in zip(xs, ys, strict=True)]
    return Fit(line.slope, line.intercept, max(residuals))


async def measure(rig: Rig, seconds: float = MEASUREMENT_SECONDS) -> Cost:
    """Measure the daemons of a rig for a time, and return their mean cost."""
    names = rig.daemons()
    before = [await _read_usage(rig, name) for name in names]
    calls_before = await _platform_calls(rig)
    started_at = rig.clock.now()
    await sleep(Millis(seconds * MILLIS_PER_SECOND))
    after = [await _read_usage(rig, name) for name in names]
    elapsed_s = (rig.clock.now() - started_at) / MILLIS_PER_SECOND
    calls = await _platform_calls(rig) - calls_before
    increases = [_difference(old, new) for old, new in zip(before, after, strict=True)]
    mean = [statistics.mean(column) / elapsed_s for column in zip(*increases, strict=True)]
    memory = statistics.mean(_memory_mb(rig, name) for name in names)
    return Cost(
        mean[0] * 100, memory, mean[1] / BYTES_PER_KIB, mean[2] / BYTES_PER_KIB, calls / elapsed_s
    )


async def measure_by_daemons() -> dict[float, Cost]:
    """Measure idle daemons by their number."""
    costs: dict[float, Cost] = {}
    for count in DAEMON_COUNTS:
        async with trio.open_nursery():
            rig = Rig()
            try:
                await rig.start_platform()
                await rig.start_targets(_shape(6, 6), per_process=6)
                await rig.publish_catalogue(_catalogue(10))
                await rig.start_daemons(count, data_centres=5)
                await rig.wait_until_ready()
                await sleep(SETTLE_TIME)
                costs[count] = await measure(rig)
                print("daemons", count, costs[count], flush=True)
            finally:
                rig.close()
    return costs


async def measure_by_targets() -> dict[float, Cost]:
    """Measure four idle daemons by the number of targets."""

    async def run(rig: Rig, count: int) -> None:
        await rig.start_targets(_shape(count, count), per_process=20)

    return await _measure_series(TARGET_COUNTS, run, "targets")


async def measure_by_entries() -> dict[float, Cost]:
    """Measure four idle daemons by the number of catalogue entries."""

    async def run(rig: Rig, count: int) -> None:
        await rig.start_targets(_shape(6, 6), per_process=6)
        await rig.publish_catalogue(_catalogue(count))

    return await _measure_series(ENTRY_COUNTS, run, "entries")


async def measure_by_changes() -> dict[float, Cost]:
    """Measure four daemons by the rate of changes to a catalogue of 100 entries."""
    costs: dict[float, Cost] = {}
    for rate in CHANGES_PER_SECOND:
        rig = Rig()
        try:
            await rig.start_platform()
            await rig.publish_catalogue(_catalogue(100))
            await rig.start_daemons(4, data_centres=2)
            await rig.wait_until_ready()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_change_catalogue_at, rig, rate)
                costs[rate] = await measure(rig)
                nursery.cancel_scope.cancel()
            print("changes", rate, costs[rate], flush=True)
        finally:
            rig.close()
    return costs


async def measure_by_shards() -> dict[float, Cost]:
    """Measure one daemon under a fixed query rate by the number of shards."""
    costs: dict[float, Cost] = {}
    for shards in SHARD_COUNTS:
        rig = Rig()
        try:
            await rig.start_platform()
            shape = _shape(max(2, shards // 3), shards)
            await rig.start_targets(shape, {"latency_ms": 10.0}, per_process=4)
            await rig.publish_catalogue(_catalogue(1))
            await rig.start_daemons(1)
            await rig.wait_until_ready()
            await sleep(SETTLE_TIME)
            event_file = EventFile("callers", rig.folder / "callers.jsonl")
            callers = Callers(rig.daemon_addresses, rig.versions, event_file, 1)
            count = round(QUERIES_PER_SECOND * (MEASUREMENT_SECONDS + 2))
            plans = search_plans(count, "/collections/e0", "wide", Millis(5_000), 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.run, plans, QUERIES_PER_SECOND)
                await sleep(Millis(1_000))
                costs[shards] = await measure(rig)
            print("shards", shards, costs[shards], flush=True)
        finally:
            rig.close()
    return costs


async def _measure_series(
    counts: tuple[int, ...], prepare: Callable[[Rig, int], Awaitable[None]], name: str
) -> dict[float, Cost]:
    costs: dict[float, Cost] = {}
    for count in counts:
        rig = Rig()
        try:
            await rig.start_platform()
            await rig.publish_catalogue(_catalogue(1))
            await prepare(rig, count)
            await rig.start_daemons(4, data_centres=2)
            await rig.wait_until_ready()
            await sleep(SETTLE_TIME)
            costs[count] = await measure(rig)
            print(name, count, costs[count], flush=True)
        finally:
            rig.close()
    return costs


async def _change_catalogue_at(rig: Rig, rate: float) -> None:
    number = 0
    while rate:
        number += 1
        await sleep(Millis(MILLIS_PER_SECOND / rate))
        await rig.publish_catalogue(_catalogue(100, number))


def _shape(instances: int, shards: int) -> Shape:
    return Shape("wide", instances, 3, 3, 30, 1.0, shards=shards, documents=shards * 20)


def _catalogue(entries: int, change_number: int = 0) -> str:
    lines = ["entries:"]
    for number in range(entries):
        lines.append(f"  e{number}:")
        lines.append(f"    {{owner: team-{change_number}, collection: wide, timeout_ms: 5000}}")
    return "\n".join(lines) + "\n"


async def _read_usage(rig: Rig, name: str) -> tuple[float, float, float]:
    """Return a daemon's CPU seconds, and the bytes sent to and received from its peers."""
    process = rig.by_name[name]
    fields = Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    reply = await fetch(process.address, "GET", "/-/metrics", Millis(5_000))
    text = reply.body.decode() if isinstance(reply, HttpReply) else ""
    bytes_by_way = dict(re.findall(r'firtrestle_peer_bytes\{way="(\w+)"\} ([\d.e+]+)', text))
    return cpu, float(bytes_by_way.get("sent", 0)), float(bytes_by_way.get("received", 0))


def _difference(before: tuple[float, ...], after: tuple[float, ...]) -> tuple[float, ...]:
    return tuple(new - old for old, new in zip(before, after, strict=True))


def _memory_mb(rig: Rig, name: str) -> float:
    pid = rig.by_name[name].handle.pid
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_KIB / BYTES_PER_KIB


async def _platform_calls(rig: Rig) -> int:
    reply = await fetch(rig.by_name["platform"].address, "GET", "/calls", Millis(5_000))
    return len(reply.json()["calls"]) if isinstance(reply, HttpReply) else 0


SERIES_BY_NAME: dict[str, Callable[[], Awaitable[dict[float, Cost]]]] = {
    "daemons": measure_by_daemons,
    "targets": measure_by_targets,
    "entries": measure_by_entries,
    "changes": measure_by_changes,
    "shards": measure_by_shards,
}


def plot(name: str, costs: dict[float, Cost]) -> None:
    """Draw a series as SVG, with one panel per cost."""
    panels = ("cpu_percent", "memory_mb", "received_kb_s")
    figure, axes = pyplot.subplots(1, len(panels), figsize=(12, 3.2))
    xs = list(costs)
    for axis, panel in zip(axes, panels, strict=True):
        ys = [getattr(cost, panel) for cost in costs.values()]
        line = fit(xs, ys)
        axis.plot(xs, ys, "o")
        axis.plot(xs, [line.slope * x + line.intercept for x in xs], "-", linewidth=1)
        axis.set_xlabel(name)
        axis.set_title(panel)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(FIGURES_FOLDER / f"slopes-{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def main(
    series: Annotated[list[str] | None, typer.Argument(help=", ".join(SERIES_BY_NAME))] = None,
) -> None:
    """Measure the given series, or all, and write figures and plots to the design documents."""
    FIGURES_FOLDER.mkdir(parents=True, exist_ok=True)
    for name in series or list(SERIES_BY_NAME):
        costs = trio.run(SERIES_BY_NAME[name])
        points = {str(x): asdict(cost) for x, cost in costs.items()}
        cost_names = [field for field in asdict(next(iter(costs.values())))]
        xs = list(costs)
        fits = {
            cost_name: asdict(fit(xs, [getattr(cost, cost_name) for cost in costs.values()]))
            for cost_name in cost_names
        }
        document = {"points": points, "fits": fits}
        (FIGURES_FOLDER / f"slopes-{name}.json").write_text(json.dumps(document, indent=1) + "\n")
        plot(name, costs)


if __name__ == "__main__":
    typer.run(main)
