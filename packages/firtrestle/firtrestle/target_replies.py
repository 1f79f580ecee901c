"""Validate and decode targets' replies to sub-requests."""

from __future__ import annotations

from typing import Any

from firtrestle.http_clients import HttpFailure, HttpReply
from firtrestle.messages import SubReply, SubRequest
from firtrestle.outcomes import SubOutcome

OUTCOME_BY_STATUS = {
    409: SubOutcome.SNAPSHOT_GONE,
    429: SubOutcome.SHED,
    499: SubOutcome.CANCELLED,
    504: SubOutcome.DEADLINE,
}


def empty_reply(
    sub: SubRequest, outcome: SubOutcome, reason: str = "", sent: bool = False
) -> SubReply:
    """Build a reply without rows; `sent` states whether the target may have received it."""
    return SubReply(
        outcome,
        sub.request_id,
        sub.attempt,
        sub.collection,
        sub.version,
        sub.shard,
        sent=sent,
        reason=reason,
    )


def read_reply(sub: SubRequest, reply: HttpReply | HttpFailure) -> SubReply:
    """Decode a target's reply; one that does not match its sub-request becomes a bad reply."""
    if isinstance(reply, HttpFailure):
        outcome = SubOutcome.DIED if reply.sent else SubOutcome.UNREACHABLE
        return empty_reply(sub, outcome, reply.reason, sent=reply.sent)
    value = reply.json()
    if not isinstance(value, dict):
        return empty_reply(sub, SubOutcome.BAD_REPLY, "the reply is not a JSON object", sent=True)
    if reply.status != 200:
        return _read_refusal(sub, reply, value)
    if not _matches_request(sub, value):
        return empty_reply(
            sub, SubOutcome.BAD_REPLY, "the reply answers another request", sent=True
        )
    rows, documents = value.get("rows"), value.get("documents")
    if not isinstance(rows, list) or not isinstance(documents, int) or documents < 0:
        return empty_reply(
            sub, SubOutcome.BAD_REPLY, "the reply lacks rows or documents", sent=True
        )
    if any(not isinstance(row, dict) or row.get("version") != sub.version for row in rows):
        return empty_reply(sub, SubOutcome.BAD_REPLY, "a row is of another version", sent=True)
    answer = empty_reply(sub, SubOutcome.OK, sent=True)
    answer.rows = rows
    answer.documents = documents
    answer.truncated = bool(value.get("truncated"))
    return answer


def _read_refusal(sub: SubRequest, reply: HttpReply, value: dict[str, Any]) -> SubReply:
    reason = str(value.get("error", reply.status))
    outcome = OUTCOME_BY_STATUS.get(reply.status, SubOutcome.REFUSED)
    if reply.status == 503:
        outcome = SubOutcome.DRAINING if reason == "draining" else SubOutcome.SHED
    answer = empty_reply(sub, outcome, reason, sent=True)
    retry_after = value.get("retry_after_ms")
    if isinstance(retry_after, int | float):
        answer.retry_after_ms = float(retry_after)
    return answer


def _matches_request(sub: SubRequest, value: dict[str, Any]) -> bool:
    """Return whether a reply repeats the identifying fields of its sub-request."""
    fields = ("request_id", "attempt", "collection", "version", "shard")
    return all(value.get(field) == getattr(sub, field) for field in fields)
