"""Run daemons and stand-ins as processes, inject failures, and collect the recorded events."""

from __future__ import annotations

import json
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.events import Event
from firtrestle.http_clients import HttpReply, fetch
from firtrestle.traces import load_trace, merge

from firtrestle_standins.collections_data import IndexVersion
from firtrestle_standins.shapes import Shape

HOST = "127.0.0.1"
# One address per daemon number, so that a relay can tell which daemon connects.
LINKED_HOST = "127.0.1.{}"
FIRST_PORT = 20_000
LAST_PORT = 30_000  # exclusive; below the ephemeral ports of the operating system
START_TIMEOUT = Millis(20_000)
STOP_TIMEOUT = Millis(15_000)
POLL_INTERVAL = Millis(50)
REQUEST_TIMEOUT = Millis(5_000)
MAX_ERROR_CHARACTERS = 6_000  # per daemon
COLLECT_INTERVAL = Millis(500)


class RigFailure(RuntimeError):
    """Report that a process did not start, stop, become ready or accept a control request."""


@dataclass(slots=True)
class Process:
    """Represent one started process."""

    name: str
    address: str
    handle: subprocess.Popen[bytes]
    log: Path
    command: list[str]

    @property
    def running(self) -> bool:
        """Return whether the process has not exited."""
        return self.handle.poll() is None


