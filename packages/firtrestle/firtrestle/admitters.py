"""Decide which queries are let in."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from firtrestle.clocks import Clock, Millis
from firtrestle.errors import Refused

if TYPE_CHECKING:
    from firtrestle.catalogues import Entry


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold what is known of a query; `part` of the entry's limits is this daemon's."""

    entry: Entry
    urgent: bool
    time_left: Millis
    part: float


class Admitter:
    """Let a query in, or refuse it at once."""

    name: str

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng

    @classmethod
    def from_config(cls, clock: Clock, rng: random.Random) -> Admitter:
        """Build an admitter."""
        return cls(clock, rng)

    def admit(self, arrival: Arrival) -> Refused | None:
        """Return a refusal, or None and count the query as running."""
        raise NotImplementedError

    def finished(self, arrival: Arrival, served: bool) -> None:
        """Take note that an admitted query ended, and whether targets had time for it."""
        raise NotImplementedError
