"""Compare queries through one daemon with a direct scatter: `python -m bench.overheads`."""

from __future__ import annotations

import itertools
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis
from firtrestle.http_clients import HttpConnection, HttpReply
from firtrestle.latencies import new_histogram, percentile, record_latency
from firtrestle_standins.rigs import Rig
from firtrestle_standins.shapes import REGISTRY, REVIEW_DESK, Shape

from bench.slopes import measure

FIGURES_FOLDER = Path(__file__).parents[1] / "docs" / "design" / "figures"
ROUNDS = 5
QUERIES_PER_ROUND = 60
CALLERS = 8
THROUGHPUT_SECONDS = 8.0
LATENCY_MS = 10.0
CATALOGUE = """
entries:
  corners: {owner: bench, collection: corners, timeout_ms: 10000, canary: never}
  registry: {owner: bench, collection: registry, timeout_ms: 10000, canary: never}
"""

SendQuery = Callable[[], Awaitable[bool]]


class DirectScatter:
    """Query the first searcher of each shard, over one keep-alive connection per shard."""

    def __init__(self, rig: Rig, shape: Shape) -> None:
        self._rig = rig
        self._shape = shape
        self._numbers = itertools.count(1)
        self._connection_by_shard: dict[int, HttpConnection] = {}
        self._target_and_searcher_by_shard: dict[int, tuple[str, str]] = {}

    async def open(self) -> None:
        """Open the connection for each shard."""
        shards_by_searcher_by_target = self._shape.place_shards(self._shape.version(1))
        for target, shards_by_searcher in shards_by_searcher_by_target.items():
            for searcher, shards in shards_by_searcher.items():
                for shard in shards:
                    self._target_and_searcher_by_shard.setdefault(shard, (target, searcher))
        for shard, (target, _) in self._target_and_searcher_by_shard.items():
            host, _, port = self._rig.by_name[target].address.rpartition(":")
            opened = await HttpConnection.open(host, int(port), Millis(2_000))
            assert isinstance(opened, HttpConnection)
            self._connection_by_shard[shard] = opened

    async def send_query(self) -> bool:
        """Send one query to all shards, and return whether all answered with 200."""
        number = next(self._numbers)
        succeeded: list[bool] = []
        async with trio.open_nursery() as nursery:
            for shard in self._connection_by_shard:
                nursery.start_soon(self._query_shard, number, shard, succeeded)
        return all(succeeded)

    async def _query_shard(self, number: int, shard: int, succeeded: list[bool]) -> None:
        body = {
            "request_id": f"direct-{number}",
            "attempt": 1,
            "searcher": self._target_and_searcher_by_shard[shard][1],
            "collection": self._shape.collection,
            "version": 1,
            "shard": shard,
            "query": {"modulus": 97, "remainder": number % 97},
            "key": "",
        }
        connection = self._connection_by_shard[shard]
        reply = await connection.request("POST", "/search", json.dumps(body).encode())
        succeeded.append(isinstance(reply, HttpReply) and reply.status == 200)


async def _connect_to_daemon(address: str, collection: str) -> tuple[SendQuery, HttpConnection]:
    host, _, port = address.rpartition(":")
    connection = await HttpConnection.open(host, int(port), Millis(2_000))
    assert isinstance(connection, HttpConnection)
    numbers = itertools.count()

    async def send_query() -> bool:
        body = json.dumps({"modulus": 97, "remainder": next(numbers) % 97}).encode()
        reply = await connection.request("POST", f"/collections/{collection}", body)
        return isinstance(reply, HttpReply) and reply.status == 200

    return send_query, connection


async def compare_latency(rig: Rig, shape: Shape) -> dict[str, float]:
    """Alternate between direct and daemon queries; return p50 and p99 in ms, and their ratios."""
    direct = DirectScatter(rig, shape)
    await direct.open()
    send_query, _ = await _connect_to_daemon(rig.by_name["d1"].address, shape.collection)
    clock = Clock()
    histograms = {"direct": new_histogram(), "daemon": new_histogram()}
    for _ in range(ROUNDS):
        for name, send in (("direct", direct.send_query), ("daemon", send_query)):
            for _ in range(QUERIES_PER_ROUND):
                started_at = clock.now()
                assert await send()
                record_latency(histograms[name], Millis(clock.now() - started_at))
    figures = {
        f"{name}_p{percent}": percentile(histogram, percent)
        for name, histogram in histograms.items()
        for percent in (50, 99)
    }
    for percent in (50, 99):
        ratio = figures[f"daemon_p{percent}"] / figures[f"direct_p{percent}"]
        figures[f"ratio_p{percent}"] = round(ratio, 3)
    return figures


async def throughput(rig: Rig, shape: Shape) -> dict[str, float]:
    """Return the throughput of one daemon under closed-loop callers, and its CPU and memory use."""
    answered = 0
    costs = []

    async def run_caller(send_query: SendQuery) -> None:
        nonlocal answered
        while True:
            # Awaited in a statement of its own: `answered += await ...` would read the sum before
            # the wait, and lose what other callers add meanwhile.
            succeeded = await send_query()
            answered += succeeded

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            send_query, _ = await _connect_to_daemon(rig.by_name["d1"].address, shape.collection)
            nursery.start_soon(run_caller, send_query)
        await trio.sleep(1)
        answered_before, started_at = answered, rig.clock.now()
        costs.append(await measure(rig, THROUGHPUT_SECONDS))
        elapsed_s = (rig.clock.now() - started_at) / MILLIS_PER_SECOND
        rate = (answered - answered_before) / elapsed_s
        nursery.cancel_scope.cancel()
    (cost,) = costs
    return {
        "queries_per_second": round(rate, 1),
        "cpu_percent": round(cost.cpu_percent, 1),
        "memory_mb": round(cost.memory_mb, 1),
    }


async def run() -> dict[str, dict[str, float]]:
    """Measure latency over the review desk's shape, and throughput over it and the registry's."""
    rig = Rig()
    try:
        await rig.start_platform()
        for shape in (REVIEW_DESK, REGISTRY):
            await rig.start_targets(shape, {"latency_ms": LATENCY_MS})
        await rig.publish_catalogue(CATALOGUE)
        await rig.start_daemons(1)
        await rig.wait_until_ready()
        return {
            "latency at 30 shards, ms": await compare_latency(rig, REVIEW_DESK),
            "throughput at 30 shards": await throughput(rig, REVIEW_DESK),
            "throughput at 4 shards": await throughput(rig, REGISTRY),
        }
    finally:
        rig.close()


def main() -> None:
    """Print the figures, and write them to the design documents' figures."""
    figures = trio.run(run)
    FIGURES_FOLDER.mkdir(parents=True, exist_ok=True)
    text = json.dumps(figures, indent=1)
    (FIGURES_FOLDER / "overheads.json").write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
