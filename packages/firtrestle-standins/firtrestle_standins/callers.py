"""Stand-in for callers: sends queries on a schedule and verifies the answers."""

from __future__ import annotations

import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis, move_on_after, sleep
from firtrestle.events import EventKind
from firtrestle.http_clients import HttpConnection, HttpFailure, HttpReply
from firtrestle.latencies import new_histogram, percentile, record_latency

from firtrestle_standins.collections_data import IndexVersion, row_id
from firtrestle_standins.records import EventFile

CONNECT_TIMEOUT = Millis(1_000)
ANSWER_TIMEOUT_MARGIN = Millis(5_000)  # added to the timeout that the daemon is given
MAX_SENDS = 3  # per query, including the first

AddressLookup = Callable[[], dict[str, str]]


@dataclass(frozen=True, slots=True)
class Plan:
    """Describe one query to send; `group` selects the tally that counts its outcome."""

    path: str
    collection: str
    body: dict[str, Any]
    timeout: Millis
    headers: dict[str, str] = field(default_factory=dict)
    group: str = "all"


@dataclass(slots=True)
class Tally:
    """Count the outcomes of a group of queries.

    `whole` counts answers without a missing shard. `covered` and `total` count documents, and
    `failed_sends` counts the sends without an answer of queries that may be resent.
    """

    sent: int = 0
    answered: int = 0
    whole: int = 0
    covered: int = 0
    total: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    without_answer: int = 0
    failed_sends: int = 0
    rows_lost: int = 0
    rows_doubled: int = 0
    rows_wrong: int = 0
    latencies: Any = field(default_factory=new_histogram)

    def percentile(self, percent: float) -> Millis:
        """Return a latency percentile in ms, measured from the scheduled time of sending."""
        return percentile(self.latencies, percent)

    @property
    def coverage(self) -> float:
        """Return the share of documents covered, over all answered queries."""
        return self.covered / self.total if self.total else 0.0


