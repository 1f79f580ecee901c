"""Run the daemons of a small deployment between stand-ins of the platform, for the cases 6 to 10.

The stand-ins need the standard library only. All of them run in one event loop; the daemons are
separate processes, started with the command of the deploy file and its settings' template.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
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

REPOSITORY = Path(__file__).resolve().parent.parent
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576
HISTORY_S = 20.0
STORE_DELAY_S = 0.004
RECORD_BYTES = 16
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case


@dataclass
class Request:
    """Represent one HTTP request; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def id(self) -> str:
        """Return the request's id, empty if it has none."""
        return self.headers.get("x-request-id", "")


@dataclass
class Answer:
    """Represent one HTTP answer; `status` is 0 if none came, `complete` if all of it came."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True


class Record:
    """Write what was sent, answered and run, one JSON object a line."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def add(self, what: str, **values: Any) -> None:
        """Write one line."""
        line = {"s": round(self.now(), 3), "what": what, **values}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that comes with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return body


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


Handle = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def serve(handle: Handle, host: str) -> tuple[asyncio.Server, int]:
    """Serve HTTP at a free port of an address."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await handle(Request(method, target, headers, body), writer)
                if writer.is_closing():
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, host, 0, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """Stand in for the platform's store: ranges and watches of keys with one revision counter."""

    def __init__(self, record: Record) -> None:
        self.revision = 1
        self._record = record
        self._items: dict[str, tuple[int, bytes]] = {}
        self._events: list[tuple[float, dict[str, Any]]] = []
        self._oldest_revision = 0  # watches after an earlier one get 410
        self._changed = asyncio.Event()
        self.watch_bytes: list[int] = []

    def put(self, key: str, value: bytes) -> None:
        """Write one item."""
        assert len(value) <= VALUE_BYTES, f"{len(value)} bytes"
        self.revision += 1
        self._items[key] = (self.revision, value)
        self._append(self._item(key))

    def remove(self, key: str) -> None:
        """Remove one item."""
        self.revision += 1
        del self._items[key]
        self._append({"key": key, "revision": self.revision, "tombstone": True})

    def _append(self, event: dict[str, Any]) -> None:
        self._events.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self._items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "created": 2, "lease": 0}

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        await asyncio.sleep(STORE_DELAY_S)
        query = {
            name: values[0] for name, values in parse_qs(urlsplit(request.target).query).items()
        }
        status, body = 404, {}
        if request.path == "/kv-range":
            status, body = 200, self._range(query)
        elif request.path == "/kv-watch":
            status, body = await self._watch(query)
        data = json.dumps(body, separators=(",", ":")).encode()
        if request.path == "/kv-watch":
            self.watch_bytes.append(len(data))
        writer.write(encode_answer(status, {"Content-Type": "application/json"}, data))

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            item = self._item(key)
            size += len(item["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(item)
        more = len(page) < len(keys)
        return {"items": page, "morePages": more, "storeRevision": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            self._drop_history()
            if after < self._oldest_revision or after > self.revision:
                return 410, {"error": "history"}
            found = [
                event
                for _, event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _drop_history(self) -> None:
        oldest = time.monotonic() - HISTORY_S
        while self._events and self._events[0][0] < oldest:
            self._oldest_revision = self._events.pop(0)[1]["revision"]


def stamp(searcher_id: str, request_id: str) -> str:
    """Return a searcher's digest for a request."""
    return hashlib.sha1(f"{searcher_id} {request_id}".encode()).hexdigest()[:16]


class Searcher:
    """Stand in for a sound searcher; `answer` may replace what it answers after a run."""

    def __init__(self, id_: str, service: str, zone: str, host: str, record: Record) -> None:
        self.id, self.service, self.zone, self.host = id_, service, zone, host
        self.work_s = 0.01
        self.body = hashlib.sha1(id_.encode()).digest()[:RECORD_BYTES]
        self.ran: dict[str, int] = {}
        self.replace_answer: Callable[[Request], Answer | None] = lambda request: None
        self._record = record
        self._port = 0

    async def start(self) -> None:
        """Begin to serve."""
        self._server, self._port = await serve(self._handle, self.host)

    def entry(self, **changes: Any) -> bytes:
        """Return the entry in the store."""
        values = {
            "service": self.service,
            "address": f"{self.host}:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 3,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
        }
        return json.dumps(values | changes).encode()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path == "/health":
            writer.write(encode_answer(200, {"X-Instance-Id": self.id}, b""))
            return
        expected = request.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(encode_answer(421, {"X-Instance-Id": self.id}, b""))
            return
        if not request.id:
            writer.write(encode_answer(400, {"X-Not-Executed": "1"}, b""))
            return
        self.ran[request.id] = self.ran.get(request.id, 0) + 1
        self._record.add("run", searcher=self.id, id=request.id, target=request.target)
        await asyncio.sleep(self.work_s)
        answer = self.replace_answer(request) or Answer(200, {}, self.body)
        headers = {
            "X-Request-Id": request.id,
            "X-Server-Stamp": stamp(self.id, request.id),
            "X-Server-Load": "0,0,3",
            **answer.headers,
        }
        writer.write(encode_answer(answer.status, headers, answer.body))


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings' template; of sections it knows those of one value."""

    def find(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value = find(path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    def section(match: re.Match[str]) -> str:
        value = find(match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.|]+)\}\}", fill, text)


class Daemon:
    """Run one daemon as the deploy file says."""

    def __init__(self, name: str, zone: str, host: str, folder: Path, record: Record) -> None:
        self.name, self.zone, self.host = name, zone, host
        self.ports = free_ports(host, 3)
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        """Return the address for other daemons."""
        return f"{self.host}:{self.ports[2]}"

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        assert self._process is not None
        return self._process.pid

    async def start(self, store_address: str, seeds: list[str], memory_mb: int = 300) -> None:
        """Write the settings and start the process."""
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["daemon"]
        front, ready, control = (f"{self.host}:{port}" for port in self.ports)
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.host,
            "listenAddrs": {"front": front, "ready": ready, "control": control},
            "seeds": seeds,
            "limits": {"memoryMb": memory_mb},
            "heartbeatMs": 1_200,
            "bounds": {
                "retryBudgetRatio": 0.2,
                "retrySlack": 54,
                "budgetWindowS": 10,
                "graceS": 6,
                "drainMs": 3_000,
            },
            "platform": {"address": store_address},
        }
        settings = self._folder / f"{self.name}.yaml"
        settings.write_text(render((REPOSITORY / role["template"]).read_text(), fields))
        words = [
            str(settings) if word == "/etc/firtrestle/settings.yaml" else word
            for word in role["run"].split()
        ]
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["FIRTRESTLE_SETTINGS"] = str(settings)
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            *words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        self._record.add("daemon started", daemon=self.name, pid=self.pid)

    def memory_mb(self) -> int:
        """Return the resident memory of the process in MiB, 0 if it doesn't run."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        match = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        return int(match[1]) // 1_024 if match else 0

    def log_lines(self, text: str) -> list[str]:
        """Return the log lines that contain a text."""
        lines = (self._folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]

    async def is_ready(self) -> bool:
        """Return whether the daemon answers 200 at its ready address."""
        answer = await ask(self.host, self.ports[1], "platform", "/ready", "", time_limit_s=1.0)
        return answer.status == 200

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.is_running():
            os.kill(self.pid, number)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            await self._process.wait()


def free_ports(host: str, count: int) -> list[int]:
    """Return distinct free ports of an address."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


async def ask(
    host: str,
    port: int,
    route_host: str,
    target: str,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    time_limit_s: float = 1.5,
) -> Answer:
    """Send one request on a new connection, as a client does, and return its answer."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {route_host}"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    lines.append(f"X-Deadline-Ms: {int(time_limit_s * 1_000)}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer: asyncio.StreamWriter | None = None
    answer = Answer(0, complete=False)
    try:
        async with asyncio.timeout(time_limit_s + 0.5):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is not None:
                answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
                answer.body = await read_body(reader, head[1])
                answer.complete = True
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class Deployment:
    """Hold the daemons and stand-ins of one case."""

    def __init__(self, record_file: Path, zones: int = 3) -> None:
        self.record = Record(record_file)
        # An own loopback network for each process, so that cases can run side by side.
        number = os.getpid() % 60_000
        self._network = f"127.{number // 250 + 1}.{number % 250 + 1}"
        self.zones = [f"zone-{index + 1}" for index in range(zones)]
        self.store = Store(self.record)
        self.searchers: list[Searcher] = []
        self.daemons: list[Daemon] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store_address = ""

    def host(self, number: int) -> str:
        """Return one of the case's loopback addresses."""
        return f"{self._network}.{number}"

    async def start_store(self) -> None:
        """Begin to serve the store."""
        self._store_server, port = await serve(self.store.handle, self.host(1))
        self.store_address = f"{self.host(1)}:{port}"

    async def add_searchers(self, service: str, count: int = 3) -> list[Searcher]:
        """Start the searchers of a service and enter them in the store."""
        added = []
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            searcher = Searcher(f"i-{service}-{index}", service, zone, self.host(2), self.record)
            await searcher.start()
            self.store.put(f"servers/{searcher.id}", searcher.entry())
            added.append(searcher)
        self.searchers += added
        return added

    async def start_daemons(self, count: int = 3, memory_mb: int = 300) -> bool:
        """Start the daemons; return whether all are ready in time."""
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            name = f"front-{zone}-{index + 1}"
            host = self.host(10 + index)
            self.daemons.append(Daemon(name, zone, host, self._folder, self.record))
        seeds = [daemon.control for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            await daemon.start(self.store_address, seeds, memory_mb)
        for _ in range(200):
            if all([await daemon.is_ready() for daemon in self.daemons]):
                self.record.add("all daemons ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(
        self,
        daemon: Daemon,
        route_host: str,
        target: str,
        request_id: str,
        method: str = "GET",
        body: bytes = b"",
        time_limit_s: float = 1.5,
    ) -> Answer:
        """Send one request to a daemon, and record its answer."""
        self.record.add("sent", daemon=daemon.name, id=request_id, target=target)
        answer = await ask(
            daemon.host, daemon.ports[0], route_host, target, request_id, method, body, time_limit_s
        )
        self.record.add(
            "answered",
            daemon=daemon.name,
            id=request_id,
            status=answer.status,
            complete=answer.complete,
            stamp=answer.headers.get("x-server-stamp"),
        )
        return answer

    async def stop(self) -> None:
        """End all processes of the case."""
        for daemon in self.daemons:
            await daemon.stop()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self._folder, ignore_errors=True)

    def ran(self) -> dict[str, int]:
        """Return how often each request ran, over all searchers."""
        total: dict[str, int] = {}
        for searcher in self.searchers:
            for request_id, times in searcher.ran.items():
                total[request_id] = total.get(request_id, 0) + times
        return total


def desired_state(version: int, routes: list[dict[str, Any]], services: list[str]) -> bytes:
    """Return a desired state in the store's form."""
    state = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 39, "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }
    return json.dumps(state, separators=(",", ":")).encode()


def run_case(record_file: Path, case: Callable[[Deployment, bool], Awaitable[int]]) -> None:
    """Run a case with or without its disruption, end all its processes, and exit."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        deployment = Deployment(record_file)
        try:
            async with asyncio.timeout(110):
                return await case(deployment, is_troubled)
        except TimeoutError:
            deployment.record.add("the case took too long")
            return NOT_RUN
        finally:
            await deployment.stop()

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
