"""Decide which waiting requests get this daemon's processor first, and which can't be answered."""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_right
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from firtrestle.clocks import Millis

WEIGHT_STEP = 4  # a priority weighs as much as this many of the next less urgent one
MAX_WEIGHT_STEPS = 100  # keeps the weight of any priority within the range of floats
# A priority with waiting requests gets one of this many starts, or of the priorities that wait.
FLOOR_STARTS = 4
# Of the processor, for late requests; less would refuse them all on the first overload.
MIN_SHARE_LEFT = 0.05
# An overload is taken to last for this long, not for all the time that patient callers have.
OVERLOAD_HORIZON = Millis(2_000)
MIN_RETRY_AFTER = Millis(20)
RETRY_AFTER_SPREAD = (1.0, 1.5)  # factors of the delay, so that callers don't return as one wave
MAX_RETRY_SHARE = 1 / 3  # of the time left; callers do not wait longer for a retry


@dataclass(frozen=True, slots=True)
class Demand:
    """Represent what a waiting request needs; `work` is processor time of this daemon."""

    number: int
    priority: int
    arrived_at: Millis
    answer_by: Millis  # the latest answer that meets the latency target
    deadline: Millis
    work: Millis
    reply_time: Millis

    @property
    def target_due(self) -> Millis:
        """Return the due time of the latency target; callers may set an earlier deadline."""
        return min(self.answer_by, self.deadline)

    @property
    def work_per_weight(self) -> float:
        """Return the processor time that the request costs for the weight of its priority."""
        return self.work * WEIGHT_STEP ** min(max(self.priority, 0), MAX_WEIGHT_STEPS)

    def latest_start(self, due: Millis) -> Millis:
        """Return the latest start for an answer at the due time."""
        return Millis(due - self.work - self.reply_time)


@dataclass(slots=True)
class Plan:
    """Represent a decision: the order of starts, and the requests to refuse."""

    order: list[Demand] = field(default_factory=list)
    late: set[int] = field(default_factory=set)  # numbers of those that miss their latency target
    refused: list[Demand] = field(default_factory=list)


def plan(
    waiting: Collection[Demand],
    now: Millis,
    backlog: Millis,
    in_time_shares: Mapping[int, float] = MappingProxyType({}),
) -> Plan:
    """Order the waiting requests, and refuse those that can't be answered by their deadlines.

    `backlog` is the work of running requests, after which that of waiting ones can be done.
    `in_time_shares` are the shares of the processor that requests in time have taken of late, by
    priority. Requests that are late have the rest, as those in time go on to arrive.
    """
    start = Millis(now + backlog)
    result = Plan()
    in_time: list[Demand] = []
    late: list[Demand] = []
    for demand in waiting:
        if demand.latest_start(demand.deadline) < start:
            result.refused.append(demand)
        elif demand.latest_start(demand.target_due) < start:
            late.append(demand)
        else:
            in_time.append(demand)
    due = {demand.number: demand.target_due for demand in in_time}
    in_time, removed = _keep_most(in_time, (), start, due)
    late += removed
    kept, dropped = _keep_late(in_time, late, start, due, in_time_shares)
    if dropped:
        # A less urgent request may rather be late than a more urgent one be refused.
        urgent = min(demand.priority for demand in dropped)
        demoted = [demand for demand in in_time if demand.priority > urgent]
        if demoted:
            in_time = [demand for demand in in_time if demand.priority <= urgent]
            kept, dropped = _keep_late(in_time, late + demoted, start, due, in_time_shares)
    result.refused += dropped
    result.late = {demand.number for demand in kept} - {demand.number for demand in in_time}
    result.order = _order(kept, start, due, result.late)
    return result


def _keep_late(
    in_time: list[Demand],
    late: list[Demand],
    start: Millis,
    due: dict[int, Millis],
    in_time_shares: Mapping[int, float],
) -> tuple[list[Demand], list[Demand]]:
    """Return the requests in time with the late ones that fit in, and those that don't."""
    if not late:
        return in_time, []
    due |= {demand.number: demand.deadline for demand in late}
    by_number = {demand.number: demand for demand in late}
    slowed = [
        replace(demand, work=Millis(demand.work / _share_left(demand, start, in_time_shares)))
        for demand in late
    ]
    fitting, unfit = _split_by_fit(in_time, slowed, start, due)
    kept, dropped = _keep_most(fitting, in_time, start, due)
    return (
        [by_number.get(demand.number, demand) for demand in kept],
        [by_number[demand.number] for demand in unfit + dropped],
    )


def _share_left(demand: Demand, start: Millis, in_time_shares: Mapping[int, float]) -> float:
    """Return the share of the processor that is left to a late request until its deadline."""
    priority, time_left = demand.priority, demand.deadline - start
    more_urgent = sum(share for other, share in in_time_shares.items() if other < priority)
    taken = min(more_urgent, 1 - 1 / FLOOR_STARTS) + in_time_shares.get(priority, 0.0)
    if time_left > OVERLOAD_HORIZON:
        taken *= OVERLOAD_HORIZON / time_left
    return max(1 - taken, MIN_SHARE_LEFT)


