"""Hold what one gather has sent for each shard, and how a gather may end early."""

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
    """Say that a shard of the pinned version is served no more."""

    version: int
    sent: int


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Say that the query was held off while it ran."""

    sent: int


@dataclass(slots=True)
class Attempt:
    """Hold one sub-request of a gather."""

    number: int
    shard: int
    replica: Replica
    sent_at: Millis
    call: Cancellable = FINISHED
    counted: bool = True

    def uncount(self) -> None:
        """Take the attempt off its replica's load, once."""
        if self.counted:
            self.counted = False
            self.replica.in_flight -= 1

    def cancel(self) -> None:
        """Stop the attempt."""
        self.uncount()
        self.call.cancel()


@dataclass(slots=True)
class ShardState:
    """Hold what was tried for one shard that has not answered."""

    number: int
    tries: int = 0
    unreached: int = 0  # tries that took no byte of the request to a target
    tried: set[ReplicaId] = field(default_factory=set)
    attempts: list[Attempt] = field(default_factory=list)
    hedges: int = 0
    hedge_delay: Millis = Millis(math.inf)
    lost_holder: bool = False
    came_back: bool = False
    is_exhausted: bool = False  # no other replica was left to hedge to
    last_failure: SubOutcome = SubOutcome.DEADLINE
