"""Define the settings of a daemon, their defaults and their bounds."""

from __future__ import annotations

import math
import re
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from firtrestle.clocks import MILLIS_PER_SECOND
from firtrestle.yaml_documents import Fault, check_document

DEFAULT_PLUGINS = [
    "firtrestle.plugins.replica_choosers",
    "firtrestle.plugins.hedgers",
    "firtrestle.plugins.admitters",
    "firtrestle.plugins.credits",
    "firtrestle.plugins.metrics",
]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


def _parse_port(value: Any) -> Any:
    """Return the port of a string "IP:port", and any other value unchanged."""
    return value.rpartition(":")[2] if isinstance(value, str) else value


Port = Annotated[int, BeforeValidator(_parse_port)]
SECONDS_PATTERN = re.compile(r"^([0-9]{1,9}(?:\.[0-9]{0,9})?) s$")


def _parse_duration(value: Any) -> Any:
    """Return whole ms of a number or of text as in "6.5 s", and any other value unchanged."""
    seconds = SECONDS_PATTERN.match(value) if isinstance(value, str) else None
    if seconds is not None:
        return round(float(seconds[1]) * MILLIS_PER_SECOND)
    return round(value) if isinstance(value, float) and math.isfinite(value) else value


DurationMs = Annotated[int, BeforeValidator(_parse_duration)]


class DaemonSettings(_Section):
    """Configure the daemon's identity and the addresses that it listens on."""

    id: str = Field(min_length=1, description="VM name, unique in the fleet")
    data_centre: str = Field(min_length=1, description="data centre of the VM")
    address: str = Field("127.0.0.1", description="IP address to listen on")
    port: Port = Field(8080, ge=1, le=65535, description="port for callers and operators")
    peer_port: Port = Field(8081, ge=1, le=65535, description="port for other daemons")
    advertised_peer_port: int = Field(
        0,
        ge=0,
        le=65535,
        description="port at which other daemons reach peer_port, 0 if it is the same",
    )
    source_address: str = Field(
        "", description="IP address to connect to instances from, empty for the system's choice"
    )
    memory_mb: int = Field(
        200, ge=50, description="memory of the VM, from which bounds of messages follow, MB"
    )


class PlatformSettings(_Section):
    """Configure how the platform's services are reached and polled."""

    configuration_service: str = Field(description="IP:port of the configuration service")
    vm_list: str = Field(
        "", description="IP:port of the VM list service; unused with a route source"
    )
    watch_ms: int = Field(
        6_000,
        ge=100,
        description="timeout of one long poll, in which a lost one goes unnoticed, ms",
    )
    retry_ms: int = Field(
        5_000, ge=10, description="mean pause before a failed read is retried, ms"
    )
    list_lag_ms: int = Field(5_000, ge=0, description="longest delay until a new VM is listed, ms")


class FrontSettings(_Section):
    """Limit callers' connections, requests and deadlines."""

    max_connections: int = Field(1_000, ge=1, description="maximum number of callers' connections")
    max_body_bytes: int = Field(65_536, ge=1, description="largest request body, bytes")
    read_timeout_ms: int = Field(5_000, ge=10, description="timeout for reading a request, ms")
    idle_timeout_ms: int = Field(60_000, ge=10, description="idle timeout of a connection, ms")
    max_timeout_ms: int = Field(30_000, ge=10, description="longest deadline a caller may set, ms")
    answer_reserve_ms: int = Field(
        5, ge=0, description="part of the deadline reserved for writing the answer, ms"
    )
    drain_ms: int = Field(
        3_000, ge=0, description="time for the load balancer to notice not ready when stopping, ms"
    )


class PolicySettings(_Section):
    """Select the registered policies by name."""

    chooser: str = Field("least-in-flight", description="policy that chooses a replica")
    hedger: str = Field("adaptive", description="policy that decides when to hedge")
    admitter: str = Field("deadline", description="policy that decides which queries are admitted")


class TargetSettings(_Section):
    """Configure how targets are probed, connected to and cancelled."""

    probe_ms: int = Field(500, ge=10, description="interval between status probes, ms")
    probe_timeout_ms: int = Field(1_000, ge=10, description="timeout of a status probe, ms")
    idle_connections: int = Field(2, ge=0, description="idle connections kept open to each target")
    connection_share: float = Field(
        0.5, gt=0, le=1, description="share of a target's connection limit that one holder uses"
    )
    cancel_grace_ms: int = Field(
        500, ge=1, description="time for a target to confirm a cancellation, ms"
    )
    longest_run_ms: int = Field(
        2_000, ge=1, description="longest time that a sub-request may run at a target, ms"
    )
    slow_start_ms: int = Field(2_000, ge=0, description="slow-start period of a new target, ms")


