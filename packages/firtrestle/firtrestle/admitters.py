"""Define the interface of admitters, which decide which queries may run."""

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
    """Describe a query to an admitter.

    `part` is the fraction of the entry's limits that this daemon may use now.
    """

    entry: Entry
    urgent: bool
    time_left: Millis
    part: float


class Admitter:
    """Admit a query or refuse it at once."""

    name: str

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng

    @classmethod
    def from_config(cls, clock: Clock, rng: random.Random) -> Admitter:
        return cls(clock, rng)

    def admit(self, arrival: Arrival) -> Refused | None:
        """Return a refusal, or None and count the query as running."""
        raise NotImplementedError

    def finished(self, arrival: Arrival, served: bool) -> None:
        """Record the end of an admitted query; `served` is false if targets had no time for it."""
        raise NotImplementedError
