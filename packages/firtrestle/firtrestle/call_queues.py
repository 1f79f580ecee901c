"""Order the calls that wait for a slot, by priority and deadline, with a least share for each."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from firtrestle.admissions import StartShares
from firtrestle.clocks import Millis

Call = TypeVar("Call")


class CallQueue(Generic[Call]):
    """Hold waiting calls in the order in which they are to start."""

    def __init__(self) -> None:
        self._heap_by_priority: dict[int, list[tuple[Millis, int, Call]]] = {}
        self._sequence = itertools.count()
        self._shares = StartShares()

    def __len__(self) -> int:
        return sum(map(len, self._heap_by_priority.values()))

    def __iter__(self) -> Iterator[tuple[int, Call]]:
        """Iterate over the priorities and calls, in no certain order."""
        for priority, heap in self._heap_by_priority.items():
            for _, _, call in heap:
                yield priority, call

    def push(self, priority: int, deadline: Millis, call: Call) -> None:
        """Add a call."""
        heap = self._heap_by_priority.setdefault(priority, [])
        heapq.heappush(heap, (deadline, next(self._sequence), call))

    def pop(self, is_over: Callable[[Call], bool], may_run: Callable[[Call], bool]) -> Call | None:
        """Remove the calls that are over, up to the first that may run, and return that one."""
        waiting = sorted(priority for priority, heap in self._heap_by_priority.items() if heap)
        due = self._shares.due(waiting)
        for priority in sorted(waiting, key=lambda priority: priority != due):
            call = self._pop_from(priority, is_over, may_run)
            if call is not None:
                self._shares.record_start(priority, waiting)
                return call
        return None

    def clear(self) -> None:
        """Remove all calls."""
        for heap in self._heap_by_priority.values():
            heap.clear()

    def _pop_from(
        self, priority: int, is_over: Callable[[Call], bool], may_run: Callable[[Call], bool]
    ) -> Call | None:
        heap = self._heap_by_priority[priority]
        held_back: list[tuple[Millis, int, Call]] = []
        found: Call | None = None
        while heap and found is None:
            entry = heapq.heappop(heap)
            if is_over(entry[2]):
                continue
            if may_run(entry[2]):
                found = entry[2]
            else:
                held_back.append(entry)
        for entry in held_back:
            heapq.heappush(heap, entry)
        return found
