"""Build the snapshots of a collection from target reports and choose one for a query."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from firtrestle.target_reports import TargetReport, TargetState

SERVING_STATES = (TargetState.LIVE, TargetState.STARTING)


@dataclass(frozen=True, slots=True, order=True)
class ReplicaId:
    """Identify one searcher on one target."""

    target_id: str
    searcher: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Represent one version of a collection: document counts and replicas by shard."""

    collection: str
    version: int
    documents_by_shard: tuple[int, ...]
    replicas_by_shard: dict[int, tuple[ReplicaId, ...]]

    @property
    def total_documents(self) -> int:
        """Return the number of documents over all shards."""
        return sum(self.documents_by_shard)

    @property
    def reachable_documents(self) -> int:
        """Return the number of documents in shards that have a replica."""
        replicas = self.replicas_by_shard
        return sum(n for shard, n in enumerate(self.documents_by_shard) if replicas.get(shard))

    @property
    def is_complete(self) -> bool:
        """Return whether each shard has a replica."""
        shards = range(len(self.documents_by_shard))
        return all(self.replicas_by_shard.get(shard) for shard in shards)


def build_snapshots(
    collection: str,
    reports: Iterable[TargetReport],
    documents_by_version: Mapping[int, tuple[int, ...]],
) -> list[Snapshot]:
    """Return the snapshots held by serving targets, newest first.

    Versions without known document counts are left out.
    """
    replicas: dict[int, dict[int, list[ReplicaId]]] = {}
    for report in reports:
        if report.collection == collection and report.state in SERVING_STATES:
            _add_replicas(report, replicas)
    return [
        Snapshot(
            collection,
            version,
            documents_by_version[version],
            {shard: tuple(sorted(ids)) for shard, ids in by_shard.items()},
        )
        for version, by_shard in sorted(replicas.items(), reverse=True)
        if version in documents_by_version
    ]


def choose_snapshot(snapshots: list[Snapshot], newer_than: int = 0) -> Snapshot | None:
    """Return the newest complete snapshot.

    Without one, return that with the largest share of reachable documents, the newest on a tie.
    """
    candidates = [snapshot for snapshot in snapshots if snapshot.version > newer_than]
    for snapshot in candidates:
        if snapshot.is_complete:
            return snapshot
    return max(candidates, key=_reachability_rank, default=None)


def _reachability_rank(snapshot: Snapshot) -> tuple[float, int]:
    total = snapshot.total_documents
    return (snapshot.reachable_documents / total if total else 0.0, snapshot.version)


def _add_replicas(report: TargetReport, replicas: dict[int, dict[int, list[ReplicaId]]]) -> None:
    for name, searcher in report.by_searcher.items():
        for version, shards in searcher.shards_by_version.items():
            for shard in shards:
                by_shard = replicas.setdefault(version, {})
                by_shard.setdefault(shard, []).append(ReplicaId(report.target_id, name))
