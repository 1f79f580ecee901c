from pathlib import Path

import pytest
from firtrestle.catalogues import Catalogue, QueryClass, parse_catalogue

EXAMPLE = Path(__file__).parents[3] / "examples" / "catalogue.yaml"
ENTRY = "owner: o, collection: c"


def test_the_example_is_valid_and_maps_legacy_paths_to_entries():
    catalogue = parse_catalogue(EXAMPLE.read_text(), 3)
    assert isinstance(catalogue, Catalogue)
    assert catalogue.revision == 3
    by_legacy_path = catalogue.entry_for("/legacy/corners")
    assert by_legacy_path is catalogue.entry_for("/collections/corner-lookup")
    assert by_legacy_path.query_class is QueryClass.URGENT
    assert catalogue.entry_for("/collections/unknown") is None


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("entries: {a: {owner: o}}", "missing"),
        (f"entries: {{a: {{{ENTRY}, class: fast}}}}", "urgent"),
        (f"entries: {{a: {{{ENTRY}, paths: [old]}}}}", "must start with /"),
        (f"entries: {{a: {{{ENTRY}, paths: [/-/live]}}}}", "reserved"),
        (f"entries: {{A_b: {{{ENTRY}}}}}", "lower case"),
        (f"entries: {{a: {{{ENTRY}, limits: {{rate_per_second: 0}}}}}}", "greater than 0"),
        (
            f"entries: {{a: {{{ENTRY}, paths: [/x]}}, b: {{{ENTRY}, paths: [/x]}}}}",
            "belongs to both",
        ),
    ],
)
def test_a_catalogue_with_a_fault_is_rejected_as_a_whole(text: str, part: str):
    faults = parse_catalogue(text, 1)
    assert isinstance(faults, list)
    assert any(part in str(fault) for fault in faults)
