"""Dispatch the calls of other daemons by type of message."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from firtrestle.claims import Claims, KeyTable
from firtrestle.gossip_maps import Gossiper
from firtrestle.holders import Holders
from firtrestle.leases import LeaseTable
from firtrestle.members import Members
from firtrestle.messages import (
    AreYouThere,
    AskKey,
    AskLeases,
    Borrow,
    Claim,
    Done,
    Join,
    Loan,
    Ping,
    PingFor,
    Pull,
    ReturnLeases,
    Settle,
    SubReply,
    SubRequest,
)
from firtrestle.outcomes import SubOutcome
from firtrestle.pauses import PauseGuard
from firtrestle.peers import FINISHED, Cancellable, Deliver
from firtrestle.voters import Voters


class PeerCallDispatcher:
    """Dispatch each message to the component that handles it."""

    def __init__(
        self,
        gossiper: Gossiper,
        members: Members,
        holders: Holders,
        voters: Voters,
        table: KeyTable,
        claims: Claims,
        pauses: PauseGuard,
        lend: Callable[[Borrow], Loan],
        leases: LeaseTable,
    ) -> None:
        self._gossiper = gossiper
        self._members = members
        self._holders = holders
        self._voters = voters
        self._table = table
        self._claims = claims
        self._pauses = pauses
        self._lend = lend
        self._leases = leases
        self.running = 0

    async def serve(self, value: Any) -> Any:
        """Handle one message and return its answer."""
        self.running += 1
        try:
            return await self._answer(value)
        finally:
            self.running -= 1

    @singledispatchmethod
    async def _answer(self, value: Any) -> Any:
        return Done(False, f"{type(value).__name__} is no call")

    @_answer.register
    async def _(self, value: Ping) -> Any:
        return self._gossiper.serve_ping(value)

    @_answer.register
    async def _(self, value: AreYouThere) -> Any:
        return Done()

    @_answer.register
    async def _(self, value: Pull) -> Any:
        return self._gossiper.serve_pull(value)

    @_answer.register
    async def _(self, value: PingFor) -> Any:
        return await self._members.serve_ping_for(value)

    @_answer.register
    async def _(self, value: Join) -> Any:
        self._voters.add(value)
        return Done()

    @_answer.register
    async def _(self, value: Claim) -> Any:
        return self._table.vote(value)

    @_answer.register
    async def _(self, value: Settle) -> Any:
        return self._table.settle(value)

    @_answer.register
    async def _(self, value: AskKey) -> Any:
        return self._claims.report_claim(value)

    @_answer.register
    async def _(self, value: Borrow) -> Any:
        return self._lend(value)

    @_answer.register
    async def _(self, value: AskLeases) -> Any:
        return self._leases.grant(value)

    @_answer.register
    async def _(self, value: ReturnLeases) -> Any:
        return self._leases.release(value)

    def start_sub(self, sub: SubRequest, deliver: Deliver) -> Cancellable:
        """Start a sub-request for another daemon; refuse it if this process was just paused."""
        if self._pauses.was_paused():
            deliver(SubReply(SubOutcome.NOT_HOLDER, reason="the holder was paused"))
            return FINISHED
        return self._holders.start_locally(sub, deliver)
