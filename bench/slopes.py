"""Measure how the cost of a daemon grows: `python -m bench.slopes`, figures and plots to docs."""

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

FOLDER = Path(__file__).parents[1] / "docs" / "design" / "figures"
WATCH_SECONDS = 10.0
SETTLE = Millis(4_000)
DAEMONS = (4, 8, 16, 32, 64)
TARGETS = (10, 50, 150, 333)  # of three searchers each
ENTRIES = (10, 100, 1_000)
SHARDS = (4, 10, 30, 60)
CHANGES_PER_SECOND = (0.0, 0.5, 1.0, 2.0)
QUERIES_PER_SECOND = 8.0
KIBI = 1_024
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold what one daemon costs on average: percent of a core, MB, KB a second each way."""

    cpu_percent: float
    memory_mb: float
    sent_kb_s: float
    received_kb_s: float
    platform_calls_s: float


@dataclass(frozen=True, slots=True)
class Fit:
    """Hold a straight line through measured points and its largest residual."""

    slope: float
    intercept: float
    largest_residual: float


def fit(xs: list[float], ys: list[float]) -> Fit:
    """Fit a line by least squares."""
    line = statistics.linear_regression(xs, ys)
    residuals = [abs(y - line.slope * x - line.intercept) for x, y in zip(xs, ys, strict=True)]
    return Fit(line.slope, line.intercept, max(residuals))


async def measure(rig: Rig, seconds: float = WATCH_SECONDS) -> Cost:
    """Watch the fleet's daemons for a while."""
    names = rig.daemons()
    before = [await _read(rig, name) for name in names]
    calls_before = await _platform_calls(rig)
    started_at = rig.clock.now()
    await sleep(Millis(seconds * MILLIS_PER_SECOND))
    after = [await _read(rig, name) for name in names]
    watched = (rig.clock.now() - started_at) / MILLIS_PER_SECOND
    calls = await _platform_calls(rig) - calls_before
    grown = [_difference(b, a) for b, a in zip(before, after, strict=True)]
    mean = [statistics.mean(column) / watched for column in zip(*grown, strict=True)]
    memory = statistics.mean(_memory_mb(rig, name) for name in names)
    return Cost(mean[0] * 100, memory, mean[1] / KIBI, mean[2] / KIBI, calls / watched)


async def by_daemons() -> dict[float, Cost]:
    """Measure idle daemons of growing fleets."""
    found: dict[float, Cost] = {}
    for count in DAEMONS:
        async with trio.open_nursery():
            rig = Rig()
            try:
                await rig.start_platform()
                await rig.start_targets(_shape(6, 6), per_process=6)
                await rig.publish_catalogue(_catalogue(10))
                await rig.start_daemons(count, data_centres=5)
                await rig.wait_until_ready()
                await sleep(SETTLE)
                found[count] = await measure(rig)
                print("daemons", count, found[count], flush=True)
            finally:
                rig.close()
    return found


async def by_targets() -> dict[float, Cost]:
    """Measure four idle daemons over growing numbers of targets."""

    async def run(rig: Rig, count: int) -> None:
        await rig.start_targets(_shape(count, count), per_process=20)

    return await _vary(TARGETS, run, "targets")


async def by_entries() -> dict[float, Cost]:
    """Measure four idle daemons under growing catalogues."""

    async def run(rig: Rig, count: int) -> None:
        await rig.start_targets(_shape(6, 6), per_process=6)
        await rig.publish_catalogue(_catalogue(count))

    return await _vary(ENTRIES, run, "entries")


async def by_changes() -> dict[float, Cost]:
    """Measure four daemons under growing rates of catalogue changes of 100 entries."""
    found: dict[float, Cost] = {}
    for rate in CHANGES_PER_SECOND:
        rig = Rig()
        try:
            await rig.start_platform()
            await rig.publish_catalogue(_catalogue(100))
            await rig.start_daemons(4, data_centres=2)
            await rig.wait_until_ready()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_keep_changing, rig, rate)
                found[rate] = await measure(rig)
                nursery.cancel_scope.cancel()
            print("changes", rate, found[rate], flush=True)
        finally:
            rig.close()
    return found


