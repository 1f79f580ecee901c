"""Check the limits of a catalogue's entries against each other before it is published."""

from __future__ import annotations

from collections.abc import Iterator

from firtrestle.catalogues import Catalogue, Entry, Weighing
from firtrestle.route_checks import Finding, FindingKind

SECONDS_PER_DAY = 86_400


def check_entries(catalogue: Catalogue) -> list[Finding]:
    """Return the limits of which one makes another ineffective."""
    return [
        Finding(FindingKind.CONTRADICTION, f"entries.{name}", message)
        for name, entry in catalogue.by_name.items()
        for message in _contradictions(entry)
    ]


def _contradictions(entry: Entry) -> Iterator[str]:
    if entry.weighs is Weighing.LATENCY and entry.least_coverage == 1:
        yield "weighs latency, but its least coverage of 1 leaves no straggler out"
    replaces = entry.replaces
    if replaces is None:
        return
    if replaces.most_differing == 1:
        yield f"compares answers with '{replaces.entry}', but lets all of them differ"
    most_compared = entry.rate_per_second * SECONDS_PER_DAY * replaces.compare_share
    if replaces.least_compared > most_compared:
        yield (
            f"its rate allows {most_compared:.0f} comparisons a day, "
            f"of {replaces.least_compared} that are needed"
        )
