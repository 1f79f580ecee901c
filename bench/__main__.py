"""Run benchmark scenarios: `python -m bench SCENARIO`."""

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
    seed: Annotated[int, typer.Option(help="seed of the load and the faults")] = 1,
    policy: Annotated[str, typer.Option(help="baseline, chosen or both")] = BOTH,
    as_json: Annotated[bool, typer.Option("--json", help="print one JSON object per run")] = False,
) -> None:
    """Run one scenario, or all that `all` includes, and print the results."""
    if scenario != ALL and scenario not in SCENARIO_BY_NAME:
        raise typer.BadParameter(f"choose one of {', '.join(SCENARIO_BY_NAME)} or all")
    all_names = [name for name, each in SCENARIO_BY_NAME.items() if each.in_all]
    names = all_names if scenario == ALL else [scenario]
    for name in names:
        selected = SCENARIO_BY_NAME[name]
        for policy_name in selected.policies if policy == BOTH else (policy,):
            result = trio.run(run_scenario, selected, policy_name, seed)
            print(json.dumps(result.to_dict()) if as_json else _format_result(result), flush=True)


def _format_result(result: RunResult) -> str:
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
