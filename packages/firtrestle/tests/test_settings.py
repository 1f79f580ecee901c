from pathlib import Path

from firtrestle.settings import Settings, load_settings
from firtrestle.settings_pages import settings_page

ROOT = Path(__file__).parents[3]


def test_the_example_settings_are_valid():
    assert isinstance(load_settings(ROOT / "examples" / "settings.yaml"), Settings)


def test_a_missing_settings_file_is_reported_as_a_fault():
    faults = load_settings(Path("no-such-file"))
    assert isinstance(faults, list)
    assert "cannot be read" in str(faults[0])


def test_the_settings_page_matches_the_models():
    assert (ROOT / "docs" / "settings.md").read_text() == settings_page()
