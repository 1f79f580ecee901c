"""Stand-ins of the platform's store, searchers and clients, and daemons as processes.

Only the standard library is used. A case defines what happens, and calls `run_case`.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
# A loopback address of this process, so that plays side by side don't take each other's ports.
HOST = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}.1"
HEARTBEAT_S = 1.2
CASE_TIMEOUT_S = 112.0
# `run.sh` turns the second into 1: a Python program that fails to start exits with 1, too.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Figures of the settings page, as on the sheet of a small installation.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 58,
    "recoveryS": 12,
}


class CannotRun(Exception):
    """Report that the case could not be played."""


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Append a line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


@dataclass
class Message:
    """Represent one HTTP message; header names are lower case."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length, or None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = [line.partition(":") for line in lines[1:] if line]
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Message(lines[0], headers, body)


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpService:
    """Serve connections on one loopback port, until it is stopped."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Accept connections; a service that listens again keeps its port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(self, request: Message) -> bytes | None:
        """Return the encoded response, or None to close the connection without one."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                encoded = await self.answer(request)
                if encoded is None:
                    return
                writer.write(encoded)
                await writer.drain()
        except (ConnectionError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


@dataclass
class StoreCopy:
    """Hold the contents of the store at one moment."""

    revision: int
    items: dict[str, tuple[int, bytes]]
    events: list[dict[str, Any]]


class Store(HttpService):
    """Serve keys, ranges and watches; every write is acknowledged when the call returns."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.era = 1
        self.is_away = False
        self.revision = 1
        self.items: dict[str, tuple[int, bytes]] = {}
        self.events: list[dict[str, Any]] = []
        self._record = record
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write a value; nothing changes if only its `sequence` does."""
        held = self.items.get(key)
        if held is not None and _without_sequence(json.loads(held[1])) == _without_sequence(value):
            return
        self.revision += 1
        self.items[key] = (self.revision, json.dumps(value).encode())
        self._add_event(self._item(key))
        summary = {name: value[name] for name in ("version", "state", "born") if name in value}
        self._record.add(f"store: {key} written at revision {self.revision} {summary}")

    def copy(self) -> StoreCopy:
        """Take a copy of the contents."""
        return StoreCopy(self.revision, dict(self.items), list(self.events))

    def go_away(self) -> None:
        """Cut waiting calls and turn new ones away."""
        self.is_away = True
        self.reset_connections()
        self._record.add(f"store: away, at revision {self.revision}")

    def come_back(self, copy: StoreCopy | None = None) -> None:
        """Serve again; with a copy, from that copy and with the next era."""
        if copy is not None:
            self.era += 1
            self.revision, self.items, self.events = copy.revision, copy.items, copy.events
        self.is_away = False
        self._record.add(f"store: back, era {self.era}, at revision {self.revision}")

    async def answer(self, request: Message) -> bytes | None:
        """Answer a range, a key or a watch."""
        if self.is_away:
            return self._response(503, {"error": "away"})
        parts = urlsplit(request.start.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-range":
            return self._range(query)
        if parts.path == "/kv-watch":
            return await self._watch(query)
        if parts.path == "/kv-key" and query.get("key") in self.items:
            return self._response(200, self._item(query["key"]))
        return self._response(404, {"error": "not found"})

    def _range(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self._item(key) for key in keys[:500]]
        body = {"items": items, "morePages": len(keys) > 500, "storeRevision": self.revision}
        return self._response(200, body)

    async def _watch(self, query: dict[str, str]) -> bytes | None:
        prefix, after = query.get("prefix", ""), int(query["after"])
        era, ends_at = self.era, time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if self.is_away or self.era != era:
                return None
            if after > self.revision:
                return self._response(410, {"error": "no such revision"})
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return self._response(200, {"events": found, "storeRevision": self.revision})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.5))
            except TimeoutError:
                continue

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "created": 1, "lease": 0}

    def _add_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _response(self, status: int, value: dict[str, Any]) -> bytes:
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return response(status, headers, json.dumps(value).encode())


def _without_sequence(value: dict[str, Any]) -> dict[str, Any]:
    return {name: field_value for name, field_value in value.items() if name != "sequence"}


@dataclass
class Arrival:
    """Represent one request that reached a searcher; `ran` tells whether it began to run it."""

    at: float
    searcher: str
    request_id: str
    path: str
    ran: bool


