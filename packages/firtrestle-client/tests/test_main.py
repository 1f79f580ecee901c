import json
from pathlib import Path

import pytest
from firtrestle_client.fleets import DaemonAnswer
from firtrestle_client.main import app
from typer.testing import CliRunner

ROOT = Path(__file__).parents[3]
EXAMPLE = ROOT / "examples" / "catalogue.yaml"
UNUSED_ADDRESS = "127.0.0.1:1"


def run(*arguments: str):
    return CliRunner().invoke(app, list(arguments))


def test_check_accepts_a_valid_catalogue():
    result = run("check", str(EXAMPLE))
    assert (result.exit_code, "good, 3 entries" in result.output) == (0, True)


def test_check_reports_all_faults(tmp_path: Path):
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


def test_diff_lists_changed_fields(tmp_path: Path):
    path = tmp_path / "new.yaml"
    path.write_text(EXAMPLE.read_text().replace("owner: registry", "owner: desk"))
    rows = json.loads(run("diff", str(EXAMPLE), str(path), "--json").output)
    assert rows == [
        {"entry": "lodgement-search", "field": "owner", "before": "registry", "after": "desk"}
    ]


@pytest.mark.parametrize("command", ["status", "credits", "query"])
def test_commands_report_an_unreachable_fleet(command: str):
    arguments = [command, "--daemon", UNUSED_ADDRESS] + (["desk"] if command == "query" else [])
    result = run(*arguments)
    assert result.exit_code == 3
    assert "no daemon answers" in result.output


def test_replay_reports_violations(tmp_path: Path):
    event = {"seq": 1, "at": 0, "process": "t", "incarnation": 1, "kind": "target-ran"}
    lines = [json.dumps({**event, "seq": n, "fields": {"key": "k"}}) for n in (1, 2)]
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join(lines))
    result = run("replay", str(path), "--json")
    assert result.exit_code == 1
    assert json.loads(result.output)["at-most-once"][0]["message"] == "key k ran again"


def test_replay_of_an_invalid_trace_is_a_usage_error(tmp_path: Path):
    path = tmp_path / "trace.jsonl"
    path.write_text("nonsense\n")
    result = run("replay", str(path))
    assert (result.exit_code, "line 1" in result.output) == (2, True)


def test_check_rejects_the_removal_of_an_entry_still_being_compared(tmp_path: Path, monkeypatch):
    fault = "entries.old: may not retire yet: 'new' replaces it"
    value = {"comparisons": [{"entry": "new", "replaces": "old", "fault": fault}]}
    answers = [DaemonAnswer("d1:1", value), DaemonAnswer("d2:1", value)]
    monkeypatch.setattr("firtrestle_client.main._fetch_from_fleet", lambda daemons, path: answers)
    path = tmp_path / "new.yaml"
    path.write_text("entries: {new: {owner: o, collection: c}}")
    result = run("check", str(path), "--daemon", "d1:1")
    assert result.exit_code == 1
    assert "entries.old: may not retire yet" in result.output
    assert "keep 'old' until it has passed" in result.output
    path.write_text("entries: {new: {owner: o, collection: c}, old: {owner: o, collection: c}}")
    assert run("check", str(path), "--daemon", "d1:1").exit_code == 0
