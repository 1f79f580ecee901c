"""Merge the replies of several services into one answer."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import singledispatch

from firtrestle.errors import Ran
from firtrestle.http_clients import MAX_REPLY_BYTES
from firtrestle.instance_replies import InstanceReply
from firtrestle.routes import MergeRule, TopRecords, WholeReply

MAX_RECORDS_RATIO = 64  # records in a part, to those that the merged answer keeps
MIN_PART_BOUND = 65_536  # bytes, of the smallest bound of a part


@dataclass(frozen=True, slots=True)
class Answer:
    """Represent the answer to a routed request.

    `ran` says whether the request ran, or may have run, at an instance. `stamps` are those of the
    merged replies, `missing` the number of services without one. `is_merged` is false if the reply
    of a single instance is passed on unchanged.
    """

    status: int
    body: bytes
    ran: Ran
    stamps: tuple[str, ...] = ()
    missing: int = 0
    is_merged: bool = False
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Parts:
    """Collect the replies of a request's services."""

    services: tuple[str, ...]
    reply_by_service: dict[str, InstanceReply] = field(default_factory=dict)


@singledispatch
def max_part_bytes(rule: MergeRule) -> int:
    """Return how many bytes of one instance's reply a route's merge rule has a use for."""
    raise TypeError(f"no bound of replies for rule {type(rule).__name__}")


@max_part_bytes.register
def _max_whole_bytes(rule: WholeReply) -> int:
    return MAX_REPLY_BYTES


@max_part_bytes.register
def _max_records_bytes(rule: TopRecords) -> int:
    return max(MIN_PART_BOUND, MAX_RECORDS_RATIO * rule.count * rule.record_bytes)


@singledispatch
def condense(
    rule: MergeRule, reply_by_service: dict[str, InstanceReply]
) -> dict[str, InstanceReply]:
    """Return the replies with what a merged answer may need of them, and no more."""
    raise TypeError(f"no condensed form for rule {type(rule).__name__}")


@condense.register
def _condense_whole(
    rule: WholeReply, reply_by_service: dict[str, InstanceReply]
) -> dict[str, InstanceReply]:
    return reply_by_service


@condense.register
def _condense_top(
    rule: TopRecords, reply_by_service: dict[str, InstanceReply]
) -> dict[str, InstanceReply]:
    records = [
        (record, service)
        for service, reply in reply_by_service.items()
        for record in _records(rule, reply.body)
    ]
    records.sort(reverse=True)
    kept: dict[str, list[bytes]] = {service: [] for service in reply_by_service}
    for record, service in records[: rule.count]:
        kept[service].append(record)
    return {
        service: replace(reply, headers=(), body=b"".join(kept[service]))
        for service, reply in reply_by_service.items()
    }


def _records(rule: TopRecords, body: bytes) -> list[bytes]:
    """Return the whole records of a body."""
    size = rule.record_bytes
    return [body[start : start + size] for start in range(0, len(body) - size + 1, size)]


@singledispatch
def merge(rule: MergeRule, parts: Parts) -> Answer:
    """Merge the replies, at least one, by a route's merge rule."""
    raise TypeError(f"no merge function for rule {type(rule).__name__}")


@merge.register
def _merge_whole(rule: WholeReply, parts: Parts) -> Answer:
    (reply,) = parts.reply_by_service.values()
    return Answer(reply.status, reply.body, Ran.TRUE, (reply.stamp,), headers=reply.headers)


@merge.register
def _merge_top(rule: TopRecords, parts: Parts) -> Answer:
    records = [
        record for reply in parts.reply_by_service.values() for record in _records(rule, reply.body)
    ]
    records.sort(reverse=True)
    stamps = tuple(reply.stamp for reply in parts.reply_by_service.values())
    missing = len(parts.services) - len(stamps)
    body = b"".join(records[: rule.count])
    return Answer(200, body, Ran.TRUE, stamps, missing, is_merged=True)
