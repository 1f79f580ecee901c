"""Register the replica choosers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from firtrestle.clocks import Millis
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.replicas import Replica

if TYPE_CHECKING:
    from firtrestle.kernels import Kernel

MIN_SAMPLES = 8  # replies before a replica's latency is trusted
TYPICAL_LATENCY = Millis(5)
LEAST_SUCCESS = 0.05  # so that a replica that sheds all is still comparable
FAR_FACTOR = 2.0  # for another data centre: bytes between them are scarce, balance comes first
HINT_WEIGHT = 0.25  # of the queue that the holder reports, which is a moment old


class RandomReplica(ReplicaChooser):
    """Pick any replica; the baseline."""

    name = "random"
    passes_over_failing = False

    def choose(self, replicas: Sequence[Replica]) -> Replica | None:
        return self._rng.choice(replicas) if replicas else None


class LeastInFlight(ReplicaChooser):
    """Prefer few requests in flight weighted by latency, passing over failing replicas."""

    name = "least-in-flight"

    def choose(self, replicas: Sequence[Replica]) -> Replica | None:
        if not replicas:
            return None
        now = self._clock.now()
        fit = [replica for replica in replicas if not replica.is_ejected(now)]
        return min(fit or replicas, key=self._rank)

    def _rank(self, replica: Replica) -> tuple[float, float]:
        load = 1 + replica.in_flight + replica.queue(self._clock.now()) * HINT_WEIGHT
        latency = replica.latency if replica.samples >= MIN_SAMPLES else TYPICAL_LATENCY
        return load * max(latency, 0.1) * self._warm_up_factor(replica), self._rng.random()

    def _warm_up_factor(self, replica: Replica) -> float:
        """Return a factor above 1 for a replica seen first a moment ago."""
        age = self._clock.now() - replica.seen_at
        if replica.samples >= MIN_SAMPLES or age >= self._settings.slow_start_ms:
            return 1.0
        return 3.0 - 2.0 * age / self._settings.slow_start_ms


class AgedLeastInFlight(LeastInFlight):
    """Rank as its base does, but let what is known of a replica fade while it gets no work."""

    name = "aged-least-in-flight"

    def choose(self, replicas: Sequence[Replica]) -> Replica | None:
        if not replicas:
            return None
        now = self._clock.now()
        fit = [one for one in replicas if not one.is_ejected(now)] or list(replicas)
        trusted = [one.latency for one in fit if one.samples >= MIN_SAMPLES]
        floor = min(trusted, default=TYPICAL_LATENCY)
        return min(fit, key=lambda one: self._aged_rank(one, floor, now))

    def _aged_rank(self, replica: Replica, floor: Millis, now: Millis) -> tuple[float, float]:
        load = 1 + replica.in_flight + replica.queue(now) * HINT_WEIGHT
        latency = replica.latency if replica.samples else floor
        aged = max(floor, floor + (latency - floor) * replica.belief(now))
        success = max(LEAST_SUCCESS, replica.likely_success(now))
        cost = load * max(aged, 0.1) / success**2 * self._warm_up_factor(replica)
        return cost * (FAR_FACTOR if replica.far else 1.0), self._rng.random()


def register(kernel: Kernel) -> None:
    """Add the choosers to the kernel."""
    kernel.choosers.add(RandomReplica)
    kernel.choosers.add(LeastInFlight)
    kernel.choosers.add(AgedLeastInFlight)