class PeerSettings(_Section):
    """Configure failure detection and gossip between daemons."""

    ping_ms: int = Field(500, ge=10, description="interval between pings, ms")
    ping_timeout_ms: int = Field(250, ge=1, description="timeout of a ping, ms")
    suspect_ms: int = Field(
        1_500, ge=1, description="time after which a suspected daemon is declared dead, ms"
    )
    fanout: int = Field(3, ge=1, description="number of peers that a change is pushed to at once")
    pause_ms: int = Field(
        1_000, ge=1, description="gap between clock ticks that counts as a pause of the process, ms"
    )
    call_timeout_ms: int = Field(1_000, ge=1, description="timeout of a call to a peer, ms")


class RouteSettings(_Section):
    """Configure a daemon that serves routes to services instead of a catalogue's collections."""

    source: str = Field(
        "",
        description="registered source of routes and instances, empty to serve a catalogue",
    )
    ready_port: Port = Field(8082, ge=1, le=65535, description="port for readiness and metrics")
    seeds: list[str] = Field([], description="IP:port of peers to contact first")
    repeat_ratio: float = Field(
        0.2, ge=0, le=1, description="allowed ratio of repeats to requests of a service"
    )
    repeat_slack: float = Field(
        50.0,
        ge=0,
        description="repeats per window and service beyond that ratio, over all daemons",
    )
    repeat_window_ms: DurationMs = Field(
        10_000,
        ge=100,
        description="window over which repeat_ratio and repeat_slack apply, ms, or text as in "
        "'9.5 s'",
    )
    least_fleet_size: int = Field(
        16, ge=1, description="smallest number of daemons that repeat_slack is divided by"
    )
    instance_drain_ms: DurationMs = Field(
        3_000,
        ge=100,
        description="time in which an instance that announced its departure takes requests, ms",
    )
    check_in_ms: float = Field(
        1_200, gt=0, description="interval at which an instance renews its registration, ms"
    )
    watch_ms: int = Field(
        12_000,
        ge=100,
        description="timeout of one long poll; the registry must keep its history for longer, ms",
    )
    retry_ms: int = Field(400, ge=10, description="mean pause before a failed read is retried, ms")
    grace_ms: DurationMs = Field(
        6_000, ge=600, description="time from SIGTERM to SIGKILL, ms, or text as in '6.5 s'"
    )
    warm_up_overage: float | None = Field(
        None,
        ge=0,
        description="allowed ratio of requests to the rate that a cold instance can bear, in any "
        "second over all daemons; null for no bound",
    )
    warm_up_slack: float = Field(
        0.0,
        ge=0,
        description="requests a second to a cold instance beyond that ratio, over all daemons",
    )
    split_gathers: bool = Field(
        False,
        description="let peers run parts of gathers that take this daemon a large share of their "
        "latency target",
    )


class ClaimSettings(_Section):
    """Configure the claims on idempotency keys of requests that may not be repeated."""

    window_ms: int = Field(
        600_000, ge=1_000, description="maximum age at which a key may be resent, ms"
    )
    clock_skew_ms: int = Field(2_000, ge=0, description="largest difference between clocks, ms")
    group_size: int = Field(3, ge=1, le=7, description="number of daemons that store a key")


class QuarantineSettings(_Section):
    """Configure the quarantine of requests that crash targets."""

    deaths: int = Field(
        2, ge=1, description="number of targets that a request crashes before it is quarantined"
    )
    hold_ms: int = Field(60_000, ge=1, description="duration of a quarantine, ms")
    canaries: int = Field(
        1, ge=0, description="canary sub-requests for a request not known to be safe"
    )
    alert_ms: int = Field(
        600_000,
        ge=0,
        description="time after a crash in which known request shapes need canaries too, ms",
    )


class LogSettings(_Section):
    """Configure the log's level, format and rate limit."""

    level: str = Field(
        "INFO",
        pattern="^(TRACE|DEBUG|INFO|WARNING|ERROR)$",
        description="lowest level that is logged",
    )
    json_lines: bool = Field(False, description="write one JSON object per line instead of text")
    lines_per_second: int = Field(
        200,
        ge=1,
        description="lines below WARNING written per second; further ones are dropped and counted",
    )


class EventSettings(_Section):
    """Limit the events kept in memory."""

    capacity: int = Field(
        50_000, ge=1, description="number of events kept for `firtrestle timeline`"
    )


class Settings(_Section):
    """Represent the settings file of one daemon."""

    daemon: DaemonSettings
    platform: PlatformSettings
    front: FrontSettings = FrontSettings()
    policies: PolicySettings = PolicySettings()
    targets: TargetSettings = TargetSettings()
    peers: PeerSettings = PeerSettings()
    claims: ClaimSettings = ClaimSettings()
    routes: RouteSettings = RouteSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    logs: LogSettings = LogSettings()
    events: EventSettings = EventSettings()
    plugins: list[str] = Field(
        DEFAULT_PLUGINS, description="plug-in modules to register at the start"
    )
    late_plugins: list[str] = Field(
        [],
        description="plug-in modules that a daemon with a route source registers seconds later",
    )


def load_settings(path: Path) -> Settings | list[Fault]:
    """Read and validate a settings file; return the settings or every fault found."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return [Fault(1, "", f"cannot be read: {error}")]
    return check_document(text, Settings)
