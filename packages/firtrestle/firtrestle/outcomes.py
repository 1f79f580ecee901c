"""Name how a sub-request ended."""

from __future__ import annotations

from enum import StrEnum


class SubOutcome(StrEnum):
    """Name the end of a sub-request; each but OK leaves its shard unserved."""

    OK = "ok"
    SNAPSHOT_GONE = "snapshot-gone"
    SHED = "shed"
    DRAINING = "draining"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    NOT_HOLDER = "not-holder"
    DIED = "died"
    HOLDER_LOST = "holder-lost"
    BAD_REPLY = "bad-reply"
    REFUSED = "refused"
    NO_REPLICA = "no-replica"
    MISDIRECTED = "misdirected"  # the address belongs to another instance now