def _order(
    demands: list[Demand], start: Millis, due: dict[int, Millis], late: set[int]
) -> list[Demand]:
    """Return the most urgent order in which the requests in time are not made late.

    Late ones come behind those of their priority that are in time.
    """

    def by_priority(demand: Demand) -> tuple[float, ...]:
        latest_start = demand.latest_start(due[demand.number])
        is_late = demand.number in late
        return demand.priority, is_late, latest_start, demand.arrived_at, demand.number

    ordered = sorted(demands, key=by_priority)
    if not _meets_due_times(ordered, start, due, late):
        ordered.sort(key=lambda demand: demand.number in late)
        if not _meets_due_times(ordered, start, due, late):
            by_due_time = _by_due_time(due)
            ordered.sort(key=lambda demand: (demand.number in late, *by_due_time(demand)))
    return ordered


def _by_due_time(due: dict[int, Millis]) -> Callable[[Demand], tuple[float, ...]]:
    """Return a key that orders requests by when their work must be done."""
    return lambda demand: (
        due[demand.number] - demand.reply_time,
        demand.priority,
        demand.arrived_at,
        demand.number,
    )


def _meets_due_times(
    ordered: Sequence[Demand], start: Millis, due: dict[int, Millis], late: set[int]
) -> bool:
    """Return whether all requests that are in time stay so in this order."""
    for demand in ordered:
        start = Millis(start + demand.work)
        if demand.number not in late and start + demand.reply_time > due[demand.number]:
            return False
    return True


def _keep_most(
    demands: Sequence[Demand], fixed: Sequence[Demand], start: Millis, due: dict[int, Millis]
) -> tuple[list[Demand], list[Demand]]:
    """Return the requests that meet their due times together, and those removed for it.

    This is the rule of Moore and Hodgson with weights. The `fixed` ones are never removed.
    """
    fixed_numbers = {demand.number for demand in fixed}
    removable: list[tuple[float, float, int, Demand]] = []
    removed: dict[int, Demand] = {}
    end = start
    ordered = sorted([*demands, *fixed], key=_by_due_time(due))
    for demand in ordered:
        end = Millis(end + demand.work)
        if demand.number not in fixed_numbers:
            entry = (-demand.work_per_weight, -demand.arrived_at, -demand.number, demand)
            heapq.heappush(removable, entry)
        while removable and end + demand.reply_time > due[demand.number]:
            costliest = heapq.heappop(removable)[-1]
            removed[costliest.number] = costliest
            end = Millis(end - costliest.work)
            if costliest is demand:
                break
    kept = [demand for demand in ordered if demand.number not in removed]
    return kept, list(removed.values())


def _split_by_fit(
    kept: Sequence[Demand], others: Sequence[Demand], start: Millis, due: dict[int, Millis]
) -> tuple[list[Demand], list[Demand]]:
    """Split requests by whether each alone meets its due time beside the kept ones.

    Those that don't would remove others to no avail.
    """
    ends = [due[demand.number] - demand.reply_time for demand in kept]
    done = [start, *itertools.accumulate((d.work for d in kept), initial=start)][1:]
    fitting: list[Demand] = []
    unfit: list[Demand] = []
    for demand in others:
        end = due[demand.number] - demand.reply_time
        is_fitting = done[bisect_right(ends, end)] + demand.work <= end
        (fitting if is_fitting else unfit).append(demand)
    return fitting, unfit


def backlog_ahead(demand: Demand, order: Sequence[Demand], backlog: Millis) -> Millis:
    """Return the time until the work ahead of a request's priority, and its own, is done."""
    ahead = sum(other.work for other in order if other.priority <= demand.priority)
    return Millis(backlog + ahead + demand.work)


def retry_after(wait: Millis, time_left: Millis, rng: random.Random) -> Millis:
    """Return when to retry, given the time in which the backlog ahead is completed."""
    lowest, highest = RETRY_AFTER_SPREAD
    useful = min(wait, time_left * MAX_RETRY_SHARE / highest)
    return Millis(max(MIN_RETRY_AFTER, useful) * rng.uniform(lowest, highest))


class StartShares:
    """Give each priority with waiting requests its least share of the starts."""

    def __init__(self) -> None:
        self._missed_by_priority: dict[int, int] = {}

    def due(self, waiting: Collection[int]) -> int | None:
        """Return the priority that must start next to get its share, None for any."""
        least = max(FLOOR_STARTS, len(waiting))
        missed = self._missed_by_priority
        ordered = sorted(waiting, key=lambda priority: (-missed.get(priority, 0), priority))
        for place, priority in enumerate(ordered):
            # Those with as many missed starts come before it, each with one start.
            if missed.get(priority, 0) + place >= least - 1 and missed.get(ordered[0], 0):
                return ordered[0]
        return None

    def record_start(self, started: int, waiting: Collection[int]) -> None:
        """Count a start; `waiting` are the priorities that had waiting requests before it."""
        missed = self._missed_by_priority
        self._missed_by_priority = {
            priority: missed.get(priority, 0) + 1 for priority in waiting if priority != started
        }
