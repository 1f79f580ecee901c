"""Hold a recorded trace against what must always hold."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from firtrestle.clocks import Millis
from firtrestle.events import Event, EventKind

LEAVING_GRACE = Millis(3_000)
CHANGE_GRACE = Millis(5_000)


@dataclass(frozen=True, slots=True)
class Violation:
    """Hold one breach of a rule, with the event that shows it."""

    rule: str
    message: str
    at: Millis
    request_id: str = ""


class BadTrace(ValueError):
    """Say which line of a trace file is no event."""


def load_trace(path: Path) -> list[Event]:
    """Read a file of JSON lines in order of time; raise BadTrace or OSError."""
    events: list[Event] = []
    with path.open() as lines:
        for number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            try:
                events.append(Event.from_dict(json.loads(line)))
            except (ValueError, KeyError, TypeError) as error:
                raise BadTrace(f"{path}: line {number} is no event: {error}") from error
    return merge(events)


def merge(events: Iterable[Event]) -> list[Event]:
    """Return events of many processes in one order."""
    return sorted(events, key=lambda one: (one.at, one.process, one.incarnation, one.seq))


class Rule:
    """Check one line of what must always hold."""

    name: str
    promise: str

    def check(self, events: list[Event]) -> Iterator[Violation]:
        """Yield each breach."""
        raise NotImplementedError

    def _violation(self, event: Event, message: str) -> Violation:
        return Violation(self.name, message, event.at, event.request_id)


class OneSnapshot(Rule):
    """Check that no answer mixes versions."""

    name = "one-snapshot"
    promise = "Every answer reflects one snapshot of the index."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        for event in _of(events, EventKind.CALLER_ANSWERED):
            versions = set(event.fields.get("row_versions", []))
            if versions - {event.fields.get("version")}:
                yield self._violation(event, f"rows of versions {sorted(versions)}")


class TrueCoverage(Rule):
    """Check that the coverage stated equals what targets served."""

    name = "true-coverage"
    promise = "The coverage reported with an answer is true."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        served: dict[tuple[str, int, int], set[int]] = defaultdict(set)
        for event in _of(events, EventKind.TARGET_SERVED):
            fields = event.fields
            key = (event.request_id, fields["version"], fields["shard"])
            served[key].add(fields["documents"])
        for event in _of(events, EventKind.CALLER_ANSWERED):
            if "version" in event.fields:
                yield from self._check_answer(event, served)

    def _check_answer(
        self, event: Event, served: dict[tuple[str, int, int], set[int]]
    ) -> Iterator[Violation]:
        fields = event.fields
        missing = {int(shard): lost for shard, lost in fields["missing"].items()}
        covered = 0
        for shard, documents in enumerate(fields["documents_by_shard"]):
            stated = documents - missing.get(shard, 0)
            covered += stated
            truly = served[event.request_id, fields["version"], shard]
            if stated and stated not in truly:
                yield self._violation(event, f"shard {shard}: stated {stated}, served {truly}")
        if covered != fields["covered"]:
            yield self._violation(event, f"stated {fields['covered']}, shards add to {covered}")


class WholeAnswer(Rule):
    """Check that callers got their own rows, each once, and none lost."""

    name = "whole-answer"
    promise = "Each caller receives the whole answer to its own request."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        for event in _of(events, EventKind.CALLER_ANSWERED):
            for fault in ("lost", "doubled", "wrong"):
                if event.fields.get(fault):
                    yield self._violation(event, f"{event.fields[fault]} rows {fault}")


class NotRun(Rule):
    """Check that no target saw a request refused as not run."""

    name = "not-run"
    promise = 'A refusal that says "not run" means the request did not run.'

    def check(self, events: list[Event]) -> Iterator[Violation]:
        seen = {event.request_id for event in _of(events, EventKind.TARGET_RECEIVED)}
        for event in _of(events, EventKind.CALLER_REFUSED):
            if event.fields.get("ran") is False and event.request_id in seen:
                yield self._violation(event, "a target saw it")


class AtMostOnce(Rule):
    """Check that no key ran twice."""

    name = "at-most-once"
    promise = "A request that may not be repeated runs at most once."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        ran: set[str] = set()
        for event in _of(events, EventKind.TARGET_RAN):
            key = event.fields["key"]
            if key in ran:
                yield self._violation(event, f"key {key} ran again")
            ran.add(key)


class LeavingTarget(Rule):
    """Check that a leaving target gets nothing new after the grace."""

    name = "leaving-target"
    promise = "A leaving target receives no new work after a few seconds."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        leaving_since: dict[tuple[str, int], Millis] = {}
        for event in events:
            process = (event.process, event.incarnation)
            if event.kind is EventKind.TARGET_DRAINING:
                leaving_since.setdefault(process, event.at)
            elif event.kind is EventKind.TARGET_RECEIVED and process in leaving_since:
                late = event.at - leaving_since[process]
                if late > LEAVING_GRACE:
                    yield self._violation(event, f"new work {late:.0f} ms after it left")


class GracefulStop(Rule):
    """Check that no request was cut by a daemon that stopped in order."""

    name = "graceful-stop"
    promise = "A graceful shutdown cuts no request."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        stopping: set[str] = set()
        for event in events:
            if event.kind is EventKind.STOPPING:
                stopping.add(event.process)
            elif event.kind is EventKind.STARTED:
                stopping.discard(event.process)
            elif event.kind is EventKind.CALLER_LOST and event.fields.get("daemon") in stopping:
                yield self._violation(event, f"cut by {event.fields['daemon']} while it stopped")


class CatalogueForward(Rule):
    """Check that each daemon's revision only rises, and rises in time."""

    name = "catalogue-forward"
    promise = "An accepted catalogue change is in force everywhere within seconds, never reverts."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        in_force: dict[tuple[str, int], int] = {}
        for event in _of(events, EventKind.CATALOGUE_APPLIED):
            process = (event.process, event.incarnation)
            revision = event.fields["revision"]
            if revision <= in_force.get(process, 0):
                yield self._violation(event, f"{event.process} went back to {revision}")
            in_force[process] = revision
        yield from self._check_delays(events)

    def _check_delays(self, events: list[Event]) -> Iterator[Violation]:
        end = events[-1].at if events else Millis(0)
        for change in _of(events, EventKind.CHANGE_ACCEPTED):
            if change.fields.get("name") != "catalogue":
                continue
            due = Millis(change.at + CHANGE_GRACE)
            if due > end:
                continue
            for process in _running(events, change.at, due):
                if not _applied(events, process, change.fields["revision"], due):
                    revision = change.fields["revision"]
                    yield self._violation(change, f"{process[0]} lacked {revision} after grace")


