"""Say which instances of a service may be asked now, and when the others may be."""

from __future__ import annotations

from loguru import logger

from firtrestle.backoffs import NO_PAUSE, Backoffs
from firtrestle.clocks import Clock, Millis
from firtrestle.instances import Instance, Instances
from firtrestle.outcomes import SubOutcome
from firtrestle.rate_limits import RateLimits
from firtrestle.replica_subsets import ReplicaSubsets
from firtrestle.replicas import Replica, Replicas
from firtrestle.snapshots import ReplicaId
from firtrestle.warm_ups import WarmUps

MIN_SUBSET_SUCCESS_SHARE = 0.7  # below it, a replica is replaced in the subset
# A shard given up for one of these was refused by all instances that could be asked.
UNSENT_REASONS = frozenset({SubOutcome.NO_REPLICA, SubOutcome.SHED})


class Availability:
    """Combine what is known of instances.

    These are registrations, departures, pauses, rates, warm-ups and failures. A cold instance stays
    in the subset, also if this daemon has no permit for it: nearly all daemons would replace it at
    the same time, and exceed the connection limits of the others.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        instances: Instances,
        replicas: Replicas,
        subsets: ReplicaSubsets,
        backoffs: Backoffs,
        rate_limits: RateLimits,
        warm_ups: WarmUps,
    ) -> None:
        self._clock = clock
        self._data_centre = data_centre
        self._instances = instances
        self._replicas = replicas
        self._subsets = subsets
        self._backoffs = backoffs
        self._rate_limits = rate_limits
        self._warm_ups = warm_ups
        self._last_serving_by_service: dict[str, tuple[Instance, ...]] = {}

    def serving(self, service: str) -> tuple[Instance, ...]:
        """Return the instances of a service that may get new requests.

        Update `is_remote` on their replica records whenever the list has changed.
        """
        serving = self._instances.serving(service)
        if serving and self._last_serving_by_service.get(service) is not serving:
            self._last_serving_by_service[service] = serving
            for instance in serving:
                record = self._replicas.get(instance.replica_id)
                record.is_remote = instance.data_centre != self._data_centre
        return serving

    def is_usable(self, service: str) -> bool:
        """Return whether an instance of a service takes requests now."""
        return bool(self.serving(service)) and not self.pause(service)

    def replica_ids(self, service: str, connection_limit: int) -> list[ReplicaId]:
        """Return the instances of a service that this daemon uses."""
        serving = self.serving(service)
        chosen = self._subsets.choose(serving, connection_limit, self._is_healthy)
        if len(chosen) < len(serving) and all(map(self._is_failing, chosen)):
            # Only then, as all daemons have this verdict: those that use an instance that is not
            # failing would otherwise all move to the others, beyond their connection limits.
            chosen = self._subsets.choose(serving, connection_limit, self._is_sound)
        is_limited = not (self._rate_limits.is_empty and self._warm_ups.is_empty)
        if is_limited and all(self.wait(instance.replica_id) for instance in chosen):
            chosen = list(serving)
        return [instance.replica_id for instance in chosen]

    def pause(self, service: str) -> Millis:
        """Return how long all instances of a service want no requests, 0 if one takes some."""
        if not self._some_hold_back:
            return NO_PAUSE
        serving = self.serving(service)
        return min((self.wait(instance.replica_id) for instance in serving), default=NO_PAUSE)

    def unsent_pause(self, service: str, reason: SubOutcome, request_id: str) -> Millis:
        """Return how long a request given up for a reason is to wait for a service's instances."""
        pause = self.pause(service) if reason in UNSENT_REASONS else NO_PAUSE
        if pause and not self._warm_ups.is_empty:
            logger.bind(
                request_id=request_id,
                service=service,
                wait_ms={
                    instance.id: round(self.wait(instance.replica_id))
                    for instance in self.serving(service)
                },
            ).debug("shard refused, none of its instances takes a request")
        return pause

    def wait(self, replica_id: ReplicaId) -> Millis:
        """Return how long an instance wants no request from this daemon, 0 if it takes one."""
        if not self._some_hold_back:
            return NO_PAUSE
        return max(
            self._backoffs.left(replica_id),
            self._rate_limits.wait(replica_id),
            self._warm_ups.wait(replica_id),
        )

    def has_capacity(self, replica: Replica) -> bool:
        """Return whether a replica may get one more request of this daemon now."""
        return replica.has_capacity() and not self.wait(replica.id)

    def take(self, replica_id: ReplicaId, connection_limit: int) -> tuple[Instance, int] | None:
        """Use a permit of an instance; return it and its connections, None if it is gone."""
        instance = self._instances.get(replica_id)
        if instance is None:
            return None
        self._rate_limits.spend(replica_id)
        self._warm_ups.spend(replica_id)
        replicas = len(self._instances.serving(instance.service))
        return instance, self._subsets.plan(connection_limit, replicas).connections

    @property
    def _some_hold_back(self) -> bool:
        """Return whether any instance may want no request from this daemon now."""
        return not (
            self._backoffs.is_empty and self._rate_limits.is_empty and self._warm_ups.is_empty
        )

    def _is_sound(self, instance: Instance) -> bool:
        return self._is_healthy(instance) and not self._is_failing(instance)

    def _is_failing(self, instance: Instance) -> bool:
        return self._replicas.get(instance.replica_id).is_reported_failing(self._clock.now())

    def _is_healthy(self, instance: Instance) -> bool:
        """Return whether a replica is healthy enough to stay in this daemon's subset."""
        now = self._clock.now()
        record = self._replicas.get(instance.replica_id)
        return (
            not record.is_ejected(now)
            and not record.is_reported_slow(now)
            and record.expected_success(now) >= MIN_SUBSET_SUCCESS_SHARE
            and not self._backoffs.left(instance.replica_id)
        )
