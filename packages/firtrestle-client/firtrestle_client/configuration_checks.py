"""Check a catalogue or a desired state before it is published."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from firtrestle.catalogue_checks import check_entries
from firtrestle.catalogues import Catalogue
from firtrestle.kernels import Kernel, UnknownPolicy
from firtrestle.route_checks import (
    Finding,
    RepeatBound,
    check_routes,
    check_version,
    compare_routes,
)
from firtrestle.routes import RouteTable
from firtrestle.settings import Settings, load_settings
from firtrestle.yaml_documents import Fault

from firtrestle_client.checks import compare_catalogues, faults_as_dicts, read_catalogue
from firtrestle_client.tables import print_table


class BadUsage(Exception):
    """Report options that can't be used together, or that name nothing."""


@dataclass(slots=True)
class Report:
    """Hold what a check found; differences are rows of entry, field, before and after."""

    entries: int = 0
    faults: list[Fault] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)
    differences: list[tuple[str, str, str, str]] = field(default_factory=list)

    @property
    def is_good(self) -> bool:
        """Return whether the configuration may be published as it is."""
        return not (self.faults or self.findings)

    def to_dict(self) -> dict[str, Any]:
        """Return the report for JSON output."""
        columns = ("entry", "field", "before", "after")
        return {
            "good": self.is_good,
            "faults": faults_as_dicts(self.faults),
            "findings": [asdict(finding) for finding in self.findings],
            "differences": [dict(zip(columns, row, strict=True)) for row in self.differences],
        }


@dataclass(frozen=True, slots=True)
class DesiredStates:
    """Read desired states in the format of a registered route source."""

    source: str
    plugins: tuple[str, ...]

    def read(self, path: Path) -> RouteTable | list[Fault]:
        """Return the route table of a file, or all of its faults."""
        try:
            source = Kernel.from_plugins(self.plugins).sources.get(self.source)
        except (ImportError, UnknownPolicy) as error:
            raise BadUsage(str(error)) from error
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            return [Fault(1, "", f"cannot be read: {error}")]
        parsed = source.parse_routes(text)
        if isinstance(parsed, RouteTable):
            return parsed
        return [_to_fault(text) for text in parsed.faults or (parsed.reason,)]


def check_catalogue(path: Path, against: Path | None) -> Report:
    """Check a catalogue file, and compare it with the one in force."""
    catalogue = read_catalogue(path)
    if isinstance(catalogue, list):
        return Report(faults=catalogue)
    report = Report(len(catalogue.by_name), findings=check_entries(catalogue))
    if against is not None:
        before = _in_force(read_catalogue(against), against)
        assert isinstance(before, Catalogue)
        report.differences = [
            (d.entry, d.field, d.before, d.after) for d in compare_catalogues(before, catalogue)
        ]
    return report


def check_desired_state(
    path: Path, against: Path | None, states: DesiredStates, settings_file: Path | None
) -> Report:
    """Check a file with a desired state, and compare it with the one in force."""
    table = states.read(path)
    if isinstance(table, list):
        return Report(faults=table)
    routes = sum(len(routes) for routes in table.routes_by_host.values())
    report = Report(routes, findings=check_routes(table, _repeat_bound(settings_file)))
    if against is not None:
        before = _in_force(states.read(against), against)
        assert isinstance(before, RouteTable)
        report.findings = check_version(before, table) + report.findings
        report.differences = [
            (d.place, d.field, d.before, d.after) for d in compare_routes(before, table)
        ]
    return report


def print_report(path: Path, report: Report, is_compared: bool) -> None:
    """Print the faults and findings of a file, and what it changes."""
    for fault in report.faults:
        print(f"{path}: {fault}")
    for finding in report.findings:
        print(f"{path}: {finding.place}: {finding.kind}: {finding.message}")
    if report.is_good:
        print(f"{path}: good, {report.entries} entries")
    if report.differences:
        print_table(("entry", "field", "before", "after"), report.differences)
    elif is_compared and not report.faults:
        print("no difference")


def _in_force(parsed: Catalogue | RouteTable | list[Fault], path: Path) -> Catalogue | RouteTable:
    if isinstance(parsed, list):
        raise BadUsage(f"{path}, the version in force, has faults: {parsed[0]}")
    return parsed


def _repeat_bound(settings_file: Path | None) -> RepeatBound | None:
    if settings_file is None:
        return None
    settings = load_settings(settings_file)
    if not isinstance(settings, Settings):
        raise BadUsage(f"{settings_file} has faults: {settings[0]}")
    return RepeatBound(settings.routes.repeat_ratio, settings.routes.repeat_slack)


def _to_fault(text: str) -> Fault:
    path, _, message = text.partition(": ")
    return Fault(1, path, message) if message else Fault(1, "", text)
