"""Scatter one request over shards and gather the replies, for any kind of shard."""

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

MAX_HEDGES_PER_SHARD = 2  # the second may go to a replica that was already tried
HEDGE_RECHECK_INTERVAL = Millis(20)  # after a due hedge could not be sent
BUSY_RECHECK_INTERVAL = Millis(3)  # after hedges were due while replies may have been unread


class BaseGatherTools(Protocol):
    """Group the components that every kind of gather needs."""

    clock: Clock
    rng: random.Random
    replicas: Replicas
    chooser: ReplicaChooser


class Gather:
    """Run one scatter: send, hedge, retry, and stop in time.

    A subclass defines what a sub-request is, how replies are merged, how failures are handled,
    what a repeat costs and when to stop.
    """

    def __init__(self, tools: BaseGatherTools) -> None:
        self._tools = tools
        self._open_by_shard: dict[int, ShardState] = {}
        self._no_hedge_before = Millis(0)
        self._started_at = tools.clock.now()
        self._reply_sender, self._reply_receiver = trio.open_memory_channel(math.inf)
        self._resend_at_by_shard: dict[int, Millis] = {}
        self._oldest_sent_at = Millis(math.inf)  # no later than the last attempt of any open shard
        self._opened = 0  # shards, over time
        self._sends = 0

    @property
    def open_shards(self) -> int:
        """Return how many shards have neither a reply nor been given up."""
        return len(self._open_by_shard)

    @property
    def queued_replies(self) -> int:
        """Return how many replies have been read, but not handled."""
        return self._reply_receiver.statistics().current_buffer_used

    async def _gather(self, shards: Sequence[int]) -> None:
        """Query the shards until each has replied or is given up, or until it is time to stop."""
        self._open_by_shard = {}
        self._open(shards)
        try:
            self._send_first()
            while self._is_open() and not self._should_stop():
                if self._tools.clock.now() >= self._stop_at():
                    break
                await self._step()
        finally:
            self._cancel_all()

    @property
    def work_done(self) -> float:
        """Return the sub-requests worked on here; sending and closing are half of one each."""
        return (self._sends + self._opened - len(self._open_by_shard)) / 2

    def _open(self, shards: Sequence[int]) -> None:
        """Add shards to those whose replies are awaited."""
        self._opened += len(shards)
        for shard in shards:
            self._open_by_shard[shard] = ShardState(shard)

    def _is_open(self) -> bool:
        """Return whether a reply is still awaited."""
        return bool(self._open_by_shard)

    def _send_first(self) -> None:
        """Send the first attempt of each shard."""
        for shard in list(self._open_by_shard):
            self._send_or_give_up(shard)

    def _replica_ids(self, shard: int) -> Sequence[ReplicaId]:
        """Return the replicas that currently serve a shard."""
        raise NotImplementedError

    def _next_attempt_number(self) -> int:
        """Return the number of the next attempt."""
        raise NotImplementedError

    def _start(self, attempt: Attempt) -> Cancellable:
        """Send an attempt's sub-request, whose reply goes to `_deliver`."""
        raise NotImplementedError

    def _checked_outcome(self, attempt: Attempt, reply: Any) -> SubOutcome:
        """Check a reply against the attempt that it answers, and return the outcome."""
        raise NotImplementedError

    def _handle_success(
        self, state: ShardState, attempt: Attempt, reply: Any, latency: Millis
    ) -> None:
        """Merge the reply of a shard that has just been closed."""
        raise NotImplementedError

    def _handle_failure(
        self, state: ShardState, attempt: Attempt, reply: Any, outcome: SubOutcome
    ) -> None:
        """Retry a shard, or give it up, after an attempt failed."""
        raise NotImplementedError

    def _record_missing(self, shard: int, reason: SubOutcome) -> None:
        """Record that a shard was given up."""
        raise NotImplementedError

    def _should_stop(self) -> bool:
        """Return whether waiting for more replies is pointless."""
        raise NotImplementedError

    def _stop_at(self) -> Millis:
        """Return the time at which to stop waiting for replies."""
        raise NotImplementedError

    def _hedge_delay(self) -> Millis | None:
        """Return the time after sending from which a shard is hedged, None for not yet."""
        raise NotImplementedError

    def _awaited_since(self, attempt: Attempt) -> Millis:
        """Return the time from which an attempt's reply is awaited."""
        return attempt.sent_at

    def _has_read_all_replies(self) -> bool:
        """Return whether a shard without a reply waits for its replica, not for this daemon."""
        return True

    def _try_hedge(self, state: ShardState, delay: Millis) -> bool:
        """Hedge a late shard if that is allowed; return False if it is to be checked again."""
        raise NotImplementedError

    async def _step(self) -> None:
        """Handle the replies that arrive, or resend and hedge when none arrives in time."""
        with move_on_after(Millis(self._next_wake() - self._tools.clock.now())):
            self._handle_reply(*await self._reply_receiver.receive())
            self._handle_queued_replies()
            return
        self._resend_due()
        self._hedge_stragglers()

    def _handle_queued_replies(self) -> None:
        """Handle the replies already queued, without a pass of the gather loop for each."""
        while self._is_open() and not self._should_stop():
            try:
                attempt, reply = self._reply_receiver.receive_nowait()
            except trio.WouldBlock:
                return
            self._handle_reply(attempt, reply)

    def _cancel_all(self) -> None:
        for state in self._open_by_shard.values():
            for attempt in state.attempts:
                attempt.cancel()

    def _send_or_give_up(self, shard: int, repeat: bool = False) -> None:
        if not self._send_next(shard, repeat):
            self._give_up_shard(shard, SubOutcome.NO_REPLICA)

    def _send_next(self, shard: int, repeat: bool = False) -> bool:
        """Send a shard's sub-request to its best untried replica; return False if there is none.

        Replicas on untried targets come first; with `repeat`, tried replicas are used as well
        when no untried one is left.
        """
        state = self._open_by_shard[shard]
        ids = self._replica_ids(shard)
        untried = [id_ for id_ in ids if id_ not in state.tried_ids] or (ids if repeat else [])
        other_targets = self._on_untried_targets(state, untried)
        records = [self._tools.replicas.get(id_) for id_ in other_targets or untried]
        replica = self._tools.chooser.choose(
            [record for record in records if self._has_capacity(record)]
        )
        if replica is None:
            return False
        self._sends += 1
        state.tries += 1
        state.tried_ids.add(replica.id)
        attempt = Attempt(self._next_attempt_number(), shard, replica, self._tools.clock.now())
        state.attempts.append(attempt)
        self._oldest_sent_at = min(self._oldest_sent_at, attempt.sent_at)
        replica.in_flight += 1
        attempt.call = self._start(attempt)
        return True

    def _has_capacity(self, replica: Replica) -> bool:
        """Return whether a replica may get one more sub-request."""
        return True

    def _deliver(self, attempt: Attempt, reply: Any) -> None:
        attempt.release_load()
        self._reply_sender.send_nowait((attempt, reply))

    def _delivery_callback(self, attempt: Attempt) -> partial[None]:
        return partial(self._deliver, attempt)

    def _on_untried_targets(self, state: ShardState, ids: Sequence[ReplicaId]) -> list[ReplicaId]:
        tried_targets = {id_.target_id for id_ in state.tried_ids}
        return [id_ for id_ in ids if id_.target_id not in tried_targets]

    def _handle_reply(self, attempt: Attempt, reply: Any) -> None:
        now = self._tools.clock.now()
        latency = Millis(now - self._awaited_since(attempt))
        outcome = self._checked_outcome(attempt, reply)
        attempt.replica.record_outcome(outcome, latency, reply.queue, now)
        state = self._open_by_shard.get(attempt.shard)
        if state is None:
            return
        state.attempts.remove(attempt)
        if outcome is SubOutcome.OK:
            del self._open_by_shard[attempt.shard]
            self._handle_success(state, attempt, reply, latency)
        else:
            self._handle_failure(state, attempt, reply, outcome)

    def _schedule_resend(self, shard: int, pause: Millis) -> None:
        self._resend_at_by_shard[shard] = Millis(self._tools.clock.now() + pause)

    def _resend_due(self) -> None:
        """Resend each shard whose retry pause is over."""
        now = self._tools.clock.now()
        for shard in [s for s, at in self._resend_at_by_shard.items() if now >= at]:
            del self._resend_at_by_shard[shard]
            state = self._open_by_shard.get(shard)
            waits = state is not None and not state.attempts
            if waits and not self._send_next(shard, repeat=True):
                self._give_up_shard(shard, SubOutcome.NO_REPLICA)

    def _give_up_shard(self, shard: int, reason: SubOutcome) -> None:
        self._open_by_shard.pop(shard, None)
        self._record_missing(shard, reason)

    def _next_wake(self) -> Millis:
        stop_at = min([self._stop_at(), *self._resend_at_by_shard.values()])
        delay = self._hedge_delay()
        if delay is None:
            return stop_at
        due = self._oldest_sent_at + delay
        return Millis(min(stop_at, max(due, self._no_hedge_before)))

    def _hedge_candidates(self) -> list[ShardState]:
        return [
            s
            for s in self._open_by_shard.values()
            if s.attempts and s.hedges < MAX_HEDGES_PER_SHARD
        ]

    def _hedge_stragglers(self) -> None:
        """Hedge each shard whose last attempt is older than the hedge delay, within the budget."""
        delay = self._hedge_delay()
        if delay is None:
            return
        now = self._tools.clock.now()
        if not self._has_read_all_replies():
            self._no_hedge_before = Millis(now + BUSY_RECHECK_INTERVAL)
            return
        hedgeable = self._hedge_candidates()
        sends = [self._awaited_since(state.attempts[-1]) for state in hedgeable]
        self._oldest_sent_at = min(sends, default=Millis(math.inf))
        for state, sent_at in zip(hedgeable, sends, strict=True):
            # The same sum as in _next_wake: any other rounding could wake it again and again.
            is_due = now >= sent_at + delay
            if is_due and not self._try_hedge(state, delay):
                self._no_hedge_before = Millis(now + HEDGE_RECHECK_INTERVAL)
