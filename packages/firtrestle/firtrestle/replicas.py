"""Track load, latency and failures of each replica as seen from this daemon."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.snapshots import ReplicaId

NEWEST_LATENCY_WEIGHT = 0.2  # in the moving mean
NEWEST_OUTCOME_WEIGHT = 0.15  # in the moving share of successes
EJECTION_RESET_SUCCESSES = 16  # successes after which the next ejection is a short one again
OBSERVATION_HALF_LIFE = Millis(1_500)  # for observations of a replica without traffic
QUEUE_HINT_TTL = Millis(40)
MAX_IN_FLIGHT_LIMIT = 16.0  # exceeds one daemon's part of an instance's slots and queue
MIN_IN_FLIGHT_LIMIT = 1.0  # keeps some traffic, so that a recovery is noticed
CONSECUTIVE_LOSSES_TO_EJECT = 2  # a healthy replica's pause seldom delays two requests of a daemon
MIN_EJECTION = Millis(500)
MAX_EJECTION = Millis(10_000)

FAILURES = frozenset(
    {SubOutcome.UNREACHABLE, SubOutcome.DIED, SubOutcome.BAD_REPLY, SubOutcome.REFUSED}
)


@dataclass(slots=True)
class Replica:
    """Track one replica's load and outcomes as seen from this daemon."""

    id: ReplicaId
    first_seen_at: Millis
    in_flight: int = 0
    queue_hint: int = 0
    queue_hint_at: Millis = Millis(0)
    observed_at: Millis = Millis(0)
    answered_at: Millis = Millis(0)
    latency: Millis = Millis(0)
    samples: int = 0
    ejected_until: Millis = Millis(0)
    reported_slow_until: Millis = Millis(0)  # by the reports of several daemons
    reported_failing_until: Millis = Millis(0)  # likewise
    ejections: int = 0
    successes_since_ejection: int = 0
    is_remote: bool = False  # in another data centre than this daemon
    success_share: float = 1.0  # moving share of successes; sheds count as failures
    in_flight_limit: float = MAX_IN_FLIGHT_LIMIT  # bounds requests of this daemon
    consecutive_losses: int = 0  # attempts in a row that were overdue or beaten by another

    def record_outcome(self, outcome: SubOutcome, latency: Millis, queue: int, now: Millis) -> None:
        """Update the record with the end of one sub-request."""
        self.queue_hint = queue
        self.queue_hint_at = self.observed_at = now
        answered = outcome is SubOutcome.OK
        self.success_share += NEWEST_OUTCOME_WEIGHT * (answered - self.success_share)
        if answered:
            self.answered_at = now
            self.in_flight_limit = min(
                MAX_IN_FLIGHT_LIMIT, self.in_flight_limit + 1.0 / self.in_flight_limit
            )
            self._update_latency(latency)
            self._record_success()
        elif outcome in FAILURES:
            self._eject(now)

    def queue(self, now: Millis) -> int:
        """Return the queue length last reported, 0 if the report is too old."""
        return self.queue_hint if now - self.queue_hint_at < QUEUE_HINT_TTL else 0

    def record_min_latency(self, latency: Millis) -> None:
        """Record a lower bound of the latency of a reply that was not waited for."""
        if latency > self.latency:
            self._update_latency(latency)

    def record_lost_race(self, latency: Millis, now: Millis) -> bool:
        """Record that another attempt replied first; eject the replica after several in a row.

        Return whether it was ejected by this call.
        """
        self.observed_at = now
        self.record_min_latency(latency)
        self.consecutive_losses += 1
        if self.consecutive_losses < CONSECUTIVE_LOSSES_TO_EJECT or self.is_ejected(now):
            return False
        self._eject(now)
        return True

    def record_overdue(self, latency: Millis, now: Millis) -> None:
        """Record that no reply came in time, and halve the limit: the queue there is too long."""
        self.in_flight_limit = max(MIN_IN_FLIGHT_LIMIT, self.in_flight_limit / 2)
        self.record_lost_race(latency, now)

    def limit_return(self) -> None:
        """Let the replica's load grow from one request, when it takes requests again."""
        self.in_flight_limit = MIN_IN_FLIGHT_LIMIT

    def forget_failures(self) -> None:
        """Start anew, with a load that grows from one request, after failures not of its own."""
        self.ejected_until = Millis(0)
        self.ejections = self.consecutive_losses = 0
        self.success_share = 1.0
        self.limit_return()

    def observation_weight(self, now: Millis) -> float:
        """Return the weight of what is known: 1 just after an observation, halved per half-life."""
        return 0.5 ** ((now - self.observed_at) / OBSERVATION_HALF_LIFE)

    def expected_success(self, now: Millis) -> float:
        """Return the expected share of successes, rising to 1 without new observations."""
        return 1.0 - (1.0 - self.success_share) * self.observation_weight(now)

    def has_capacity(self) -> bool:
        """Return whether the in-flight limit allows one more request."""
        return self.in_flight < self.in_flight_limit

    def is_ejected(self, now: Millis) -> bool:
        """Return whether the replica is out of use after failures or lost races."""
        return now < self.ejected_until

    def is_reported_slow(self, now: Millis) -> bool:
        """Return whether the replica is slow by the reports of several daemons."""
        return now < self.reported_slow_until

    def is_reported_failing(self, now: Millis) -> bool:
        """Return whether the replica is failing by the reports of several daemons."""
        return now < self.reported_failing_until

    def _update_latency(self, latency: Millis) -> None:
        self.samples += 1
        if self.samples == 1:
            self.latency = latency
        else:
            self.latency = Millis(self.latency + NEWEST_LATENCY_WEIGHT * (latency - self.latency))

    def _record_success(self) -> None:
        self.consecutive_losses = 0
        self.successes_since_ejection += 1
        if self.successes_since_ejection >= EJECTION_RESET_SUCCESSES:
            self.ejections = 0

    def _eject(self, now: Millis) -> None:
        self.successes_since_ejection = 0
        if self.is_ejected(now):
            return
        duration = min(MAX_EJECTION, MIN_EJECTION * 2**self.ejections)
        self.ejected_until = Millis(now + duration)
        self.ejections += 1


class Replicas:
    """Keep the replica records by id."""

    def __init__(self, clock: Clock) -> None:
        self.by_id: dict[ReplicaId, Replica] = {}
        self._clock = clock

    def get(self, replica_id: ReplicaId) -> Replica:
        """Return a replica's record, created if there is none."""
        replica = self.by_id.get(replica_id)
        if replica is None:
            replica = Replica(replica_id, self._clock.now())
            self.by_id[replica_id] = replica
        return replica

    def forget_failures(self) -> None:
        """Forget the failures of all replicas, which lost links of this daemon explain."""
        for replica in self.by_id.values():
            replica.forget_failures()

    def count_by_state(self) -> dict[str, int]:
        """Return how many replicas are in use, and how many are ejected."""
        now = self._clock.now()
        ejected = sum(replica.is_ejected(now) for replica in self.by_id.values())
        return {"in use": len(self.by_id) - ejected, "ejected": ejected}

    def remove(self, replica_ids: set[ReplicaId]) -> None:
        """Drop the records of replicas that are gone."""
        for replica_id in replica_ids:
            self.by_id.pop(replica_id, None)

    def retain_only(self, target_ids: set[str]) -> None:
        """Drop the records of replicas whose target is not among the given ones."""
        for replica_id in [
            replica_id for replica_id in self.by_id if replica_id.target_id not in target_ids
        ]:
            del self.by_id[replica_id]
