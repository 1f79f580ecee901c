"""Extract one request's lines from the logs of several daemons."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

HIDDEN_FIELDS = frozenset(
    {"at", "level", "module", "message", "daemon", "data_centre", "request_id"}
)
CONTEXT_MESSAGES = frozenset(
    {
        "desired state in force",
        "evacuation ended",
        "evacuation in force",
        "instance barred",
        "instance lifts its limit",
        "instance limits its rate",
        "instance removed",
        "links to the instances",
        "new connections to the instances",
        "registration lapsed, kept",
        "registry read failed",
        "registry watch given up after a check",
        "store lost",
        "store reached",
        "started",
        "stopping",
        "dropped",
    }
)
MAX_CONTEXT_LINES = 5  # per daemon, before the first line of the request


@dataclass(frozen=True, slots=True)
class LogLine:
    """Represent one log line: its time, daemon, message and remaining fields as text."""

    at: str
    daemon: str
    message: str
    details: str


def explain_request(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return a request's log lines in time order, with context.

    The context is the last state changes (configuration, registry, store, start, stop) that each
    daemon involved had logged before the request's first line.
    """
    records: list[dict[str, Any]] = []
    changes_by_daemon: dict[str, list[dict[str, Any]]] = {}
    for line in lines:
        record = _parse_line(line)
        if record is None:
            continue
        if record.get("request_id") == request_id:
            records.append(record)
        elif record.get("message") in CONTEXT_MESSAGES:
            changes_by_daemon.setdefault(str(record.get("daemon")), []).append(record)
    if not records:
        return []
    first = min(str(record.get("at")) for record in records)
    for daemon in {str(record.get("daemon")) for record in records}:
        before = [c for c in changes_by_daemon.get(daemon, []) if str(c.get("at")) <= first]
        records += sorted(before, key=lambda change: str(change.get("at")))[-MAX_CONTEXT_LINES:]
    return [_format(record) for record in sorted(records, key=lambda record: str(record.get("at")))]


def _parse_line(line: str) -> dict[str, Any] | None:
    start = line.find("{")  # log collectors may put a prefix before the JSON document
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    return record if isinstance(record, dict) else None


def _format(record: dict[str, Any]) -> LogLine:
    details = ", ".join(f"{k}={v}" for k, v in record.items() if k not in HIDDEN_FIELDS)
    return LogLine(
        str(record.get("at", "")), str(record.get("daemon", "")), str(record["message"]), details
    )
