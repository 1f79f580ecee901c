"""Quarantine requests that crash the targets they run on."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from firtrestle.catalogues import Canary
from firtrestle.clocks import Clock, Millis
from firtrestle.events import EventKind, EventLog
from firtrestle.gossip_maps import GossipMap
from firtrestle.queries import Query
from firtrestle.settings import QuarantineSettings

QUARANTINE_PREFIX = "quarantine/"
SUSPECT_PREFIX = "suspect/"
SUSPECT_DURATION = Millis(5_000)  # other daemons refuse a suspect while one daemon retries it
MAX_KNOWN_GOOD_REQUESTS = 100_000
MAX_SUSPECTS = 10_000
MAX_SHAPES = 10_000
MIN_KNOWN_SHAPE_ANSWERS = 10  # shards that must have answered queries of a shape


@dataclass(slots=True)
class _Suspect:
    crashed_targets: set[str] = field(default_factory=set)


class Quarantines:
    """Count the targets that each request crashed, and publish suspects and quarantines to peers.

    A request is a suspect from its first crash until a target answers it, which clears it, or until
    it has crashed the configured number of targets, which quarantines it.
    """

    def __init__(
        self, settings: QuarantineSettings, items: GossipMap, clock: Clock, events: EventLog
    ) -> None:
        self._settings = settings
        self._items = items
        self._clock = clock
        self._events = events
        self._suspect_by_fingerprint: dict[str, _Suspect] = {}
        self._known_good: OrderedDict[str, None] = OrderedDict()
        self._answers_by_shape: OrderedDict[str, int] = OrderedDict()
        self._alert_until_by_entry: dict[str, Millis] = {}
        items.add_validator(QUARANTINE_PREFIX, self._is_current)
        items.add_validator(SUSPECT_PREFIX, self._is_current)

    def canaries_for(self, query: Query) -> int:
        """Return how many sub-requests to send as canaries, 0 for a query that needs none."""
        if query.entry.canary is Canary.NEVER or query.fingerprint in self._known_good:
            return 0
        only_new = query.entry.canary is Canary.NEW_SHAPES and not self._has_alert(query.entry.name)
        if only_new and self._answers_by_shape.get(query.shape, 0) >= MIN_KNOWN_SHAPE_ANSWERS:
            return 0
        return self._settings.canaries

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request crashed a target and no target has answered it since."""
        return fingerprint in self._suspect_by_fingerprint

    def clear(self, query: Query) -> None:
        """Record that a target answered the query, which clears it as a suspect."""
        if self._suspect_by_fingerprint.pop(query.fingerprint, None) is not None:
            self._publish_suspicion(query, [])
        self._known_good[query.fingerprint] = None
        self._known_good.move_to_end(query.fingerprint)
        if len(self._known_good) > MAX_KNOWN_GOOD_REQUESTS:
            self._known_good.popitem(last=False)
        answers = self._answers_by_shape.get(query.shape, 0)
        self._answers_by_shape[query.shape] = answers + 1
        if len(self._answers_by_shape) > MAX_SHAPES:
            self._answers_by_shape.popitem(last=False)

    def record_crash(self, query: Query, target_id: str) -> bool:
        """Count a crashed target; return whether the query is quarantined from now on."""
        entry_name, fingerprint = query.entry.name, query.fingerprint
        alert_until = Millis(self._clock.now() + self._settings.alert_ms)
        self._alert_until_by_entry[entry_name] = alert_until
        suspect = self._suspect_by_fingerprint.setdefault(fingerprint, _Suspect())
        suspect.crashed_targets.add(target_id)
        if len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            del self._suspect_by_fingerprint[next(iter(self._suspect_by_fingerprint))]
        if len(suspect.crashed_targets) < self._settings.deaths:
            self._publish_suspicion(query, sorted(suspect.crashed_targets))
            return False
        self._suspect_by_fingerprint.pop(fingerprint, None)
        until = round(self._clock.wall() + self._settings.hold_ms)
        targets = sorted(suspect.crashed_targets)
        self._items.put(QUARANTINE_PREFIX + fingerprint, until, [entry_name, targets])
        self._events.add(EventKind.QUARANTINED, fingerprint=fingerprint, targets=targets)
        logger.warning(
            "request {} of entry {} quarantined: it crashed targets {}",
            fingerprint,
            entry_name,
            targets,
        )
        return True

    def _publish_suspicion(self, query: Query, targets: list[str]) -> None:
        """Make all daemons refuse a suspect for a time, or, without targets, clear it."""
        key = SUSPECT_PREFIX + query.fingerprint
        known = self._items.by_key.get(key)
        until = round(self._clock.wall() + SUSPECT_DURATION)
        stamp = max(until, known.stamp + 1) if known is not None else until
        self._items.put(key, stamp, [query.entry.name, targets])

    def _has_alert(self, entry_name: str) -> bool:
        return self._clock.now() < self._alert_until_by_entry.get(entry_name, Millis(0))

    def is_suspicion_pending(self, fingerprint: str) -> bool:
        """Return whether some daemon retries the request as a suspect and may yet clear it."""
        quarantine = self._items.by_key.get(QUARANTINE_PREFIX + fingerprint)
        if quarantine is not None and quarantine.stamp > self._clock.wall():
            return False
        return self.time_left(fingerprint) is not None

    def time_left(self, fingerprint: str) -> Millis | None:
        """Return for how long to refuse a request, as quarantined or suspect; None to accept it."""
        for prefix in (QUARANTINE_PREFIX, SUSPECT_PREFIX):
            item = self._items.by_key.get(prefix + fingerprint)
            if item is None:
                continue
            left = item.stamp - self._clock.wall()
            if left <= 0:
                self._items.remove(prefix + fingerprint)
            elif item.value[1]:
                return Millis(left)
        return None

    def held(self) -> dict[str, Any]:
        """Return the entry and crashed targets of each quarantine in force, by fingerprint."""
        now = self._clock.wall()
        return {
            key.removeprefix(QUARANTINE_PREFIX): item.value
            for key, item in self._items.with_prefix(QUARANTINE_PREFIX).items()
            if item.stamp > now
        }

    def _is_current(self, key: str, stamp: int, value: Any) -> bool:
        now = self._clock.wall()
        in_time = now < stamp <= now + 2 * self._settings.hold_ms
        return in_time and isinstance(value, list) and len(value) == 2
