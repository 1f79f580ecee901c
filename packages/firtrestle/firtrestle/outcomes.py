"""Define the outcomes of a sub-request."""

from __future__ import annotations

from enum import StrEnum


class SubOutcome(StrEnum):
    """Represent the outcome of a sub-request; all but OK leave the shard without a reply."""

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
    MISDIRECTED = "misdirected"  # the address now belongs to another instance
