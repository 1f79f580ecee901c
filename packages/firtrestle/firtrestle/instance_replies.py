"""Represent a caller's message to services, and one instance's reply to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import h11

from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpFailure, HttpReply
from firtrestle.instances import Instance
from firtrestle.outcomes import SubOutcome


@dataclass(frozen=True, slots=True, weakref_slot=True)
class CallerMessage:
    """Represent a caller's request, which is passed on to instances unchanged."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class InstanceReply:
    """Represent one instance's reply, or the failure that stands in for it.

    `stamp` is the value by which an instance attests that the reply is its own; a failure reply is
    passed to the caller only with one. `reached` says whether the request arrived there,
    `may_have_run` is false only if it is certain that it did not run.
    """

    outcome: SubOutcome
    status: int = 0
    stamp: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    queue: int = 0
    reached: bool = False
    may_have_run: bool = False
    answers_other_request: bool = False  # then its connection can no longer be trusted
    reason: str = ""
    given_up: bool = False  # by this daemon, so that a failure says nothing of the instance
    leaving: bool = False  # the instance announced its departure
    retry_after: Millis | None = None  # how long the instance wants no requests from this daemon
    rate_limit: float | None = None  # requests a second that it takes from all daemons together


class InstanceCodec(Protocol):
    """Encode requests for instances and decode their replies."""

    def request(self, message: CallerMessage, instance: Instance, time_left: Millis) -> h11.Request:
        """Return the head of a request; raise h11.LocalProtocolError if it can't be sent."""

    def read(self, message: CallerMessage, reply: HttpReply) -> InstanceReply:
        """Check and decode a reply."""


def failed_reply(failure: HttpFailure) -> InstanceReply:
    """Return the reply that represents a failed exchange."""
    outcome = SubOutcome.DIED if failure.sent else SubOutcome.UNREACHABLE
    return InstanceReply(
        outcome, reached=failure.sent, may_have_run=failure.sent, reason=failure.reason
    )


def unsent_reply(outcome: SubOutcome, reason: str) -> InstanceReply:
    """Return the reply that represents a message that was not sent, by this daemon's decision."""
    return InstanceReply(outcome, reason=reason)
