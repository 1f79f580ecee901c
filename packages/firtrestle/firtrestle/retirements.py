"""Decide when an old entry may retire: once answers of its successor were like its own."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.catalogues import Catalogue, Entry
from firtrestle.counts import merged_counts
from firtrestle.spreads import SpreadMap

COMPARISON_PREFIX = "compared/"
SAME = "same"
DIFFERING = "differing"


@dataclass(frozen=True, slots=True)
class Compared:
    """Count the answers of two collections that were the same, and those that differed."""

    same: int = 0
    differing: int = 0

    @property
    def total(self) -> int:
        """Return the answers compared."""
        return self.same + self.differing

    @property
    def differing_share(self) -> float:
        """Return the share of answers that differed, from 0 to 1."""
        return self.differing / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class Pair:
    """Name the collections of a new entry and of the old one that it replaces."""

    new: str
    old: str


@dataclass(frozen=True, slots=True)
class Comparison:
    """Hold how far an entry's comparison with the one that it replaces has come."""

    entry: Entry
    compared: Compared

    @property
    def passed(self) -> bool:
        """Say whether enough answers were compared and few enough differed."""
        wanted = self.entry.replaces
        enough = self.compared.total >= wanted.least_compared
        return enough and self.compared.differing_share <= wanted.most_differing

    @property
    def fault(self) -> str:
        """Return why the old entry may not retire, empty where it may."""
        if self.passed:
            return ""
        wanted, compared = self.entry.replaces, self.compared
        return (
            f"entries.{wanted.entry}: may not retire yet: '{self.entry.name}' replaces it, and of "
            f"{compared.total} answers compared (at least {wanted.least_compared} needed) "
            f"{compared.differing_share:.2%} differed (at most {wanted.most_differing:.2%} allowed)"
        )


def comparisons_of(
    catalogue: Catalogue, compared_by_pair: dict[Pair, Compared]
) -> list[Comparison]:
    """Return the comparisons that a catalogue asks for."""
    found: list[Comparison] = []
    for entry in catalogue.by_name.values():
        if entry.replaces is not None:
            old = catalogue.by_name[entry.replaces.entry]
            pair = Pair(entry.collection, old.collection)
            found.append(Comparison(entry, compared_by_pair.get(pair, Compared())))
    return found


def retirement_faults(
    before: Catalogue, after: Catalogue, compared_by_pair: dict[Pair, Compared]
) -> list[str]:
    """Return why the later catalogue may not follow: it drops what is still being compared."""
    return [
        one.fault
        for one in comparisons_of(before, compared_by_pair)
        if one.fault and one.entry.replaces.entry not in after.by_name
    ]


def merged_comparisons(items: SpreadMap) -> dict[Pair, Compared]:
    """Return the counts of all processes known here."""
    totals = merged_counts(items, COMPARISON_PREFIX)
    pairs = {Pair(new, old) for new, old, _ in totals}
    return {
        pair: Compared(totals[pair.new, pair.old, SAME], totals[pair.new, pair.old, DIFFERING])
        for pair in pairs
    }
