"""Define the collections that stand-ins serve, sized like the users' collections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from firtrestle_standins.collections_data import IndexVersion


@dataclass(frozen=True, slots=True)
class Shape:
    """Describe the size and limits of one collection.

    `searchers` are per instance, `slots` per searcher, and `connection_limit` per instance.
    """

    collection: str
    instances: int
    searchers: int
    slots: int
    connection_limit: int
    connect_cost_ms: float
    shards: int
    documents: int
    replicas: int = 2
    rows_of: str = ""  # collection whose row ids are served; empty: its own

    def target_ids(self) -> list[str]:
        """Return the target ids, one per instance."""
        return [f"{self.collection}-{index}" for index in range(self.instances)]

    def version(self, number: int, shards: int = 0, extra_documents: int = 0) -> IndexVersion:
        """Build an index version; `shards` 0 keeps the shape's number of shards."""
        return IndexVersion(number, shards or self.shards, self.documents + extra_documents)

    def place_shards(self, version: IndexVersion) -> dict[str, dict[str, list[int]]]:
        """Return the shards held, by target and searcher; replicas are on different instances."""
        total = self.instances * self.searchers
        held: dict[str, dict[str, list[int]]] = {
            target: {f"s{n}": [] for n in range(self.searchers)} for target in self.target_ids()
        }
        for shard in range(version.shards):
            for replica in range(self.replicas):
                position = (shard + replica * self.searchers) % total
                instance, searcher = divmod(position, self.searchers)
                held[f"{self.collection}-{instance}"][f"s{searcher}"].append(shard)
        return held

    def target_config(self, index: int, version: IndexVersion) -> dict[str, Any]:
        """Return the part of a target's configuration file that depends on the shape."""
        target = self.target_ids()[index]
        return {
            "id": target,
            "collection": self.collection,
            "rows_of": self.rows_of or self.collection,
            "connection_limit": self.connection_limit,
            "connect_cost_ms": self.connect_cost_ms,
            "slots": self.slots,
            "versions": {str(version.number): [version.shards, version.documents]},
            "shards_by_version": {str(version.number): self.place_shards(version)[target]},
        }


REVIEW_DESK = Shape("corners", 10, 3, 3, 30, 6.0, shards=30, documents=3_000)
ARCHIVE = Shape("archive", 10, 1, 2, 110, 1.0, shards=10, documents=1_000)
REGISTRY = Shape("registry", 4, 1, 3, 40, 1.0, shards=4, documents=1_200)
VERIFICATION_DESK = Shape("verification", 10, 3, 2, 25, 6.0, shards=30, documents=3_000)
FEES = Shape("fees", 3, 1, 2, 25, 6.0, shards=3, documents=0)
