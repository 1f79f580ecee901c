"""Hold what this daemon has seen of each replica."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from firtrestle.clocks import Clock, Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.snapshots import ReplicaId

LATENCY_WEIGHT = 0.2  # of the newest latency in the moving mean
LOOKBACK = 16  # outcomes that the failure slack is averaged over
FAILURE_SHARE = 0.5  # of the lookback, above which a replica is passed over
MIN_OUTCOMES = 4
HINT_LIFE = Millis(100)
FIRST_EJECTION = Millis(500)
LONGEST_EJECTION = Millis(10_000)

FAILURES = frozenset({SubOutcome.DIED, SubOutcome.BAD_REPLY, SubOutcome.REFUSED})


@dataclass(slots=True)
class Replica:
    """Hold one replica's load and record as seen from here."""

    id: ReplicaId
    seen_at: Millis
    in_flight: int = 0
    queue_hint: int = 0
    hinted_at: Millis = Millis(0)
    latency: Millis = Millis(0)
    samples: int = 0
    ejected_until: Millis = Millis(0)
    ejections: int = 0
    _failed: deque[bool] = field(default_factory=lambda: deque(maxlen=LOOKBACK))

    def note(self, outcome: SubOutcome, latency: Millis, queue: int, now: Millis) -> None:
        """Take in how one sub-request ended."""
        self.queue_hint = queue
        self.hinted_at = now
        if outcome is SubOutcome.OK:
            self._take_latency(latency)
        if outcome is SubOutcome.UNREACHABLE:
            self._eject(now)
            return
        if outcome is SubOutcome.OK or outcome in FAILURES:
            self._failed.append(outcome in FAILURES)
        if self._is_failing():
            self._failed.clear()
            self._eject(now)

    def queue(self, now: Millis) -> int:
        """Return the queue that the holder reported a moment ago, 0 when that is too long ago."""
        return self.queue_hint if now - self.hinted_at < HINT_LIFE else 0

    def note_slow(self, latency: Millis) -> None:
        """Take in that a reply given up on had taken at least this long."""
        if latency > self.latency:
            self._take_latency(latency)

    def is_ejected(self, now: Millis) -> bool:
        """Say whether the replica is passed over for now."""
        return now < self.ejected_until

    def _take_latency(self, latency: Millis) -> None:
        self.samples += 1
        if self.samples == 1:
            self.latency = latency
        else:
            self.latency = Millis(self.latency + LATENCY_WEIGHT * (latency - self.latency))
        if len(self._failed) == LOOKBACK and not any(self._failed):
            self.ejections = 0

    def _is_failing(self) -> bool:
        count = len(self._failed)
        return count >= MIN_OUTCOMES and sum(self._failed) > FAILURE_SHARE * count

    def _eject(self, now: Millis) -> None:
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

    def forget_but(self, target_ids: set[str]) -> None:
        """Drop the replicas of targets that are gone."""
        for replica_id in [one for one in self.by_id if one.target_id not in target_ids]:
            del self.by_id[replica_id]
