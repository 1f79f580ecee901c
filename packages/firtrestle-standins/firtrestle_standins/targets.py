"""Stand-in for one target: an instance with searchers, slots and a connection limit."""

from __future__ import annotations

import json
import os
import random
import sys
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import trio
from firtrestle.clocks import Millis, move_on_after, sleep
from firtrestle.events import EventKind
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer

from firtrestle_standins.collections_data import IndexVersion, row_id
from firtrestle_standins.records import EventFile

CRASH_EXIT_CODE = 70


@dataclass(slots=True)
class Faults:
    """Configure the faults that a target injects.

    Shares are probabilities from 0 to 1 per sub-request. A `cross_share` of replies carries the ids
    of an earlier sub-request, and a `lose_reply_share` of submits runs without sending a reply. A
    query whose `poison` equals the target's crashes it. `claimed_load` replaces the true load in
    the status.
    """

    latency_ms: float = 5.0
    latency_spread: float = 0.2
    straggle_share: float = 0.0
    straggle_factor: float = 20.0
    slow_factor: float = 1.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    truncate_share: float = 0.0
    cross_share: float = 0.0
    double_rows_share: float = 0.0
    lose_reply_share: float = 0.0
    poison: str = ""
    draining: bool = False
    starting: bool = False
    claimed_load: float | None = None

    def update(self, changes: dict[str, Any]) -> None:
        """Set fields by name; raise KeyError on an unknown one, after setting those before it."""
        known = {item.name for item in fields(self)}
        for name, value in changes.items():
            if name not in known:
                raise KeyError(name)
            setattr(self, name, value)


@dataclass(slots=True)
class TargetConfig:
    """Configure one target; `shards_by_version` holds shards by version, then by searcher."""

    id: str
    host: str
    port: int
    collection: str
    rows_of: str
    connection_limit: int
    connect_cost_ms: float
    slots: int
    versions: dict[int, IndexVersion]
    shards_by_version: dict[int, dict[str, list[int]]]
    seed: int
    record: Path
    faults: Faults = field(default_factory=Faults)

    @classmethod
    def from_file(cls, path: Path) -> TargetConfig:
        """Read a configuration file written by a rig."""
        raw = json.loads(path.read_text())
        raw["versions"] = {int(n): IndexVersion(int(n), *v) for n, v in raw["versions"].items()}
        raw["shards_by_version"] = {int(n): s for n, s in raw["shards_by_version"].items()}
        raw["record"] = Path(raw["record"])
        raw["faults"] = Faults(**raw.get("faults", {}))
        return cls(**raw)


