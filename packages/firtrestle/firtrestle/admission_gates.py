"""Hold requests back while this daemon's processor has more work than it can do."""

from __future__ import annotations

import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger

from firtrestle import signals
from firtrestle.admission_entries import REVIEW_INTERVAL, Admission, State
from firtrestle.admissions import Demand, StartShares, backlog_ahead, plan, retry_after
from firtrestle.clocks import Clock, Millis
from firtrestle.errors import ErrorKind, Refused
from firtrestle.loop_monitors import MIN_WAIT, LoopMonitor
from firtrestle.routed_requests import RoutedRequest
from firtrestle.routes import RouteTable
from firtrestle.work_estimates import Estimate, WorkEstimates

# Of the shortest latency target: work of running requests up to which the next one starts. The
# processor then has work while instances reply, and an urgent arrival finds little ahead of it.
# With 0.25, three gathers share the processor and all end late.
MAX_BACKLOG_SHARE = 0.125
SHARE_WINDOW = Millis(500)  # of starts; several requests of the largest kind
MAX_WAITING = 256  # bounds the time of one decision, which grows with the number of requests
# Part of the lower quartile of a sub-request's costs that reading its reply takes in any case.
CERTAIN_READ_SHARE = 0.25
LOW_QUANTILE = 4  # the lower quarter of replies have hardly waited for this daemon to read them
ROUNDING = 1e-9  # keeps a share of services that is a whole number from being rounded up
STOPPING_RETRY_AFTER = Millis(50)  # another daemon serves the request at once


@dataclass(frozen=True, slots=True)
class _Costs:
    """Hold the estimates that one decision uses."""

    now: Millis
    attempt: Estimate
    backlog: Millis


