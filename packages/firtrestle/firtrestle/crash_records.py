"""Hold off routed requests that crash the instances that run them, over all daemons."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.hashing import hex64
from firtrestle.part_replies import CallerMessage
from firtrestle.snapshots import ReplicaId
from firtrestle.spreads import Item, SpreadMap

CRASH_PREFIX = "crash/"
CRASHES_TO_HOLD = 3  # instances; the platform allows three retries after the third
HOLD = Millis(60_000)  # of a request; its operator can mend or withdraw it meanwhile
RECORD_LIFE = Millis(600_000)  # of what peers tell, by their wall clocks
SHOWN_WITHIN = Millis(5_000)  # after a broken reply, for its instance to be found gone
MAX_BREAKS = 1_000  # broken replies that wait to be told from crashes


@dataclass(frozen=True, slots=True)
class _Break:
    fingerprint: str
    at: Millis


@dataclass(slots=True)
class _Record:
    crashed: set[str] = field(default_factory=set)
    held_until: Millis = Millis(0)


def message_fingerprint(message: CallerMessage) -> str:
    """Return what tells a request from others, whichever caller sends it again."""
    body = message.body.decode("latin-1")
    return hex64(f"{message.method} {message.host} {message.target}\n{body}")


class CrashRecords:
    """Count, by request, the instances that crashed while they ran it and nothing else survived.

    A broken reply alone is no crash: its instance must be unreachable, gone or restarted soon
    after. One reply that came whole clears the request, here and at all peers.
    """

    def __init__(self, items: SpreadMap, clock: Clock) -> None:
        self._items = items
        self._clock = clock
        self._breaks: OrderedDict[ReplicaId, list[_Break]] = OrderedDict()
        self._record_by_fingerprint: dict[str, _Record] = {}
        items.guard(CRASH_PREFIX, self._is_current)
        items.listen(CRASH_PREFIX, self._on_item)

    @property
    def is_idle(self) -> bool:
        """Say whether nothing broke of late, so that there is nothing to clear or hold off."""
        return not (self._breaks or self._record_by_fingerprint)

    def time_left(self, fingerprint: str) -> Millis | None:
        """Return how long a request is still held off, None if it isn't."""
        record = self._record_by_fingerprint.get(fingerprint)
        left = record.held_until - self._clock.now() if record is not None else 0.0
        return Millis(left) if left > 0 else None

    def note_break(self, fingerprint: str, replica_id: ReplicaId) -> None:
        """Take in that an instance's reply broke off while no other had come."""
        self._breaks.setdefault(replica_id, []).append(_Break(fingerprint, self._clock.now()))
        if len(self._breaks) > MAX_BREAKS:
            self._breaks.popitem(last=False)

    def note_gone(self, replica_id: ReplicaId) -> None:
        """Take in that an instance can't be reached, is gone or was restarted."""
        now = self._clock.now()
        for one in self._breaks.pop(replica_id, []):
            if now - one.at <= SHOWN_WITHIN:
                self._note_crash(one.fingerprint, replica_id.target_id)

    def note_survived(self, fingerprint: str) -> None:
        """Take in that an instance answered the request."""
        for replica_id, breaks in list(self._breaks.items()):
            kept = [one for one in breaks if one.fingerprint != fingerprint]
            if kept:
                self._breaks[replica_id] = kept
            else:
                del self._breaks[replica_id]
        if fingerprint in self._record_by_fingerprint:
            self._tell(fingerprint, [])

    def expire(self) -> None:
        """Forget what is over."""
        now = self._clock.now()
        for replica_id, breaks in list(self._breaks.items()):
            if all(now - one.at > SHOWN_WITHIN for one in breaks):
                del self._breaks[replica_id]
        for key, item in self._items.under(CRASH_PREFIX).items():
            if self._clock.wall() - item.stamp > RECORD_LIFE:
                self._items.remove(key)
                self._record_by_fingerprint.pop(key.removeprefix(CRASH_PREFIX), None)

    def _note_crash(self, fingerprint: str, target_id: str) -> None:
        record = self._record_by_fingerprint.get(fingerprint, _Record())
        bound = logger.bind(fingerprint=fingerprint, instance=target_id, before=len(record.crashed))
        bound.info("an instance crashed while it ran a request")
        if target_id not in record.crashed:
            self._tell(fingerprint, sorted(record.crashed | {target_id}))

    def _tell(self, fingerprint: str, crashed: list[str]) -> None:
        key = CRASH_PREFIX + fingerprint
        held = self._items.by_key.get(key)
        stamp = round(self._clock.wall())
        self._items.put(key, max(stamp, held.stamp + 1) if held is not None else stamp, crashed)

    def _on_item(self, key: str, item: Item) -> None:
        fingerprint = key.removeprefix(CRASH_PREFIX)
        if not item.value:
            self._record_by_fingerprint.pop(fingerprint, None)
            return
        record = self._record_by_fingerprint.setdefault(fingerprint, _Record())
        known_here = record.crashed - set(item.value)
        record.crashed |= set(item.value)
        if len(record.crashed) >= CRASHES_TO_HOLD and not record.held_until:
            record.held_until = Millis(self._clock.now() + HOLD)
            logger.bind(fingerprint=fingerprint, instances=sorted(record.crashed)).warning(
                "request held off: it crashes instances"
            )
        if known_here:
            self._tell(fingerprint, sorted(record.crashed))

    def _is_current(self, key: str, stamp: int, value: Any) -> bool:
        is_list = isinstance(value, list) and all(isinstance(one, str) for one in value)
        return is_list and self._clock.wall() - stamp <= RECORD_LIFE
