"""Parse the catalogue, the YAML document in which operators define entries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import lru_cache

from pydantic import BaseModel, ConfigDict, Field, model_validator

from firtrestle.clocks import Millis
from firtrestle.yaml_documents import Fault, check_document

RESERVED_PREFIX = "/-/"
COLLECTIONS_PREFIX = "/collections/"
# The same text is parsed by its reader, by each validator and when it is applied.
PARSED_CACHE_SIZE = 4
_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class QueryClass(StrEnum):
    """Rank the queries of an entry for times when capacity is short."""

    URGENT = "urgent"
    ORDINARY = "ordinary"


class EntryKind(StrEnum):
    """Distinguish searches, which may be repeated, from submits, which may not."""

    SEARCH = "search"
    SUBMIT = "submit"


class Weighing(StrEnum):
    """Select what an entry keeps when it cannot have both latency and coverage."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Canary(StrEnum):
    """Select which queries run on one target before they run on all of them."""

    ALWAYS = "always"
    NEW_SHAPES = "new-shapes"
    NEVER = "never"


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid")


class LimitsModel(_Model):
    """Validate the limits of an entry."""

    rate_per_second: float = Field(1_000.0, gt=0)
    concurrency: int = Field(1_000, ge=1)


class ReplacesModel(_Model):
    """Validate the terms on which an entry replaces an older one."""

    entry: str = Field(min_length=1)
    compare_share: float = Field(0.01, gt=0, le=1)
    least_compared: int = Field(1_000, ge=1)
    most_differing: float = Field(0.0, ge=0, le=1)


class EntryModel(_Model):
    """Validate one entry."""

    owner: str = Field(min_length=1)
    collection: str = Field(pattern=_NAME_PATTERN)
    query_class: QueryClass = Field(QueryClass.ORDINARY, alias="class")
    kind: EntryKind = EntryKind.SEARCH
    paths: list[str] = []
    limits: LimitsModel = LimitsModel()
    weighs: Weighing = Weighing.COVERAGE
    least_coverage: float = Field(0.0, ge=0, le=1)
    timeout_ms: int = Field(1_000, ge=1)
    extra_load: float = Field(0.02, ge=0, le=0.5)
    canary: Canary = Canary.NEW_SHAPES
    replaces: ReplacesModel | None = None

    @model_validator(mode="after")
    def _check_paths(self) -> EntryModel:
        for path in self.paths:
            if not path.startswith("/") or path.startswith((RESERVED_PREFIX, COLLECTIONS_PREFIX)):
                raise ValueError(f"path '{path}' must start with / and not with a reserved prefix")
        return self


class CatalogueModel(_Model):
    """Validate a whole catalogue, with the rules between its entries."""

    entries: dict[str, EntryModel]

    @model_validator(mode="after")
    def _check_entries(self) -> CatalogueModel:
        name_by_path: dict[str, str] = {}
        for name, entry in self.entries.items():
            if not name or not name.replace("-", "").isalnum() or name != name.lower():
                raise ValueError(f"entry name '{name}' must be lower case letters, digits and -")
            for path in entry.paths:
                other = name_by_path.setdefault(path, name)
                if other != name:
                    raise ValueError(f"path '{path}' belongs to both '{other}' and '{name}'")
            self._check_replaced(name, entry)
        return self

    def _check_replaced(self, name: str, entry: EntryModel) -> None:
        if entry.replaces is None:
            return
        replaced = self.entries.get(entry.replaces.entry)
        if replaced is None or replaced is entry:
            raise ValueError(f"'{name}' replaces '{entry.replaces.entry}', which is no other entry")
        if EntryKind.SUBMIT in (entry.kind, replaced.kind):
            raise ValueError(f"'{name}' replaces '{entry.replaces.entry}': only searches can")


@dataclass(frozen=True, slots=True)
class Replaces:
    """Represent which entry is replaced, and what comparing answers must show before it may retire.

    `compare_share` is the share of queries that are compared, from 0 to 1.
    """

    entry: str
    compare_share: float
    least_compared: int
    most_differing: float


@dataclass(frozen=True, slots=True)
class Entry:
    """Represent one entry of a catalogue in force."""

    name: str
    owner: str
    collection: str
    query_class: QueryClass
    kind: EntryKind
    paths: tuple[str, ...]
    rate_per_second: float
    concurrency: int
    weighs: Weighing
    least_coverage: float
    timeout: Millis
    extra_load: float
    canary: Canary
    replaces: Replaces | None = None


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Represent one revision of the catalogue."""

    revision: int = 0
    by_name: dict[str, Entry] = field(default_factory=dict)
    by_path: dict[str, Entry] = field(default_factory=dict)

    def entry_for(self, path: str) -> Entry | None:
        """Return the entry for `/collections/NAME` or for a path that an entry lists."""
        if path.startswith(COLLECTIONS_PREFIX):
            return self.by_name.get(path.removeprefix(COLLECTIONS_PREFIX).strip("/"))
        return self.by_path.get(path)

    def collections(self) -> set[str]:
        """Return the names of all collections that entries refer to."""
        return {entry.collection for entry in self.by_name.values()}


@lru_cache(maxsize=PARSED_CACHE_SIZE)
def parse_catalogue(text: str, revision: int) -> Catalogue | list[Fault]:
    """Return the catalogue of a YAML text, or every fault in it.

    The result is cached and must not be modified.
    """
    checked = check_document(text, CatalogueModel)
    if isinstance(checked, list):
        return checked
    by_name = {name: _build_entry(name, model) for name, model in checked.entries.items()}
    by_path = {path: entry for entry in by_name.values() for path in entry.paths}
    return Catalogue(revision, by_name, by_path)


def _build_entry(name: str, model: EntryModel) -> Entry:
    return Entry(
        name=name,
        owner=model.owner,
        collection=model.collection,
        query_class=model.query_class,
        kind=model.kind,
        paths=tuple(model.paths),
        rate_per_second=model.limits.rate_per_second,
        concurrency=model.limits.concurrency,
        weighs=model.weighs,
        least_coverage=model.least_coverage,
        timeout=Millis(model.timeout_ms),
        extra_load=model.extra_load,
        canary=model.canary,
        replaces=Replaces(**model.replaces.model_dump()) if model.replaces else None,
    )
