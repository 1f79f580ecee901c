"""Track the request rates that instances in need take from all daemons together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.snapshots import ReplicaId

if TYPE_CHECKING:
    from firtrestle.instances import Instance

RETENTION = Millis(30_000)  # since the last reply that named a limit


@dataclass(slots=True)
class _Limit:
    """Represent the limit that one lifetime of an instance names in its replies."""

    rate: float  # requests a second, from all daemons together
    named_at: Millis  # by the last reply that named it


class RateLimits:
    """Record the limits that instances name in their replies to this daemon."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limit_by_replica: dict[ReplicaId, _Limit] = {}

    def record(self, instance: Instance, request_id: str, rate: float) -> None:
        """Record that a reply named a limit, in requests a second from all daemons together."""
        now = self._clock.now()
        limit = self._limit_by_replica.get(instance.replica_id)
        if limit is None or limit.rate != rate:
            self._log_change(instance, request_id, rate)
        self._limit_by_replica[instance.replica_id] = _Limit(rate, now)

    def lift(self, instance: Instance, request_id: str) -> None:
        """Record that an instance replied without naming a limit."""
        if self._limit_by_replica.pop(instance.replica_id, None) is not None:
            self._log_change(instance, request_id, None)

    def count(self) -> int:
        """Return the number of instances with a limit."""
        return len(self._limit_by_replica)

    def expire(self) -> None:
        """Forget limits that no reply has named for long."""
        oldest = self._clock.now() - RETENTION
        for replica_id, limit in list(self._limit_by_replica.items()):
            if limit.named_at < oldest:
                del self._limit_by_replica[replica_id]

    def _log_change(self, instance: Instance, request_id: str, rate: float | None) -> None:
        logger.bind(
            instance=instance.id,
            service=instance.service,
            request_id=request_id,
            rate=rate,
        ).info("instance limits its rate" if rate is not None else "instance lifts its limit")
