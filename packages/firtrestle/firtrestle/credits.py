"""Hold grow-only counts of answered requests, merged over daemons by maximum."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from firtrestle.spreads import SpreadMap

CREDIT_PREFIX = "credit/"


class CreditLedger:
    """Count this incarnation's answers by entry, owner and kind."""

    def __init__(self) -> None:
        self.total = 0
        self._spread_total = 0
        self._counts: dict[tuple[str, str, str], int] = defaultdict(int)

    def count(self, entry_name: str, owner: str, kind: str) -> None:
        """Count one answered request."""
        self._counts[entry_name, owner, kind] += 1
        self.total += 1

    def spread(self, items: SpreadMap, process: str) -> None:
        """Put the counts where peers take them from, if they grew."""
        if self.total == self._spread_total:
            return
        self._spread_total = self.total
        rows = [[*key, number] for key, number in sorted(self._counts.items())]
        items.put(CREDIT_PREFIX + process, self.total, rows)


def merged_credits(items: SpreadMap) -> list[dict[str, Any]]:
    """Return the counts over all incarnations known here."""
    totals: dict[tuple[str, str, str], int] = defaultdict(int)
    for item in items.under(CREDIT_PREFIX).values():
        for entry_name, owner, kind, number in item.value:
            totals[entry_name, owner, kind] += number
    return [
        {"entry": entry_name, "owner": owner, "kind": kind, "answered": number}
        for (entry_name, owner, kind), number in sorted(totals.items())
    ]
