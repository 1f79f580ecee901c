from pathlib import Path

import pytest
from firtrestle_client.main import app
from typer.testing import CliRunner

ROOT = Path(__file__).parents[3]
EXAMPLE = ROOT / "examples" / "catalogue.yaml"


def run(*arguments):
    return CliRunner().invoke(app, [str(argument) for argument in arguments])


def test_a_catalogue_is_compared_with_the_one_in_force(tmp_path: Path):
    path = tmp_path / "new.yaml"
    path.write_text(EXAMPLE.read_text().replace("owner: registry", "owner: desk"))
    result = run("check", path, "--against", EXAMPLE)
    assert (result.exit_code, "lodgement-search" in result.output) == (0, True)
    assert "no difference" in run("check", EXAMPLE, "--against", EXAMPLE).output


# Guards against limits of an entry of which one makes another ineffective.
@pytest.mark.parametrize(
    ("entry", "text"),
    [
        ("{owner: o, collection: c, weighs: latency, least_coverage: 1}", "no straggler"),
        (
            "{owner: o, collection: c, replaces: {entry: old, most_differing: 1}}",
            "lets all of them differ",
        ),
        (
            "{owner: o, collection: c, limits: {rate_per_second: 0.001}, replaces: {entry: old}}",
            "comparisons a day",
        ),
    ],
)
def test_contradicting_limits_of_an_entry_are_found(entry, text, tmp_path: Path):
    path = tmp_path / "catalogue.yaml"
    path.write_text(f"entries:\n  new: {entry}\n  old: {{owner: o, collection: c}}\n")
    result = run("check", path)
    assert (result.exit_code, text in result.output) == (1, True)
