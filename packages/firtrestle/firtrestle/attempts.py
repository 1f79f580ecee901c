"""Track the attempts of one gather, and represent its early ends."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from firtrestle.clocks import Millis
from firtrestle.outcomes import SubOutcome
from firtrestle.peers import FINISHED, Cancellable
from firtrestle.replicas import Replica
from firtrestle.snapshots import ReplicaId


@dataclass(frozen=True, slots=True)
class SnapshotGone:
    """Report that a shard of the pinned snapshot version is no longer served."""

    version: int
    sent: int


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Report that the query was quarantined while it ran."""

    sent: int


@dataclass(slots=True)
class Attempt:
    """Represent one send of a shard's sub-request to a replica."""

    number: int
    shard: int
    replica: Replica
    sent_at: Millis
    call: Cancellable = FINISHED
    counts_as_load: bool = True

    def release_load(self) -> None:
        """Remove the attempt from its replica's in-flight count, at most once."""
        if self.counts_as_load:
            self.counts_as_load = False
            self.replica.in_flight -= 1

    def cancel(self) -> None:
        """Cancel the call and remove the attempt from its replica's in-flight count."""
        self.release_load()
        self.call.cancel()


@dataclass(slots=True)
class ShardState:
    """Track the attempts for one shard that has not replied."""

    number: int
    tries: int = 0
    unreached: int = 0  # tries of which no byte reached a target
    unexecuted: int = 0  # tries that reached a target, which stated that it did not run them
    tried_ids: set[ReplicaId] = field(default_factory=set)
    attempts: list[Attempt] = field(default_factory=list)
    hedges: int = 0
    hedge_delay: Millis = Millis(math.inf)  # after which the last hedge was sent
    used_holder_lost_retry: bool = False
    retried_after_shed: bool = False
    is_exhausted: bool = False  # no untried replica is left to hedge to
    last_failure: SubOutcome = SubOutcome.DEADLINE

    @property
    def reached(self) -> int:
        """Return how many tries may have reached a target."""
        return self.tries - self.unreached

    @property
    def runs(self) -> int:
        """Return how many tries may have run."""
        return self.tries - self.unreached - self.unexecuted
