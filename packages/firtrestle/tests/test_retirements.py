import pytest
from firtrestle.catalogues import Catalogue, parse_catalogue
from firtrestle.retirements import (
    CollectionPair,
    ComparisonCounts,
    comparisons_of,
    retirement_faults,
)

BOTH = """
entries:
  new:
    owner: o
    collection: c2
    replaces: {entry: old, least_compared: 100, most_differing: 0.01}
  old: {owner: o, collection: c1}
"""
ONLY_NEW = "entries: {new: {owner: o, collection: c2}}"
PAIR = CollectionPair("c2", "c1")


def catalogue(text: str) -> Catalogue:
    parsed = parse_catalogue(text, 1)
    assert isinstance(parsed, Catalogue), parsed
    return parsed


@pytest.mark.parametrize(
    ("compared", "may_retire"),
    [
        (ComparisonCounts(), False),
        (ComparisonCounts(same=99), False),
        (ComparisonCounts(same=100), True),
        (ComparisonCounts(same=99, differing=1), True),
        (ComparisonCounts(same=98, differing=2), False),
        (ComparisonCounts(differing=500), False),
    ],
)
def test_old_entry_may_be_removed_once_enough_answers_were_the_same(compared, may_retire):
    faults = retirement_faults(catalogue(BOTH), catalogue(ONLY_NEW), {PAIR: compared})
    assert bool(faults) != may_retire
    assert all("entries.old: may not retire yet" in fault for fault in faults)


def test_kept_or_unreplaced_entries_cause_no_fault():
    kept = "entries: {old: {owner: o, collection: c1}}"  # ends the comparison
    assert retirement_faults(catalogue(BOTH), catalogue(kept), {}) == []
    assert retirement_faults(catalogue(kept), catalogue(ONLY_NEW), {}) == []


def test_counts_of_other_collections_are_ignored():
    faults = retirement_faults(
        catalogue(BOTH),
        catalogue(ONLY_NEW),
        {CollectionPair("c2", "c9"): ComparisonCounts(same=1_000)},
    )
    assert len(faults) == 1


def test_comparison_fault_states_counts_and_bounds():
    (comparison,) = comparisons_of(catalogue(BOTH), {PAIR: ComparisonCounts(same=9, differing=1)})
    assert not comparison.passed
    assert "of 10 answers compared (at least 100 needed) 10.00% differed" in comparison.fault


@pytest.mark.parametrize(
    ("entry", "message"),
    [
        ("new: {owner: o, collection: c, replaces: {entry: gone}}", "which is no other entry"),
        ("new: {owner: o, collection: c, replaces: {entry: new}}", "which is no other entry"),
        (
            "new: {owner: o, collection: c, replaces: {entry: old}}\n"
            "  old: {owner: o, collection: c, kind: submit}",
            "only searches can",
        ),
    ],
)
def test_invalid_replacement_is_a_catalogue_fault(entry, message):
    faults = parse_catalogue(f"entries:\n  {entry}\n", 1)
    assert isinstance(faults, list)
    assert message in str(faults[0])
