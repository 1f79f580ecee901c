"""List every kind of refusal and the answer that each one gets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from firtrestle.clocks import Millis

PROBLEM_TYPE_PREFIX = "urn:firtrestle:problem:"


class Ran(StrEnum):
    """Say whether a refused request reached a target."""

    FALSE = "false"
    TRUE = "true"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Name a reason for refusing a request."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    NOT_READY = "not-ready"
    STOPPING = "stopping"
    OVER_LIMIT = "over-limit"
    OVERLOADED = "overloaded"
    NO_TARGET = "no-target"
    DEADLINE_PASSED = "deadline-passed"
    TOO_LITTLE_COVERAGE = "too-little-coverage"
    SNAPSHOT_LOST = "snapshot-lost"
    QUARANTINED = "quarantined"
    KEY_MISSING = "key-missing"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    KEY_IN_DOUBT = "key-in-doubt"
    KEY_IN_PROGRESS = "key-in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    TARGET_REFUSED = "target-refused"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class AnswerRule:
    """Hold the HTTP answer to one kind of refusal."""

    status: int
    title: str
    retry_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """Hold one refusal: its kind, whether the request ran, and when to come back."""

    kind: ErrorKind
    ran: Ran = Ran.FALSE
    detail: str = ""
    retry_after: Millis | None = None


_BRIEF = Millis(1_000)
_PAUSE = Millis(2_000)
_LONG = Millis(10_000)

ANSWER_BY_KIND: dict[ErrorKind, AnswerRule] = {
    ErrorKind.BAD_REQUEST: AnswerRule(400, "The request is malformed"),
    ErrorKind.TOO_LARGE: AnswerRule(413, "The request is too large"),
    ErrorKind.TOO_SLOW: AnswerRule(408, "The request took too long to arrive"),
    ErrorKind.NOT_FOUND: AnswerRule(404, "No catalogue entry has this name or path"),
    ErrorKind.METHOD_NOT_ALLOWED: AnswerRule(405, "The entry does not take this method"),
    ErrorKind.NOT_READY: AnswerRule(503, "The daemon has no catalogue yet", _PAUSE),
    ErrorKind.STOPPING: AnswerRule(503, "The daemon is stopping", _BRIEF),
    ErrorKind.OVER_LIMIT: AnswerRule(429, "The entry is over its limit", _BRIEF),
    ErrorKind.OVERLOADED: AnswerRule(503, "The entry's targets are overloaded", _BRIEF),
    ErrorKind.NO_TARGET: AnswerRule(503, "No target serves the collection", _PAUSE),
    ErrorKind.DEADLINE_PASSED: AnswerRule(504, "The deadline passed", _BRIEF),
    ErrorKind.TOO_LITTLE_COVERAGE: AnswerRule(503, "Too few documents could be covered", _BRIEF),
    ErrorKind.SNAPSHOT_LOST: AnswerRule(503, "The index changed too often to answer", _BRIEF),
    ErrorKind.QUARANTINED: AnswerRule(503, "The request is quarantined", _LONG),
    ErrorKind.KEY_MISSING: AnswerRule(400, "The entry needs a UUIDv7 Idempotency-Key"),
    ErrorKind.KEY_EXPIRED: AnswerRule(409, "The Idempotency-Key is too old"),
    ErrorKind.KEY_REUSED: AnswerRule(422, "The Idempotency-Key came with another request"),
    ErrorKind.KEY_IN_DOUBT: AnswerRule(503, "It is in doubt that the key is new", _PAUSE),
    ErrorKind.KEY_IN_PROGRESS: AnswerRule(409, "The request is still running", _BRIEF),
    ErrorKind.OUTCOME_UNKNOWN: AnswerRule(504, "The request may have run"),
    ErrorKind.TARGET_REFUSED: AnswerRule(502, "The target refused the request"),
    ErrorKind.INTERNAL: AnswerRule(500, "The daemon failed"),
}
