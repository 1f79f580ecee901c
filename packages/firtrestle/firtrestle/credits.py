"""Count answered requests for the owners of their entries."""

from __future__ import annotations

from typing import Any

from firtrestle.counts import GrowOnlyCounts, merged_counts
from firtrestle.gossip_maps import GossipMap

CREDIT_PREFIX = "credit/"


class CreditLedger:
    """Count the answers of this incarnation by entry, owner and kind of request."""

    def __init__(self) -> None:
        self._counts = GrowOnlyCounts(CREDIT_PREFIX)

    def count(self, entry_name: str, owner: str, kind: str) -> None:
        self._counts.count((entry_name, owner, kind))

    def publish(self, items: GossipMap, process: str) -> None:
        """Publish the counts to peers if they have grown."""
        self._counts.publish(items, process)


def merged_credits(items: GossipMap) -> list[dict[str, Any]]:
    """Return the counts, added up over all incarnations that have published theirs."""
    return [
        {"entry": entry_name, "owner": owner, "kind": kind, "answered": number}
        for (entry_name, owner, kind), number in sorted(merged_counts(items, CREDIT_PREFIX).items())
    ]
