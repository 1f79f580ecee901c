"""Hold grow-only counts that all daemons merge."""

from __future__ import annotations

from collections import defaultdict

from firtrestle.spreads import SpreadMap

Key = tuple[str, ...]


class GrowingCounts:
    """Count by key in this process, and spread the counts under a prefix."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._total = 0
        self._spread_total = 0
        self._counts: dict[Key, int] = defaultdict(int)

    def count(self, key: Key) -> None:
        """Count one more."""
        self._counts[key] += 1
        self._total += 1

    def spread(self, items: SpreadMap, process: str) -> None:
        """Put the counts where peers take them from, if they grew."""
        if self._total == self._spread_total:
            return
        self._spread_total = self._total
        rows = [[*key, number] for key, number in sorted(self._counts.items())]
        items.put(self._prefix + process, self._total, rows)


def merged_counts(items: SpreadMap, prefix: str) -> dict[Key, int]:
    """Return the counts of all processes known here, by key."""
    totals: dict[Key, int] = defaultdict(int)
    for item in items.under(prefix).values():
        for *key, number in item.value:
            totals[tuple(key)] += number
    return totals
