"""Track requests from their arrival at the admission gate to their ends."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol, TypeVar

import trio

from firtrestle.clocks import Millis, move_on_after
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.instance_replies import InstanceReply
from firtrestle.routed_requests import AttemptSummary, RoutedRequest

if TYPE_CHECKING:
    from firtrestle.admission_gates import AdmissionGate

REVIEW_INTERVAL = Millis(10)  # a share of the shortest latency targets, 90 ms

T = TypeVar("T")


class RunningGather(Protocol):
    """Define what the gate reads of a gather that it has started."""

    attempt_summary: AttemptSummary
    latencies: list[Millis]

    @property
    def open_shards(self) -> int:
        """Return how many shards run here and have neither a reply nor been given up."""

    @property
    def work_done(self) -> float:
        """Return the sub-requests worked on here; sending and closing are half of one each."""

    @property
    def queued_replies(self) -> int:
        """Return how many replies have been read, but not handled."""

    @property
    def reply_by_service(self) -> dict[str, InstanceReply]:
        """Return the replies collected so far."""


class State(Enum):
    """Define the states of a request at the gate."""

    NEW = auto()
    WAITING = auto()
    STARTED = auto()
    OVER = auto()


class Admission:
    """Track one request from its arrival at the gate to its end."""

    def __init__(
        self, gate: AdmissionGate, number: int, request: RoutedRequest, shards: int
    ) -> None:
        self.number = number
        self.request = request
        self.shards = shards
        self.state = State.NEW
        self.refused: Refused | None = None
        self.entered_at = gate.clock.now()
        self.event = trio.Event()  # set when the state changes, or the gate is to be reviewed
        self.gather: RunningGather | None = None
        self.scope: trio.CancelScope | None = None
        self.counted = 0.0  # sub-requests that the estimates know of
        self.idle_at_progress = Millis(0)  # idle time of the loop when work was last seen done
        self._gate = gate

    def __enter__(self) -> Admission:
        return self

    def __exit__(self, *_: object) -> None:
        self._gate.leave(self)

    @property
    def priority(self) -> int:
        """Return the priority of the request's route."""
        return self.request.route.priority

    async def wait(self) -> Refused | None:
        """Return once the request may start, or why it may not; don't wait if it may at once."""
        self._gate.enter(self)
        while self.state is State.WAITING:
            interval = REVIEW_INTERVAL if self._gate.is_first(self) else math.inf
            with move_on_after(Millis(interval)):
                await self.event.wait()
            if self.state is State.WAITING:
                self.event = trio.Event()
                self._gate.review()
        return self.refused

    async def run(
        self, gather: RunningGather, body: Callable[[], Awaitable[T]], may_end: bool = True
    ) -> T | Refused:
        """Run a gather; with `may_end`, end it early once it is certain to miss its deadline."""
        self.gather = gather
        if not may_end:
            return await body()
        with trio.CancelScope() as self.scope:
            return await body()
        ran = gather.attempt_summary.ran
        kind = ErrorKind.OVERLOADED if ran is Ran.FALSE else ErrorKind.OUTCOME_UNKNOWN
        return Refused(kind, ran, "too little processor time is left")

    def done_work(self) -> float:
        """Return the work done so far in sub-requests; sending and reading are half of one each."""
        return 0.0 if self.gather is None else self.gather.work_done

    def left_work(self) -> float:
        """Return the work left in sub-requests."""
        return self.shards if self.gather is None else self.gather.open_shards / 2
