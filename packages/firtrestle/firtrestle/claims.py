"""Claim the idempotency keys of non-idempotent requests by majority vote.

Each key has a group of voters among the daemons. A request may run only if a majority of the group
granted its key to one claim.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import trio

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.keys import issue_time
from firtrestle.messages import AskKey, Claim, Done, Settle, Vote
from firtrestle.settings import ClaimSettings
from firtrestle.voters import CallDaemon, Voters

PURGE_INTERVAL_VOTES = 1_000
# Longest random pauses between rounds of votes that concurrent claims of one key split.
CONTENTION_PAUSES = (Millis(50), Millis(100), Millis(200), Millis(400))


class KeyState(StrEnum):
    """List the states of a claimed key.

    CLAIMED: the claim is not settled, and its request may be running. RELEASED: the request has not
    run, and the key may be claimed again. DONE: it has run, and its answer is recorded. UNKNOWN: it
    may have run.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class KeyRecord:
    """Record the claim that a key was granted to, and its state."""

    owner: str
    fingerprint: str
    issued_at: Millis
    state: KeyState = KeyState.CLAIMED
    outcome: dict[str, Any] = field(default_factory=dict)


class KeyTable:
    """Vote on claims and record the keys' states, in memory for as long as keys are valid."""

    def __init__(self, voters: Voters, settings: ClaimSettings, clock: Clock) -> None:
        self.by_key: dict[str, KeyRecord] = {}
        self._voters = voters
        self._settings = settings
        self._clock = clock
        self._votes = 0

    def vote(self, claim: Claim) -> Vote:
        """Grant a new or released key; for any other, return its claim and state."""
        self._votes += 1
        if self._votes % PURGE_INTERVAL_VOTES == 0:
            self._purge()
        issued_at = issue_time(claim.key)
        if issued_at is None or self._is_expired(issued_at):
            return Vote(False, reason="the key is expired or malformed")
        eligibility = self._voters.eligibility(claim.key, issued_at)
        record = self.by_key.get(claim.key)
        if record is not None and record.state is not KeyState.RELEASED:
            return self._denial(record, eligibility.quorum)
        if not eligibility.may_vote:
            return Vote(False, eligibility.quorum, reason=eligibility.reason)
        self.by_key[claim.key] = KeyRecord(claim.owner, claim.fingerprint, issued_at)
        return Vote(True, eligibility.quorum)

    def settle(self, settle: Settle) -> Done:
        """Record the state of a key if the message comes from the claim that it was granted to."""
        record = self.by_key.get(settle.key)
        if record is None or record.owner != settle.owner:
            return Done(False, "the key is not held for this owner")
        record.state = KeyState(settle.state)
        record.outcome = settle.outcome
        return Done()

    def _denial(self, record: KeyRecord, quorum: int) -> Vote:
        return Vote(
            False,
            quorum,
            record.owner,
            record.fingerprint,
            str(record.state),
            record.outcome,
            "held",
        )

    def _is_expired(self, issued_at: Millis) -> bool:
        age = self._clock.wall() - issued_at
        return age > self._settings.window_ms + self._settings.clock_skew_ms

    def _purge(self) -> None:
        retention_ms = self._settings.window_ms + 2 * self._settings.clock_skew_ms
        now = self._clock.wall()
        for key in [
            k for k, record in self.by_key.items() if now - record.issued_at > retention_ms
        ]:
            del self.by_key[key]


@dataclass(frozen=True, slots=True)
class Claimed:
    """Report a granted claim: no other claim may run the key's request."""

    key: str
    owner: str


@dataclass(frozen=True, slots=True)
class HeldByEarlierClaim:
    """Report the state of an earlier claim of this or another daemon that holds the key."""

    owner: str
    fingerprint: str
    state: KeyState
    outcome: dict[str, Any]


@dataclass(frozen=True, slots=True)
class InDoubt:
    """Report that the votes did not decide whether the key is new."""

    reason: str


@dataclass(frozen=True, slots=True)
class _SplitVotes:
    """Report that no claim of a key got a quorum, as several were made at the same time."""

    denial: Vote