@dataclass(slots=True)
class Rig:
    """Control a fleet of processes whose logs, settings and event files share one folder."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="firtrestle-")))
    seed: int = 1
    daemon_settings: dict[str, Any] = field(default_factory=dict)
    by_name: dict[str, Process] = field(default_factory=dict)
    vms: list[dict[str, Any]] = field(default_factory=list)
    shape_by_collection: dict[str, Shape] = field(default_factory=dict)
    versions: dict[str, dict[int, IndexVersion]] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    clock: Clock = field(default_factory=Clock)
    _rng: random.Random = field(default_factory=random.SystemRandom)
    _relays: list[dict[str, Any]] = field(default_factory=list)
    _used_ports: set[int] = field(default_factory=set)
    _last_seq_by_process: dict[tuple[str, int], int] = field(default_factory=dict)

    def free_port(self) -> int:
        """Return a port that no process listens on and that this rig has not returned before."""
        while True:
            port = self._rng.randrange(FIRST_PORT, LAST_PORT)
            if port in self._used_ports:
                continue
            self._used_ports.add(port)
            with socket.socket() as probe:
                if probe.connect_ex((HOST, port)) != 0:
                    return port

    def spawn(self, name: str, address: str, command: list[str]) -> Process:
        """Start a process that logs to the rig's folder, and register it by name."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            handle = subprocess.Popen(
                command, stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )
        process = Process(name, address, handle, log, command)
        self.by_name[name] = process
        return process

    async def start_platform(self) -> None:
        """Start one process that serves the configuration and the VM list."""
        port = self.free_port()
        module = "firtrestle_standins.platforms"
        record = self.folder / "platform.jsonl"
        command = [sys.executable, "-m", module, HOST, str(port), str(record)]
        self.spawn("platform", f"{HOST}:{port}", command)
        await self._wait_until_answering("platform", "/calls")

    async def start_targets(
        self,
        shape: Shape,
        faults: dict[str, Any] | None = None,
        version: int = 1,
        per_process: int = 1,
    ) -> None:
        """Start the instances of a collection, `per_process` in each, and add them to the VMs."""
        index_version = shape.version(version)
        self.shape_by_collection[shape.collection] = shape
        self.versions.setdefault(shape.collection, {})[version] = index_version
        paths = [
            self._prepare_target(shape, index, target_id, index_version, faults or {})
            for index, target_id in enumerate(shape.target_ids())
        ]
        for first in range(0, len(paths), per_process):
            self._spawn_targets(shape.target_ids()[first], paths[first : first + per_process])
        for target_id in shape.target_ids()[::per_process]:
            await self._wait_until_answering(target_id, "/status")

    def _spawn_targets(self, name: str, paths: list[Path]) -> None:
        address = next(f"{vm['host']}:{vm['port']}" for vm in self.vms if vm["id"] == name)
        command = [sys.executable, "-m", "firtrestle_standins.targets", *map(str, paths)]
        self.spawn(name, address, command)

    def _prepare_target(
        self, shape: Shape, index: int, target_id: str, version: IndexVersion, faults: dict
    ) -> Path:
        """Write a target's configuration file and add the target to the VM list."""
        port = self.free_port()
        config = shape.target_config(index, version)
        config |= {"host": HOST, "port": port, "seed": self.seed, "faults": faults}
        config["record"] = str(self.folder / f"{target_id}.jsonl")
        path = self.folder / f"{target_id}.json"
        path.write_text(json.dumps(config))
        self.vms.append(
            {
                "id": target_id,
                "kind": "target",
                "data_centre": f"dc{index % 2 + 1}",
                "host": HOST,
                "port": port,
                "collection": shape.collection,
                "state": "live",
            }
        )
        return path

    async def start_daemons(
        self, count: int, data_centres: int = 2, first: int = 1, through_links: bool = False
    ) -> None:
        """Start daemons and publish them as VMs; `through_links` lets `split` cut their links."""
        names = [f"d{number}" for number in range(first, first + count)]
        for offset, name in enumerate(names):
            number = first + offset
            host = LINKED_HOST.format(number) if through_links else HOST
            self._write_settings(name, f"dc{(number - 1) % data_centres + 1}", host, through_links)
        if through_links:
            await self._start_links()
        await self.publish_vms()
        for name in names:
            self.start_daemon(name)
        for name in names:
            await self._wait_until_answering(name, "/-/live")

    def start_daemon(self, name: str) -> None:
        """Start or restart a daemon whose settings file exists."""
        settings = self.folder / f"{name}.yaml"
        vm = next(vm for vm in self.vms if vm["id"] == name)
        command = [sys.executable, "-m", "firtrestle.daemon", str(settings)]
        self.spawn(name, f"{vm['host']}:{vm['port']}", command)

    async def _start_links(self) -> None:
        """Start one process with the relays of all linked daemons."""
        port = self.free_port()
        config = {"host": HOST, "port": port, "relays": self._relays}
        path = self.folder / "links.json"
        path.write_text(json.dumps(config))
        command = [sys.executable, "-m", "firtrestle_standins.links", str(path)]
        self.spawn("links", f"{HOST}:{port}", command)
        await self._wait_until_answering("links", "/")

    async def split(self, side_by_daemon: dict[str, int]) -> None:
        """Cut the links between daemons on different sides; an empty mapping restores all links."""
        host_by_id = {vm["id"]: vm["host"] for vm in self.vms}
        sides = {host_by_id[name]: side for name, side in side_by_daemon.items()}
        await self.control("links", sides=sides)

    def _write_settings(
        self, name: str, data_centre: str, host: str = HOST, linked: bool = False
    ) -> None:
        port, peer_port = self.free_port(), self.free_port()
        advertised = self.free_port() if linked else peer_port
        if linked:
            relay = {"host": host, "peer_port": peer_port, "relay_port": advertised}
            self._relays.append(relay)
        platform = self.by_name["platform"].address
        settings: dict[str, Any] = {
            "daemon": {
                "id": name,
                "data_centre": data_centre,
                "address": host,
                "port": port,
                "peer_port": peer_port,
                "advertised_peer_port": advertised,
            },
            "platform": {
                "configuration_service": platform,
                "vm_list": platform,
                "list_lag_ms": 300,
                "retry_ms": 500,
            },
            "front": {"drain_ms": 1_500},
        }
        for section, values in self.daemon_settings.items():
            settings[section] = settings.get(section, {}) | values
        (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(settings))
        self.vms.append(
            {
                "id": name,
                "kind": "daemon",
                "data_centre": data_centre,
                "host": host,
                "port": port,
                "peer_port": advertised,
                "state": "live",
            }
        )

    async def publish_vms(self) -> None:
        """Publish the current VM list on the platform."""
        await self.control("platform", name="vms", text=json.dumps({"vms": self.vms}))

    async def publish_catalogue(self, text: str, **options: Any) -> None:
        """Publish a catalogue; `options` are passed to the platform's control request."""
        await self.control("platform", name="catalogue", text=text, **options)

    async def control(self, process: str, **changes: Any) -> None:
        """Send a control request to a stand-in; raise RigFailure if it is refused."""
        body = json.dumps(changes).encode()
        address = self.by_name[process].address
        reply = await fetch(address, "POST", "/control", REQUEST_TIMEOUT, body)
        if not isinstance(reply, HttpReply) or reply.status != 200:
            raise RigFailure(f"{process} did not accept changes {sorted(changes)}: {reply}")

    async def add_version(self, shape: Shape, version: IndexVersion) -> None:
        """Add an index version to each running instance of a collection, one after the other."""
        self.versions[shape.collection][version.number] = version
        held = shape.place_shards(version)
        for target_id in shape.target_ids():
            if self.by_name[target_id].running:
                added = {"version": [version.shards, version.documents], "shards": held[target_id]}
                await self.control(target_id, add_versions={str(version.number): added})

    async def drop_version(self, shape: Shape, number: int) -> None:
        """Drop an index version from each running instance of a collection."""
        for target_id in shape.target_ids():
            if self.by_name[target_id].running:
                await self.control(target_id, drop_versions=[number])

    async def wait_until_ready(self, catalogue_revision: int = 1) -> None:
        """Wait until all running daemons are ready and established as holders of keys.

        Each one must also have applied the catalogue revision, know all targets that have not
        exited, and see all running daemons as alive.
        """
        expected = {vm["id"] for vm in self.vms if vm["kind"] == "target"}
        deadline = self.clock.now() + START_TIMEOUT
        for name in self.daemons():
            while not await self._is_ready(name, catalogue_revision, expected):
                if self.clock.now() > deadline:
                    raise RigFailure(f"{name} is not ready:\n{self._log_tail(name)}")
                await sleep(POLL_INTERVAL)

    async def _is_ready(self, name: str, revision: int, expected: set[str]) -> bool:
        status = await self.status(name)
        if status is None or not status["ready"] or not status["established"]:
            return False
        known = {target["id"] for target in status["targets"] if target["state"] != "down"}
        dead = {n for n in expected if n in self.by_name and not self.by_name[n].running}
        live = {m["id"] for m in status["members"] if m["status"] == "alive"}
        sees_all_daemons = set(self.daemons()) <= live
        return status["revision"] >= revision and expected - dead <= known and sees_all_daemons

    async def status(self, daemon: str) -> dict[str, Any] | None:
        """Return a daemon's status, or None if it does not answer with status 200."""
        address = self.by_name[daemon].address
        reply = await fetch(address, "GET", "/-/status", REQUEST_TIMEOUT)
        return reply.json() if isinstance(reply, HttpReply) and reply.status == 200 else None

    def daemons(self) -> list[str]:
        """Return the names of the running daemons."""
        listed = [vm["id"] for vm in self.vms if vm["kind"] == "daemon"]
        return [name for name in listed if name in self.by_name and self.by_name[name].running]

    def daemon_addresses(self) -> dict[str, str]:
        """Return the addresses of the running daemons for callers, by name."""
        return {name: self.by_name[name].address for name in self.daemons()}

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.by_name[name].handle.kill()
        self.by_name[name].handle.wait()

    def freeze(self, name: str) -> None:
        """Pause a process with SIGSTOP."""
        self.by_name[name].handle.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        self.by_name[name].handle.send_signal(signal.SIGCONT)

    def restart_target(self, name: str) -> None:
        """Restart a target that has exited, with its original configuration."""
        process = self.by_name[name]
        self.spawn(name, process.address, process.command)

    async def stop(self, name: str) -> None:
        """Stop a process gracefully with SIGTERM and wait for its end."""
        handle = self.by_name[name].handle
        handle.send_signal(signal.SIGTERM)
        deadline = self.clock.now() + STOP_TIMEOUT
        while handle.poll() is None:
            if self.clock.now() > deadline:
                raise RigFailure(f"{name} did not stop:\n{self._log_tail(name)}")
            await sleep(POLL_INTERVAL)

    async def collect_events(self) -> None:
        """Fetch the new events of all running daemons."""
        for name in self.daemons():
            await self._collect_from(name)

    async def keep_collecting(self) -> None:
        """Fetch events at a fixed interval, so that a killed daemon loses few of them."""
        while True:
            await self.collect_events()
            await sleep(COLLECT_INTERVAL)

    async def _collect_from(self, name: str) -> None:
        process = self.by_name[name]
        key = (name, process.handle.pid)
        while process.running:
            after = self._last_seq_by_process.get(key, 0)
            path = f"/-/events?after={after}"
            reply = await fetch(process.address, "GET", path, REQUEST_TIMEOUT)
            page = reply.json() if isinstance(reply, HttpReply) else None
            if not page or not page["events"]:
                return
            # A concurrent collector may have read the same page while this one was fetched.
            seen = self._last_seq_by_process.get(key, 0)
            found = [Event.from_dict(raw) for raw in page["events"]]
            self.events += [event for event in found if event.seq > seen]
            self._last_seq_by_process[key] = max(seen, page["last"])

    def daemon_errors(self) -> str:
        """Return the first traceback in the log of each daemon, or an empty string."""
        found = []
        for vm in self.vms:
            log = self.folder / f"{vm['id']}.log"
            if vm["kind"] != "daemon" or not log.exists():
                continue
            _, error, rest = log.read_text().partition("Traceback")
            if error:
                found.append(f"{vm['id']}: {rest[:MAX_ERROR_CHARACTERS]}")
        return "\n".join(found)

    def trace(self) -> list[Event]:
        """Return all events of daemons and stand-ins, ordered by time."""
        recorded = [event for path in self.folder.glob("*.jsonl") for event in load_trace(path)]
        return merge([*self.events, *recorded])

    def save_trace(self, path: Path) -> None:
        """Write the trace to a file as JSON lines."""
        lines = (json.dumps(event.to_dict(), separators=(",", ":")) for event in self.trace())
        path.write_text("\n".join(lines) + "\n")

    def close(self, keep: bool = False) -> None:
        """Kill all processes of the rig and remove its folder, unless `keep` is set."""
        for process in self.by_name.values():
            if process.running:
                process.handle.send_signal(signal.SIGCONT)
                process.handle.kill()
        for process in self.by_name.values():
            process.handle.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _wait_until_answering(self, name: str, path: str) -> None:
        deadline = self.clock.now() + START_TIMEOUT
        process = self.by_name[name]
        while self.clock.now() < deadline and process.running:
            reply = await fetch(process.address, "GET", path, Millis(1_000))
            if isinstance(reply, HttpReply):
                return
            await sleep(POLL_INTERVAL)
        raise RigFailure(f"{name} did not start:\n{self._log_tail(name)}")

    def _log_tail(self, name: str) -> str:
        return self.by_name[name].log.read_text()[-2_000:]
