"""Keep requests to instances in need within the rates that they take from all daemons together."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis
from firtrestle.snapshots import ReplicaId

if TYPE_CHECKING:
    from firtrestle.instances import Instance

RETENTION = Millis(30_000)  # since the last reply that named a limit
# An unused permit expires after this time, which bounds what all daemons may send at once.
PERMIT_LIFETIME = Millis(1_500)
NO_WAIT = Millis(0)

CountUsers = Callable[["Instance"], float]


@dataclass(slots=True)
class _Limit:
    """Represent the limit that one lifetime of an instance names, and this daemon's part of it."""

    rate: float  # requests a second, from all daemons together
    interval: Millis  # between two permits of this daemon
    next_at: Millis  # when the oldest permit that is not used became or becomes valid
    named_at: Millis  # by the last reply that named it

    def drop_expired(self, now: Millis) -> None:
        """Drop permits that were not used in time, and keep those that follow in their places."""
        late = now - PERMIT_LIFETIME - self.next_at
        if late > 0:
            self.next_at = Millis(self.next_at + math.ceil(late / self.interval) * self.interval)

    def change_interval(self, interval: Millis, now: Millis) -> None:
        """Space the permits anew; the wait for the next one changes in proportion."""
        if math.isinf(interval):
            self.next_at = interval
        elif self.next_at > now:
            factor = 1.0 if math.isinf(self.interval) else interval / self.interval
            left = min(Millis(self.next_at - now), self.interval)
            self.next_at = Millis(now + min(left * factor, interval))
        self.interval = interval


class RateLimits:
    """Grant this daemon's part of the rates that instances name in their replies.

    A rate is divided evenly among the daemons that use the instance. Each spaces its permits at
    equal distances, from a random moment on, so that the sum over all daemons is even too, also if
    each has one permit in several seconds only.
    """

    def __init__(self, clock: Clock, rng: random.Random, count_users: CountUsers) -> None:
        self._clock = clock
        self._rng = rng
        self._count_users = count_users
        self._limit_by_replica: dict[ReplicaId, _Limit] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no limit is known."""
        return not self._limit_by_replica

    def record(self, instance: Instance, request_id: str, rate: float) -> None:
        """Record that a reply named a limit, in requests a second from all daemons together."""
        now = self._clock.now()
        users = self._count_users(instance)
        interval = Millis(users * MILLIS_PER_SECOND / rate if rate > 0 else math.inf)
        limit = self._limit_by_replica.get(instance.replica_id)
        if limit is None or limit.rate != rate:
            self._log_change(instance, request_id, rate, users)
        if limit is None:
            first_at = now + interval * self._rng.uniform(0.0, 1.0)
            limit = _Limit(rate, interval, Millis(first_at), now)
            self._limit_by_replica[instance.replica_id] = limit
        elif limit.interval != interval:
            limit.change_interval(interval, now)
        limit.rate = rate
        limit.named_at = now

    def lift(self, instance: Instance, request_id: str) -> None:
        """Record that an instance replied without naming a limit."""
        if self._limit_by_replica.pop(instance.replica_id, None) is not None:
            self._log_change(instance, request_id, None, None)

    def wait(self, replica_id: ReplicaId) -> Millis:
        """Return the time until a request may be sent to an instance, 0 for now."""
        limit = self._limit_by_replica.get(replica_id)
        if limit is None:
            return NO_WAIT
        now = self._clock.now()
        limit.drop_expired(now)
        return Millis(max(0.0, min(limit.next_at, limit.named_at + RETENTION) - now))

    def spend(self, replica_id: ReplicaId) -> None:
        """Use a permit, for a request that is sent to an instance now."""
        limit = self._limit_by_replica.get(replica_id)
        if limit is not None:
            limit.next_at = Millis(limit.next_at + limit.interval)

    def count(self) -> int:
        """Return the number of instances with a limit."""
        return len(self._limit_by_replica)

    def expire(self) -> None:
        """Forget limits that no reply has named for long."""
        oldest = self._clock.now() - RETENTION
        for replica_id, limit in list(self._limit_by_replica.items()):
            if limit.named_at <= oldest:
                del self._limit_by_replica[replica_id]

    def _log_change(
        self, instance: Instance, request_id: str, rate: float | None, users: float | None
    ) -> None:
        logger.bind(
            instance=instance.id,
            service=instance.service,
            request_id=request_id,
            rate=rate,
            users=users,
        ).info("instance limits its rate" if rate is not None else "instance lifts its limit")
