"""Check a recorded trace against the guarantees that firtrestle gives."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from firtrestle.clocks import Millis
from firtrestle.events import Event, EventKind

MAX_WORK_AFTER_DRAINING = Millis(3_000)
MAX_CATALOGUE_DELAY = Millis(5_000)


@dataclass(frozen=True, slots=True)
class Violation:
    """Represent one violation of a rule, at the time of the event that shows it."""

    rule: str
    message: str
    at: Millis
    request_id: str = ""


class BadTrace(ValueError):
    """Report a line of a trace file that is not a valid event."""


def load_trace(path: Path) -> list[Event]:
    """Read events from a file of JSON lines and sort them by time; raise BadTrace or OSError."""
    events: list[Event] = []
    with path.open() as lines:
        for number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            try:
                events.append(Event.from_dict(json.loads(line)))
            except (ValueError, KeyError, TypeError) as error:
                raise BadTrace(f"{path}: line {number} is not a valid event: {error}") from error
    return merge(events)


def merge(events: Iterable[Event]) -> list[Event]:
    """Sort the events of several processes by time, process, incarnation and sequence number."""
    return sorted(events, key=lambda event: (event.at, event.process, event.incarnation, event.seq))


class Rule:
    """Check one guarantee; `promise` states it for users."""

    name: str
    promise: str

    def check(self, events: list[Event]) -> Iterator[Violation]:
        """Yield each violation found in events that are sorted by time."""
        raise NotImplementedError

    def _violation(self, event: Event, message: str) -> Violation:
        return Violation(self.name, message, event.at, event.request_id)


class OneSnapshot(Rule):
    """Check that no answer contains rows of another version than the one it states."""

    name = "one-snapshot"
    promise = "Every answer reflects one snapshot of the index."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        for event in _events_of_kind(events, EventKind.CALLER_ANSWERED):
            versions = set(event.fields.get("row_versions", []))
            if versions - {event.fields.get("version")}:
                yield self._violation(event, f"answer has rows of versions {sorted(versions)}")


class TrueCoverage(Rule):
    """Check that the coverage stated in an answer equals what targets served for it."""

    name = "true-coverage"
    promise = "The coverage reported with an answer is true."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        served: dict[tuple[str, int, int], set[int]] = defaultdict(set)
        for event in _events_of_kind(events, EventKind.TARGET_SERVED):
            fields = event.fields
            key = (event.request_id, fields["version"], fields["shard"])
            served[key].add(fields["documents"])
        for event in _events_of_kind(events, EventKind.CALLER_ANSWERED):
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
            actual = served[event.request_id, fields["version"], shard]
            if stated and stated not in actual:
                yield self._violation(event, f"shard {shard}: stated {stated}, served {actual}")
        if covered != fields["covered"]:
            yield self._violation(
                event, f"stated {fields['covered']}, but shards add up to {covered}"
            )


class WholeAnswer(Rule):
    """Check that no answer lost, duplicated or altered rows."""

    name = "whole-answer"
    promise = "Each caller receives the whole answer to its own request."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        for event in _events_of_kind(events, EventKind.CALLER_ANSWERED):
            for fault in ("lost", "doubled", "wrong"):
                if event.fields.get(fault):
                    yield self._violation(event, f"{event.fields[fault]} rows {fault}")


class NotRun(Rule):
    """Check that no target received a request that was refused as not run."""

    name = "not-run"
    promise = 'A refusal that says "not run" means the request did not run.'

    def check(self, events: list[Event]) -> Iterator[Violation]:
        seen = {event.request_id for event in _events_of_kind(events, EventKind.TARGET_RECEIVED)}
        for event in _events_of_kind(events, EventKind.CALLER_REFUSED):
            if event.fields.get("ran") is False and event.request_id in seen:
                yield self._violation(event, "refused as not run, but a target received it")


class AtMostOnce(Rule):
    """Check that no request with an idempotency key ran twice."""

    name = "at-most-once"
    promise = "A request that may not be repeated runs at most once."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        ran_keys: set[str] = set()
        for event in _events_of_kind(events, EventKind.TARGET_RAN):
            key = event.fields["key"]
            if key in ran_keys:
                yield self._violation(event, f"key {key} ran again")
            ran_keys.add(key)


class LeavingTarget(Rule):
    """Check that a draining target receives no new work after the allowed delay."""

    name = "leaving-target"
    promise = "A leaving target receives no new work after a few seconds."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        draining_since: dict[tuple[str, int], Millis] = {}
        for event in events:
            process = (event.process, event.incarnation)
            if event.kind is EventKind.TARGET_DRAINING:
                draining_since.setdefault(process, event.at)
            elif event.kind is EventKind.TARGET_RECEIVED and process in draining_since:
                delay = event.at - draining_since[process]
                if delay > MAX_WORK_AFTER_DRAINING:
                    yield self._violation(event, f"new work {delay:.0f} ms after it began to drain")


class GracefulStop(Rule):
    """Check that no daemon dropped a caller's request during a graceful shutdown."""

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
                yield self._violation(
                    event, f"dropped by {event.fields['daemon']} during its shutdown"
                )