class Target:
    """Serve searches and submits, and inject faults at random, reproducibly by seed."""

    def __init__(self, config: TargetConfig) -> None:
        self.config = config
        self.faults = config.faults
        self.event_file = EventFile(config.id, config.record)
        self._rng = random.Random(f"{config.seed}/{config.id}")
        self._running_by_searcher: dict[str, int] = {}
        self._scope_by_call: dict[tuple[str, int], trio.CancelScope] = {}
        self._connections = 0
        self._last_identity: dict[str, Any] | None = None
        bounds = HttpBounds(max_body_bytes=1_000_000, idle_timeout=Millis(3_600_000))
        self._server = HttpServer(self.handle, bounds, 100_000, watch_callers=False)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        self.event_file.add(EventKind.STARTED)
        listeners = await trio.open_tcp_listeners(self.config.port, host=self.config.host)
        await trio.serve_listeners(self._accept, listeners)

    async def _accept(self, stream: trio.SocketStream) -> None:
        if self._connections >= self.config.connection_limit:
            self.event_file.add(EventKind.CONNECTIONS_EXCEEDED, open=self._connections)
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            await sleep(Millis(self.config.connect_cost_ms))
            await self._server.serve(stream)
        finally:
            self._connections -= 1

    async def handle(self, request: HttpRequest) -> HttpResponse | None:
        """Route one request; return None to close the connection without a reply."""
        match request.path:
            case "/status":
                return HttpResponse.from_json(self._status())
            case "/control":
                return self._control(json.loads(request.body))
            case "/cancel":
                return self._cancel(json.loads(request.body))
            case "/search" | "/submit":
                return await self._run_sub_request(request, request.path == "/submit")
        return HttpResponse.from_json({"error": "not-found"}, 404)

    def _status(self) -> dict[str, Any]:
        config, faults = self.config, self.faults
        state = "draining" if faults.draining else "starting" if faults.starting else "live"
        names = sorted({n for held in config.shards_by_version.values() for n in held})
        load = sum(self._running_by_searcher.values()) / max(1, config.slots * len(names))
        return {
            "state": state,
            "collection": config.collection,
            "connection_limit": config.connection_limit,
            "load": load if faults.claimed_load is None else faults.claimed_load,
            "searchers": {
                name: {
                    "slots": config.slots,
                    "shards": {
                        str(version): held[name]
                        for version, held in config.shards_by_version.items()
                        if held.get(name)
                    },
                }
                for name in names
            },
            "versions": {
                str(number): {"documents": version.documents_by_shard()}
                for number, version in config.versions.items()
            },
        }

    def _control(self, changes: dict[str, Any]) -> HttpResponse:
        """Set faults, and add or drop index versions."""
        for number, shape in changes.pop("add_versions", {}).items():
            self.config.versions[int(number)] = IndexVersion(int(number), *shape["version"])
            self.config.shards_by_version[int(number)] = shape["shards"]
        for number in changes.pop("drop_versions", []):
            self.config.versions.pop(int(number), None)
            self.config.shards_by_version.pop(int(number), None)
        try:
            self.faults.update(changes)
        except KeyError as error:
            return HttpResponse.from_json({"error": f"unknown fault {error}"}, 400)
        if changes.get("draining"):
            self.event_file.add(EventKind.TARGET_DRAINING)
        return HttpResponse.from_json({"ok": True})

    def _cancel(self, call: dict[str, Any]) -> HttpResponse:
        scope = self._scope_by_call.get((call["request_id"], call["attempt"]))
        if scope is not None:
            scope.cancel()
        return HttpResponse.from_json({"cancelled": scope is not None})

    async def _run_sub_request(self, request: HttpRequest, is_submit: bool) -> HttpResponse | None:
        call = json.loads(request.body)
        version, shard, name = call["version"], call["shard"], call["searcher"]
        self.event_file.add(
            EventKind.TARGET_RECEIVED,
            call["request_id"],
            attempt=call["attempt"],
            shard=shard,
            version=version,
            key=call["key"],
        )
        if self.faults.draining:
            return HttpResponse.from_json({"error": "draining"}, 503)
        if shard not in self.config.shards_by_version.get(version, {}).get(name, []):
            held = sorted(self.config.shards_by_version)
            return HttpResponse.from_json({"error": "snapshot-gone", "versions": held}, 409)
        if self._rng.random() < self.faults.shed_share:
            return HttpResponse.from_json({"error": "shed", "retry_after_ms": 200}, 503)
        running = self._running_by_searcher.get(name, 0) + 1
        self._running_by_searcher[name] = running
        if running > self.config.slots:
            self.event_file.add(EventKind.SLOTS_EXCEEDED, call["request_id"], searcher=name)
        try:
            return await self._execute(request, call, is_submit)
        finally:
            self._running_by_searcher[name] -= 1

    async def _execute(
        self, request: HttpRequest, call: dict[str, Any], is_submit: bool
    ) -> HttpResponse | None:
        budget = Millis(float(request.header("request-timeout-ms", "60000")))
        call_id = (call["request_id"], call["attempt"])
        scope = trio.CancelScope()
        self._scope_by_call[call_id] = scope
        try:
            with scope, move_on_after(budget) as deadline:
                await self._simulate_work(call)
        finally:
            self._scope_by_call.pop(call_id, None)
        if scope.cancelled_caught:
            return HttpResponse.from_json({"error": "cancelled"}, 499)
        if deadline.cancelled_caught:
            return HttpResponse.from_json({"error": "deadline"}, 504)
        if self._rng.random() < self.faults.fail_share:
            return HttpResponse.from_json({"error": "failed"}, 500)
        if is_submit:
            self.event_file.add(EventKind.TARGET_RAN, call["request_id"], key=call["key"])
            if self._rng.random() < self.faults.lose_reply_share:
                return None
        return self._reply(call, is_submit)

    async def _simulate_work(self, call: dict[str, Any]) -> None:
        faults = self.faults
        latency = faults.latency_ms * faults.slow_factor
        latency *= self._rng.uniform(1 - faults.latency_spread, 1 + faults.latency_spread)
        if self._rng.random() < faults.straggle_share:
            latency *= faults.straggle_factor
        if faults.poison and call["query"].get("poison") == faults.poison:
            await sleep(Millis(latency / 2))
            self.event_file.add(EventKind.TARGET_CRASHED, call["request_id"])
            os._exit(CRASH_EXIT_CODE)
        await sleep(Millis(latency))

    def _reply(self, call: dict[str, Any], is_submit: bool) -> HttpResponse:
        """Build the reply, record the documents really served, and inject reply faults."""
        names = ("request_id", "attempt", "collection", "version", "shard")
        identity = {name: call[name] for name in names}
        rows, documents = self._rows(call, is_submit)
        truncated = not is_submit and self._rng.random() < self.faults.truncate_share
        if truncated:
            rows, documents = rows[: len(rows) // 2], documents // 2
        if self._rng.random() < self.faults.cross_share and self._last_identity is not None:
            return HttpResponse.from_json(
                {**self._last_identity, "rows": rows, "documents": documents}
            )
        self._last_identity = identity
        if not is_submit:
            self.event_file.add(
                EventKind.TARGET_SERVED,
                call["request_id"],
                attempt=call["attempt"],
                version=call["version"],
                shard=call["shard"],
                documents=documents,
            )
        if self._rng.random() < self.faults.double_rows_share:
            rows = rows + rows
        reply = {**identity, "rows": rows, "documents": documents, "truncated": truncated}
        return HttpResponse.from_json(reply)

    def _rows(self, call: dict[str, Any], is_submit: bool) -> tuple[list[dict[str, Any]], int]:
        version = self.config.versions[call["version"]]
        if is_submit:
            return [{"id": call["key"], "version": version.number, "receipt": True}], 0
        matches = version.matches(call["shard"], call["query"])
        name = self.config.rows_of
        rows = [{"id": row_id(name, n), "version": version.number} for n in matches]
        return rows, version.documents_by_shard()[call["shard"]]


async def run_all(configs: list[TargetConfig]) -> None:
    """Run several targets in this process, each with its own limits."""
    async with trio.open_nursery() as nursery:
        for config in configs:
            nursery.start_soon(Target(config).run)


def main() -> None:
    """Run the targets of the configuration files named on the command line."""
    trio.run(run_all, [TargetConfig.from_file(Path(path)) for path in sys.argv[1:]])


if __name__ == "__main__":
    main()
