"""Build the refusals of requests whose services did not reply, and say when to return."""

from __future__ import annotations

import random
from collections.abc import Iterable

from firtrestle.answers import Answer
from firtrestle.clocks import Millis
from firtrestle.coverages import Coverage
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.outcomes import SubOutcome
from firtrestle.routed_requests import AttemptSummary

MAX_RETURN_SPREAD = 1.5  # longest time to come back, as a ratio of the pause that it follows from


def gather_refusal(
    summary: AttemptSummary, is_past_deadline: bool, retry_after: Millis | None
) -> Refused:
    """Return the refusal that says why a request has no answer, and whether it may have run."""
    ran = summary.ran
    reasons = sorted({str(reason) for reason in summary.reason_by_service.values()})
    if is_past_deadline:
        kind = ErrorKind.DEADLINE_PASSED
    elif ran is Ran.UNKNOWN:
        kind = ErrorKind.OUTCOME_UNKNOWN
    elif SubOutcome.SHED in reasons:
        kind = ErrorKind.OVERLOADED
    else:
        kind = ErrorKind.NO_TARGET
    return Refused(kind, ran, ", ".join(reasons), retry_after)


def failure_answer(services: int, summary: AttemptSummary) -> Answer | None:
    """Return an instance's own failure reply, unchanged, if only one service was asked."""
    failure = summary.last_failure
    if services > 1 or failure is None:
        return None
    stamps = (failure.stamp,)
    return Answer(failure.status, failure.body, summary.ran, stamps, headers=failure.headers)


def time_to_return(
    coverage: Coverage, pauses: Iterable[Millis], rng: random.Random
) -> Millis | None:
    """Return when enough services can be asked again, None if pauses don't decide that.

    `pauses` are those of the services whose instances all want no requests now.
    """
    ordered = sorted(pauses)
    needed = coverage.least_replies() - (coverage.services - len(ordered))
    if needed <= 0:
        return None
    return Millis(ordered[needed - 1] * rng.uniform(1.0, MAX_RETURN_SPREAD))
