"""Hold what this daemon has seen of each replica."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.snapshots import ReplicaId

LATENCY_WEIGHT = 0.2  # of the newest latency in the moving mean
SUCCESS_WEIGHT = 0.15  # of the newest outcome in the moving share of successes
CLEAN_RUN = 16  # answers in a row, after which earlier ejections are forgotten
BELIEF_HALF_LIFE = Millis(1_500)  # of what is known of a replica that gets no work
HINT_LIFE = Millis(40)
MOST_ROOM = 16.0  # more than the slots and queue that a daemon's part of an instance comes to
LEAST_ROOM = 1.0  # so that a recovery is noticed
LOSSES_TO_EJECT = 2  # a pause of a healthy instance seldom meets two requests of one daemon
FIRST_EJECTION = Millis(500)
LONGEST_EJECTION = Millis(10_000)

FAILURES = frozenset(
    {SubOutcome.UNREACHABLE, SubOutcome.DIED, SubOutcome.BAD_REPLY, SubOutcome.REFUSED}
)


@dataclass(slots=True)
class Replica:
    """Hold one replica's load and record as seen from here."""

    id: ReplicaId
    seen_at: Millis
    in_flight: int = 0
    queue_hint: int = 0
    hinted_at: Millis = Millis(0)
    noted_at: Millis = Millis(0)
    latency: Millis = Millis(0)
    samples: int = 0
    ejected_until: Millis = Millis(0)
    ejections: int = 0
    clean_run: int = 0
    far: bool = False  # in another data centre than this daemon
    success: float = 1.0  # moving share of requests that were answered, sheds counted as failures
    room: float = MOST_ROOM  # requests that may be in flight there from this daemon
    losses: int = 0  # in a row, to replicas asked later

    def note(self, outcome: SubOutcome, latency: Millis, queue: int, now: Millis) -> None:
        """Take in how one sub-request ended."""
        self.queue_hint = queue
        self.hinted_at = self.noted_at = now
        answered = outcome is SubOutcome.OK
        self.success += SUCCESS_WEIGHT * (answered - self.success)
        if answered:
            self.room = min(MOST_ROOM, self.room + 1.0 / self.room)
            self._take_latency(latency)
            self._take_clean()
        elif outcome in FAILURES:
            self._eject(now)

    def queue(self, now: Millis) -> int:
        """Return the queue that the holder reported a moment ago, 0 when that is too long ago."""
        return self.queue_hint if now - self.hinted_at < HINT_LIFE else 0

    def note_slow(self, latency: Millis) -> None:
        """Take in that a reply given up on had taken at least this long."""
        if latency > self.latency:
            self._take_latency(latency)

    def note_lost(self, latency: Millis, now: Millis) -> bool:
        """Take in that another replica was faster, which several times in a row ejects this one.

        Return whether it was ejected now.
        """
        self.noted_at = now
        self.note_slow(latency)
        self.losses += 1
        if self.losses < LOSSES_TO_EJECT or self.is_ejected(now):
            return False
        self._eject(now)
        return True

    def note_overdue(self, latency: Millis, now: Millis) -> None:
        """Take in that no reply came in time: its queue is longer than callers can wait."""
        self.room = max(LEAST_ROOM, self.room / 2)
        self.note_lost(latency, now)

    def belief(self, now: Millis) -> float:
        """Return how far what is known still counts: 1 just after a reply, then fading."""
        return 0.5 ** ((now - self.noted_at) / BELIEF_HALF_LIFE)

    def likely_success(self, now: Millis) -> float:
        """Return the share of successes that may be expected now."""
        return 1.0 - (1.0 - self.success) * self.belief(now)

    def has_room(self) -> bool:
        """Say whether one more request is likely to be answered in time."""
        return self.in_flight < self.room

    def is_ejected(self, now: Millis) -> bool:
        """Say whether the replica is passed over for now."""
        return now < self.ejected_until

    def _take_latency(self, latency: Millis) -> None:
        self.samples += 1
        if self.samples == 1:
            self.latency = latency
        else:
            self.latency = Millis(self.latency + LATENCY_WEIGHT * (latency - self.latency))

    def _take_clean(self) -> None:
        self.losses = 0
        self.clean_run += 1
        if self.clean_run >= CLEAN_RUN:
            self.ejections = 0

    def _eject(self, now: Millis) -> None:
        self.clean_run = 0
        if self.is_ejected(now):
            return
        hold = min(LONGEST_EJECTION, FIRST_EJECTION * 2**self.ejections)
        self.ejected_until = Millis(now + hold)
        self.ejections += 1


class Replicas:
    """Keep the replicas by id."""

    def __init__(self, clock: Clock) -> None:
        self.by_id: dict[ReplicaId, Replica] = {}
        self._clock = clock

    def get(self, replica_id: ReplicaId) -> Replica:
        """Return a replica's record, new where there was none."""
        replica = self.by_id.get(replica_id)
        if replica is None:
            replica = Replica(replica_id, self._clock.now())
            self.by_id[replica_id] = replica
        return replica

    def count_by_state(self) -> dict[str, int]:
        """Return how many replicas are in use, and how many are passed over for now."""
        now = self._clock.now()
        ejected = sum(replica.is_ejected(now) for replica in self.by_id.values())
        return {"in use": len(self.by_id) - ejected, "ejected": ejected}

    def forget(self, replica_ids: set[ReplicaId]) -> None:
        """Drop the records of replicas that are gone."""
        for replica_id in replica_ids:
            self.by_id.pop(replica_id, None)

    def forget_but(self, target_ids: set[str]) -> None:
        """Drop the replicas of targets that are gone."""
        for replica_id in [one for one in self.by_id if one.target_id not in target_ids]:
            del self.by_id[replica_id]
