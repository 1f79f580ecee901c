"""Stand in for callers: send queries on a schedule and judge the answers."""

from __future__ import annotations

import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.events import EventKind
from firtrestle.http_clients import HttpConnection, HttpFailure, HttpReply
from firtrestle.latencies import new_histogram, quantile, record

from firtrestle_standins.collections_data import IndexVersion, row_id
from firtrestle_standins.records import Record

CONNECT_TIMEOUT = Millis(1_000)
CALLER_GRACE = Millis(5_000)
MAX_RESENDS = 3

Addresses = Callable[[], dict[str, str]]


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold one query to send."""

    path: str
    collection: str
    body: dict[str, Any]
    timeout: Millis
    headers: dict[str, str] = field(default_factory=dict)
    group: str = "all"


@dataclass(slots=True)
class Tally:
    """Hold what came of a group of queries."""

    sent: int = 0
    answered: int = 0
    whole: int = 0
    covered: int = 0
    total: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    without_answer: int = 0
    resent: int = 0
    rows_lost: int = 0
    rows_doubled: int = 0
    rows_wrong: int = 0
    latencies: Any = field(default_factory=new_histogram)

    def percentile(self, percent: float) -> Millis:
        """Return a latency from the intended time of sending, ms."""
        return quantile(self.latencies, percent)

    @property
    def coverage(self) -> float:
        """Return the documents covered over those asked for, of answered queries."""
        return self.covered / self.total if self.total else 0.0


class Callers:
    """Send queries to any daemon in service, over kept connections."""

    def __init__(
        self,
        addresses: Addresses,
        versions: dict[str, dict[int, IndexVersion]],
        record_: Record,
        seed: int,
    ) -> None:
        self.tally_by_group: dict[str, Tally] = {}
        self._addresses = addresses
        self._versions = versions
        self._record = record_
        self._rng = random.Random(f"callers/{seed}")
        self._clock = Clock()
        self._idle: dict[str, list[HttpConnection]] = {}
        self._numbers = itertools.count(1)
        self._run = f"{seed}-{self._rng.randrange(1 << 32):08x}"

    async def run(self, plans: list[Plan], rate_per_second: float) -> None:
        """Send each plan at its moment, whatever became of the others."""
        started_at = self._clock.now()
        due = started_at
        async with trio.open_nursery() as nursery:
            for plan in plans:
                due = Millis(due + self._rng.expovariate(rate_per_second) * 1_000)
                await sleep(Millis(due - self._clock.now()))
                nursery.start_soon(self.send, plan, due)
        await self.close()

    async def send(self, plan: Plan, due: Millis | None = None) -> HttpReply | HttpFailure:
        """Send one query, and again elsewhere when its connection broke without an answer."""
        due = due if due is not None else self._clock.now()
        request_id = f"{self._run}-{next(self._numbers)}"
        tally = self.tally_by_group.setdefault(plan.group, Tally())
        tally.sent += 1
        reply: HttpReply | HttpFailure = HttpFailure(False, "no daemon is in service")
        for resend in range(MAX_RESENDS):
            daemon, address = self._pick()
            reply = await self._exchange(address, plan, request_id, daemon)
            if isinstance(reply, HttpReply) or "Idempotency-Key" in plan.headers:
                break
            tally.resent += 1
            self._record.add(EventKind.CALLER_LOST, request_id, daemon=daemon, resend=resend)
        latency = Millis(self._clock.now() - due)
        self._judge(plan, request_id, reply, latency, tally)
        return reply

    async def close(self) -> None:
        """Close the kept connections."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        self._idle.clear()

    def _pick(self) -> tuple[str, str]:
        addresses = self._addresses()
        name = self._rng.choice(sorted(addresses))
        return name, addresses[name]

    async def _exchange(
        self, address: str, plan: Plan, request_id: str, daemon: str
    ) -> HttpReply | HttpFailure:
        self._record.add(EventKind.CALLER_SENT, request_id, daemon=daemon)
        headers = {"X-Request-Id": request_id, "Request-Timeout-Ms": str(round(plan.timeout))}
        body = json.dumps(plan.body).encode()
        with move_on_after(Millis(plan.timeout + CALLER_GRACE)):
            connection = await self._connection(address)
            if isinstance(connection, HttpFailure):
                return connection
            reply = await connection.request("POST", plan.path, body, headers | plan.headers)
            if connection.usable:
                self._idle.setdefault(address, []).append(connection)
            else:
                await connection.close()
            return reply
        return HttpFailure(True, "no answer in time")

    async def _connection(self, address: str) -> HttpConnection | HttpFailure:
        idle = self._idle.get(address, [])
        if idle:
            return idle.pop()
        host, _, port = address.rpartition(":")
        return await HttpConnection.open(host, int(port), CONNECT_TIMEOUT)

    def _judge(
        self,
        plan: Plan,
        request_id: str,
        reply: HttpReply | HttpFailure,
        latency: Millis,
        tally: Tally,
    ) -> None:
        if isinstance(reply, HttpFailure):
            tally.without_answer += 1
            return
        document = reply.json()
        if reply.status != 200:
            self._judge_refusal(request_id, reply, document, tally)
            return
        record(tally.latencies, latency)
        tally.answered += 1
        if "snapshot" in document:
            self._judge_answer(plan, request_id, document, tally)
        else:
            tally.whole += 1
            self._record.add(EventKind.CALLER_ANSWERED, request_id)

    def _judge_refusal(
        self, request_id: str, reply: HttpReply, document: dict[str, Any], tally: Tally
    ) -> None:
        tally.refused[document["kind"]] += 1
        self._record.add(
            EventKind.CALLER_REFUSED,
            request_id,
            refusal=document["kind"],
            ran=document["ran"],
            retry_after="retry-after" in reply.headers,
        )

    def _judge_answer(
        self, plan: Plan, request_id: str, document: dict[str, Any], tally: Tally
    ) -> None:
        """Compare the rows with what the stated shards of the stated version hold."""
        number = document["snapshot"]["version"]
        version = self._versions[plan.collection][number]
        coverage = document["coverage"]
        missing = {one["shard"]: one["documents"] for one in coverage["missing"]}
        full, partial = _expected(plan, version, missing)
        ids = [row["id"] for row in document["rows"]]
        got = set(ids)
        lost, wrong = len(full - got), len(got - full - partial)
        doubled = len(ids) - len(got)
        if document["request_id"] != request_id:
            wrong += 1
        tally.rows_lost += lost
        tally.rows_doubled += doubled
        tally.rows_wrong += wrong
        tally.whole += not missing
        tally.covered += coverage["covered"]
        tally.total += coverage["total"]
        self._record.add(
            EventKind.CALLER_ANSWERED,
            request_id,
            version=number,
            row_versions=sorted({row["version"] for row in document["rows"]}),
            covered=coverage["covered"],
            missing={str(shard): lost_ for shard, lost_ in missing.items()},
            documents_by_shard=version.documents_by_shard(),
            lost=lost,
            doubled=doubled,
            wrong=wrong,
        )


def _expected(
    plan: Plan, version: IndexVersion, missing: dict[int, int]
) -> tuple[set[str], set[str]]:
    """Return the ids that must be there, and those that may be."""
    full: set[str] = set()
    partial: set[str] = set()
    for shard, matches in version.all_matches(plan.body).items():
        ids = {row_id(plan.collection, n) for n in matches}
        if shard in missing:
            partial |= ids
        else:
            full |= ids
    return full, partial


def search_plans(
    count: int, path: str, collection: str, timeout: Millis, seed: int, group: str = "all"
) -> list[Plan]:
    """Return searches with random filters."""
    rng = random.Random(f"plans/{seed}/{group}")
    bodies = [{"modulus": 97, "remainder": rng.randrange(97)} for _ in range(count)]
    return [Plan(path, collection, body, timeout, group=group) for body in bodies]
