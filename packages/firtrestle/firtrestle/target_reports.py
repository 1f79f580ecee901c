"""Describe what a target says that it serves."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

REPORT_PREFIX = "target/"


class TargetState(StrEnum):
    """Say whether a target takes new work."""

    LIVE = "live"
    STARTING = "starting"
    DRAINING = "draining"
    DOWN = "down"


class _SearcherModel(BaseModel):
    model_config = ConfigDict(extra="ignore")

    slots: int = Field(ge=1)
    shards: dict[int, list[int]] = {}


class _VersionModel(BaseModel):
    model_config = ConfigDict(extra="ignore")

    documents: list[int]


class _StatusModel(BaseModel):
    model_config = ConfigDict(extra="ignore")

    state: TargetState
    collection: str
    connection_limit: int = Field(ge=1)
    searchers: dict[str, _SearcherModel]
    versions: dict[int, _VersionModel] = {}


@dataclass(frozen=True, slots=True)
class SearcherReport:
    """Hold one searcher's slots and the shards it holds by version."""

    slots: int
    shards_by_version: dict[int, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Hold what one target serves."""

    target_id: str
    state: TargetState
    collection: str
    connection_limit: int
    by_searcher: dict[str, SearcherReport] = field(default_factory=dict)

    def versions(self) -> set[int]:
        """Return the versions of which any searcher holds a shard."""
        held = (searcher.shards_by_version for searcher in self.by_searcher.values())
        return {version for shards in held for version in shards}

    def to_value(self) -> dict[str, Any]:
        """Return the spread form."""
        return {
            "state": str(self.state),
            "collection": self.collection,
            "connection_limit": self.connection_limit,
            "searchers": {
                name: {
                    "slots": searcher.slots,
                    "shards": {str(v): list(s) for v, s in searcher.shards_by_version.items()},
                }
                for name, searcher in self.by_searcher.items()
            },
        }


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Hold a target's answer to a probe: its report, and documents by shard and version."""

    report: TargetReport
    documents_by_version: dict[int, tuple[int, ...]]


def read_status(target_id: str, raw: Any) -> TargetStatus | str:
    """Return what a target says of itself, or what is wrong with it."""
    try:
        status = _StatusModel.model_validate(raw)
    except ValidationError as error:
        return str(error)
    by_searcher = {
        name: SearcherReport(one.slots, {v: tuple(s) for v, s in one.shards.items()})
        for name, one in status.searchers.items()
    }
    report = TargetReport(
        target_id, status.state, status.collection, status.connection_limit, by_searcher
    )
    documents = {number: tuple(one.documents) for number, one in status.versions.items()}
    return TargetStatus(report, documents)


def read_report(target_id: str, raw: Any) -> TargetReport | str:
    """Return the report of a spread value, or what is wrong with it."""
    status = read_status(target_id, raw)
    return status if isinstance(status, str) else status.report
