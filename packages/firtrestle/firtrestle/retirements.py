"""Decide when an entry may be removed: once its successor's answers have matched its own."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.catalogues import Catalogue, Entry
from firtrestle.counts import merged_counts
from firtrestle.gossip_maps import GossipMap

COMPARISON_PREFIX = "compared/"
SAME = "same"
DIFFERING = "differing"


@dataclass(frozen=True, slots=True)
class ComparisonCounts:
    """Count the compared answers of two collections that were the same, and those that differed."""

    same: int = 0
    differing: int = 0

    @property
    def total(self) -> int:
        """Return the number of answers compared."""
        return self.same + self.differing

    @property
    def differing_share(self) -> float:
        """Return the share of answers that differed, from 0 to 1."""
        return self.differing / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class CollectionPair:
    """Name the collections of a new entry and of the old one that it replaces."""

    new: str
    old: str


@dataclass(frozen=True, slots=True)
class Comparison:
    """Represent the progress of comparing an entry with the one that it replaces."""

    entry: Entry
    compared: ComparisonCounts

    @property
    def passed(self) -> bool:
        """Return whether enough answers were compared and few enough differed."""
        criteria = self.entry.replaces
        enough = self.compared.total >= criteria.least_compared
        return enough and self.compared.differing_share <= criteria.most_differing

    @property
    def fault(self) -> str:
        """Return why the old entry may not be removed, empty if it may."""
        if self.passed:
            return ""
        criteria, compared = self.entry.replaces, self.compared
        return (
            f"entries.{criteria.entry}: may not retire yet: '{self.entry.name}' replaces it, and "
            f"of {compared.total} answers compared (at least {criteria.least_compared} needed) "
            f"{compared.differing_share:.2%} differed "
            f"(at most {criteria.most_differing:.2%} allowed)"
        )


def comparisons_of(
    catalogue: Catalogue, compared_by_pair: dict[CollectionPair, ComparisonCounts]
) -> list[Comparison]:
    """Return a comparison for each entry of a catalogue that replaces another."""
    found: list[Comparison] = []
    for entry in catalogue.by_name.values():
        if entry.replaces is not None:
            old = catalogue.by_name[entry.replaces.entry]
            pair = CollectionPair(entry.collection, old.collection)
            found.append(Comparison(entry, compared_by_pair.get(pair, ComparisonCounts())))
    return found


def retirement_faults(
    before: Catalogue, after: Catalogue, compared_by_pair: dict[CollectionPair, ComparisonCounts]
) -> list[str]:
    """Return a fault for each entry that `after` drops before its comparison has passed."""
    return [
        comparison.fault
        for comparison in comparisons_of(before, compared_by_pair)
        if comparison.fault and comparison.entry.replaces.entry not in after.by_name
    ]


def merged_comparisons(items: GossipMap) -> dict[CollectionPair, ComparisonCounts]:
    """Return the counts by pair, added up over all processes that have published theirs."""
    totals = merged_counts(items, COMPARISON_PREFIX)
    pairs = {CollectionPair(new, old) for new, old, _ in totals}
    return {
        pair: ComparisonCounts(
            totals[pair.new, pair.old, SAME], totals[pair.new, pair.old, DIFFERING]
        )
        for pair in pairs
    }
