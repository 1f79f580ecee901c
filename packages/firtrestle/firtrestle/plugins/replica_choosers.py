"""Provide the replica choosers: random, and by load and latency."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from firtrestle.clocks import Millis
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.replicas import Replica

if TYPE_CHECKING:
    from firtrestle.kernels import Kernel

MIN_SAMPLES = 8  # before a replica's latency is used
DEFAULT_LATENCY = Millis(5)
MIN_SUCCESS_SHARE = 0.05  # bounds the cost of a replica that sheds everything
REMOTE_COST_FACTOR = 2.0  # bandwidth between data centres is scarce, but balance comes first
# Of a replica that is slow for other daemons; one that sheds most of its load costs more.
SLOW_COST_FACTOR = 4.0
# Of a replica that is failing for other daemons, unless this one has seen a lower share. It makes
# the replica four times as costly, like a slow one.
MAX_FAILING_SUCCESS_SHARE = 0.5
QUEUE_HINT_WEIGHT = 0.25  # below 1, as the reported queue is slightly out of date


class RandomReplica(ReplicaChooser):
    """Pick a replica at random; the baseline."""

    name = "random"

    def choose(self, replicas: Sequence[Replica]) -> Replica | None:
        return self._rng.choice(replicas) if replicas else None


class LeastInFlight(ReplicaChooser):
    """Prefer the lowest load times latency, skipping ejected replicas while others are left."""

    name = "least-in-flight"

    def choose(self, replicas: Sequence[Replica]) -> Replica | None:
        if not replicas:
            return None
        now = self._clock.now()
        usable = [replica for replica in replicas if not replica.is_ejected(now)]
        return min(usable or replicas, key=self._rank)

    def _rank(self, replica: Replica) -> tuple[float, float]:
        load = 1 + replica.in_flight + replica.queue(self._clock.now()) * QUEUE_HINT_WEIGHT
        latency = replica.latency if replica.samples >= MIN_SAMPLES else DEFAULT_LATENCY
        return load * max(latency, 0.1) * self._warm_up_factor(replica), self._rng.random()

    def _warm_up_factor(self, replica: Replica) -> float:
        """Return the slow-start factor, which falls from 3 to 1 for a new replica."""
        age = self._clock.now() - replica.first_seen_at
        if replica.samples >= MIN_SAMPLES or age >= self._settings.slow_start_ms:
            return 1.0
        return 3.0 - 2.0 * age / self._settings.slow_start_ms


class AgedLeastInFlight(LeastInFlight):
    """Rank by load, latency and success.

    Without traffic, a replica's latency fades to that of the fastest one and its success to 1, so
    that it is tried again.
    """

    name = "aged-least-in-flight"

    def choose(self, replicas: Sequence[Replica]) -> Replica | None:
        if not replicas:
            return None
        now = self._clock.now()
        usable = [replica for replica in replicas if not replica.is_ejected(now)] or list(replicas)
        trusted = [replica.latency for replica in usable if replica.samples >= MIN_SAMPLES]
        floor = min(trusted, default=DEFAULT_LATENCY)
        return min(usable, key=lambda replica: self._aged_rank(replica, floor, now))

    def _aged_rank(self, replica: Replica, floor: Millis, now: Millis) -> tuple[float, float]:
        load = 1 + replica.in_flight + replica.queue(now) * QUEUE_HINT_WEIGHT
        latency = replica.latency if replica.samples else floor
        aged = max(floor, floor + (latency - floor) * replica.observation_weight(now))
        success = max(MIN_SUCCESS_SHARE, replica.expected_success(now))
        if replica.is_reported_failing(now):
            success = min(success, MAX_FAILING_SUCCESS_SHARE)
        cost = load * max(aged, 0.1) / success**2 * self._warm_up_factor(replica)
        if replica.is_reported_slow(now):
            cost *= SLOW_COST_FACTOR
        return cost * (REMOTE_COST_FACTOR if replica.is_remote else 1.0), self._rng.random()


def register(kernel: Kernel) -> None:
    """Add the choosers to the kernel."""
    kernel.choosers.add(RandomReplica)
    kernel.choosers.add(LeastInFlight)
    kernel.choosers.add(AgedLeastInFlight)
