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


WHOLE = [served(0), served(1)]
BREACHES = {
    "one-snapshot": [
        *WHOLE,
        event(EventKind.CALLER_ANSWERED, **{**ANSWER, "row_versions": [1, 2]}),
    ],
    "true-coverage": [served(0), event(EventKind.CALLER_ANSWERED, **ANSWER)],
    "whole-answer": [*WHOLE, event(EventKind.CALLER_ANSWERED, **{**ANSWER, "lost": 1})],
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


def test_each_rule_has_a_breach_that_shows_it():
    assert set(BREACHES) == {rule.name for rule in RULES}


@pytest.mark.parametrize("name", sorted(BREACHES))
def test_a_breach_is_found_by_its_rule_alone(name: str):
    found = {rule for rule, breaches in replay(BREACHES[name]).items() if breaches}
    assert found == {name}


def test_a_whole_answer_breaks_nothing():
    assert not any(replay([*WHOLE, event(EventKind.CALLER_ANSWERED, **ANSWER)]).values())


def test_a_change_must_be_in_force_in_time_in_each_running_daemon():
    trace = [
        event(EventKind.STARTED, 0, "d1", role="daemon"),
        event(EventKind.STARTED, 0, "d2", role="daemon"),
        event(EventKind.CHANGE_ACCEPTED, 10, "platform", name="catalogue", revision=2),
        event(EventKind.CATALOGUE_APPLIED, 100, "d1", revision=2),
        event(EventKind.QUERY_RECEIVED, 6_000),
    ]
    (breach,) = replay(trace)["catalogue-forward"]
    assert breach.message == "d2 lacked 2 after grace"


@pytest.mark.parametrize("sample", sorted(SAMPLES.glob("*.jsonl")), ids=lambda path: path.stem)
def test_a_recorded_trace_meets_its_stated_outcome(sample: Path):
    stated = json.loads(sample.with_suffix(".outcome.json").read_text())
    events = load_trace(sample)
    found = {name: len(breaches) for name, breaches in replay(events).items()}
    assert found == stated["breaches"]
    kinds = [event.kind for event in events]
    assert {kind: kinds.count(EventKind(kind)) for kind in stated["events"]} == stated["events"]


def test_a_line_that_is_no_event_is_named(tmp_path: Path):
    path = tmp_path / "bad.jsonl"
    path.write_text('{"seq": 1}\n')
    with pytest.raises(BadTrace, match="line 1"):
        load_trace(path)
