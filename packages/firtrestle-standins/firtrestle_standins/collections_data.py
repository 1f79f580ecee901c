"""Make the documents of a stand-in collection, the same in every process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IndexVersion:
    """Hold the shape of one version: document n stands in shard n modulo the shards."""

    number: int
    shards: int
    documents: int

    def documents_by_shard(self) -> list[int]:
        """Return how many documents each shard holds."""
        return [len(self._documents_in(shard)) for shard in range(self.shards)]

    def matches(self, shard: int, query: dict) -> list[int]:
        """Return the documents of a shard that match a query."""
        modulus = max(1, int(query.get("modulus", 1)))
        remainder = int(query.get("remainder", 0)) % modulus
        return [n for n in self._documents_in(shard) if n % modulus == remainder]

    def all_matches(self, query: dict) -> dict[int, list[int]]:
        """Return the matching documents by shard."""
        return {shard: self.matches(shard, query) for shard in range(self.shards)}

    def _documents_in(self, shard: int) -> range:
        return range(shard, self.documents, self.shards)


def row_id(collection: str, document: int) -> str:
    """Return the id of a document's row."""
    return f"{collection}-{document}"
