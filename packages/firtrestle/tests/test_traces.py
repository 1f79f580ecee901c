import json
from pathlib import Path

import pytest
from firtrestle.events import Event, EventKind
from firtrestle.traces import RULES, BadTrace, load_trace, replay

SAMPLES = Path(__file__).parent / "samples"
ANSWER = {
    "version": 1,
    "row_versions": [1],
    "covered": 20,
    "missing": {},
    "documents_by_shard": [10, 10],
    "lost": 0,
    "doubled": 0,
    "wrong": 0,
}


def event(kind: EventKind, at: float = 0, process: str = "d1", request: str = "r", **fields):
    return Event(1, at, process, 1, kind, request, fields)


def served(shard: int, documents: int = 10, version: int = 1) -> Event:
    kind = EventKind.TARGET_SERVED
    return event(kind, 0, "t", shard=shard, version=version, documents=documents)


COMPLETE_ANSWER_SERVED = [served(0), served(1)]
VIOLATING_TRACES = {
    "one-snapshot": [
        *COMPLETE_ANSWER_SERVED,
        event(EventKind.CALLER_ANSWERED, **{**ANSWER, "row_versions": [1, 2]}),
    ],
    "true-coverage": [served(0), event(EventKind.CALLER_ANSWERED, **ANSWER)],
    "whole-answer": [
        *COMPLETE_ANSWER_SERVED,
        event(EventKind.CALLER_ANSWERED, **{**ANSWER, "lost": 1}),
    ],
    "not-run": [
        event(EventKind.TARGET_RECEIVED),
        event(EventKind.CALLER_REFUSED, ran=False),
    ],
    "at-most-once": [event(EventKind.TARGET_RAN, key="k"), event(EventKind.TARGET_RAN, key="k")],
    "leaving-target": [
        event(EventKind.TARGET_DRAINING, 0, "t"),
        event(EventKind.TARGET_RECEIVED, 3_001, "t"),
    ],
    "graceful-stop": [
        event(EventKind.STOPPING, 0, "d1"),
        event(EventKind.CALLER_LOST, 1, "callers", daemon="d1"),
    ],
    "catalogue-forward": [
        event(EventKind.CATALOGUE_APPLIED, 0, revision=2),
        event(EventKind.CATALOGUE_APPLIED, 1, revision=1),
    ],
    "within-limits": [event(EventKind.SLOTS_EXCEEDED, 0, "t")],
}


def test_every_rule_has_a_sample_violation():
    assert set(VIOLATING_TRACES) == {rule.name for rule in RULES}


@pytest.mark.parametrize("name", sorted(VIOLATING_TRACES))
def test_a_violation_is_found_by_its_rule_alone(name: str):
    found = {rule for rule, violations in replay(VIOLATING_TRACES[name]).items() if violations}
    assert found == {name}


def test_a_complete_answer_violates_no_rule():
    assert not any(
        replay([*COMPLETE_ANSWER_SERVED, event(EventKind.CALLER_ANSWERED, **ANSWER)]).values()
    )


def test_a_running_daemon_that_does_not_apply_a_change_in_time_is_a_violation():
    trace = [
        event(EventKind.STARTED, 0, "d1", role="daemon"),
        event(EventKind.STARTED, 0, "d2", role="daemon"),
        event(EventKind.CHANGE_ACCEPTED, 10, "platform", name="catalogue", revision=2),
        event(EventKind.CATALOGUE_APPLIED, 100, "d1", revision=2),
        event(EventKind.QUERY_RECEIVED, 6_000),
    ]
    (violation,) = replay(trace)["catalogue-forward"]
    assert violation.message == "d2 lacked revision 2 after the grace period"


@pytest.mark.parametrize("sample", sorted(SAMPLES.glob("*.jsonl")), ids=lambda path: path.stem)
def test_a_recorded_trace_has_the_violations_and_events_of_its_outcome_file(sample: Path):
    expected = json.loads(sample.with_suffix(".outcome.json").read_text())
    events = load_trace(sample)
    found = {name: len(violations) for name, violations in replay(events).items()}
    assert found == expected["breaches"]
    kinds = [event.kind for event in events]
    assert {kind: kinds.count(EventKind(kind)) for kind in expected["events"]} == expected["events"]


def test_an_invalid_line_is_reported_with_its_number(tmp_path: Path):
    path = tmp_path / "bad.jsonl"
    path.write_text('{"seq": 1}\n')
    with pytest.raises(BadTrace, match="line 1"):
        load_trace(path)
