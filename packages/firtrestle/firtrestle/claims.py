"""Claim the keys of requests that may not be repeated, by a majority of their holders."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import trio

from firtrestle.clocks import Clock, Millis
from firtrestle.keys import issue_time
from firtrestle.messages import AskKey, Claim, Done, Settle, Vote
from firtrestle.settings import ClaimSettings
from firtrestle.voters import CallDaemon, Voters

PURGE_EVERY = 1_000  # votes


class KeyState(StrEnum):
    """Name what became of a claimed key."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class HeldKey:
    """Hold what a daemon knows of one key."""

    owner: str
    fingerprint: str
    issued_at: Millis
    state: KeyState = KeyState.CLAIMED
    outcome: dict[str, Any] = field(default_factory=dict)


class KeyTable:
    """Vote on keys and keep what became of them, in memory for the keys' window."""

    def __init__(self, voters: Voters, settings: ClaimSettings, clock: Clock) -> None:
        self.by_key: dict[str, HeldKey] = {}
        self._voters = voters
        self._settings = settings
        self._clock = clock
        self._votes = 0

    def vote(self, claim: Claim) -> Vote:
        """Grant a key that is new, and tell of one that is not."""
        self._votes += 1
        if self._votes % PURGE_EVERY == 0:
            self._purge()
        issued_at = issue_time(claim.key)
        if issued_at is None or self._is_expired(issued_at):
            return Vote(False, reason="the key is expired or malformed")
        standing = self._voters.standing(claim.key, issued_at)
        held = self.by_key.get(claim.key)
        if held is not None and held.state is not KeyState.RELEASED:
            return self._tell(held, standing.quorum)
        if not standing.may_vote:
            return Vote(False, standing.quorum, reason=standing.reason)
        self.by_key[claim.key] = HeldKey(claim.owner, claim.fingerprint, issued_at)
        return Vote(True, standing.quorum)

    def settle(self, settle: Settle) -> Done:
        """Keep how a key ended, if its owner says so."""
        held = self.by_key.get(settle.key)
        if held is None or held.owner != settle.owner:
            return Done(False, "the key is not held for this owner")
        held.state = KeyState(settle.state)
        held.outcome = settle.outcome
        return Done()

    def _tell(self, held: HeldKey, quorum: int) -> Vote:
        return Vote(
            False, quorum, held.owner, held.fingerprint, str(held.state), held.outcome, "held"
        )

    def _is_expired(self, issued_at: Millis) -> bool:
        age = self._clock.wall() - issued_at
        return age > self._settings.window_ms + self._settings.clock_skew_ms

    def _purge(self) -> None:
        keep = self._settings.window_ms + 2 * self._settings.clock_skew_ms
        now = self._clock.wall()
        for key in [k for k, held in self.by_key.items() if now - held.issued_at > keep]:
            del self.by_key[key]


