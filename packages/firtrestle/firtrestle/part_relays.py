"""Ask peers of this data centre to run parts of gathers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from firtrestle.clocks import Clock, Millis
from firtrestle.gather_splits import (
    MIN_PART_SHARDS,
    MIN_PEERS,
    PartCounts,
    PeerStandings,
    part_of,
    shards_by_part,
)
from firtrestle.members import Member
from firtrestle.messages import Relayed
from firtrestle.peers import PeerFailure
from firtrestle.relay_messages import (
    HOP_RESERVE,
    RelayResult,
    RelayTerms,
    decode_result,
    encode_relay,
)
from firtrestle.relays import MIN_TIME_LEFT, CallPeer, ListPeers
from firtrestle.routed_requests import RoutedRequest
from firtrestle.settings import Settings
from firtrestle.work_estimates import Estimate

# Share of the latency target. A part that takes longer, and isn't answered in time, was slow by
# its peer's doing, and not as little time was left when it was sent.
MIN_SLOW_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PartRefusal:
    """Represent that a peer didn't take a part, so that nothing was sent to an instance."""

    reason: str


@dataclass(slots=True, eq=False)
class PeerPart:
    """Track the part of one gather that a peer runs."""

    peer: Member
    shards: tuple[int, ...]
    terms: RelayTerms
    sent_at: Millis
    peer_age: Millis | None = None  # since the peer's last answer, when it was chosen
    outcome: str = "open"
    replies: int = 0
    took: Millis = Millis(0)

    def to_log(self) -> dict[str, Any]:
        """Return what a log line says of the part."""
        return {
            "peer": self.peer.id,
            "peer_age_ms": None if self.peer_age is None else round(self.peer_age),
            "services": len(self.shards),
            "outcome": self.outcome,
            "replies": self.replies,
            "took_ms": round(self.took, 1),
        }


@dataclass(slots=True)
class Split:
    """Hold the parts of one divided gather, and the inputs of the decision."""

    shards_here: list[int]
    estimate: Estimate  # of the processor time of one sub-request at this daemon
    time_left: Millis  # to the latency target
    parts: list[PeerPart] = field(default_factory=list)


class PartRelays:
    """Divide gathers, and let peers of this data centre run their parts over one hop."""

    def __init__(
        self,
        own_id: str,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
        list_peers: ListPeers,
        call_peer: CallPeer,
        is_enabled: bool = True,
    ) -> None:
        self.is_enabled = is_enabled
        self.divided = 0  # gathers
        self.refused = 0  # parts that a peer refused, or whose peer was not reached
        self.lost = 0  # parts that a peer got, and that it didn't answer, or not in time
        self._own_id = own_id
        self._data_centre = data_centre
        self._clock = clock
        self._list_peers = list_peers
        self._call_peer = call_peer
        self._counts = PartCounts()
        self._standings = PeerStandings(clock, rng)

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        list_peers: ListPeers,
        call_peer: CallPeer,
    ) -> PartRelays:
        """Build the relays of one daemon."""
        daemon, is_enabled = settings.daemon, settings.routes.split_gathers
        return cls(daemon.id, daemon.data_centre, clock, rng, list_peers, call_peer, is_enabled)

    def divide(
        self, request: RoutedRequest, services: tuple[str, ...], estimate: Estimate
    ) -> Split | None:
        """Return the parts of a gather, None if it is not divided."""
        count = self.count_parts(request, services, estimate)
        if count == 1:
            return None
        now, route = self._clock.now(), request.route
        peer_by_id = {peer.id: peer for peer in self._local_peers()}
        self._standings.retain_only(list(peer_by_id))
        split = Split([], estimate, _time_left(request, now))
        own_part = part_of(self._own_id, count)
        for part, shards in enumerate(shards_by_part(services, count)):
            chosen = None
            if part != own_part:
                chosen = self._standings.choose(part, count, peer_by_id)
            if chosen is None:
                split.shards_here += shards
                continue
            names = tuple(services[shard] for shard in shards)
            others = len(services) - len(shards)
            terms = RelayTerms(names, route.least_coverage, others=others)
            age = self._standings.age(chosen)
            split.parts.append(PeerPart(peer_by_id.pop(chosen), shards, terms, now, age))
        return split if split.parts else None

    def count_parts(
        self, request: RoutedRequest, services: tuple[str, ...], estimate: Estimate
    ) -> int:
        """Return the number of parts that a gather is to be divided into."""
        now, route = self._clock.now(), request.route
        work = Millis(estimate.value * len(services))
        left = _time_left(request, now)
        count = self._counts.count(route.name, work, route.latency_target, left)
        if count == 1 or request.deadline - now - HOP_RESERVE < MIN_TIME_LEFT:
            return 1
        peers = len(self._local_peers())
        if peers < MIN_PEERS:
            return 1
        return max(1, min(count, peers + 1, len(services) // MIN_PART_SHARDS))

    def _local_peers(self) -> list[Member]:
        return [peer for peer in self._list_peers() if peer.data_centre == self._data_centre]

    async def ask(self, part: PeerPart, request: RoutedRequest) -> RelayResult | PartRefusal:
        """Let a part's peer run it; a peer that may have got it is never replaced by another."""
        now, peer = self._clock.now(), part.peer
        left = Millis(request.deadline - now - HOP_RESERVE)
        part.sent_at = now
        self._standings.begin(peer.id)
        try:
            relay = encode_relay(request, part.terms, Millis(now - request.arrived_at), left)
            answer = await self._call_peer(peer, relay, Millis(left + HOP_RESERVE))
        finally:
            self._standings.end(peer.id)
        part.took = Millis(self._clock.now() - part.sent_at)
        refusal = _refusal_in(answer)
        if refusal:
            self.refused += 1
            part.outcome = f"refused: {refusal}"
            self._standings.set_aside(peer.id)
            return PartRefusal(refusal)
        result = decode_result(answer, part.terms)
        result.peer_id = peer.id
        part.replies = len(result.reply_by_service)
        if result.is_lost:
            self.lost += 1
            part.outcome = "lost"
            if isinstance(answer, PeerFailure):
                part.outcome = f"lost: {answer.reason}"
            self._standings.set_aside(peer.id)
            return result
        part.outcome = "unreached" if result.is_unreached else "answered"
        self._standings.record_answer(peer.id)
        self._set_aside_if_slow(part, request)
        return result

    def record_cut_off(self, part: PeerPart, request: RoutedRequest) -> None:
        """Record a part that was still open when its gather ended."""
        self.lost += 1
        part.outcome = "cut off"
        part.took = Millis(self._clock.now() - part.sent_at)
        self._set_aside_if_slow(part, request)

    def _set_aside_if_slow(self, part: PeerPart, request: RoutedRequest) -> None:
        is_late = self._clock.now() >= request.answer_by
        if is_late and part.took >= MIN_SLOW_SHARE * request.route.latency_target:
            self._standings.set_aside(part.peer.id)


def _time_left(request: RoutedRequest, now: Millis) -> Millis:
    """Return the time left to a request's latency target."""
    return Millis(request.arrived_at + request.route.latency_target - now)


def _refusal_in(answer: Any) -> str:
    """Return why a peer has sent nothing to an instance, empty if it may have."""
    if isinstance(answer, PeerFailure) and not answer.sent:
        return answer.reason or "not reached"
    return str(answer.refusal) if isinstance(answer, Relayed) else ""
