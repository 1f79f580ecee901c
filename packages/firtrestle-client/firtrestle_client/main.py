"""Define the commands of `firtrestle`, the operators' command-line client."""

from __future__ import annotations

import sys
import uuid
from dataclasses import asdict
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any

import trio
import typer
from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpFailure, fetch
from firtrestle.traces import RULES, BadTrace, load_trace, replay
from firtrestle.yaml_documents import Fault

from firtrestle_client.checks import (
    Catalogue,
    compare_catalogues,
    early_removal_faults,
    read_catalogue,
)
from firtrestle_client.configuration_checks import (
    BadUsage,
    DesiredStates,
    check_catalogue,
    check_desired_state,
    print_report,
)
from firtrestle_client.explanations import explain_request
from firtrestle_client.fleets import DaemonAnswer, fetch_json_from_all, find_daemons
from firtrestle_client.replies import print_answer, print_refusal
from firtrestle_client.tables import print_json, print_table
from firtrestle_client.timelines import TimeLine, event_lines, json_lines

LONG_POLL_MS = 1_000
QUERY_TIMEOUT_MARGIN = Millis(2_000)  # lets the daemon report a missed deadline itself
STATUS_COLUMNS = (
    "daemon",
    "address",
    "centre",
    "ready",
    "revision",
    "alive",
    "held",
    "running",
    "quarantined",
)


class ExitCode(IntEnum):
    """Define the exit codes of all commands."""

    OK = 0
    PROBLEM_FOUND = 1  # a fault, a violation, a refused query or no match
    USAGE = 2
    UNREACHABLE = 3


app = typer.Typer(
    help="Inspect and query a firtrestle fleet. Only a new catalogue changes its configuration.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
DaemonsOption = Annotated[
    list[str],
    typer.Option(
        "--daemon", "-d", envvar="FIRTRESTLE_DAEMONS", help="IP:port of a daemon, repeatable"
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON")]
NO_FILES: list[Path] = []
NO_DAEMONS: list[str] = []
NO_PLUGINS: list[str] = []
DEFAULT_DAEMONS = ["127.0.0.1:8080"]


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="catalogue, or desired state with --source")],
    against: Annotated[
        Path | None, typer.Option(help="the version in force, to show what changes")
    ] = None,
    source: Annotated[
        str, typer.Option(help="route source in whose format a desired state is written")
    ] = "",
    plugin: Annotated[
        list[str], typer.Option(help="module that registers the route source, repeatable")
    ] = NO_PLUGINS,
    settings: Annotated[
        Path | None, typer.Option(help="settings of a daemon, whose repeats bound the attempts")
    ] = None,
    daemon: DaemonsOption = NO_DAEMONS,
    as_json: JsonOption = False,
) -> None:
    """Check a configuration; with --daemon, also that entries still being compared are kept."""
    try:
        if source:
            states = DesiredStates(source, tuple(plugin))
            report = check_desired_state(file, against, states, settings)
        else:
            report = check_catalogue(file, against)
    except BadUsage as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    if daemon and not source and not report.faults:
        answers = _fetch_from_fleet(daemon, "/-/status")
        report.faults = early_removal_faults(_read_or_exit(file), answers)
    if as_json:
        print_json({"file": str(file), **report.to_dict()})
    else:
        print_report(file, report, against is not None)
    raise typer.Exit(ExitCode.OK if report.is_good else ExitCode.PROBLEM_FOUND)


@app.command()
def diff(
    before: Annotated[Path, typer.Argument(help="catalogue in force")],
    after: Annotated[Path, typer.Argument(help="new catalogue")],
    as_json: JsonOption = False,
) -> None:
    """Show what a new catalogue would change."""
    old, new = _read_or_exit(before), _read_or_exit(after)
    differences = compare_catalogues(old, new)
    rows = [(d.entry, d.field, d.before, d.after) for d in differences]
    columns = ("entry", "field", "before", "after")
    if as_json:
        print_json([dict(zip(columns, row, strict=True)) for row in rows])
    elif rows:
        print_table(columns, rows)
    else:
        print("no difference")


