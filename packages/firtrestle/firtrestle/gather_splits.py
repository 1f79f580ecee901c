"""Decide into how many parts a gather is divided, and which daemon runs which shards."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from firtrestle.clocks import Clock, Millis
from firtrestle.hashing import hash64

MAX_PARTS = 4
MAX_WORK_SHARE = 0.25  # of the latency target, for one daemon's processor time of a gather
# A route's number of parts grows only if the work exceeds its share by this factor, so that an
# estimate that varies around a limit doesn't change the number, and with it the connections.
GROWTH_MARGIN = 1.2
# A relay costs this daemon as much processor time as five to seven sub-requests (bench.parts).
MIN_PART_SHARDS = 12
MIN_PEERS = 2
SET_ASIDE_TIME = Millis(500)  # for a peer that refused, was not reached, was lost or was slow
ROUNDING = 1e-9  # keeps work that fits exactly from being rounded up
MAX_CACHED_DIVISIONS = 256
HASH_BITS = 64


def parts_needed(work: Millis, time: Millis, margin: float = 1.0) -> int:
    """Return the number of equal parts of some work that each fit into a share of a time."""
    if time <= 0:
        return MAX_PARTS
    needed = math.ceil(work / (time * MAX_WORK_SHARE * margin) - ROUNDING)
    return min(MAX_PARTS, max(1, needed))


class PartCounts:
    """Keep each route's number of parts, which changes only if the work has clearly changed."""

    def __init__(self) -> None:
        self._count_by_route: dict[str, int] = {}

    def count(self, route: str, work: Millis, target: Millis, time_left: Millis) -> int:
        """Return the number of parts of a gather, given the time left to its latency target.

        With less time left than the whole target, this gather alone gets more parts.
        """
        most = parts_needed(work, target)
        least = parts_needed(work, target, GROWTH_MARGIN)
        count = min(max(self._count_by_route.get(route, 1), least), most)
        if count > 1:
            self._count_by_route[route] = count
        else:
            self._count_by_route.pop(route, None)
        if most == 1:
            return 1
        return max(count, parts_needed(work, time_left, GROWTH_MARGIN))


@lru_cache(MAX_CACHED_DIVISIONS)
def shards_by_part(services: tuple[str, ...], parts: int) -> tuple[tuple[int, ...], ...]:
    """Return the numbers of the shards in each part, the same ones in every daemon.

    The parts are ranges of equal size in the order of the services' hashes: a service that is
    added or removed moves few others, and two parts of four make up one of two.
    """
    ordered = sorted(range(len(services)), key=lambda shard: hash64(services[shard]))
    bounds = [len(ordered) * part // parts for part in range(parts + 1)]
    return tuple(tuple(ordered[bounds[part] : bounds[part + 1]]) for part in range(parts))


def part_of(daemon_id: str, parts: int) -> int:
    """Return the part to which a daemon belongs, for a number of parts."""
    return hash64(f"part/{daemon_id}") * parts >> HASH_BITS


@dataclass(slots=True)
class PeerStanding:
    """Hold what is known of a peer that parts were sent to."""

    running: int = 0
    answered_at: Millis | None = None
    set_aside_until: Millis = Millis(0)


class PeerStandings:
    """Choose the peers that run parts, by what became of earlier ones."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._by_id: dict[str, PeerStanding] = {}

    def choose(self, part: int, parts: int, peer_ids: Iterable[str]) -> str | None:
        """Return the peer for a part, None if those that belong to it are set aside.

        Two random ones are compared: the one with fewer running parts is chosen, then the one
        that answered last, to which a stream may be open. In a fleet so small that no peer belongs
        to the part, any peer may run it.
        """
        ids = list(peer_ids)
        members = [peer_id for peer_id in ids if part_of(peer_id, parts) == part]
        usable = [peer_id for peer_id in members or ids if self._is_usable(peer_id)]
        compared = self._rng.sample(usable, min(2, len(usable)))
        return min(compared, key=self._rank, default=None)

    def begin(self, peer_id: str) -> None:
        """Count a part as running at a peer."""
        self._by_id.setdefault(peer_id, PeerStanding()).running += 1

    def end(self, peer_id: str) -> None:
        """Count a part as no longer running at a peer."""
        self._by_id[peer_id].running -= 1

    def record_answer(self, peer_id: str) -> None:
        """Record that a peer has answered."""
        self._by_id.setdefault(peer_id, PeerStanding()).answered_at = self._clock.now()

    def set_aside(self, peer_id: str) -> None:
        """Choose a peer for no part for some time."""
        until = Millis(self._clock.now() + SET_ASIDE_TIME)
        self._by_id.setdefault(peer_id, PeerStanding()).set_aside_until = until

    def age(self, peer_id: str) -> Millis | None:
        """Return the time since a peer's last answer, None without one."""
        standing = self._by_id.get(peer_id)
        if standing is None or standing.answered_at is None:
            return None
        return Millis(self._clock.now() - standing.answered_at)

    def retain_only(self, peer_ids: Sequence[str]) -> None:
        """Forget peers that are no longer known and run no part."""
        known = set(peer_ids)
        for peer_id, standing in list(self._by_id.items()):
            if peer_id not in known and not standing.running:
                del self._by_id[peer_id]

    def _is_usable(self, peer_id: str) -> bool:
        standing = self._by_id.get(peer_id)
        return standing is None or standing.set_aside_until <= self._clock.now()

    def _rank(self, peer_id: str) -> tuple[int, float]:
        standing = self._by_id.get(peer_id, PeerStanding())
        age = self.age(peer_id)
        return standing.running, math.inf if age is None else age
