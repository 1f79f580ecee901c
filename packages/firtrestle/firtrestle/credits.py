"""Credit answered requests to the owners of their entries."""

from __future__ import annotations

from typing import Any

from firtrestle.counts import GrowingCounts, merged_counts
from firtrestle.spreads import SpreadMap

CREDIT_PREFIX = "credit/"


class CreditLedger:
    """Count this incarnation's answers by entry, owner and kind."""

    def __init__(self) -> None:
        self._counts = GrowingCounts(CREDIT_PREFIX)

    def count(self, entry_name: str, owner: str, kind: str) -> None:
        """Count one answered request."""
        self._counts.count((entry_name, owner, kind))

    def spread(self, items: SpreadMap, process: str) -> None:
        """Put the counts where peers take them from, if they grew."""
        self._counts.spread(items, process)


def merged_credits(items: SpreadMap) -> list[dict[str, Any]]:
    """Return the counts over all incarnations known here."""
    return [
        {"entry": entry_name, "owner": owner, "kind": kind, "answered": number}
        for (entry_name, owner, kind), number in sorted(merged_counts(items, CREDIT_PREFIX).items())
    ]