class Searcher(HttpService):
    """Serve requests as a sound searcher does, and check in at the store."""

    def __init__(self, rig: Rig, name: str, service: str, zone: str) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.born = 0
        self.is_up = False
        self.work_s = 0.01
        self.crashing_paths: set[str] = set()
        self._rig = rig
        self._sequence = 0

    def entry(self) -> dict[str, Any]:
        """Return the registration."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 3,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def start(self) -> None:
        """Start a new lifetime, and register."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        await self.listen()
        self.is_up = True
        self._rig.record.add(f"searcher {self.name}: started, born {self.born}")
        self.check_in()

    def check_in(self) -> None:
        """Write the registration, unless the store is away."""
        if self.is_up and not self._rig.store.is_away:
            self._rig.store.put(f"servers/{self.name}", self.entry())

    def crash(self) -> None:
        """End without a word, as a process that is killed."""
        self.is_up = False
        self.stop()
        self._rig.record.add(f"searcher {self.name}: crashed")

    async def answer(self, request: Message) -> bytes | None:
        """Run one request, or reject it."""
        path = request.start.split(" ")[1]
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return response(421, {"X-Instance-Id": self.name})
        arrival = Arrival(self._rig.record.now(), self.name, request_id, path, ran=True)
        self._rig.arrivals.append(arrival)
        self._rig.record.add(f"searcher {self.name}: runs {request_id} {path}")
        if path in self.crashing_paths:
            self.crash()
            self._rig.tasks.append(asyncio.ensure_future(self._restart()))
            return None
        await asyncio.sleep(self.work_s)
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.name}.{request_id}",
            "X-Instance-Id": self.name,
        }
        return response(200, headers, self.service.encode().ljust(16, b"."))

    async def _restart(self) -> None:
        await asyncio.sleep(self._rig.restart_s)
        await self.start()