class WithinLimits(Rule):
    """Check that no target's slots or connections were exceeded, by its own count."""

    name = "within-limits"
    promise = "Slots and connections per target are never exceeded."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        for event in events:
            if event.kind in (EventKind.SLOTS_EXCEEDED, EventKind.CONNECTIONS_EXCEEDED):
                yield self._violation(event, f"{event.kind} at {event.process}")


RULES: tuple[type[Rule], ...] = (
    OneSnapshot,
    TrueCoverage,
    WholeAnswer,
    NotRun,
    AtMostOnce,
    LeavingTarget,
    GracefulStop,
    CatalogueForward,
    WithinLimits,
)


def replay(events: list[Event]) -> dict[str, list[Violation]]:
    """Return the breaches of each rule, by its name."""
    return {rule.name: list(rule().check(events)) for rule in RULES}


def _of(events: list[Event], kind: EventKind) -> Iterator[Event]:
    return (event for event in events if event.kind is kind)


def _running(events: list[Event], since: Millis, until: Millis) -> set[tuple[str, int]]:
    """Return the daemons that served from one moment to another without a break."""
    running: set[tuple[str, int]] = set()
    for event in events:
        process = (event.process, event.incarnation)
        if event.kind is EventKind.STARTED and event.at <= since:
            if event.fields.get("role") == "daemon":
                running.add(process)
        elif event.kind in (EventKind.STOPPING, EventKind.PAUSED) and event.at <= until:
            running.discard(process)
    return running


def _applied(events: list[Event], process: tuple[str, int], revision: int, due: Millis) -> bool:
    return any(
        event.fields["revision"] >= revision and event.at <= due
        for event in _of(events, EventKind.CATALOGUE_APPLIED)
        if (event.process, event.incarnation) == process
    )
