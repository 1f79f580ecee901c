"""Hold a caller's message to services, and what one instance replied to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import h11

from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpFailure, HttpReply
from firtrestle.instances import Instance
from firtrestle.outcomes import SubOutcome


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """Hold what a caller sent, as it goes on to instances unchanged."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class PartReply:
    """Hold one instance's reply.

    `stamp` is the mark by which an instance vouches for its reply; `reached` says whether the
    request arrived there, `may_have_run` whether it can't be told that it didn't run.
    """

    outcome: SubOutcome
    status: int = 0
    stamp: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    queue: int = 0
    reached: bool = False
    may_have_run: bool = False
    is_foreign: bool = False  # it answers another request: nothing on its connection can be trusted
    reason: str = ""


class InstanceCodec(Protocol):
    """Write a message for an instance and read its reply."""

    def request(self, message: CallerMessage, instance: Instance, time_left: Millis) -> h11.Request:
        """Return the head of a request; raise h11.LocalProtocolError where it can't be sent."""

    def read(self, message: CallerMessage, reply: HttpReply) -> PartReply:
        """Check and decode a reply."""


def failed_reply(failure: HttpFailure) -> PartReply:
    """Return the reply that stands for a failed exchange."""
    outcome = SubOutcome.DIED if failure.sent else SubOutcome.UNREACHABLE
    return PartReply(
        outcome, reached=failure.sent, may_have_run=failure.sent, reason=failure.reason
    )
