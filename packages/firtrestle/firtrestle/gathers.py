"""Scatter one request over shards and gather the replies, whatever a shard is."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from functools import partial
from typing import Any, Protocol

import trio

from firtrestle.attempts import Attempt, ShardState
from firtrestle.clocks import Clock, Millis, move_on_after
from firtrestle.outcomes import SubOutcome
from firtrestle.peers import Cancellable
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.replicas import Replica, Replicas
from firtrestle.snapshots import ReplicaId

MAX_HEDGES = 2  # of a shard; the second may go to a replica again
HEDGE_RECHECK = Millis(20)  # after a hedge that was due was not sent


class ChoosingTools(Protocol):
    """Hold what every kind of gather needs."""

    clock: Clock
    rng: random.Random
    replicas: Replicas
    chooser: ReplicaChooser


class Gather:
    """Run one scatter: send, hedge, try again, and stop in time.

    A subclass says what a sub-request is, how a reply is merged, what a failure means, what a
    repeat costs and when to stop.
    """

    def __init__(self, tools: ChoosingTools) -> None:
        self._tools = tools
        self._open_by_shard: dict[int, ShardState] = {}
        self._no_hedge_before = Millis(0)
        self._started_at = tools.clock.now()
        self._send, self._receive = trio.open_memory_channel(math.inf)
        self._again_at_by_shard: dict[int, Millis] = {}
        self._oldest_send = Millis(math.inf)  # at most that of each open shard's last attempt

    async def _gather(self, shards: Sequence[int]) -> None:
        """Ask the shards until all are in or given up, or until it is time to stop."""
        self._open_by_shard = {shard: ShardState(shard) for shard in shards}
        try:
            self._send_first()
            while self._open_by_shard and not self._is_over():
                if self._tools.clock.now() >= self._stop_at():
                    break
                await self._step()
        finally:
            self._cancel_all()

    def _send_first(self) -> None:
        """Send to the shards for the first time."""
        for shard in list(self._open_by_shard):
            self._send_or_miss(shard)

    def _replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        """Return the replicas that serve a shard now."""
        raise NotImplementedError

    def _next_number(self) -> int:
        """Return the number of the next attempt."""
        raise NotImplementedError

    def _start(self, attempt: Attempt) -> Cancellable:
        """Send an attempt's sub-request; its reply goes to `_deliver`."""
        raise NotImplementedError

    def _checked_outcome(self, attempt: Attempt, reply: Any) -> SubOutcome:
        """Return how an attempt ended, once its reply was held against what was sent."""
        raise NotImplementedError

    def _accept(self, state: ShardState, attempt: Attempt, reply: Any, latency: Millis) -> None:
        """Merge the reply of a shard, which is no longer open."""
        raise NotImplementedError

    def _fail(self, state: ShardState, attempt: Attempt, reply: Any, outcome: SubOutcome) -> None:
        """Try a shard again, or give it up, after an attempt failed."""
        raise NotImplementedError

    def _note_miss(self, shard: int, reason: SubOutcome) -> None:
        """Take note that a shard was given up."""
        raise NotImplementedError

    def _is_over(self) -> bool:
        """Say whether waiting on makes no sense."""
        raise NotImplementedError

    def _stop_at(self) -> Millis:
        """Return when to stop waiting for replies."""
        raise NotImplementedError

    def _hedge_delay(self) -> Millis | None:
        """Return how late a shard must be to be hedged, None for not yet."""
        raise NotImplementedError

    def _hedge(self, state: ShardState, delay: Millis) -> bool:
        """Send a late shard's second sub-request if it may be; return whether."""
        raise NotImplementedError

    async def _step(self) -> None:
        """Take one reply, or hedge when none came in time."""
        with move_on_after(Millis(self._next_wake() - self._tools.clock.now())):
            self._take(*await self._receive.receive())
            self._take_waiting()
            return
        self._send_again()
        self._hedge_late()

    def _take_waiting(self) -> None:
        """Take the replies that came with the last, without a turn of the loop for each."""
        while self._open_by_shard and not self._is_over():
            try:
                attempt, reply = self._receive.receive_nowait()
            except trio.WouldBlock:
                return
            self._take(attempt, reply)

    def _cancel_all(self) -> None:
        for state in self._open_by_shard.values():
            for attempt in state.attempts:
                attempt.cancel()

    def _send_or_miss(self, shard: int, repeat: bool = False) -> None:
        if not self._send_next(shard, repeat):
            self._miss(shard, SubOutcome.NO_REPLICA)

    def _send_next(self, shard: int, repeat: bool = False) -> bool:
        """Send a shard's sub-request to its best untried replica; return whether there is one."""
        state = self._open_by_shard[shard]
        ids = self._replica_ids(shard)
        untried = [one for one in ids if one not in state.tried] or (ids if repeat else [])
        other_targets = self._elsewhere(state, untried)
        records = [self._tools.replicas.get(one) for one in other_targets or untried]
        replica = self._tools.chooser.choose([one for one in records if self._has_room(one)])
        if replica is None:
            return False
        state.tries += 1
        state.tried.add(replica.id)
        attempt = Attempt(self._next_number(), shard, replica, self._tools.clock.now())
        state.attempts.append(attempt)
        self._oldest_send = min(self._oldest_send, attempt.sent_at)
        replica.in_flight += 1
        attempt.call = self._start(attempt)
        return True

    def _has_room(self, replica: Replica) -> bool:
        """Say whether a replica may get one more sub-request."""
        return True

    def _deliver(self, attempt: Attempt, reply: Any) -> None:
        attempt.uncount()
        self._send.send_nowait((attempt, reply))

    def _delivery(self, attempt: Attempt) -> partial[None]:
        return partial(self._deliver, attempt)

    def _elsewhere(self, state: ShardState, ids: Sequence[ReplicaId]) -> list[ReplicaId]:
        targets = {one.target_id for one in state.tried}
        return [one for one in ids if one.target_id not in targets]

    def _take(self, attempt: Attempt, reply: Any) -> None:
        now = self._tools.clock.now()
        latency = Millis(now - attempt.sent_at)
        outcome = self._checked_outcome(attempt, reply)
        attempt.replica.note(outcome, latency, reply.queue, now)
        state = self._open_by_shard.get(attempt.shard)
        if state is None:
            return
        state.attempts.remove(attempt)
        if outcome is SubOutcome.OK:
            del self._open_by_shard[attempt.shard]
            self._accept(state, attempt, reply, latency)
        else:
            self._fail(state, attempt, reply, outcome)

    def _send_later(self, shard: int, pause: Millis) -> None:
        self._again_at_by_shard[shard] = Millis(self._tools.clock.now() + pause)

    def _send_again(self) -> None:
        """Try the replicas again of each shard whose pause is over."""
        now = self._tools.clock.now()
        for shard in [s for s, at in self._again_at_by_shard.items() if now >= at]:
            del self._again_at_by_shard[shard]
            state = self._open_by_shard.get(shard)
            waits = state is not None and not state.attempts
            if waits and not self._send_next(shard, repeat=True):
                self._miss(shard, SubOutcome.NO_REPLICA)

    def _miss(self, shard: int, reason: SubOutcome) -> None:
        self._open_by_shard.pop(shard, None)
        self._note_miss(shard, reason)

    def _next_wake(self) -> Millis:
        stop_at = min([self._stop_at(), *self._again_at_by_shard.values()])
        delay = self._hedge_delay()
        if delay is None:
            return stop_at
        due = self._oldest_send + delay
        return Millis(min(stop_at, max(due, self._no_hedge_before)))

    def _hedgeable(self) -> list[ShardState]:
        return [s for s in self._open_by_shard.values() if s.attempts and s.hedges < MAX_HEDGES]

    def _hedge_late(self) -> None:
        """Send a second sub-request for each shard past the hedge delay, within the budget."""
        delay = self._hedge_delay()
        if delay is None:
            return
        now = self._tools.clock.now()
        hedgeable = self._hedgeable()
        sends = [state.attempts[-1].sent_at for state in hedgeable]
        self._oldest_send = min(sends, default=Millis(math.inf))
        for state in hedgeable:
            is_due = now >= state.attempts[-1].sent_at + delay  # as in _next_wake, to the last bit
            if is_due and not self._hedge(state, delay):
                self._no_hedge_before = Millis(now + HEDGE_RECHECK)
