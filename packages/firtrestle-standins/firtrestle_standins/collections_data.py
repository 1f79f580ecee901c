"""Compute the documents of a stand-in collection; all processes compute the same ones."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IndexVersion:
    """Describe one index version by its counts; document n is in shard n modulo `shards`."""

    number: int
    shards: int
    documents: int

    def documents_by_shard(self) -> list[int]:
        """Return the number of documents in each shard, indexed by shard."""
        return [len(self._documents_in(shard)) for shard in range(self.shards)]

    def matches(self, shard: int, query: dict) -> list[int]:
        """Return the documents of a shard that match a query's `modulus` and `remainder`."""
        modulus = max(1, int(query.get("modulus", 1)))
        remainder = int(query.get("remainder", 0)) % modulus
        return [n for n in self._documents_in(shard) if n % modulus == remainder]

    def matches_by_shard(self, query: dict) -> dict[int, list[int]]:
        """Return the documents that match a query, by shard."""
        return {shard: self.matches(shard, query) for shard in range(self.shards)}

    def _documents_in(self, shard: int) -> range:
        return range(shard, self.documents, self.shards)


def row_id(collection: str, document: int) -> str:
    """Return the row id of a document, such as `corners-17`."""
    return f"{collection}-{document}"
