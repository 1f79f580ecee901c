"""Find what the logs of many daemons say of one request."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

UNSHOWN = frozenset({"at", "level", "module", "message", "daemon", "data_centre", "request_id"})
CONTEXT = frozenset(
    {
        "desired state in force",
        "instance barred",
        "instance removed",
        "registration lapsed, kept",
        "store lost",
        "store reached",
        "started",
        "stopping",
        "dropped",
    }
)
CONTEXT_LINES = 5  # of a daemon, before the request's first line


@dataclass(frozen=True, slots=True)
class Explained:
    """Hold one line of a request's story."""

    at: str
    daemon: str
    message: str
    details: str


def explain(lines: Iterable[str], request_id: str) -> list[Explained]:
    """Return a request's lines in order, after the last changes of belief of its daemons."""
    told: list[dict[str, Any]] = []
    beliefs_by_daemon: dict[str, list[dict[str, Any]]] = {}
    for line in lines:
        entry = _entry(line)
        if entry is None:
            continue
        if entry.get("request_id") == request_id:
            told.append(entry)
        elif entry.get("message") in CONTEXT:
            beliefs_by_daemon.setdefault(str(entry.get("daemon")), []).append(entry)
    if not told:
        return []
    first = min(str(one.get("at")) for one in told)
    for daemon in {str(one.get("daemon")) for one in told}:
        before = [one for one in beliefs_by_daemon.get(daemon, []) if str(one.get("at")) <= first]
        told += sorted(before, key=lambda one: str(one.get("at")))[-CONTEXT_LINES:]
    return [_explained(one) for one in sorted(told, key=lambda one: str(one.get("at")))]


def _entry(line: str) -> dict[str, Any] | None:
    start = line.find("{")  # a collector may put words before the document
    if start < 0:
        return None
    try:
        entry = json.loads(line[start:])
    except ValueError:
        return None
    return entry if isinstance(entry, dict) else None


def _explained(entry: dict[str, Any]) -> Explained:
    details = ", ".join(f"{k}={v}" for k, v in entry.items() if k not in UNSHOWN)
    return Explained(
        str(entry.get("at", "")), str(entry.get("daemon", "")), str(entry["message"]), details
    )
