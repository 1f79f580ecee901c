"""Plot scenario results as SVG, with the baseline policy beside the chosen one."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Any

import matplotlib
import typer

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402  the backend must be chosen first

matplotlib.rcParams["svg.hashsalt"] = "firtrestle"  # makes the output reproducible
BAR_HEIGHT = 0.38
COLOUR_BY_POLICY = {"baseline": "#b0b0b0", "chosen": "#2b6cb0"}

Run = dict[str, Any]


def load_runs(path: Path) -> list[Run]:
    """Read runs from a file with one JSON object per line."""
    return [json.loads(line) for line in path.read_text().splitlines() if line]


def plot(runs: list[Run], path: Path) -> None:
    """Draw p99 latency, missing coverage and extra load of each scenario."""
    panels: list[tuple[str, Callable[[Run], float]]] = [
        ("p99, ms", lambda run: _urgent_group(run)["p99"]),
        ("documents not covered, %", lambda run: 100 * (1 - _urgent_group(run)["coverage"])),
        ("extra load, %", lambda run: 100 * run["extra_load"]),
    ]
    names = list(dict.fromkeys(run["scenario"] for run in runs))
    figure, axes = pyplot.subplots(1, len(panels), figsize=(13, 0.45 * len(names) + 1.2))
    for axis, (title, value) in zip(axes, panels, strict=True):
        _draw(axis, names, runs, value)
        axis.set_title(title)
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw(axis: Any, names: list[str], runs: Iterable[Run], value: Callable[[Run], float]) -> None:
    value_by_run = {(run["scenario"], run["policy"]): value(run) for run in runs}
    for offset, (policy, colour) in enumerate(COLOUR_BY_POLICY.items()):
        rows = [(row, value_by_run.get((name, policy))) for row, name in enumerate(names)]
        present = [(row, bar) for row, bar in rows if bar is not None]
        positions = [row + (offset - 0.5) * BAR_HEIGHT for row, _ in present]
        widths = [bar for _, bar in present]
        axis.barh(positions, widths, BAR_HEIGHT, color=colour, label=policy)
    axis.set_yticks(range(len(names)), names, fontsize=8)
    axis.invert_yaxis()


def _urgent_group(run: Run) -> dict[str, Any]:
    return next(group for group in run["groups"] if group["group"] == "urgent")


def main(
    figures: Annotated[Path, typer.Argument(help="output of `python -m bench all --json`")],
    svg: Annotated[Path, typer.Argument(help="SVG file to write")],
) -> None:
    """Plot the runs in a file."""
    plot(load_runs(figures), svg)


if __name__ == "__main__":
    typer.run(main)