class Claims:
    """Claim keys for this daemon's requests and record how the requests ended.

    Each claim has a unique owner name, so that a late message of one claim is never taken for a
    message of another.
    """

    def __init__(
        self,
        daemon: str,
        voters: Voters,
        call: CallDaemon,
        settings: ClaimSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._daemon = daemon
        self._voters = voters
        self._call = call
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._claim_numbers = itertools.count(1)
        self._record_by_owner: OrderedDict[str, KeyRecord] = OrderedDict()
        self._owner_by_key: dict[str, str] = {}

    async def claim(
        self, key: str, fingerprint: str, deadline: Millis = Millis(math.inf)
    ) -> Claimed | HeldByEarlierClaim | InDoubt:
        """Claim a key by the votes of its group.

        Unless they grant the key, it is released before this returns. Claims that split the votes
        are made again after random pauses, as long as these end before the deadline.
        """
        answer = await self._claim_once(key, fingerprint)
        for longest_pause in CONTENTION_PAUSES:
            if not isinstance(answer, _SplitVotes):
                return answer
            pause = Millis(self._rng.uniform(0, longest_pause))
            if self._clock.now() + pause >= deadline:
                break
            await sleep(pause)
            answer = await self._claim_once(key, fingerprint)
        if isinstance(answer, _SplitVotes):
            return await self._resolve_denial(key, answer.denial)
        return answer

    async def _claim_once(
        self, key: str, fingerprint: str
    ) -> Claimed | HeldByEarlierClaim | InDoubt | _SplitVotes:
        if self._voters.established_at is None:
            return InDoubt("the daemon has not met all others yet")
        record = self._record_by_owner.get(self._owner_by_key.get(key, ""))
        if record is not None and record.state is not KeyState.RELEASED:
            return _held_by_earlier_claim(record)
        owner = f"{self._daemon}#{next(self._claim_numbers)}"
        self._add_record(owner, key, fingerprint)
        with trio.CancelScope(shield=True):
            answer: Claimed | HeldByEarlierClaim | InDoubt | _SplitVotes
            answer = InDoubt("the votes were not counted")
            try:
                answer = await self._gather_votes(Claim(key, owner, fingerprint))
            finally:
                if not isinstance(answer, Claimed):
                    await self.settle(Claimed(key, owner), KeyState.RELEASED, {})
        return answer

    async def settle(self, claimed: Claimed, state: KeyState, outcome: dict[str, Any]) -> None:
        """Record the final state of a claim, and send it to the key's voters."""
        record = self._record_by_owner[claimed.owner]
        record.state = state
        record.outcome = outcome
        await self._notify_voters(Settle(claimed.key, claimed.owner, str(state), outcome))

    def report_claim(self, ask: AskKey) -> Vote:
        """Return the state of one of this daemon's claims, for a daemon that was denied its key."""
        record = self._record_by_owner.get(ask.owner)
        if record is None:
            return Vote(False, owner=ask.owner, state=str(KeyState.UNKNOWN))
        return Vote(False, 1, record.owner, record.fingerprint, str(record.state), record.outcome)

    def _add_record(self, owner: str, key: str, fingerprint: str) -> None:
        """Record a new claim, and remove the oldest ones whose keys have expired."""
        issued_at = issue_time(key) or Millis(0)
        self._record_by_owner[owner] = KeyRecord(owner, fingerprint, issued_at)
        self._owner_by_key[key] = owner
        expired_before = (
            self._clock.wall() - self._settings.window_ms - 2 * self._settings.clock_skew_ms
        )
        while self._record_by_owner:
            oldest, record = next(iter(self._record_by_owner.items()))
            if record.issued_at >= expired_before or record.state is KeyState.CLAIMED:
                return
            del self._record_by_owner[oldest]
            for old_key in [
                k for k, claim_owner in self._owner_by_key.items() if claim_owner == oldest
            ]:
                del self._owner_by_key[old_key]

    async def _notify_voters(self, settle: Settle) -> None:
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for daemon_id in self._voters.group(settle.key):
                    nursery.start_soon(self._call, daemon_id, settle)

    async def _gather_votes(
        self, claim: Claim
    ) -> Claimed | HeldByEarlierClaim | InDoubt | _SplitVotes:
        votes: list[Vote] = []
        group = self._voters.group(claim.key)

        async def request_vote(daemon_id: str) -> None:
            answer = await self._call(daemon_id, claim)
            if isinstance(answer, Vote):
                votes.append(answer)

        async with trio.open_nursery() as nursery:
            for daemon_id in group:
                nursery.start_soon(request_vote, daemon_id)
        needed = max([len(group) // 2 + 1, *(vote.quorum for vote in votes)])
        denials = [vote for vote in votes if vote.owner]
        if len(votes) == len(group) and _are_split(denials, needed):
            return _SplitVotes(denials[0])
        if denials:
            return await self._resolve_denial(claim.key, denials[0])
        if sum(vote.granted for vote in votes) >= needed:
            return Claimed(claim.key, claim.owner)
        reasons = sorted({vote.reason for vote in votes if vote.reason})
        return InDoubt("; ".join(reasons) or "too few daemons answered")

    async def _resolve_denial(self, key: str, vote: Vote) -> HeldByEarlierClaim | InDoubt:
        """Return the earlier claim's state, asking its daemon if the voter knows no final one."""
        state = KeyState(vote.state)
        if state is not KeyState.CLAIMED:
            return HeldByEarlierClaim(vote.owner, vote.fingerprint, state, vote.outcome)
        answer = await self._call(vote.owner.partition("#")[0], AskKey(key, vote.owner))
        if not isinstance(answer, Vote) or answer.owner != vote.owner:
            return HeldByEarlierClaim(vote.owner, vote.fingerprint, KeyState.UNKNOWN, {})
        state = KeyState(answer.state)
        if state is KeyState.RELEASED:
            await self._notify_voters(Settle(key, vote.owner, str(state), {}))
            return InDoubt("an earlier claim was given back just now")
        return HeldByEarlierClaim(vote.owner, vote.fingerprint, state, answer.outcome)


def _are_split(denials: list[Vote], quorum: int) -> bool:
    """Return whether a key is held by unsettled claims of which none has a quorum."""
    votes_by_owner = Counter(vote.owner for vote in denials)
    are_unsettled = all(vote.state == KeyState.CLAIMED for vote in denials)
    return bool(denials) and are_unsettled and max(votes_by_owner.values()) < quorum


def _held_by_earlier_claim(record: KeyRecord) -> HeldByEarlierClaim:
    return HeldByEarlierClaim(record.owner, record.fingerprint, record.state, record.outcome)
