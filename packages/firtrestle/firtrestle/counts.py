"""Keep grow-only counts for each process, which every daemon adds up."""

from __future__ import annotations

from collections import defaultdict

from firtrestle.gossip_maps import GossipMap

Key = tuple[str, ...]


class GrowOnlyCounts:
    """Count by key in this process, and publish the counts under a prefix of the gossip map."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._total = 0
        self._published_total = 0
        self._counts: dict[Key, int] = defaultdict(int)

    def count(self, key: Key) -> None:
        """Add one to a key's count."""
        self._counts[key] += 1
        self._total += 1

    def publish(self, items: GossipMap, process: str) -> None:
        """Publish the counts to peers if they have grown."""
        if self._total == self._published_total:
            return
        self._published_total = self._total
        rows = [[*key, number] for key, number in sorted(self._counts.items())]
        items.put(self._prefix + process, self._total, rows)


def merged_counts(items: GossipMap, prefix: str) -> dict[Key, int]:
    """Return the counts by key, added up over all processes that have published theirs."""
    totals: dict[Key, int] = defaultdict(int)
    for item in items.with_prefix(prefix).values():
        for *key, number in item.value:
            totals[tuple(key)] += number
    return totals