async def by_shards() -> dict[float, Cost]:
    """Measure one daemon answering queries over growing numbers of shards."""
    found: dict[float, Cost] = {}
    for shards in SHARDS:
        rig = Rig()
        try:
            await rig.start_platform()
            shape = _shape(max(2, shards // 3), shards)
            await rig.start_targets(shape, {"latency_ms": 10.0}, per_process=4)
            await rig.publish_catalogue(_catalogue(1))
            await rig.start_daemons(1)
            await rig.wait_until_ready()
            await sleep(SETTLE)
            event_file = EventFile("callers", rig.folder / "callers.jsonl")
            callers = Callers(rig.daemon_addresses, rig.versions, event_file, 1)
            count = round(QUERIES_PER_SECOND * (WATCH_SECONDS + 2))
            plans = search_plans(count, "/collections/e0", "wide", Millis(5_000), 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.run, plans, QUERIES_PER_SECOND)
                await sleep(Millis(1_000))
                found[shards] = await measure(rig)
            print("shards", shards, found[shards], flush=True)
        finally:
            rig.close()
    return found


async def _vary(
    counts: tuple[int, ...], prepare: Callable[[Rig, int], Awaitable[None]], name: str
) -> dict[float, Cost]:
    found: dict[float, Cost] = {}
    for count in counts:
        rig = Rig()
        try:
            await rig.start_platform()
            await rig.publish_catalogue(_catalogue(1))
            await prepare(rig, count)
            await rig.start_daemons(4, data_centres=2)
            await rig.wait_until_ready()
            await sleep(SETTLE)
            found[count] = await measure(rig)
            print(name, count, found[count], flush=True)
        finally:
            rig.close()
    return found


async def _keep_changing(rig: Rig, rate: float) -> None:
    number = 0
    while rate:
        number += 1
        await sleep(Millis(MILLIS_PER_SECOND / rate))
        await rig.publish_catalogue(_catalogue(100, number))


def _shape(instances: int, shards: int) -> Shape:
    return Shape("wide", instances, 3, 3, 30, 1.0, shards=shards, documents=shards * 20)


def _catalogue(entries: int, mark: int = 0) -> str:
    lines = ["entries:"]
    for number in range(entries):
        lines.append(f"  e{number}:")
        lines.append(f"    {{owner: team-{mark}, collection: wide, timeout_ms: 5000}}")
    return "\n".join(lines) + "\n"


async def _read(rig: Rig, name: str) -> tuple[float, float, float]:
    """Return a daemon's processor seconds, and bytes sent and received over peer streams."""
    process = rig.by_name[name]
    fields = Path(f"/proc/{process.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    reply = await fetch(process.address, "GET", "/-/metrics", Millis(5_000))
    text = reply.body.decode() if isinstance(reply, HttpReply) else ""
    found = dict(re.findall(r'firtrestle_peer_bytes\{way="(\w+)"\} ([\d.e+]+)', text))
    return cpu, float(found.get("sent", 0)), float(found.get("received", 0))


def _difference(before: tuple[float, ...], after: tuple[float, ...]) -> tuple[float, ...]:
    return tuple(a - b for b, a in zip(before, after, strict=True))


def _memory_mb(rig: Rig, name: str) -> float:
    pid = rig.by_name[name].handle.pid
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / KIBI / KIBI


async def _platform_calls(rig: Rig) -> int:
    reply = await fetch(rig.by_name["platform"].address, "GET", "/calls", Millis(5_000))
    return len(reply.json()["calls"]) if isinstance(reply, HttpReply) else 0


SERIES: dict[str, Callable[[], Awaitable[dict[float, Cost]]]] = {
    "daemons": by_daemons,
    "targets": by_targets,
    "entries": by_entries,
    "changes": by_changes,
    "shards": by_shards,
}


def plot(name: str, costs: dict[float, Cost]) -> None:
    """Draw a series as SVG, one panel a cost."""
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
    figure.savefig(FOLDER / f"slopes-{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def main(
    series: Annotated[list[str] | None, typer.Argument(help=", ".join(SERIES))] = None,
) -> None:
    """Measure the series named, or all, and write figures and plots."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name in series or list(SERIES):
        costs = trio.run(SERIES[name])
        report = {str(x): asdict(cost) for x, cost in costs.items()}
        names = [field for field in asdict(next(iter(costs.values())))]
        xs = list(costs)
        fits = {n: asdict(fit(xs, [getattr(c, n) for c in costs.values()])) for n in names}
        document = {"points": report, "fits": fits}
        (FOLDER / f"slopes-{name}.json").write_text(json.dumps(document, indent=1) + "\n")
        plot(name, costs)


if __name__ == "__main__":
    typer.run(main)
