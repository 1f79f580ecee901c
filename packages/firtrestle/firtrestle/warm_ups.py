"""Keep requests to cold instances within the bound that holds for all daemons together.

Each daemon decides by itself. A bound of so many requests in any second is divided among all
daemons that were ever known, in an order that depends on the instance. Each sends at most its part
in any interval that is a little longer than a second, so that the sum over all daemons is within
the bound, whichever of them crash, are cut off or get no requests.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.known_daemons import KnownDaemons
from firtrestle.rendezvous import rank
from firtrestle.routes import RouteTable
from firtrestle.settings import RouteSettings
from firtrestle.snapshots import ReplicaId

# The bound holds for any second; 50 ms cover clocks that differ in speed, and late timers.
PERMIT_INTERVAL = Millis(1_050)
# Added to each warm-up, so that a reading that is late by less needn't be published anew.
END_MARGIN = Millis(300)
NO_WAIT = Millis(0)
ROUNDING = 1e-9  # keeps a product that is a whole number from being rounded down

FindService = Callable[[ReplicaId], str | None]


@dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """Represent how far a cold instance may be loaded beyond the rate that it can bear."""

    overage: float
    slack: float

    @classmethod
    def from_config(cls, settings: RouteSettings) -> WarmUpBounds | None:
        """Build from the settings; None if they bound nothing."""
        if settings.warm_up_overage is None:
            return None
        return cls(settings.warm_up_overage, settings.warm_up_slack)

    def max_requests(self, rate: float) -> int:
        """Return how many requests a cold instance that bears a rate may get in any second."""
        return math.floor(rate * self.overage + self.slack + ROUNDING)


def share_of_bound(bound: int, place: int, daemons: int) -> int:
    """Return the part of a bound of the daemon at a place, from 0, among all daemons."""
    each, rest = divmod(bound, daemons)
    return each + (place < rest)


@dataclass(slots=True)
class _SendWindow:
    """Keep the times of the last sends, to allow so many in any interval."""

    times: deque[Millis] = field(default_factory=deque)

    def wait(self, share: int, now: Millis) -> Millis:
        """Return the time until one more send is within the share, which is above 0."""
        if len(self.times) < share:
            return NO_WAIT
        return Millis(max(0.0, self.times[-share] + PERMIT_INTERVAL - now))

    def add(self, now: Millis) -> None:
        """Add a send."""
        while self.times and now - self.times[0] >= PERMIT_INTERVAL:
            self.times.popleft()
        self.times.append(now)


@dataclass(slots=True)
class _WarmUp:
    """Represent the warm-up of one lifetime of an instance, and what this daemon sent to it.

    A request may wait for a connection after it was granted. So requests are counted twice: as they
    are granted, and as they are written.
    """

    ends_at: Millis
    granted: _SendWindow = field(default_factory=_SendWindow)
    sent: _SendWindow = field(default_factory=_SendWindow)
    share: int = 0
    share_basis: tuple[int, int] | None = None  # the bound and the number of daemons


class WarmUps:
    """Grant this daemon's part of the requests that cold instances may get."""

    def __init__(
        self,
        clock: Clock,
        daemons: KnownDaemons,
        bounds: WarmUpBounds | None,
        find_service: FindService,
    ) -> None:
        self.bounds = bounds
        self.sent = 0
        self.refused = 0
        self._clock = clock
        self._daemons = daemons
        self._find_service = find_service
        self._bound_by_service: dict[str, int] = {}
        self._by_replica: dict[ReplicaId, _WarmUp] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no instance is known to be cold."""
        return not self._by_replica

    def apply(self, table: RouteTable) -> None:
        """Use the bounds of the services of a desired state."""
        if self.bounds is not None:
            self._bound_by_service = {
                name: self.bounds.max_requests(terms.warm_up_rate)
                for name, terms in table.terms_by_service.items()
                if terms.warm_up_rate > 0
            }

    def is_bounded(self, service: str) -> bool:
        """Return whether the cold instances of a service have a bound."""
        return service in self._bound_by_service

    def record(self, replica_id: ReplicaId, left: Millis) -> None:
        """Record how long an instance stays cold from now on, 0 if it is warm."""
        now = self._clock.now()
        known = self._by_replica.get(replica_id)
        known_left = Millis(max(0.0, known.ends_at - now)) if known is not None else NO_WAIT
        ends_at = Millis(now + left + END_MARGIN)
        if not left:
            self._by_replica.pop(replica_id, None)
        elif known is not None:
            known.ends_at = ends_at
        else:
            self._by_replica[replica_id] = _WarmUp(ends_at)
        logger.bind(
            instance=replica_id.target_id,
            service=self._find_service(replica_id),
            left_ms=round(left),
            known_left_ms=round(known_left),
        ).info("instance is cold" if left else "instance has warmed up")

    def wait(self, replica_id: ReplicaId) -> Millis:
        """Return the time until a request may be sent to an instance, 0 for now.

        For a daemon without a part, it is the time in which others get their next permits.
        """
        warm_up, bound = self._find(replica_id)
        if warm_up is None or bound is None:
            return NO_WAIT
        now = self._clock.now()
        left = Millis(warm_up.ends_at - now)
        share = self._share(replica_id, warm_up, bound)
        if not share:
            return min(left, PERMIT_INTERVAL)
        return min(left, max(warm_up.granted.wait(share, now), warm_up.sent.wait(share, now)))

    def spend(self, replica_id: ReplicaId) -> None:
        """Use a permit, for a request that is to be sent to an instance."""
        warm_up, bound = self._find(replica_id)
        if warm_up is not None and bound is not None:
            warm_up.granted.add(self._clock.now())

    def claim(self, replica_id: ReplicaId, request_id: str) -> bool:
        """Return whether a request may be written to an instance now, and count it if so.

        It may have been granted long ago, or before the instance became cold.
        """
        warm_up, bound = self._find(replica_id)
        if warm_up is None or bound is None:
            return True
        now = self._clock.now()
        share = self._share(replica_id, warm_up, bound)
        is_granted = share > 0 and not warm_up.sent.wait(share, now)
        if is_granted:
            warm_up.sent.add(now)
            self.sent += 1
        else:
            self.refused += 1
        logger.bind(
            request_id=request_id,
            instance=replica_id.target_id,
            left_ms=round(warm_up.ends_at - now),
            bound=bound,
            daemons=len(self._daemons.ids),
            share=share,
            granted=is_granted,
        ).debug("request to a cold instance")
        return is_granted

    def count(self) -> int:
        """Return the number of instances that are cold and have a bound."""
        return sum(None not in self._find(replica_id) for replica_id in self._by_replica)

    def counts(self) -> dict[str, int]:
        """Return the numbers for metrics, by name."""
        return {"cold": self.count(), "sent": self.sent, "refused": self.refused}

    def expire(self) -> None:
        """Forget the warm-ups that are over; to be called regularly."""
        self._daemons.has_settled()  # noted before a partition, it holds in it
        now = self._clock.now()
        for replica_id in [id_ for id_, known in self._by_replica.items() if known.ends_at <= now]:
            late = round(now - self._by_replica.pop(replica_id).ends_at)
            logger.bind(instance=replica_id.target_id, late_ms=late).info("warm-up is over")

    def _find(self, replica_id: ReplicaId) -> tuple[_WarmUp | None, int | None]:
        """Return an instance's warm-up unless it is over, and its bound unless it has none."""
        warm_up = self._by_replica.get(replica_id)
        if warm_up is None or self._clock.now() >= warm_up.ends_at:
            return None, None
        service = self._find_service(replica_id)
        return warm_up, self._bound_by_service.get(service) if service is not None else None

    def _share(self, replica_id: ReplicaId, warm_up: _WarmUp, bound: int) -> int:
        """Return how many requests this daemon may send to an instance in any interval."""
        daemons = self._daemons
        if not daemons.has_settled():
            return 0
        basis = (bound, len(daemons.ids))
        if warm_up.share_basis != basis:
            key = f"warm-up/{replica_id.target_id}/{replica_id.searcher}"
            place = rank(key, daemons.ids).index(daemons.own_id)
            warm_up.share = share_of_bound(bound, place, len(daemons.ids))
            warm_up.share_basis = basis
        return warm_up.share
