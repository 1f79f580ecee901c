"""Run scenarios from the command line."""

from __future__ import annotations

import json
from typing import Annotated

import trio
import typer

from bench.runs import RunResult, run_scenario
from bench.scenarios import SCENARIO_BY_NAME

ALL = "all"
BOTH = "both"


def main(
    scenario: Annotated[str, typer.Argument(help=f"{', '.join(SCENARIO_BY_NAME)} or all")],
    seed: Annotated[int, typer.Option(help="seed of load and faults")] = 1,
    policy: Annotated[str, typer.Option(help="baseline, chosen or both")] = BOTH,
    as_json: Annotated[bool, typer.Option("--json", help="one JSON object a run")] = False,
) -> None:
    """Run one scenario, or all of them, and print the figures."""
    if scenario != ALL and scenario not in SCENARIO_BY_NAME:
        raise typer.BadParameter(f"choose one of {', '.join(SCENARIO_BY_NAME)} or all")
    every = [name for name, one in SCENARIO_BY_NAME.items() if one.in_all]
    names = every if scenario == ALL else [scenario]
    for name in names:
        chosen = SCENARIO_BY_NAME[name]
        for each in chosen.policies if policy == BOTH else (policy,):
            result = trio.run(run_scenario, chosen, each, seed)
            print(json.dumps(result.to_dict()) if as_json else _text(result), flush=True)


def _text(result: RunResult) -> str:
    lines = [
        f"{result.scenario} / {result.policy} / seed {result.seed}: extra load "
        f"{result.extra_load:.2%}, hedges {result.hedges}, crashed {result.targets_crashed}, "
        f"breaches {result.breaches or 'none'}"
    ]
    for group in result.groups:
        lines.append(
            f"  {group.group:>9}: sent {group.sent} answered {group.answered} whole {group.whole} "
            f"p50 {group.p50:.1f} p99 {group.p99:.1f} p99.9 {group.p999:.1f} ms "
            f"coverage {group.coverage:.3%} refused {group.refused or 'none'} "
            f"lost {group.rows_lost} doubled {group.rows_doubled} wrong {group.rows_wrong} "
            f"unanswered {group.without_answer}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    typer.run(main)