class AdmissionGate:
    """Start requests in the order of their plan while the processor is short, else at once."""

    def __init__(
        self, clock: Clock, rng: random.Random, loop: LoopMonitor, work: WorkEstimates
    ) -> None:
        self.clock = clock
        self._rng = rng
        self._loop = loop
        self._work = work
        self._numbers = itertools.count(1)
        self._waiting: dict[int, Admission] = {}
        self._running: dict[int, Admission] = {}
        self._shares = StartShares()
        self._in_time_starts: deque[tuple[Millis, int, Millis]] = deque()  # at, priority, work
        self._idle_at_start = Millis(-math.inf)  # idle time of the loop at the last start
        self._reviewed_at = Millis(-math.inf)
        self._table: RouteTable | None = None
        self._max_backlog = Millis(0)

    def admission(self, request: RoutedRequest, shards: int) -> Admission:
        """Return the admission of a request, to be left at its end."""
        return Admission(self, next(self._numbers), request, shards)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def is_first(self, admission: Admission) -> bool:
        """Return whether an admission waits the longest, and so has to review the gate."""
        return next(iter(self._waiting), None) == admission.number

    def enter(self, admission: Admission) -> None:
        """Start a request at once, or let it wait."""
        self._apply(admission.request.table)
        costs = self._costs() if self._running else None
        if not self._waiting and self._may_start(costs):
            if self._running and costs is not None:
                work = Millis(admission.shards * costs.attempt.value)
                self._in_time_starts.append((costs.now, admission.priority, work))
            self._start(admission)
            return
        admission.state = State.WAITING
        self._waiting[admission.number] = admission
        if len(self._waiting) > MAX_WAITING or self._may_start(costs):
            self._review()

    def leave(self, admission: Admission) -> None:
        """Remove a request that has ended, or whose caller has left."""
        was_running = self._running.pop(admission.number, None) is not None
        was_waiting = self._waiting.pop(admission.number, None) is not None
        admission.state = State.OVER
        if was_running:
            self._count_work(admission)
            latencies = sorted(admission.gather.latencies) if admission.gather else []
            if latencies:
                latency = latencies[len(latencies) // LOW_QUANTILE]
                self._work.record_reply_time(admission.request.route.name, latency)
            self._work.end()
            if self._waiting:
                self._review()
        elif was_waiting:
            self._wake_first()

    def stop_by(self, answers_by: Millis) -> None:
        """Refuse waiting requests that another daemon can serve for longer than this one."""
        for admission in list(self._waiting.values()):
            if admission.request.deadline > answers_by:
                refused = Refused.not_run(ErrorKind.STOPPING, retry_after=STOPPING_RETRY_AFTER)
                self._refuse(admission, refused)
        if self._waiting:
            self._review()

    def review(self) -> None:
        """Decide again, unless that was done shortly before."""
        if self.clock.now() - self._reviewed_at >= REVIEW_INTERVAL / 2:
            self._review()

    def _review(self) -> None:
        """Refuse, end and start requests as the plan says."""
        costs = self._costs()
        self._reviewed_at = self.clock.now()
        if costs is None:
            for admission in list(self._waiting.values()):
                self._start(admission)
            return
        self._end_hopeless(costs)
        names = {admission.request.route.name for admission in self._waiting.values()}
        reply_times = {name: self._work.reply_time(name) or Millis(0) for name in names}
        demands = [
            self._demand(admission, costs, reply_times) for admission in self._waiting.values()
        ]
        shares = self._in_time_shares(costs.now)
        decision = plan(demands, costs.now, costs.backlog, shares)
        order = decision.order
        surplus = [order.pop() for _ in range(len(order) - MAX_WAITING)]
        unable = decision.refused
        if not order and self._may_start(costs):  # there is no shortage but of time
            order = [demand for demand in unable if self._fits_alone(demand, costs.now)]
            unable = [demand for demand in unable if demand not in order]
        for reason, refused in (("deadline", unable), ("queue", surplus)):
            for demand in refused:
                self._refuse_unable(demand, order, costs, reason)
        while order and self._may_start(costs):
            priorities = {demand.priority for demand in order}
            due = self._shares.due(priorities)
            demand = next((d for d in order if d.priority == due), order[0])
            order.remove(demand)
            self._shares.record_start(demand.priority, priorities)
            admission = self._waiting[demand.number]
            self._log_start(admission, demand, costs, due is not None)
            if demand.number not in decision.late:
                self._in_time_starts.append((costs.now, demand.priority, demand.work))
            self._start(admission)
            costs = replace(costs, backlog=Millis(costs.backlog + demand.work))
        self._wake_first()

    def _in_time_shares(self, now: Millis) -> dict[int, float]:
        """Return the processor's shares that requests in time have taken, by priority."""
        starts = self._in_time_starts
        while starts and now - starts[0][0] > SHARE_WINDOW:
            starts.popleft()
        shares: dict[int, float] = {}
        for _, priority, work in starts:
            shares[priority] = shares.get(priority, 0.0) + work / SHARE_WINDOW
        return shares

    def _may_start(self, costs: _Costs | None) -> bool:
        """Return whether the processor can do more than the work of the running requests."""
        if costs is None or not self._running or costs.backlog <= self._max_backlog:
            return True
        idle = self._idle_time()
        return self._loop.was_idle and idle - self._idle_at_start >= MIN_WAIT

    def _idle_time(self) -> Millis:
        """Return the loop's idle time, from a time that does not change."""
        return Millis(self.clock.now() - self._loop.busy_time())

    def _costs(self) -> _Costs | None:
        """Return the current estimates, None while the cost of a sub-request is unknown."""
        for admission in self._running.values():
            self._count_work(admission)
        attempt = self._work.processor_estimate()
        if attempt is None:
            return None
        left = sum(self._left_work(admission) for admission in self._running.values())
        return _Costs(self.clock.now(), attempt, Millis(left * attempt.value))

    def _left_work(self, admission: Admission) -> float:
        """Return the sub-requests that a running request still has to work on.

        One waits for its instances, and has none, if the loop was idle since its last progress.
        """
        idle = self._idle_time() - admission.idle_at_progress
        return 0.0 if idle >= MIN_WAIT else admission.left_work()

    def _count_work(self, admission: Admission) -> None:
        done = admission.done_work()
        if done > admission.counted:
            self._work.record_attempts(done - admission.counted)
            admission.counted = done
            admission.idle_at_progress = self._idle_time()

    def _demand(
        self, admission: Admission, costs: _Costs, reply_times: dict[str, Millis]
    ) -> Demand:
        request = admission.request
        work = Millis(admission.shards * costs.attempt.value)
        return Demand(
            admission.number,
            admission.priority,
            request.arrived_at,
            # Requests share the processor with the one that starts before and the one that starts
            # after them, half of each at most. Near the deadline, that decides on the answer.
            Millis(request.answer_by - self._max_backlog),
            Millis(request.deadline - max(self._max_backlog, work)),
            work,
            reply_times[request.route.name],
        )

    def _fits_alone(self, demand: Demand, now: Millis) -> bool:
        """Return whether a request meets its deadline if nothing else needs the processor."""
        deadline = self._waiting[demand.number].request.deadline
        return demand.latest_start(deadline) >= now

    def _start(self, admission: Admission) -> None:
        was_waiting = self._waiting.pop(admission.number, None) is not None
        self._running[admission.number] = admission
        admission.state = State.STARTED
        admission.event.set()
        self._idle_at_start = admission.idle_at_progress = self._idle_time()
        self._work.begin()
        signals.request_admitted.send(
            admission.request.route.name,
            priority=admission.priority,
            waited=Millis(self.clock.now() - admission.entered_at) if was_waiting else None,
        )

    def _refuse_unable(
        self, demand: Demand, order: list[Demand], costs: _Costs, reason: str
    ) -> None:
        """Refuse a request that has not run, with the time in which the backlog is completed."""
        admission = self._waiting[demand.number]
        wait = backlog_ahead(demand, order, costs.backlog)
        delay = retry_after(wait, Millis(demand.deadline - costs.now), self._rng)
        self._bind(admission, demand, costs).bind(reason=reason, retry_after_ms=round(delay)).info(
            "request refused for lack of processor time"
        )
        refused = Refused.not_run(ErrorKind.OVERLOADED, "no processor time", delay)
        self._refuse(admission, refused)

    def _refuse(self, admission: Admission, refused: Refused) -> None:
        del self._waiting[admission.number]
        admission.state = State.OVER
        admission.refused = refused
        admission.event.set()
        signals.admission_refused.send(admission.request.route.name, priority=admission.priority)

    def _end_hopeless(self, costs: _Costs) -> None:
        """End running gathers that are certain to miss their deadlines, as others wait."""
        for admission in self._running.values():
            scope, gather, request = admission.scope, admission.gather, admission.request
            if scope is None or gather is None or not gather.open_shards:
                continue
            least = math.ceil(admission.shards * request.route.least_coverage - ROUNDING)
            missing = max(1, least) - len(gather.reply_by_service)
            # A peer may still bring those that are missing, but not open any more.
            missing = min(missing, gather.open_shards) - gather.queued_replies
            cost = Millis(missing * costs.attempt.lower * CERTAIN_READ_SHARE)
            if missing <= 1 or costs.now + cost <= request.deadline or scope.cancel_called:
                continue
            logger.bind(
                request_id=request.message.request_id,
                route=request.route.name,
                missing=missing,
                open=gather.open_shards,
                time_left_ms=round(request.deadline - costs.now, 1),
                needed_ms=round(cost, 1),
                cost_age_ms=round(costs.attempt.age, 1),
            ).info("request ended for lack of processor time")
            scope.cancel()

    def _log_start(
        self, admission: Admission, demand: Demand, costs: _Costs, by_share: bool
    ) -> None:
        """Log a start ahead of requests that arrived before."""
        overtaken = sum(number < demand.number for number in self._waiting)
        if overtaken:
            self._bind(admission, demand, costs).bind(
                overtaken=overtaken,
                by_share=by_share,
                waited_ms=round(costs.now - admission.entered_at, 1),
            ).info("request started out of order")

    def _bind(self, admission: Admission, demand: Demand, costs: _Costs) -> Any:
        """Return a logger with the inputs of a decision and their age."""
        reply = self._work.reply_estimate(admission.request.route.name)
        return logger.bind(
            request_id=admission.request.message.request_id,
            route=admission.request.route.name,
            priority=demand.priority,
            time_left_ms=round(demand.deadline - costs.now, 1),
            target_left_ms=round(demand.answer_by - costs.now, 1),
            work_ms=round(demand.work, 1),
            reply_ms=round(demand.reply_time, 1),
            reply_age_ms=None if reply is None else round(reply.age, 1),
            backlog_ms=round(costs.backlog, 1),
            cost_ms=round(costs.attempt.value, 3),
            cost_spread_ms=round(costs.attempt.spread, 3),
            cost_age_ms=round(costs.attempt.age, 1),
            waiting=len(self._waiting),
            running=len(self._running),
        )

    def _wake_first(self) -> None:
        """Let the request that now waits the longest review the gate."""
        first = next(iter(self._waiting.values()), None)
        if first is not None:
            first.event.set()

    def _apply(self, table: RouteTable) -> None:
        """Derive the bound of the backlog from the shortest latency target of the routes."""
        if table is self._table:
            return
        self._table = table
        routes = (route for routes in table.routes_by_host.values() for route in routes)
        shortest = min((route.latency_target for route in routes), default=Millis(0))
        self._max_backlog = Millis(shortest * MAX_BACKLOG_SHARE)