@dataclass
class Answer:
    """Represent what a client got; status 0 stands for a connection that ended without one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """Send requests to one daemon over a connection that is kept while the daemon keeps it."""

    def __init__(self, rig: Rig, daemon: Daemon) -> None:
        self._rig = rig
        self._daemon = daemon
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        rig.clients.append(self)

    async def send(
        self, path: str, method: str = "GET", body: bytes = b"", deadline_ms: int = 2000
    ) -> Answer:
        """Send one request with an id of its own, and return its answer."""
        request_id = self._rig.next_id()
        answer = await self._exchange(request_id, path, method, body, deadline_ms)
        self._rig.record.add(
            f"client of {self._daemon.name}: {request_id} {method} {path}"
            f" {len(body)} bytes -> {answer.status}"
        )
        return answer

    async def _exchange(
        self, request_id: str, path: str, method: str, body: bytes, deadline_ms: int
    ) -> Answer:
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"X-Request-Id: {request_id}"]
        lines.append(f"X-Deadline-Ms: {deadline_ms}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        try:
            if self._streams is None:
                port = self._daemon.ports["front"]
                self._streams = await asyncio.open_connection(HOST, port)
            reader, writer = self._streams
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
        except (ConnectionError, OSError, TimeoutError):
            message = None
        if message is None or message.headers.get("connection", "").lower() == "close":
            self.close()
        if message is None:
            return Answer(0)
        return Answer(int(message.start.split(" ")[1]), message.headers, message.body)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class Daemon:
    """Run one daemon with the command of the deploy file and the deployed settings' template."""

    def __init__(self, rig: Rig, number: int, zone: str, ports: list[int]) -> None:
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ports = dict(zip(("front", "ready", "control"), ports, strict=True))
        self.process: asyncio.subprocess.Process | None = None
        self._rig = rig

    async def start(self, seeds: list[str]) -> None:
        """Start the process, with its output in a file of the temporary folder."""
        role = self._rig.deploy["roles"]["daemon"]
        settings = self._rig.folder / f"{self.name}.yaml"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(fill_in(template, self._fields(seeds)))
        words = [
            str(settings) if word == "/etc/firtrestle/settings.yaml" else word
            for word in role["run"].split(" ")
        ]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["FIRTRESTLE_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._rig.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the daemon reports itself ready."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.transport.abort()
        except (ConnectionError, OSError, TimeoutError):
            return False
        return message is not None and " 200 " in message.start

    async def stop(self) -> None:
        """Kill the process that this daemon started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def _fields(self, seeds: list[str]) -> dict[str, Any]:
        addresses = {use: f"{HOST}:{port}" for use, port in self.ports.items()}
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": HOST,
            "listenAddrs": addresses,
            "seeds": seeds,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {"address": f"{HOST}:{self._rig.store.port}", "form": "read"},
        }


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders of a settings' template, as the deploy page describes them."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[name]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([A-Za-z.]+)(\|json)?\}\}", value, template)


def free_ports(count: int) -> list[int]:
    """Return distinct free ports of the loopback address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((HOST, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def route(name: str, prefix: str, service: str, kind: str = "idempotent") -> dict[str, Any]:
    """Return a route to one service."""
    return {
        "name": name,
        "hostname": "h.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 200,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
    }


class Rig:
    """Hold the stand-ins and the daemons of one case."""

    def __init__(self, folder: Path, record: Record, daemons: int) -> None:
        self.folder = folder
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.store = Store(record)
        self.searchers: dict[str, Searcher] = {}
        ports = free_ports(3 * daemons)
        self.daemons = [
            Daemon(self, n + 1, f"z{n % 3}", ports[3 * n : 3 * n + 3]) for n in range(daemons)
        ]
        self.clients: list[Client] = []
        self.arrivals: list[Arrival] = []
        self.tasks: list[asyncio.Future[Any]] = []
        self.restart_s = 2.0
        self.version = 0
        self.limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        self.routes: list[dict[str, Any]] = []
        self.services: list[str] = []
        self._ids = 0

    def next_id(self) -> str:
        """Return the id of the next request."""
        self._ids += 1
        return f"q{self._ids:06d}"

    def publish(self) -> None:
        """Write the next version of the desired state."""
        self.version += 3
        self.write_state()
        self.record.add(f"operator: version {self.version} acknowledged")

    def write_state(self) -> None:
        """Write the present version of the desired state."""
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 60, "protocol": "h1", "tls": False}
            for name in self.services
        ]
        state = {
            "version": self.version,
            "routes": self.routes,
            "services": services,
            "limits": self.limits,
        }
        self.store.put("op/config", state)

    async def add_searchers(self, service: str, count: int) -> list[Searcher]:
        """Start searchers of a service."""
        added = []
        for _ in range(count):
            number = sum(searcher.service == service for searcher in self.searchers.values())
            searcher = Searcher(self, f"i-{service}{number}", service, f"z{number % 3}")
            self.searchers[searcher.name] = searcher
            await searcher.start()
            added.append(searcher)
        return added

    async def start_daemons(self) -> None:
        """Start all daemons, and wait until they are ready and know each other."""
        seeds = [f"{HOST}:{daemon.ports['control']}" for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            await daemon.start(seeds)
        ends_at = time.monotonic() + 25
        while not all([await daemon.is_ready() for daemon in self.daemons]):
            if time.monotonic() > ends_at:
                codes = {
                    daemon.name: daemon.process and daemon.process.returncode
                    for daemon in self.daemons
                }
                raise CannotRun(f"the daemons were not ready within 25 s: {codes}")
            await asyncio.sleep(0.1)
        self.record.add("all daemons are ready")
        await asyncio.sleep(4)

    async def run_heartbeats(self) -> None:
        """Let all searchers check in, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for searcher in list(self.searchers.values()):
                searcher.check_in()

    async def close(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        for daemon in self.daemons:
            await daemon.stop()
        for searcher in self.searchers.values():
            searcher.stop()
        self.store.stop()
        await asyncio.sleep(0.2)  # lets the event loop see the ends of the connections


async def _play(case: Callable[[Rig], Awaitable[list[str]]], rig: Rig) -> list[str]:
    try:
        await rig.store.listen()
        rig.tasks.append(asyncio.ensure_future(rig.run_heartbeats()))
        violations = await asyncio.wait_for(case(rig), CASE_TIMEOUT_S)
        ended = [
            daemon.name
            for daemon in rig.daemons
            if daemon.process is None or daemon.process.returncode is not None
        ]
        if ended:
            raise CannotRun(f"daemons ended: {ended}")
        return violations
    finally:
        await rig.close()


def run_case(case: Callable[[Rig], Awaitable[list[str]]], daemons: int = 3) -> None:
    """Play a case, write `record.txt` in the working folder, and exit with its result."""
    record = Record(Path("record.txt"))
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    status = EXIT_NOT_RUN
    try:
        violations = asyncio.run(_play(case, Rig(folder, record, daemons)))
        for violation in violations:
            record.add(f"BROKEN {violation}")
        status = EXIT_BROKEN if violations else EXIT_HELD
    except Exception as error:
        record.add(f"could not run: {error!r}")
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.add(f"result {status}, with TROUBLE={int(TROUBLE)}")
    print(Path("record.txt").read_text().splitlines()[-1])
    sys.exit(status)