@app.command()
def status(daemon: DaemonsOption = DEFAULT_DAEMONS, as_json: JsonOption = False) -> None:
    """Show every daemon: revision in force, readiness, members, targets, quarantine."""
    answers = _fetch_from_fleet(daemon, "/-/status")
    if as_json:
        print_json({a.address: a.value or {"failure": a.failure} for a in answers})
        return
    print_table(STATUS_COLUMNS, [_status_row(answer) for answer in answers])
    _print_rejected(answers)
    _print_targets(answers)
    _print_comparisons(answers)


@app.command()
def query(
    entry: Annotated[str, typer.Argument(help="entry name, or a legacy path that starts with /")],
    body: Annotated[str, typer.Argument(help="the query as JSON")] = "{}",
    daemon: DaemonsOption = DEFAULT_DAEMONS,
    timeout_ms: Annotated[int, typer.Option(min=1, help="deadline")] = 2_000,
    key: Annotated[str, typer.Option(help="Idempotency-Key, a UUIDv7")] = "",
    as_json: JsonOption = False,
) -> None:
    """Send one query and show its rows and coverage."""
    path = entry if entry.startswith("/") else f"/collections/{entry}"
    headers = {"X_Request_Id": f"cli-{uuid.uuid4()}", "Request_Timeout_Ms": str(timeout_ms)}
    if key:
        headers["Idempotency_Key"] = key

    async def send() -> Any:
        timeout = Millis(timeout_ms + QUERY_TIMEOUT_MARGIN)
        return await fetch(daemon[0], "POST", path, timeout, body.encode(), **headers)

    reply = trio.run(send)
    if isinstance(reply, HttpFailure):
        _exit_unreachable([DaemonAnswer(daemon[0], failure=reply.reason)])
    document = reply.json()
    if as_json:
        print_json(document)
    elif reply.status == 200:
        print_answer(document)
    else:
        print_refusal(document)
    raise typer.Exit(ExitCode.OK if reply.status == 200 else ExitCode.PROBLEM_FOUND)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="the request's X-Request-Id")],
    files: Annotated[
        list[Path], typer.Argument(help="logs of the daemons; standard input if none")
    ] = NO_FILES,
    as_json: JsonOption = False,
) -> None:
    """Show one request's log lines, and the state changes that its daemons logged before it."""
    try:
        lines = [line for file in files for line in file.read_text(errors="replace").splitlines()]
    except OSError as error:
        typer.echo(f"cannot read a log: {error}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    log_lines = explain_request(lines if files else sys.stdin, request_id)
    if not log_lines:
        typer.echo(f"no log line has request id {request_id}", err=True)
        raise typer.Exit(ExitCode.PROBLEM_FOUND)
    if as_json:
        print_json([asdict(line) for line in log_lines])
        return
    rows = [(line.at, line.daemon, line.message, line.details) for line in log_lines]
    print_table(("at", "daemon", "what", "details"), rows)


@app.command()
def timeline(
    daemon: DaemonsOption = DEFAULT_DAEMONS,
    request_id: Annotated[str, typer.Option(help="only this request's events")] = "",
    follow: Annotated[
        bool, typer.Option("--follow", "-f", help="print new events as they arrive")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Show the events of all daemons by time; `replay` reads the output of --json."""

    async def show() -> None:
        time_line = TimeLine(await find_daemons(daemon))
        while True:
            events = await time_line.read(request_id, LONG_POLL_MS if follow else 0)
            for text in json_lines(events) if as_json else event_lines(events):
                print(text, flush=follow)
            if not follow:
                break
        for address, failure in time_line.failure_by_address.items():
            typer.echo(f"{address}: {failure}", err=True)
        if len(time_line.failure_by_address) == len(daemon) and not events:
            raise typer.Exit(ExitCode.UNREACHABLE)

    try:
        trio.run(show)
    except KeyboardInterrupt:
        raise typer.Exit(ExitCode.OK) from None


@app.command("replay")
def replay_trace(
    trace: Annotated[Path, typer.Argument(help="JSON lines of events")],
    as_json: JsonOption = False,
) -> None:
    """Check a recorded trace against the rules that every trace must satisfy."""
    try:
        events = load_trace(trace)
    except (BadTrace, OSError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from None
    found = replay(events)
    if as_json:
        print_json({name: [_to_dict(v) for v in violations] for name, violations in found.items()})
    else:
        rows = [
            (r.name, len(found[r.name]) or "holds", _first_message(found[r.name])) for r in RULES
        ]
        print(f"{len(events)} events")
        print_table(("rule", "breaches", "first"), rows)
    has_violations = any(found.values())
    raise typer.Exit(ExitCode.PROBLEM_FOUND if has_violations else ExitCode.OK)


@app.command()
def credits(daemon: DaemonsOption = DEFAULT_DAEMONS, as_json: JsonOption = False) -> None:
    """Show the number of answered requests by entry, owner and kind, over all daemons."""
    answers = [answer for answer in _fetch_from_fleet(daemon, "/-/credits") if answer.value]
    # Each daemon adds up the counts of the whole fleet that have reached it by gossip. Counts only
    # grow, so the largest sum is the most complete.
    most_complete = max(answers, key=lambda a: sum(row["answered"] for row in a.value["credits"]))
    rows = most_complete.value["credits"]
    if as_json:
        print_json(rows)
        return
    columns = ("entry", "owner", "kind", "answered")
    print_table(columns, [[row[name] for name in columns] for row in rows])


def _fetch_from_fleet(seeds: list[str], path: str) -> list[DaemonAnswer]:
    async def fetch_all() -> list[DaemonAnswer]:
        return await fetch_json_from_all(await find_daemons(seeds), path)

    answers = trio.run(fetch_all)
    if not any(answer.value for answer in answers):
        _exit_unreachable(answers)
    return answers


def _exit_unreachable(answers: list[DaemonAnswer]) -> None:
    for answer in answers:
        typer.echo(f"{answer.address}: {answer.failure}", err=True)
    typer.echo("no daemon answers; give the address of one with --daemon IP:port", err=True)
    raise typer.Exit(ExitCode.UNREACHABLE)


def _read_or_exit(path: Path) -> Catalogue:
    catalogue = read_catalogue(path)
    if isinstance(catalogue, list):
        _print_faults(path, catalogue)
        raise typer.Exit(ExitCode.PROBLEM_FOUND)
    return catalogue


def _print_faults(path: Path, faults: list[Fault]) -> None:
    for fault in faults:
        print(f"{path}: {fault}")


def _status_row(answer: DaemonAnswer) -> list[Any]:
    value = answer.value
    if value is None:
        return ["?", answer.address, "", answer.failure, "", "", "", "", ""]
    alive = sum(member["status"] == "alive" for member in value["members"])
    return [
        value["daemon"],
        answer.address,
        value["data_centre"],
        "stopping" if value["stopping"] else "yes" if value["ready"] else "no",
        value["revision"],
        f"{alive}/{len(value['members'])}",
        len(value["held"]),
        value["running"],
        len(value["quarantine"]),
    ]


def _print_comparisons(answers: list[DaemonAnswer]) -> None:
    comparisons = next((a.value["comparisons"] for a in answers if a.value), [])
    if comparisons:
        columns = ("entry", "replaces", "same", "differing", "may retire")
        rows = [[*[c[name] for name in columns[:4]], not c["fault"]] for c in comparisons]
        print()
        print_table(columns, rows)


def _print_rejected(answers: list[DaemonAnswer]) -> None:
    rejected = {
        answer.value["rejected"][0]: answer.value["rejected"][1]
        for answer in answers
        if answer.value and answer.value["rejected"]
    }
    for revision, faults in rejected.items():
        print(f"catalogue revision {revision} was rejected:")
        for fault in faults:
            print(f"  {fault}")


def _print_targets(answers: list[DaemonAnswer]) -> None:
    value = next(answer.value for answer in answers if answer.value)
    columns = ("target", "collection", "state", "holder", "versions", "connection limit")
    rows = [
        (t["id"], t["collection"], t["state"], t["holder"], t["versions"], t["connection_limit"])
        for t in value["targets"]
    ]
    print_table(columns, rows)


def _to_dict(violation: Any) -> dict[str, Any]:
    return {"at": violation.at, "request_id": violation.request_id, "message": violation.message}


def _first_message(violations: list[Any]) -> str:
    return f"{violations[0].request_id} {violations[0].message}".strip() if violations else ""


def main(argv: list[str] | None = None) -> None:
    """Run the command given by `argv`, or by the process's arguments."""
    app(args=argv)


def run() -> None:
    """Run the installed script `firtrestle`."""
    main(sys.argv[1:])


if __name__ == "__main__":
    run()
