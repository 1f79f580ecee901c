"""Run requests, whole or for some of their services, on peers that reach the instances."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.members import Member
from firtrestle.messages import Relay, Relayed
from firtrestle.peers import PeerFailure
from firtrestle.relay_messages import (
    HOP_RESERVE,
    UNREACHED_REASONS,
    RelayResult,
    RelayTerms,
    decode_result,
    encode_relay,
)
from firtrestle.rendezvous import rank
from firtrestle.routed_requests import RoutedRequest

PEERS_IN_USE = 4  # per daemon, so that streams stay few and all daemons together use all peers
MAX_PEERS_ASKED = 3  # per request; the first that reaches an instance runs it
SET_ASIDE_TIME = Millis(500)  # for a peer that refused or was not reached
UNREACHED_TIME = Millis(1_000)  # in which a service that a peer didn't reach either isn't relayed
MIN_TIME_LEFT = Millis(10)  # with less, a request is not relayed

CallPeer = Callable[[Member, Relay, Millis], Awaitable[Any]]
ListPeers = Callable[[], list[Member]]


class Relays:
    """Ask peers that reach the instances to run requests, over one hop.

    A request that a peer may have sent to an instance isn't sent to another peer, so that the
    promises on attempts and on what ran hold over both daemons.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        rng: random.Random,
        list_peers: ListPeers,
        call_peer: CallPeer,
    ) -> None:
        self.relayed = 0
        self.not_relayed = 0  # requests that no peer took
        self._own_id = own_id
        self._clock = clock
        self._rng = rng
        self._list_peers = list_peers
        self._call_peer = call_peer
        self._running_by_peer: Counter[str] = Counter()
        self._set_aside_until_by_peer: dict[str, Millis] = {}
        self._unreached_until_by_service: dict[str, Millis] = {}

    def has_peers(self) -> bool:
        """Return whether a peer may be asked now."""
        return any(self._is_usable(peer.id) for peer in self._list_peers())

    def may_reach(self, service: str) -> bool:
        """Return whether a peer may reach a service that this daemon doesn't."""
        unreached_until = self._unreached_until_by_service.get(service, 0.0)
        return unreached_until <= self._clock.now() and self.has_peers()

    async def run(self, request: RoutedRequest, terms: RelayTerms) -> RelayResult:
        """Let a peer run a request for some of its services."""
        unreached: RelayResult | None = None
        for peer in self._peers_in_turn():
            left = Millis(request.deadline - self._clock.now() - HOP_RESERVE)
            if left < MIN_TIME_LEFT:
                break
            answer = await self._ask(peer, request, terms, left)
            unsent = isinstance(answer, PeerFailure) and not answer.sent
            if unsent or (isinstance(answer, Relayed) and answer.refusal):
                self._set_aside(peer, request, answer)
                continue
            self.relayed += 1
            result = decode_result(answer, terms)
            result.peer_id = peer.id
            self._log(request, terms, result, answer)
            if not result.is_unreached:
                self._record_unreached(result)
                return result
            unreached = result
            terms = replace(terms, is_counted=True)
        if unreached is not None:
            self._record_unreached(unreached)
            return unreached
        self.not_relayed += 1
        return RelayResult()

    def _peers_in_turn(self) -> Iterator[Member]:
        """Yield the peers to ask, alternating between data centres, which may be cut off whole."""
        waiting = self._peers()
        asked: Counter[str] = Counter()
        for _ in range(min(MAX_PEERS_ASKED, len(waiting))):
            peer = min(waiting, key=lambda member: asked[member.data_centre])
            waiting.remove(peer)
            asked[peer.data_centre] += 1
            yield peer

    def _peers(self) -> list[Member]:
        """Return the peers in use, the one with the fewest running requests first."""
        by_id = {peer.id: peer for peer in self._list_peers() if self._is_usable(peer.id)}
        in_use = rank(f"relay/{self._own_id}", by_id)[:PEERS_IN_USE]
        self._rng.shuffle(in_use)
        return [by_id[id_] for id_ in sorted(in_use, key=self._running_by_peer.__getitem__)]

    def _is_usable(self, peer_id: str) -> bool:
        return self._set_aside_until_by_peer.get(peer_id, 0.0) <= self._clock.now()

    async def _ask(
        self, peer: Member, request: RoutedRequest, terms: RelayTerms, left: Millis
    ) -> Any:
        age = Millis(self._clock.now() - request.arrived_at)
        self._running_by_peer[peer.id] += 1
        try:
            relay = encode_relay(request, terms, age, left)
            return await self._call_peer(peer, relay, Millis(left + HOP_RESERVE))
        finally:
            self._running_by_peer[peer.id] -= 1

    def _set_aside(self, peer: Member, request: RoutedRequest, answer: Any) -> None:
        self._set_aside_until_by_peer[peer.id] = Millis(self._clock.now() + SET_ASIDE_TIME)
        reason = answer.reason if isinstance(answer, PeerFailure) else answer.refusal
        logger.bind(
            request_id=request.message.request_id, peer=peer.id, reason=reason, run=False
        ).info("peer passed over")

    def _record_unreached(self, result: RelayResult) -> None:
        until = Millis(self._clock.now() + UNREACHED_TIME)
        for service, reason in result.summary.reason_by_service.items():
            if reason in UNREACHED_REASONS:
                self._unreached_until_by_service[service] = until

    def _log(
        self, request: RoutedRequest, terms: RelayTerms, result: RelayResult, answer: Any
    ) -> None:
        logger.bind(
            request_id=request.message.request_id,
            peer=result.peer_id,
            services=len(terms.services),
            replies=len(result.reply_by_service),
            tried_before=sum(terms.tried_by_service.values()),
            sent=result.summary.sent,
            ran=result.summary.may_have_run,
            failure=answer.reason if isinstance(answer, PeerFailure) else "",
            after_ms=round(self._clock.now() - request.arrived_at, 1),
        ).info("relayed")
