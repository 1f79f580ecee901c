"""Check and compare catalogues."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from pathlib import Path

from firtrestle.catalogues import Catalogue, Entry, parse_catalogue
from firtrestle.yaml_documents import Fault

from firtrestle_client.fleets import DaemonAnswer


@dataclass(frozen=True, slots=True)
class Difference:
    """Hold one difference between two catalogues."""

    entry: str
    field: str
    before: str
    after: str


def read_catalogue(path: Path) -> Catalogue | list[Fault]:
    """Read and check a catalogue file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return [Fault(1, "", f"cannot be read: {error}")]
    return parse_catalogue(text, revision=1)


def compare(before: Catalogue, after: Catalogue) -> list[Difference]:
    """Return what changes from one catalogue to the other, entry by entry."""
    found: list[Difference] = []
    for name in sorted(before.by_name.keys() | after.by_name.keys()):
        found += _compare_entries(name, before.by_name.get(name), after.by_name.get(name))
    return found


def retirement_faults(catalogue: Catalogue, answers: list[DaemonAnswer]) -> list[Fault]:
    """Return what a catalogue drops though the daemons' comparisons have not passed."""
    found: dict[str, Fault] = {}
    for answer in answers:
        for one in answer.value["comparisons"] if answer.value else []:
            old = one["replaces"]
            if one["fault"] and old not in catalogue.by_name:
                path, _, message = one["fault"].partition(": ")
                found[old] = Fault(1, path, message, f"keep '{old}' until it has passed")
    return list(found.values())


def fault_rows(faults: list[Fault]) -> list[dict[str, object]]:
    """Return faults as plain values."""
    return [asdict(fault) for fault in faults]


def _compare_entries(name: str, before: Entry | None, after: Entry | None) -> list[Difference]:
    if before is None:
        return [Difference(name, "", "", "added")]
    if after is None:
        return [Difference(name, "", "", "removed")]
    names = [one.name for one in fields(Entry)]
    pairs = [(field, getattr(before, field), getattr(after, field)) for field in names]
    return [Difference(name, field, _text(a), _text(b)) for field, a, b in pairs if a != b]


def _text(value: object) -> str:
    return ", ".join(value) if isinstance(value, tuple) else str(value)
