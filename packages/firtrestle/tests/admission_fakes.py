"""Simulate daemons whose one processor works off gathers, on simulated time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import trio
from firtrestle.admission_gates import AdmissionGate
from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.errors import Ran, Refused
from firtrestle.instance_replies import CallerMessage
from firtrestle.routed_requests import AttemptSummary, RoutedRequest
from firtrestle.routes import Route, RouteTable
from firtrestle.work_estimates import WorkEstimates
from trio.testing import MockClock

BATCH = 6  # replies that are read together
IDLE = Millis(0.5)


class Processor:
    """Do one piece of work after the other, and account for it as the event loop's monitor does."""

    def __init__(self, clock: Clock) -> None:
        self.suspensions = 0
        self._clock = clock
        self._lock = trio.Lock()
        self._busy = 0.0
        self._since = 0.0  # of the piece of work that is done now, or the end of the last
        self._works = False

    @property
    def was_idle(self) -> bool:
        return not self._works and self._clock.now() - self._since >= IDLE

    def busy_time(self) -> Millis:
        return Millis(self._busy + (self._clock.now() - self._since if self._works else 0))

    async def do(self, work: float) -> None:
        async with self._lock:
            self._works, self._since = True, self._clock.now()
            try:
                await sleep(Millis(work))
            finally:
                self._busy = self.busy_time()
                self._works, self._since = False, self._clock.now()


class SimulatedGather:
    """Send to all shards, and read the replies; half of the work is done before, half after."""

    def __init__(self, daemon: Daemon, shards: int) -> None:
        self.attempt_summary = AttemptSummary()
        self.latencies: list[Millis] = []
        self.reply_by_service: dict[str, object] = {}
        self.queued_replies = 0
        self._daemon = daemon
        self._shards = shards

    @property
    def open_shards(self) -> int:
        return self._shards - len(self.reply_by_service)

    @property
    def work_done(self) -> float:
        return (self.attempt_summary.sent + len(self.reply_by_service)) / 2

    async def run(self) -> str:
        daemon = self._daemon
        daemon.sent += self._shards
        self.attempt_summary.sent = self._shards
        await daemon.processor.do(self._shards * daemon.cost / 2)
        await sleep(Millis(daemon.instance_time))
        while self.open_shards:
            batch = min(BATCH, self.open_shards)
            await daemon.processor.do(batch * daemon.cost / 2)
            for _ in range(batch):
                self.latencies.append(Millis(daemon.instance_time))
                self.reply_by_service[f"s{len(self.reply_by_service)}"] = object()
        return "answer"


@dataclass
class Result:
    """Hold what became of one request."""

    route: Route
    outcome: str  # answered, refused, ended, failed (at its deadline)
    arrived_at: Millis
    took: Millis
    refused: Refused | None = None

    @property
    def is_late(self) -> bool:
        return self.outcome != "answered" or self.took > self.route.latency_target


@dataclass
class Daemon:
    """Serve routes on one simulated processor, with a gate or without."""

    table: RouteTable
    has_gate: bool = True
    cost: float = 0.5  # processor time of one sub-request
    instance_time: float = 10.0
    results: list[Result] = field(default_factory=list)
    sent: int = 0
    numbers: int = 0

    def __post_init__(self) -> None:
        self.clock = Clock()
        self.processor = Processor(self.clock)
        self.work = WorkEstimates(self.clock, self.processor)
        self.gate = AdmissionGate(self.clock, random.Random(1), self.processor, self.work)

    async def teach(self, route: Route) -> None:
        """Run a few requests, so that the costs are known."""
        for _ in range(3):
            await self.ask(route)
            await sleep(Millis(50))
        self.results.clear()

    async def ask(self, route: Route) -> Result:
        self.numbers += 1
        now = self.clock.now()
        message = CallerMessage(f"r{self.numbers}", "GET", "/x", "h", (), b"")
        request = RoutedRequest(message, route, self.table, now, Millis(now + route.timeout))
        answer: str | Refused | None = None
        with move_on_after(route.timeout):
            answer = await self._run(request)
        took = Millis(self.clock.now() - now)
        if isinstance(answer, Refused):
            outcome = "refused" if answer.ran is Ran.FALSE else "ended"
            result = Result(route, outcome, now, took, answer)
        else:
            result = Result(route, "answered" if answer else "failed", now, took)
        self.results.append(result)
        return result

    async def _run(self, request: RoutedRequest) -> str | Refused:
        gather = SimulatedGather(self, len(request.route.shards))
        if not self.has_gate:
            return await gather.run()
        with self.gate.admission(request, len(request.route.shards)) as admission:
            refused = await admission.wait()
            return refused or await admission.run(gather, gather.run)

    def of(self, route: Route, outcome: str | None = None) -> list[Result]:
        """Return the results of a route, or those with an outcome."""
        of_route = [result for result in self.results if result.route is route]
        return [result for result in of_route if outcome in (None, result.outcome)]


def simulate(main, *args) -> None:
    """Run a test body on simulated time."""
    trio.run(main, *args, clock=MockClock(autojump_threshold=0))
