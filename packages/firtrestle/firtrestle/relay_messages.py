"""Encode and decode the messages by which a peer runs a request, or some of its services."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from firtrestle.answers import condense
from firtrestle.clocks import Millis
from firtrestle.http_clients import MAX_STATUS
from firtrestle.instance_replies import CallerMessage, InstanceReply
from firtrestle.messages import Relay, Relayed
from firtrestle.outcomes import SubOutcome
from firtrestle.routed_requests import AttemptSummary, RoutedRequest
from firtrestle.routes import MergeRule, Route, RouteTable, TopRecords, WholeReply

# Part of the time left that a peer doesn't get, so that its answer arrives before the deadline.
HOP_RESERVE = Millis(5)
UNREACHED_REASONS = frozenset({SubOutcome.UNREACHABLE, SubOutcome.NO_REPLICA})
MIN_FINAL_STATUS = 200
OUTCOMES = frozenset(str(outcome) for outcome in SubOutcome)


@dataclass(frozen=True, slots=True)
class RelayTerms:
    """Say which part of a request is relayed, and what has been done for it before.

    `tried_by_service` counts attempts that may have run. With `is_counted`, the
    services' repeat budgets have been credited with the request already. `others` is the number of
    the gather's services that other daemons run at the same time.
    """

    services: tuple[str, ...]
    least_coverage: float = 1.0
    tried_by_service: dict[str, int] = field(default_factory=dict)
    is_counted: bool = False
    others: int = 0


@dataclass(slots=True)
class RelayResult:
    """Represent what a peer achieved, or that none ran the request if `peer_id` is empty."""

    peer_id: str = ""
    reply_by_service: dict[str, InstanceReply] = field(default_factory=dict)
    summary: AttemptSummary = field(default_factory=AttemptSummary)

    @property
    def is_unreached(self) -> bool:
        """Return whether the peer reached no instance either, so that another may be asked."""
        if self.reply_by_service or self.summary.may_have_run:
            return False
        return UNREACHED_REASONS.issuperset(self.summary.reason_by_service.values())

    @property
    def is_lost(self) -> bool:
        """Return whether the peer gave no readable answer, so that it may have run the request."""
        reasons = self.summary.reason_by_service.values()
        return SubOutcome.HOLDER_LOST in reasons and not self.reply_by_service


def encode_relay(request: RoutedRequest, terms: RelayTerms, age: Millis, left: Millis) -> Relay:
    """Return the message that asks a peer to run a request; `age` counts from its arrival."""
    message, route = request.message, request.route
    return Relay(
        request_id=message.request_id,
        method=message.method,
        target=message.target,
        host=message.host,
        headers=[list(header) for header in message.headers],
        body=message.body,
        route=route.name,
        repeatable=route.repeatable,
        max_attempts=route.max_attempts,
        least_coverage=terms.least_coverage,
        merge=_encode_merge(route.merge),
        target_ms=route.latency_target,
        age_ms=age,
        left_ms=left,
        services=list(terms.services),
        tried=terms.tried_by_service,
        is_counted=terms.is_counted,
        others=terms.others,
        priority=route.priority,
    )


def decode_relay(
    relay: Relay, table: RouteTable, now: Millis
) -> tuple[RoutedRequest, RelayTerms] | str:
    """Return the request that a peer asks to run, or the fault of a malformed message.

    All terms come with the message: this daemon's desired state may be another one.
    """
    fault = _fault_of(relay)
    if fault:
        return fault
    headers = tuple((name, value) for name, value in relay.headers)
    message = CallerMessage(
        relay.request_id, relay.method, relay.target, relay.host, headers, relay.body
    )
    services = tuple(relay.services)
    route = Route(
        name=relay.route,
        host=relay.host,
        prefix="",
        repeatable=relay.repeatable,
        timeout=Millis(relay.left_ms),
        latency_target=Millis(relay.target_ms),
        max_attempts=relay.max_attempts,
        priority=relay.priority,
        shards=services,
        merge=_decode_merge(relay.merge),
        least_coverage=relay.least_coverage,
    )
    arrived_at = Millis(now - relay.age_ms - HOP_RESERVE)
    request = RoutedRequest(message, route, table, arrived_at, Millis(now + relay.left_ms))
    terms = RelayTerms(services, relay.least_coverage, relay.tried, relay.is_counted, relay.others)
    return request, terms


def encode_result(
    rule: MergeRule, reply_by_service: dict[str, InstanceReply], summary: AttemptSummary
) -> Relayed:
    """Return the message that answers a relay, without bytes that no merged answer needs."""
    condensed = condense(rule, reply_by_service)
    failure = summary.last_failure
    return Relayed(
        replies=[[service, *_encode_reply(reply)] for service, reply in condensed.items()],
        reasons={name: str(reason) for name, reason in summary.reason_by_service.items()},
        failure=_encode_reply(failure) if failure is not None else [],
        sent=summary.sent,
        hedges=summary.hedges,
        may_have_run=summary.may_have_run,
    )


def decode_result(answer: Any, terms: RelayTerms) -> RelayResult:
    """Return a peer's result; without a readable answer, the request may have run there."""
    if not isinstance(answer, Relayed) or not _is_result(answer, terms):
        lost = {service: SubOutcome.HOLDER_LOST for service in terms.services}
        return RelayResult(summary=AttemptSummary(sent=1, reason_by_service=lost))
    result = RelayResult()
    for service, *row in answer.replies:
        result.reply_by_service[service] = _decode_reply(row, SubOutcome.OK)
    summary = result.summary
    summary.sent = max(answer.sent, answer.may_have_run)
    summary.not_run_count = 0 if answer.may_have_run else summary.sent
    summary.hedges = answer.hedges
    summary.reason_by_service = {
        service: SubOutcome(answer.reasons.get(service, SubOutcome.NO_REPLICA))
        for service in terms.services
        if service not in result.reply_by_service
    }
    if answer.failure:
        summary.last_failure = _decode_reply(answer.failure, SubOutcome.REFUSED)
    return result


