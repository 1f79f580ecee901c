"""Merge the replies of several services into one answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from firtrestle.instance_replies import InstanceReply
from firtrestle.routes import MergeRule, TopRecords, WholeReply


@dataclass(frozen=True, slots=True)
class Answer:
    """Represent the answer to a routed request.

    `stamps` are those of the merged replies, `missing` the number of services without one. `parts`
    is false if the reply of a single instance is passed on unchanged.
    """

    status: int
    body: bytes
    stamps: tuple[str, ...] = ()
    missing: int = 0
    parts: bool = False
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class Parts:
    """Collect the replies of a request's services."""

    services: tuple[str, ...]
    reply_by_service: dict[str, InstanceReply] = field(default_factory=dict)


@singledispatch
def merge(rule: MergeRule, parts: Parts) -> Answer:
    """Merge the replies, at least one, by a route's merge rule."""
    raise TypeError(f"no merge function for rule {type(rule).__name__}")


@merge.register
def _merge_whole(rule: WholeReply, parts: Parts) -> Answer:
    (reply,) = parts.reply_by_service.values()
    return Answer(reply.status, reply.body, (reply.stamp,), headers=reply.headers)


@merge.register
def _merge_top(rule: TopRecords, parts: Parts) -> Answer:
    size = rule.record_bytes
    records = [
        reply.body[start : start + size]
        for reply in parts.reply_by_service.values()
        for start in range(0, len(reply.body) - size + 1, size)
    ]
    records.sort(reverse=True)
    stamps = tuple(reply.stamp for reply in parts.reply_by_service.values())
    missing = len(parts.services) - len(stamps)
    return Answer(200, b"".join(records[: rule.count]), stamps, missing, parts=True)
