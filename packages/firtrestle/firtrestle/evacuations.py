"""Track the data centres that operators have evacuated: no request is sent to an instance there."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis

Listener = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class _Evacuation:
    revision: int  # at which the registry held it
    since: Millis


class Evacuations:
    """Hold the data centres that are evacuated as far as this daemon knows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._evacuation_by_zone: dict[str, _Evacuation] = {}
        self._listeners: list[Listener] = []

    @property
    def is_empty(self) -> bool:
        """Return whether no data centre is evacuated."""
        return not self._evacuation_by_zone

    def covers(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._evacuation_by_zone

    def zones(self) -> list[str]:
        """Return the evacuated data centres in order."""
        return sorted(self._evacuation_by_zone)

    def add_listener(self, listener: Listener) -> None:
        """Call a listener with the data centre after one is added or withdrawn."""
        self._listeners.append(listener)

    def put(self, zone: str, revision: int, age: Millis = Millis(0)) -> None:
        """Let an evacuation take force; `age` is that of what is known of the registry."""
        before = self._evacuation_by_zone.get(zone)
        since = self._clock.now() if before is None else before.since
        self._evacuation_by_zone[zone] = _Evacuation(revision, since)
        if before is None:
            logger.bind(zone=zone, revision=revision, registry_age_ms=_logged(age)).info(
                "evacuation in force"
            )
            self._notify(zone)

    def remove(self, zone: str, revision: int, age: Millis = Millis(0)) -> None:
        """End an evacuation, if there is one."""
        before = self._evacuation_by_zone.pop(zone, None)
        if before is None:
            return
        logger.bind(
            zone=zone,
            revision=revision,
            registry_age_ms=_logged(age),
            in_force_ms=round(self._clock.now() - before.since),
        ).info("evacuation ended")
        self._notify(zone)

    def status(self) -> dict[str, Any]:
        """Return the revision and the time in force of each evacuated data centre."""
        now = self._clock.now()
        return {
            zone: {
                "revision": self._evacuation_by_zone[zone].revision,
                "in_force_ms": round(now - self._evacuation_by_zone[zone].since),
            }
            for zone in self.zones()
        }

    def _notify(self, zone: str) -> None:
        for listener in self._listeners:
            listener(zone)


def _logged(age: Millis) -> int | None:
    """Return an age in whole ms for a log line, None if it is unknown."""
    return round(age) if math.isfinite(age) else None
