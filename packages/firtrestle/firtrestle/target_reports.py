"""Validate the status of a target and represent what it serves."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

REPORT_PREFIX = "target/"


class TargetState(StrEnum):
    """Define the states of a target; only live and starting ones take new requests."""

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
    """Represent a searcher's number of slots and its shards by collection version."""

    slots: int
    shards_by_version: dict[int, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Represent what one target serves, as gossiped between daemons."""

    target_id: str
    state: TargetState
    collection: str
    connection_limit: int
    by_searcher: dict[str, SearcherReport] = field(default_factory=dict)

    def versions(self) -> set[int]:
        """Return the collection versions of which some searcher holds a shard."""
        shard_maps = (searcher.shards_by_version for searcher in self.by_searcher.values())
        return {version for shards in shard_maps for version in shards}

    def to_value(self) -> dict[str, Any]:
        """Return the report as a gossip value."""
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
    """Represent a target's answer to a probe.

    `documents_by_version` gives the document counts by shard for each collection version.
    """

    report: TargetReport
    documents_by_version: dict[int, tuple[int, ...]]


def read_status(target_id: str, raw: Any) -> TargetStatus | str:
    """Return the validated status, or the validation errors as a text."""
    try:
        status = _StatusModel.model_validate(raw)
    except ValidationError as error:
        return str(error)
    by_searcher = {
        name: SearcherReport(model.slots, {v: tuple(s) for v, s in model.shards.items()})
        for name, model in status.searchers.items()
    }
    report = TargetReport(
        target_id, status.state, status.collection, status.connection_limit, by_searcher
    )
    documents = {version: tuple(model.documents) for version, model in status.versions.items()}
    return TargetStatus(report, documents)


def read_report(target_id: str, raw: Any) -> TargetReport | str:
    """Return the report decoded from a gossip value, or the validation errors as a text."""
    status = read_status(target_id, raw)
    return status if isinstance(status, str) else status.report
