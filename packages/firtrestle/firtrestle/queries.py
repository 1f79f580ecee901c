"""Represent a caller's query and the answer gathered for it."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from firtrestle.catalogues import Entry
from firtrestle.clocks import Millis
from firtrestle.hashing import hex64
from firtrestle.outcomes import SubOutcome
from firtrestle.snapshots import Snapshot


@dataclass(frozen=True, slots=True)
class Query:
    """Represent one query; `deadline` is a time on the daemon's monotonic clock."""

    request_id: str
    entry: Entry
    body: dict[str, Any]
    urgent: bool
    deadline: Millis
    key: str = ""
    fingerprint: str = ""
    shape: str = ""


def query_fingerprint(collection: str, body: dict[str, Any]) -> str:
    """Return a hash of a query's content, equal for all callers that send it."""
    return hex64(json.dumps([collection, body], sort_keys=True))


def query_shape(collection: str, body: Any) -> str:
    """Return the field names and types of a query, without its values."""
    return f"{collection}:{_shape(body)}"


def _shape(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ",".join(f"{k}:{_shape(v)}" for k, v in sorted(value.items())) + "}"
    if isinstance(value, list):
        return "[" + ",".join(sorted({_shape(item) for item in value})) + "]"
    return type(value).__name__


@dataclass(frozen=True, slots=True)
class MissingShard:
    """Represent one shard that an answer does not fully cover, and the reason."""

    shard: int
    documents: int
    reason: SubOutcome | str


@dataclass(slots=True)
class GatherResult:
    """Accumulate the rows and the coverage gathered from the shards of a snapshot."""

    snapshot: Snapshot
    rows_by_id: dict[str, dict[str, Any]] = field(default_factory=dict)
    covered_by_shard: dict[int, int] = field(default_factory=dict)
    missing_by_shard: dict[int, MissingShard] = field(default_factory=dict)
    sent: int = 0
    duplicate_rows: int = 0

    @property
    def covered(self) -> int:
        """Return the number of documents covered."""
        return sum(self.covered_by_shard.values())

    @property
    def coverage(self) -> float:
        """Return the covered share of the documents, 1.0 for an empty collection."""
        total = self.snapshot.total_documents
        return self.covered / total if total else 1.0

    @property
    def is_complete(self) -> bool:
        """Return whether the answer covers all shards."""
        return not self.missing_by_shard

    def to_document(self, query: Query) -> dict[str, Any]:
        """Return the JSON document of the answer."""
        missing = sorted(self.missing_by_shard.values(), key=lambda item: item.shard)
        return {
            "request_id": query.request_id,
            "entry": query.entry.name,
            "snapshot": {
                "collection": self.snapshot.collection,
                "version": self.snapshot.version,
                "shards": len(self.snapshot.documents_by_shard),
            },
            "coverage": {
                "covered": self.covered,
                "total": self.snapshot.total_documents,
                "fraction": round(self.coverage, 6),
                "missing": [
                    {"shard": item.shard, "documents": item.documents, "reason": str(item.reason)}
                    for item in missing
                ],
            },
            "rows": list(self.rows_by_id.values()),
        }
