import json
from pathlib import Path

import pytest
from firtrestle_client.fleets import DaemonAnswer
from firtrestle_client.main import app
from typer.testing import CliRunner

ROOT = Path(__file__).parents[3]
EXAMPLE = ROOT / "examples" / "catalogue.yaml"
NOBODY = "127.0.0.1:1"


def run(*arguments: str):
    return CliRunner().invoke(app, list(arguments))


def test_check_passes_a_good_catalogue():
    result = run("check", str(EXAMPLE))
    assert (result.exit_code, "good, 3 entries" in result.output) == (0, True)


def test_check_shows_every_fault_at_once(tmp_path: Path):
    path = tmp_path / "bad.yaml"
    path.write_text("entries:\n  a:\n    ownr: x\n    collection: C\n")
    result = run("check", str(path), "--json")
    faults = json.loads(result.output)["faults"]
    assert result.exit_code == 1
    assert {fault["path"] for fault in faults} == {
        "entries.a.ownr",
        "entries.a.owner",
        "entries.a.collection",
    }
    assert [fault["mend"] for fault in faults if fault["path"] == "entries.a.ownr"] == [
        "did you mean 'owner'?"
    ]


def test_diff_names_what_changes(tmp_path: Path):
    path = tmp_path / "new.yaml"
    path.write_text(EXAMPLE.read_text().replace("owner: registry", "owner: desk"))
    rows = json.loads(run("diff", str(EXAMPLE), str(path), "--json").output)
    assert rows == [
        {"entry": "lodgement-search", "field": "owner", "before": "registry", "after": "desk"}
    ]


@pytest.mark.parametrize("command", ["status", "credits", "query"])
def test_a_fleet_that_does_not_answer_is_said_so(command: str):
    arguments = [command, "--daemon", NOBODY] + (["desk"] if command == "query" else [])
    result = run(*arguments)
    assert result.exit_code == 3
    assert "no daemon answers" in result.output


def test_replay_tells_what_is_broken(tmp_path: Path):
    event = {"seq": 1, "at": 0, "process": "t", "incarnation": 1, "kind": "target-ran"}
    lines = [json.dumps({**event, "seq": n, "fields": {"key": "k"}}) for n in (1, 2)]
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join(lines))
    result = run("replay", str(path), "--json")
    assert result.exit_code == 1
    assert json.loads(result.output)["at-most-once"][0]["message"] == "key k ran again"


def test_replay_of_what_is_no_trace_is_a_usage_error(tmp_path: Path):
    path = tmp_path / "trace.jsonl"
    path.write_text("nonsense\n")
    result = run("replay", str(path))
    assert (result.exit_code, "line 1" in result.output) == (2, True)


def test_check_refuses_to_drop_what_the_daemons_still_compare(tmp_path: Path, monkeypatch):
    fault = "entries.old: may not retire yet: 'new' replaces it"
    value = {"comparisons": [{"entry": "new", "replaces": "old", "fault": fault}]}
    answers = [DaemonAnswer("d1:1", value), DaemonAnswer("d2:1", value)]
    monkeypatch.setattr("firtrestle_client.main._ask_all", lambda daemons, path: answers)
    path = tmp_path / "new.yaml"
    path.write_text("entries: {new: {owner: o, collection: c}}")
    result = run("check", str(path), "--daemon", "d1:1")
    assert result.exit_code == 1
    assert "entries.old: may not retire yet" in result.output
    assert "keep 'old' until it has passed" in result.output
    path.write_text("entries: {new: {owner: o, collection: c}, old: {owner: o, collection: c}}")
    assert run("check", str(path), "--daemon", "d1:1").exit_code == 0