class CatalogueForward(Rule):
    """Check that each daemon's catalogue revision only increases, and does so in time."""

    name = "catalogue-forward"
    promise = "An accepted catalogue change is in force everywhere within seconds, never reverts."

    def check(self, events: list[Event]) -> Iterator[Violation]:
        revision_by_process: dict[tuple[str, int], int] = {}
        for event in _events_of_kind(events, EventKind.CATALOGUE_APPLIED):
            process = (event.process, event.incarnation)
            revision = event.fields["revision"]
            if revision <= revision_by_process.get(process, 0):
                yield self._violation(
                    event,
                    f"{event.process} applied revision {revision} after a newer or equal one",
                )
            revision_by_process[process] = revision
        yield from self._check_delays(events)

    def _check_delays(self, events: list[Event]) -> Iterator[Violation]:
        """Yield each daemon without pauses that applied a change too late or not at all."""
        end = events[-1].at if events else Millis(0)
        for change in _events_of_kind(events, EventKind.CHANGE_ACCEPTED):
            if change.fields.get("name") != "catalogue":
                continue
            due = Millis(change.at + MAX_CATALOGUE_DELAY)
            if due > end:
                continue
            for process in _daemons_running(events, change.at, due):
                if not _has_applied(events, process, change.fields["revision"], due):
                    revision = change.fields["revision"]
                    yield self._violation(
                        change, f"{process[0]} lacked revision {revision} after the grace period"
                    )


class WithinLimits(Rule):
    """Check that no target counted more running requests or connections than its limits allow."""

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
    """Return the violations of every rule, by rule name."""
    return {rule.name: list(rule().check(events)) for rule in RULES}


def _events_of_kind(events: list[Event], kind: EventKind) -> Iterator[Event]:
    return (event for event in events if event.kind is kind)


def _daemons_running(events: list[Event], since: Millis, until: Millis) -> set[tuple[str, int]]:
    """Return the daemons that ran from `since` to `until` without stopping or pausing."""
    running: set[tuple[str, int]] = set()
    for event in events:
        process = (event.process, event.incarnation)
        if event.kind is EventKind.STARTED and event.at <= since:
            if event.fields.get("role") == "daemon":
                running.add(process)
        elif event.kind in (EventKind.STOPPING, EventKind.PAUSED) and event.at <= until:
            running.discard(process)
    return running


def _has_applied(events: list[Event], process: tuple[str, int], revision: int, due: Millis) -> bool:
    return any(
        event.fields["revision"] >= revision and event.at <= due
        for event in _events_of_kind(events, EventKind.CATALOGUE_APPLIED)
        if (event.process, event.incarnation) == process
    )