def _encode_reply(reply: InstanceReply) -> list[Any]:
    headers = [list(header) for header in reply.headers]
    return [reply.status, reply.stamp, headers, reply.body]


def _decode_reply(row: list[Any], outcome: SubOutcome) -> InstanceReply:
    status, stamp, headers, body = row
    pairs = tuple((name, value) for name, value in headers)
    return InstanceReply(outcome, status, stamp, pairs, body, reached=True, may_have_run=True)


@singledispatch
def _encode_merge(rule: MergeRule) -> list[int]:
    raise TypeError(f"no message form for rule {type(rule).__name__}")


@_encode_merge.register
def _encode_whole(rule: WholeReply) -> list[int]:
    return []


@_encode_merge.register
def _encode_top(rule: TopRecords) -> list[int]:
    return [rule.count, rule.record_bytes]


def _decode_merge(row: list[int]) -> MergeRule:
    return TopRecords(*row) if row else WholeReply()


def _fault_of(relay: Relay) -> str:
    """Return the first fault of a relay, empty if there is none."""
    is_merge = isinstance(relay.merge, list) and (
        not relay.merge or (len(relay.merge) == 2 and all(_is_positive(n) for n in relay.merge))
    )
    checks = {
        "request": _are_texts(relay.request_id, relay.method, relay.target, relay.host)
        and isinstance(relay.body, bytes),
        "headers": _are_headers(relay.headers),
        "route": isinstance(relay.route, str) and _is_positive(relay.max_attempts),
        "priority": _is_count(relay.priority),
        "merge": is_merge,
        "times": all(_is_number(n) for n in (relay.target_ms, relay.age_ms, relay.left_ms)),
        "coverage": _is_number(relay.least_coverage) and _is_count(relay.others),
        "services": isinstance(relay.services, list)
        and bool(relay.services)
        and _are_texts(*relay.services)
        and (bool(relay.merge) or len(relay.services) == 1),
        "tried": isinstance(relay.tried, dict)
        and all(isinstance(count, int) for count in relay.tried.values()),
    }
    return next((f"{name} malformed" for name, is_good in checks.items() if not is_good), "")


def _is_result(relayed: Relayed, terms: RelayTerms) -> bool:
    if not (isinstance(relayed.replies, list) and isinstance(relayed.failure, list)):
        return False
    rows = [*relayed.replies, ["", *relayed.failure]] if relayed.failure else relayed.replies
    return (
        all(isinstance(row, list) and len(row) == 5 and _is_reply(row[1:]) for row in rows)
        and all(row[0] in terms.services for row in relayed.replies)
        and isinstance(relayed.reasons, dict)
        and _are_texts(*relayed.reasons.values())
        and OUTCOMES.issuperset(relayed.reasons.values())
        and _is_count(relayed.sent)
        and _is_count(relayed.hedges)
        and isinstance(relayed.may_have_run, bool)
    )


def _is_reply(row: list[Any]) -> bool:
    status, stamp, headers, body = row
    return (
        _is_positive(status)
        and MIN_FINAL_STATUS <= status <= MAX_STATUS
        and isinstance(stamp, str)
        and _are_headers(headers)
        and isinstance(body, bytes)
    )


def _are_headers(rows: Any) -> bool:
    return isinstance(rows, list) and all(
        isinstance(row, list) and len(row) == 2 and _are_texts(*row) for row in rows
    )


def _are_texts(*values: Any) -> bool:
    return all(isinstance(value, str) for value in values)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value >= 0


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and _is_number(value)


def _is_positive(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0
