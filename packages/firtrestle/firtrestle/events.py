"""Record typed events, from which a timeline over all processes is built."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from firtrestle.clocks import Clock, Millis


class EventKind(StrEnum):
    """List the kinds of events that daemons, callers, targets and the platform record."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    QUERY_RECEIVED = "query-received"
    QUERY_ANSWERED = "query-answered"
    QUERY_REFUSED = "query-refused"
    QUERY_LEFT = "query-left"
    SNAPSHOT_PINNED = "snapshot-pinned"
    SUB_SENT = "sub-sent"
    SUB_REPLIED = "sub-replied"
    SUB_FAILED = "sub-failed"
    SUB_HEDGED = "sub-hedged"
    CATALOGUE_APPLIED = "catalogue-applied"
    CATALOGUE_REFUSED = "catalogue-refused"
    VMS_APPLIED = "vms-applied"
    MEMBER_CHANGED = "member-changed"
    TARGET_LEAVING = "target-leaving"
    TARGET_DIED = "target-died"
    QUARANTINED = "quarantined"
    PAUSED = "paused"
    KEY_CLAIMED = "key-claimed"
    KEY_DENIED = "key-denied"
    CALLER_SENT = "caller-sent"
    CALLER_ANSWERED = "caller-answered"
    CALLER_REFUSED = "caller-refused"
    CALLER_LOST = "caller-lost"
    CHANGE_ACCEPTED = "change-accepted"
    TARGET_RECEIVED = "target-received"
    TARGET_SERVED = "target-served"
    TARGET_RAN = "target-ran"
    TARGET_CRASHED = "target-crashed"
    TARGET_DRAINING = "target-draining"
    SLOTS_EXCEEDED = "slots-exceeded"
    CONNECTIONS_EXCEEDED = "connections-exceeded"


@dataclass(frozen=True, slots=True)
class Event:
    """Represent one event; `at` is wall-clock milliseconds since the Unix epoch."""

    seq: int
    at: Millis
    process: str
    incarnation: int
    kind: EventKind
    request_id: str = ""
    fields: dict[str, Any] = field(default_factory=dict)

    def to_dict(self) -> dict[str, Any]:
        """Return the event as values that JSON can encode."""
        return {
            "seq": self.seq,
            "at": self.at,
            "process": self.process,
            "incarnation": self.incarnation,
            "kind": str(self.kind),
            "request_id": self.request_id,
            "fields": self.fields,
        }

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Event:
        """Build an event from decoded JSON; raise KeyError or ValueError if it is malformed."""
        return cls(
            seq=int(raw["seq"]),
            at=Millis(float(raw["at"])),
            process=str(raw["process"]),
            incarnation=int(raw["incarnation"]),
            kind=EventKind(raw["kind"]),
            request_id=str(raw.get("request_id", "")),
            fields=dict(raw.get("fields") or {}),
        )


class EventLog:
    """Keep the newest events in memory, up to a capacity."""

    def __init__(self, process: str, incarnation: int, clock: Clock, capacity: int) -> None:
        self.process = process
        self.incarnation = incarnation
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=capacity)
        self._seq = 0

    def add(self, kind: EventKind, request_id: str = "", **fields: Any) -> None:
        """Record an event with the current time and the next sequence number."""
        self._seq += 1
        at = self._clock.wall()
        event = Event(self._seq, at, self.process, self.incarnation, kind, request_id, fields)
        self._events.append(event)

    def after(self, seq: int) -> list[Event]:
        """Return the stored events with a higher sequence number, oldest first."""
        if not self._events or self._events[-1].seq <= seq:
            return []
        oldest_seq = self._events[0].seq
        start = max(0, seq + 1 - oldest_seq)
        return list(self._events)[start:]
