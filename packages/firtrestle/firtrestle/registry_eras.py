"""Track the eras of a registry: after each restore from a copy, its revisions begin anew.

A revision orders changes within one era only. So all that is known by revision belongs to a span
of eras, and daemons exchange it only with peers of the same span.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger


@dataclass(frozen=True, slots=True)
class EraSpan:
    """Represent the first and the newest era of a registry that a fleet has seen."""

    first: int
    newest: int

    @classmethod
    def from_wire(cls, reported: Any) -> EraSpan | None:
        """Build a span from a peer's report, None if the peer knows none or it is malformed."""
        is_pair = isinstance(reported, list) and len(reported) == 2
        if not is_pair or not all(type(era) is int and era >= 0 for era in reported):
            return None
        first, newest = reported
        return cls(first, newest) if first <= newest else None

    @property
    def has_restores(self) -> bool:
        """Return whether the registry was restored since the first era."""
        return self.newest > self.first

    def joined(self, other: EraSpan) -> EraSpan:
        """Return the span of what either has seen."""
        return EraSpan(min(self.first, other.first), max(self.newest, other.newest))


class RegistryEras:
    """Hold the span of eras that this daemon knows, by its own reads and by the word of peers.

    Peers of an earlier build report none. They are trusted until a restore is known, as what
    they know by revision may be of any era.
    """

    def __init__(self) -> None:
        self.span: EraSpan | None = None  # None until an era is read or reported
        self.restores = 0  # changes after which all had to be read again
        self.refused_rows = 0
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, on_restored: Callable[[], None]) -> None:
        """Call a listener when revisions known so far are no longer comparable with new ones."""
        self._listeners.append(on_restored)

    def is_past(self, era: int) -> bool:
        """Return whether a later era is known."""
        return self.span is not None and era < self.span.newest

    def observe(self, era: int) -> None:
        """Record the era that an answer of the registry names."""
        self._join(EraSpan(era, era), "registry")

    def learn(self, reported: Any) -> None:
        """Record the span that a peer reports."""
        span = EraSpan.from_wire(reported)
        if span is not None:
            self._join(span, "peer")

    def are_shared_by(self, reported: Any) -> bool:
        """Return whether a peer that reports a span orders revisions as this daemon does."""
        span = EraSpan.from_wire(reported)
        if span is None:
            return self.span is None or not self.span.has_restores
        return span == self.span

    def to_wire(self) -> list[int]:
        """Return the span as a report to peers, empty while none is known."""
        return [self.span.first, self.span.newest] if self.span is not None else []

    def _join(self, other: EraSpan, source: str) -> None:
        before = self.span
        self.span = before.joined(other) if before is not None else other
        if self.span == before:
            return
        is_restore = before is not None or self.span.has_restores
        logger.bind(
            source=source,
            first=self.span.first,
            era=self.span.newest,
            before=before.newest if before is not None else None,
            reads_again=is_restore,
        ).info("registry era changed")
        if is_restore:
            self.restores += 1
            for listener in self._listeners:
                listener()
