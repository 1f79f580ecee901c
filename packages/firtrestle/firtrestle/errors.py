"""Define the kinds of refusal and the HTTP response to each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from firtrestle.clocks import Millis

PROBLEM_TYPE_PREFIX = "urn:firtrestle:problem:"


class Ran(StrEnum):
    """Define whether a request ran at a target."""

    FALSE = "false"
    TRUE = "true"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Define the reasons for refusing a request."""

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
    """Represent the HTTP response to one kind of refusal."""

    status: int
    title: str
    retry_after: Millis | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """Represent one refusal; `retry_after` overrides the default delay of its kind."""

    kind: ErrorKind
    ran: Ran
    detail: str = ""
    retry_after: Millis | None = None

    @classmethod
    def not_run(
        cls, kind: ErrorKind, detail: str = "", retry_after: Millis | None = None
    ) -> Refused:
        """Return the refusal of a request that has not run and will not run."""
        return cls(kind, Ran.FALSE, detail, retry_after)


# Default delays before a retry, sent as Retry-After.
_SHORT_DELAY = Millis(1_000)
_MEDIUM_DELAY = Millis(2_000)
_LONG_DELAY = Millis(10_000)

ANSWER_BY_KIND: dict[ErrorKind, AnswerRule] = {
    ErrorKind.BAD_REQUEST: AnswerRule(400, "The request is malformed"),
    ErrorKind.TOO_LARGE: AnswerRule(413, "The request is too large"),
    ErrorKind.TOO_SLOW: AnswerRule(408, "The request took too long to arrive"),
    ErrorKind.NOT_FOUND: AnswerRule(404, "No catalogue entry has this name or path"),
    ErrorKind.METHOD_NOT_ALLOWED: AnswerRule(405, "The entry does not take this method"),
    ErrorKind.NOT_READY: AnswerRule(503, "The daemon has no catalogue yet", _MEDIUM_DELAY),
    ErrorKind.STOPPING: AnswerRule(503, "The daemon is stopping", _SHORT_DELAY),
    ErrorKind.OVER_LIMIT: AnswerRule(429, "The entry is over its limit", _SHORT_DELAY),
    ErrorKind.OVERLOADED: AnswerRule(503, "The entry's targets are overloaded", _SHORT_DELAY),
    ErrorKind.NO_TARGET: AnswerRule(503, "No target serves the collection", _MEDIUM_DELAY),
    ErrorKind.DEADLINE_PASSED: AnswerRule(504, "The deadline passed", _SHORT_DELAY),
    ErrorKind.TOO_LITTLE_COVERAGE: AnswerRule(
        503, "Too few documents could be covered", _SHORT_DELAY
    ),
    ErrorKind.QUARANTINED: AnswerRule(503, "The request is quarantined", _LONG_DELAY),
    ErrorKind.KEY_MISSING: AnswerRule(400, "The entry needs a UUIDv7 Idempotency-Key"),
    ErrorKind.KEY_EXPIRED: AnswerRule(409, "The Idempotency-Key is too old"),
    ErrorKind.KEY_REUSED: AnswerRule(422, "The Idempotency-Key came with another request"),
    ErrorKind.KEY_IN_DOUBT: AnswerRule(503, "It is in doubt that the key is new", _MEDIUM_DELAY),
    ErrorKind.KEY_IN_PROGRESS: AnswerRule(409, "The request is still running", _SHORT_DELAY),
    ErrorKind.OUTCOME_UNKNOWN: AnswerRule(504, "The request may have run"),
    ErrorKind.TARGET_REFUSED: AnswerRule(502, "The target refused the request"),
    ErrorKind.INTERNAL: AnswerRule(500, "The daemon failed"),
}