class Callers:
    """Send queries to randomly picked daemons over persistent connections and verify answers.

    `addresses` returns the daemons in service by name; `versions` holds the index versions served,
    by collection and number.
    """

    def __init__(
        self,
        addresses: AddressLookup,
        versions: dict[str, dict[int, IndexVersion]],
        event_file: EventFile,
        seed: int,
    ) -> None:
        self.tally_by_group: dict[str, Tally] = {}
        self._lookup_addresses = addresses
        self._versions = versions
        self._event_file = event_file
        self._rng = random.Random(f"callers/{seed}")
        self._clock = Clock()
        self._idle_by_address: dict[str, list[HttpConnection]] = {}
        self._request_numbers = itertools.count(1)
        self._run_id = f"{seed}-{self._rng.randrange(1 << 32):08x}"

    async def run(
        self, plans: list[Plan], rate_per_second: float, resend_refused: bool = False
    ) -> None:
        """Send the plans as a Poisson process, without waiting for earlier answers.

        With `resend_refused`, a refused query is sent again when its refusal says so.
        """
        started_at = self._clock.now()
        due = started_at
        send = self.send_until_answered if resend_refused else self.send
        async with trio.open_nursery() as nursery:
            for plan in plans:
                due = Millis(due + self._rng.expovariate(rate_per_second) * 1_000)
                await sleep(Millis(due - self._clock.now()))
                nursery.start_soon(send, plan, due)
        await self.close()

    async def send_until_answered(self, plan: Plan, due: Millis | None = None) -> None:
        """Send one query, and again after each refusal that says when to come back."""
        reply = await self.send(plan, due)
        while isinstance(reply, HttpReply) and "retry-after" in reply.headers:
            await sleep(Millis(float(reply.headers["retry-after"]) * MILLIS_PER_SECOND))
            reply = await self.send(plan)

    async def send(self, plan: Plan, due: Millis | None = None) -> HttpReply | HttpFailure:
        """Send one query; resend it to a random daemon if the connection failed without an answer.

        A query with an Idempotency-Key is not resent. `due` is the scheduled time of sending, from
        which the latency counts.
        """
        due = due if due is not None else self._clock.now()
        request_id = f"{self._run_id}-{next(self._request_numbers)}"
        tally = self.tally_by_group.setdefault(plan.group, Tally())
        tally.sent += 1
        reply: HttpReply | HttpFailure = HttpFailure(False, "no daemon is in service")
        for resend in range(MAX_SENDS):
            daemon, address = self._pick_daemon()
            reply = await self._send_once(address, plan, request_id, daemon)
            if isinstance(reply, HttpReply) or "Idempotency-Key" in plan.headers:
                break
            tally.failed_sends += 1
            self._event_file.add(EventKind.CALLER_LOST, request_id, daemon=daemon, resend=resend)
        latency = Millis(self._clock.now() - due)
        self._check_reply(plan, request_id, reply, latency, tally)
        return reply

    async def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                await connection.close()
        self._idle_by_address.clear()

    def _pick_daemon(self) -> tuple[str, str]:
        addresses = self._lookup_addresses()
        name = self._rng.choice(sorted(addresses))
        return name, addresses[name]

    async def _send_once(
        self, address: str, plan: Plan, request_id: str, daemon: str
    ) -> HttpReply | HttpFailure:
        self._event_file.add(EventKind.CALLER_SENT, request_id, daemon=daemon)
        headers = {"X-Request-Id": request_id, "Request-Timeout-Ms": str(round(plan.timeout))}
        body = json.dumps(plan.body).encode()
        with move_on_after(Millis(plan.timeout + ANSWER_TIMEOUT_MARGIN)):
            connection = await self._get_connection(address)
            if isinstance(connection, HttpFailure):
                return connection
            reply = await connection.request("POST", plan.path, body, headers | plan.headers)
            if connection.usable:
                self._idle_by_address.setdefault(address, []).append(connection)
            else:
                await connection.close()
            return reply
        return HttpFailure(True, "no answer within the timeout")

    async def _get_connection(self, address: str) -> HttpConnection | HttpFailure:
        idle = self._idle_by_address.get(address, [])
        if idle:
            return idle.pop()
        host, _, port = address.rpartition(":")
        return await HttpConnection.open(host, int(port), CONNECT_TIMEOUT)

    def _check_reply(
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
            self._count_refusal(request_id, reply, document, tally)
            return
        record_latency(tally.latencies, latency)
        tally.answered += 1
        if "snapshot" in document:
            self._check_answer(plan, request_id, document, tally)
        else:
            tally.whole += 1
            self._event_file.add(EventKind.CALLER_ANSWERED, request_id)

    def _count_refusal(
        self, request_id: str, reply: HttpReply, document: dict[str, Any], tally: Tally
    ) -> None:
        tally.refused[document["kind"]] += 1
        self._event_file.add(
            EventKind.CALLER_REFUSED,
            request_id,
            refusal=document["kind"],
            ran=document["ran"],
            retry_after="retry-after" in reply.headers,
        )

    def _check_answer(
        self, plan: Plan, request_id: str, document: dict[str, Any], tally: Tally
    ) -> None:
        """Compare the rows with the matches in the stated snapshot version and covered shards."""
        number = document["snapshot"]["version"]
        version = self._versions[plan.collection][number]
        coverage = document["coverage"]
        missing = {part["shard"]: part["documents"] for part in coverage["missing"]}
        required, optional = _expected_ids(plan, version, missing)
        ids = [row["id"] for row in document["rows"]]
        received = set(ids)
        lost, wrong = len(required - received), len(received - required - optional)
        doubled = len(ids) - len(received)
        if document["request_id"] != request_id:
            wrong += 1
        tally.rows_lost += lost
        tally.rows_doubled += doubled
        tally.rows_wrong += wrong
        tally.whole += not missing
        tally.covered += coverage["covered"]
        tally.total += coverage["total"]
        self._event_file.add(
            EventKind.CALLER_ANSWERED,
            request_id,
            version=number,
            row_versions=sorted({row["version"] for row in document["rows"]}),
            covered=coverage["covered"],
            missing={str(shard): documents for shard, documents in missing.items()},
            documents_by_shard=version.documents_by_shard(),
            lost=lost,
            doubled=doubled,
            wrong=wrong,
        )


def _expected_ids(
    plan: Plan, version: IndexVersion, missing: dict[int, int]
) -> tuple[set[str], set[str]]:
    """Return the row ids that the answer must contain and those that it may contain.

    Rows of shards listed as missing are optional.
    """
    required: set[str] = set()
    optional: set[str] = set()
    for shard, matches in version.matches_by_shard(plan.body).items():
        ids = {row_id(plan.collection, n) for n in matches}
        if shard in missing:
            optional |= ids
        else:
            required |= ids
    return required, optional


def search_plans(
    count: int, path: str, collection: str, timeout: Millis, seed: int, group: str = "all"
) -> list[Plan]:
    """Build searches with random filters, the same ones for the same seed and group."""
    rng = random.Random(f"plans/{seed}/{group}")
    bodies = [{"modulus": 97, "remainder": rng.randrange(97)} for _ in range(count)]
    return [Plan(path, collection, body, timeout, group=group) for body in bodies]
