"""Represent a caller's request on its way through a route, and what became of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from firtrestle.clocks import Millis
from firtrestle.crash_records import message_fingerprint
from firtrestle.errors import Ran
from firtrestle.instance_replies import CallerMessage, InstanceReply
from firtrestle.outcomes import SubOutcome
from firtrestle.routes import Route, RouteTable

# Share of the latency target for what the daemon does not see: the target counts from the caller's
# first try, so it includes connecting and both ways across the network, as well as the sending.
UNSEEN_TIME_SHARE = 0.3
MIN_UNSEEN_TIME = Millis(10)
MAX_UNSEEN_TIME = Millis(20)


@dataclass(frozen=True)
class RoutedRequest:
    """Represent a caller's request, pinned to the route and route table it started with."""

    message: CallerMessage
    route: Route
    table: RouteTable
    arrived_at: Millis
    deadline: Millis
    busy_at_arrival: Millis = Millis(0)  # busy time of the event loop before the request

    @cached_property
    def fingerprint(self) -> str:
        """Return the request's fingerprint; computed on demand, as only failures need it."""
        return message_fingerprint(self.message)

    @property
    def answer_by(self) -> Millis:
        """Return the latest time at which an answer still meets the latency target."""
        target = self.route.latency_target
        unseen = min(max(target * UNSEEN_TIME_SHARE, MIN_UNSEEN_TIME), MAX_UNSEEN_TIME)
        return Millis(self.arrived_at + target - unseen)


@dataclass(slots=True)
class AttemptSummary:
    """Count a request's attempts and keep the reasons of its failures."""

    sent: int = 0
    hedges: int = 0
    not_run_count: int = 0  # attempts proven not to have run
    reason_by_service: dict[str, SubOutcome] = field(default_factory=dict)
    last_failure: InstanceReply | None = None
    relayed_to: str = ""  # the daemon that was asked to run the request or a part of it

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt ran or may have run; those in flight may have."""
        failure = self.last_failure
        return self.sent > self.not_run_count or (failure is not None and failure.may_have_run)

    @property
    def ran(self) -> Ran:
        """Return what a caller may be told of whether its request ran."""
        return Ran.UNKNOWN if self.may_have_run else Ran.FALSE
