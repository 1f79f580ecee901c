"""Run non-idempotent requests at most once, by their idempotency keys."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Any

import trio

from firtrestle.claims import Claimed, Claims, HeldByEarlierClaim, InDoubt, KeyState
from firtrestle.clocks import Clock, Millis
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.events import EventKind
from firtrestle.gather_tools import GatherTools
from firtrestle.keys import issue_time
from firtrestle.messages import SubReply, SubRequest
from firtrestle.outcomes import SubOutcome
from firtrestle.queries import Query
from firtrestle.rendezvous import owner
from firtrestle.settings import ClaimSettings
from firtrestle.snapshots import ReplicaId, Snapshot

# Refusals of requests that were not sent; any other outcome is refused as NO_TARGET.
REFUSAL_BY_UNSENT_OUTCOME = {
    SubOutcome.SHED: ErrorKind.OVERLOADED,
    SubOutcome.DEADLINE: ErrorKind.DEADLINE_PASSED,
}


@dataclass(frozen=True, slots=True)
class Receipt:
    """Carry the answer to a request; `replayed` if an earlier submission of it ran."""

    document: dict[str, Any]
    replayed: bool = False


def check_key(key: str, settings: ClaimSettings, clock: Clock) -> Refused | None:
    """Return a refusal for a key that is missing, malformed, from the future or too old."""
    issued_at = issue_time(key)
    if issued_at is None:
        return Refused.not_run(ErrorKind.KEY_MISSING)
    age = clock.wall() - issued_at
    if age < -settings.clock_skew_ms:
        return Refused.not_run(ErrorKind.KEY_MISSING, detail="the key is from the future")
    if age > settings.window_ms:
        return Refused(ErrorKind.KEY_EXPIRED, Ran.UNKNOWN, "it may have run when it was new")
    return None


class Submits:
    """Claim a request's key, send the request to one target, and record its outcome."""

    def __init__(self, tools: GatherTools, claims: Claims) -> None:
        self._tools = tools
        self._claims = claims

    async def run(self, query: Query, snapshot: Snapshot) -> Receipt | Refused:
        """Run a request whose key was checked, to its end even if the caller disconnects."""
        with trio.CancelScope(shield=True):
            claimed = await self._claims.claim(query.key, query.fingerprint, query.deadline)
            events = self._tools.events
            if isinstance(claimed, InDoubt):
                events.add(EventKind.KEY_DENIED, query.request_id, reason=claimed.reason)
                return Refused.not_run(ErrorKind.KEY_IN_DOUBT, claimed.reason)
            if isinstance(claimed, HeldByEarlierClaim):
                events.add(EventKind.KEY_DENIED, query.request_id, reason=str(claimed.state))
                return _answer_claimed_before(query, claimed)
            events.add(EventKind.KEY_CLAIMED, query.request_id, key=query.key)
            try:
                return await self._run_claimed(query, snapshot, claimed)
            except Exception:
                await self._claims.settle(claimed, KeyState.UNKNOWN, {})
                raise

    async def _run_claimed(
        self, query: Query, snapshot: Snapshot, claimed: Claimed
    ) -> Receipt | Refused:
        reply = await self._send(query, snapshot)
        if reply.outcome == SubOutcome.OK:
            document = {"request_id": query.request_id, "ran": True, "rows": reply.rows}
            await self._claims.settle(claimed, KeyState.DONE, document)
            return Receipt(document)
        outcome = SubOutcome(reply.outcome)
        if reply.sent:
            await self._claims.settle(claimed, KeyState.UNKNOWN, {})
            return Refused(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, f"{outcome}: {reply.reason}")
        await self._claims.settle(claimed, KeyState.RELEASED, {})
        return Refused(
            REFUSAL_BY_UNSENT_OUTCOME.get(outcome, ErrorKind.NO_TARGET), Ran.FALSE, reply.reason
        )

    async def _send(self, query: Query, snapshot: Snapshot) -> SubReply:
        """Try replicas of the key's shard in turn until a byte of the request was sent to one.

        From then on the request may have run, so that no other replica may get it.
        """
        shards = [str(shard) for shard in range(len(snapshot.documents_by_shard))]
        shard = int(owner(query.key, shards) or 0)
        reply = SubReply(SubOutcome.NO_REPLICA, reason="no target serves the shard")
        untried = set(snapshot.replicas_by_shard.get(shard, ()))
        for attempt in itertools.count(1):
            replica = self._tools.chooser.choose(
                [self._tools.replicas.get(replica_id) for replica_id in sorted(untried)]
            )
            budget = Millis(query.deadline - self._tools.clock.now())
            if replica is None or budget <= 0:
                return reply
            untried.discard(replica.id)
            started_at = self._tools.clock.now()
            replica.in_flight += 1
            sub = _sub_request(query, snapshot, shard, replica.id, attempt, budget)
            reply = await self._tools.holders.send(sub)
            replica.in_flight -= 1
            now = self._tools.clock.now()
            outcome = SubOutcome(reply.outcome)
            replica.record_outcome(outcome, Millis(now - started_at), reply.queue, now)
            if reply.sent or outcome is SubOutcome.OK:
                return reply
        raise AssertionError("unreachable")


def _sub_request(
    query: Query, snapshot: Snapshot, shard: int, replica: ReplicaId, attempt: int, budget: Millis
) -> SubRequest:
    return SubRequest(
        request_id=query.request_id,
        attempt=attempt,
        target_id=replica.target_id,
        searcher=replica.searcher,
        collection=snapshot.collection,
        version=snapshot.version,
        shard=shard,
        kind="submit",
        query=query.body,
        budget_ms=budget,
        urgent=query.urgent,
        key=query.key,
        fingerprint=query.fingerprint,
    )


def _answer_claimed_before(query: Query, earlier: HeldByEarlierClaim) -> Receipt | Refused:
    if earlier.fingerprint != query.fingerprint:
        return Refused.not_run(ErrorKind.KEY_REUSED)
    if earlier.state is KeyState.DONE:
        return Receipt(earlier.outcome, replayed=True)
    if earlier.state is KeyState.CLAIMED:
        return Refused(ErrorKind.KEY_IN_PROGRESS, Ran.UNKNOWN)
    return Refused(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