@dataclass(frozen=True, slots=True)
class Claimed:
    """Say that this claim alone may run the key's request."""

    key: str
    owner: str


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Say that the key was claimed before, and what is known of it."""

    owner: str
    fingerprint: str
    state: KeyState
    outcome: dict[str, Any]


@dataclass(frozen=True, slots=True)
class InDoubt:
    """Say that too few holders could say whether the key is new."""

    reason: str


class Claims:
    """Claim keys for this daemon and settle them.

    Each claim has an owner of its own, so that a late message of one never speaks for another.
    """

    def __init__(
        self,
        daemon: str,
        voters: Voters,
        call: CallDaemon,
        settings: ClaimSettings,
        clock: Clock,
    ) -> None:
        self._daemon = daemon
        self._voters = voters
        self._call = call
        self._settings = settings
        self._clock = clock
        self._numbers = itertools.count(1)
        self._mine_by_owner: OrderedDict[str, HeldKey] = OrderedDict()
        self._owner_by_key: dict[str, str] = {}

    async def claim(self, key: str, fingerprint: str) -> Claimed | HeldElsewhere | InDoubt:
        """Ask the key's holders; a key in doubt is given back before this returns."""
        if self._voters.established_at is None:
            return InDoubt("the daemon has not met all others yet")
        known = self._mine_by_owner.get(self._owner_by_key.get(key, ""))
        if known is not None and known.state is not KeyState.RELEASED:
            return _elsewhere(known)
        owner = f"{self._daemon}#{next(self._numbers)}"
        self._remember(owner, key, fingerprint)
        with trio.CancelScope(shield=True):
            answer = await self._gather_votes(Claim(key, owner, fingerprint))
            if not isinstance(answer, Claimed):
                await self.settle(Claimed(key, owner), KeyState.RELEASED, {})
        return answer

    async def settle(self, claimed: Claimed, state: KeyState, outcome: dict[str, Any]) -> None:
        """Keep how a claim ended, and tell the key's holders."""
        mine = self._mine_by_owner[claimed.owner]
        mine.state = state
        mine.outcome = outcome
        await self._tell_holders(Settle(claimed.key, claimed.owner, str(state), outcome))

    def tell(self, ask: AskKey) -> Vote:
        """Answer what became of one of this daemon's claims."""
        mine = self._mine_by_owner.get(ask.owner)
        if mine is None:
            return Vote(False, owner=ask.owner, state=str(KeyState.UNKNOWN))
        return Vote(False, 1, mine.owner, mine.fingerprint, str(mine.state), mine.outcome)

    def _remember(self, owner: str, key: str, fingerprint: str) -> None:
        issued_at = issue_time(key) or Millis(0)
        self._mine_by_owner[owner] = HeldKey(owner, fingerprint, issued_at)
        self._owner_by_key[key] = owner
        oldest = self._clock.wall() - self._settings.window_ms - 2 * self._settings.clock_skew_ms
        while self._mine_by_owner:
            first, held = next(iter(self._mine_by_owner.items()))
            if held.issued_at >= oldest or held.state is KeyState.CLAIMED:
                return
            del self._mine_by_owner[first]
            for old_key in [k for k, o in self._owner_by_key.items() if o == first]:
                del self._owner_by_key[old_key]

    async def _tell_holders(self, settle: Settle) -> None:
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for daemon_id in self._voters.group(settle.key):
                    nursery.start_soon(self._call, daemon_id, settle)

    async def _gather_votes(self, claim: Claim) -> Claimed | HeldElsewhere | InDoubt:
        votes: list[Vote] = []
        group = self._voters.group(claim.key)

        async def ask(daemon_id: str) -> None:
            answer = await self._call(daemon_id, claim)
            if isinstance(answer, Vote):
                votes.append(answer)

        async with trio.open_nursery() as nursery:
            for daemon_id in group:
                nursery.start_soon(ask, daemon_id)
        held = [vote for vote in votes if vote.owner]
        if held:
            return await self._follow(claim.key, held[0])
        needed = max([len(group) // 2 + 1, *(vote.quorum for vote in votes)])
        if sum(vote.granted for vote in votes) >= needed:
            return Claimed(claim.key, claim.owner)
        reasons = sorted({vote.reason for vote in votes if vote.reason})
        return InDoubt("; ".join(reasons) or "too few daemons answered")

    async def _follow(self, key: str, vote: Vote) -> HeldElsewhere | InDoubt:
        """Ask the owner what became of a key that a holder saw only claimed."""
        state = KeyState(vote.state)
        if state is not KeyState.CLAIMED:
            return HeldElsewhere(vote.owner, vote.fingerprint, state, vote.outcome)
        answer = await self._call(vote.owner.partition("#")[0], AskKey(key, vote.owner))
        if not isinstance(answer, Vote) or answer.owner != vote.owner:
            return HeldElsewhere(vote.owner, vote.fingerprint, KeyState.UNKNOWN, {})
        state = KeyState(answer.state)
        if state is KeyState.RELEASED:
            await self._tell_holders(Settle(key, vote.owner, str(state), {}))
            return InDoubt("an earlier claim was given back just now")
        return HeldElsewhere(vote.owner, vote.fingerprint, state, answer.outcome)


def _elsewhere(held: HeldKey) -> HeldElsewhere:
    return HeldElsewhere(held.owner, held.fingerprint, held.state, held.outcome)
