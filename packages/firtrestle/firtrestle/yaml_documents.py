"""Validate a YAML document against a model and report the line of each fault."""

from __future__ import annotations

import difflib
from dataclasses import dataclass
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

Model = TypeVar("Model", bound=BaseModel)
Path = tuple[str | int, ...]

MAX_DOCUMENT_BYTES = 1_000_000
MAX_NODES = 1_000_000  # with aliases expanded; a document of the maximum size holds fewer without
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # the faster C loader, if available


@dataclass(frozen=True, slots=True)
class Fault:
    """Represent one fault of a document; lines count from 1, `mend` suggests a correction."""

    line: int
    path: str
    message: str
    mend: str = ""

    def __str__(self) -> str:
        mend = f" ({self.mend})" if self.mend else ""
        return f"line {self.line}: {self.path or 'document'}: {self.message}{mend}"


def check_document(text: str, model: type[Model]) -> Model | list[Fault]:
    """Return the validated model, or every fault found."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return [Fault(1, "", f"is larger than {MAX_DOCUMENT_BYTES} bytes", "split it")]
    loader = LOADER(text)
    index = _LineIndex()
    try:
        root = loader.get_single_node()
        if root is None:
            return [Fault(1, "", "is empty")]
        faults = index.add(root)
        data = loader.construct_document(root)
    except _UnusableNode as error:
        return [error.fault]
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        return [Fault(line, "", f"is not YAML: {getattr(error, 'problem', error)}")]
    except RecursionError:
        return [Fault(1, "", "is nested too deeply")]
    except ValueError as error:
        return [Fault(1, "", f"is not YAML: {error}")]
    line_by_path = index.line_by_path
    try:
        checked = model.model_validate(data)
    except ValidationError as error:
        faults += [_to_fault(detail, line_by_path, model) for detail in error.errors()]
        return sorted(faults, key=lambda fault: fault.line)
    return faults or checked


class _UnusableNode(Exception):
    """Raised on a node that can't be expanded."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


class _LineIndex:
    """Index the line of each path of a document, with aliases expanded."""

    def __init__(self) -> None:
        self.line_by_path: dict[Path, int] = {}
        self._nodes = 0
        self._ancestors: set[int] = set()

    def add(self, node: yaml.Node, path: Path = ()) -> list[Fault]:
        """Record the lines below a node, and return a fault for each duplicate key.

        Raise _UnusableNode if a node contains itself, or if aliases expand to too many nodes.
        """
        line = node.start_mark.line + 1
        self._nodes += 1
        if id(node) in self._ancestors:
            raise _UnusableNode(Fault(line, _dotted(path), "contains itself", "remove the alias"))
        if self._nodes > MAX_NODES:
            raise _UnusableNode(Fault(line, _dotted(path), "aliases expand to too many values"))
        self.line_by_path.setdefault(path, line)
        self._ancestors.add(id(node))
        faults: list[Fault] = []
        if isinstance(node, yaml.MappingNode):
            faults = self._add_mapping(node, path)
        elif isinstance(node, yaml.SequenceNode):
            for index, value in enumerate(node.value):
                faults += self.add(value, (*path, index))
        self._ancestors.discard(id(node))
        return faults

    def _add_mapping(self, node: yaml.MappingNode, path: Path) -> list[Fault]:
        faults: list[Fault] = []
        seen: set[str] = set()
        for key, value in node.value:
            inner_path = (*path, str(key.value))
            line = key.start_mark.line + 1
            if str(key.value) in seen:
                faults.append(Fault(line, _dotted(inner_path), "stands twice", "remove one"))
            seen.add(str(key.value))
            self.line_by_path[inner_path] = line
            faults += self.add(value, inner_path)
        return faults


def _to_fault(detail: Any, line_by_path: dict[Path, int], model: type[BaseModel]) -> Fault:
    path = tuple(part for part in detail["loc"] if part != "[key]")
    line = _nearest_line(path, line_by_path)
    if detail["type"] == "extra_forbidden":
        return Fault(line, _dotted(path), "is not a known key", _suggest_key(path, model))
    if detail["type"] == "missing":
        return Fault(line, _dotted(path), "is missing", "add it")
    message = detail["msg"].removeprefix("Value error, ")
    return Fault(line, _dotted(path), message[0].lower() + message[1:])


def _nearest_line(path: Path, line_by_path: dict[Path, int]) -> int:
    while path and path not in line_by_path:
        path = path[:-1]
    return line_by_path.get(path, 1)


def _suggest_key(path: Path, model: type[BaseModel]) -> str:
    known = sorted(_known_keys(model))
    near = difflib.get_close_matches(str(path[-1]), known, n=1, cutoff=0.5)
    return f"did you mean '{near[0]}'?" if near else "remove it"


def _known_keys(model: type[BaseModel]) -> set[str]:
    """Return the keys of a model and of all models nested in it."""
    keys: set[str] = set()
    for name, field in model.model_fields.items():
        keys.add(field.alias or name)
        for inner in _models_in(field.annotation):
            keys |= _known_keys(inner)
    return keys


def _models_in(annotation: Any) -> list[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return [annotation]
    return [m for arg in getattr(annotation, "__args__", ()) for m in _models_in(arg)]


def _dotted(path: Path) -> str:
    return ".".join(str(part) for part in path)
