"""Check and compare catalogues."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from pathlib import Path

from firtrestle.catalogues import Catalogue, Entry, parse_catalogue
from firtrestle.yaml_documents import Fault

from firtrestle_client.fleets import DaemonAnswer


@dataclass(frozen=True, slots=True)
class Difference:
    """Represent one field that differs between two catalogues, or an entry added or removed."""

    entry: str
    field: str
    before: str
    after: str


def read_catalogue(path: Path) -> Catalogue | list[Fault]:
    """Parse a catalogue file; return its faults if it cannot be read or is invalid."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return [Fault(1, "", f"cannot be read: {error}")]
    return parse_catalogue(text, revision=1)


def compare_catalogues(before: Catalogue, after: Catalogue) -> list[Difference]:
    """Return the differences between two catalogues, sorted by entry name."""
    differences: list[Difference] = []
    for name in sorted(before.by_name.keys() | after.by_name.keys()):
        differences += _compare_entries(name, before.by_name.get(name), after.by_name.get(name))
    return differences


def early_removal_faults(catalogue: Catalogue, answers: list[DaemonAnswer]) -> list[Fault]:
    """Return a fault for each replaced entry that the catalogue removes too early.

    An entry may be removed only after the daemons have compared enough of its answers with those of
    the entry that replaces it.
    """
    fault_by_entry: dict[str, Fault] = {}
    for answer in answers:
        for comparison in answer.value["comparisons"] if answer.value else []:
            old = comparison["replaces"]
            if comparison["fault"] and old not in catalogue.by_name:
                path, _, message = comparison["fault"].partition(": ")
                fault_by_entry[old] = Fault(1, path, message, f"keep '{old}' until it has passed")
    return list(fault_by_entry.values())


def faults_as_dicts(faults: list[Fault]) -> list[dict[str, object]]:
    """Return faults as dictionaries for JSON output."""
    return [asdict(fault) for fault in faults]


def _compare_entries(name: str, before: Entry | None, after: Entry | None) -> list[Difference]:
    if before is None:
        return [Difference(name, "", "", "added")]
    if after is None:
        return [Difference(name, "", "", "removed")]
    names = [field.name for field in fields(Entry)]
    pairs = [(field, getattr(before, field), getattr(after, field)) for field in names]
    return [
        Difference(name, field, _format_value(a), _format_value(b))
        for field, a, b in pairs
        if a != b
    ]


def _format_value(value: object) -> str:
    return ", ".join(value) if isinstance(value, tuple) else str(value)
