"""Hold every setting of a daemon with its default."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

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


def _port_of(value: Any) -> Any:
    """Take the port of "IP:port"."""
    return value.rpartition(":")[2] if isinstance(value, str) else value


Port = Annotated[int, BeforeValidator(_port_of)]


class DaemonSettings(_Section):
    """Say who the daemon is and where it listens."""

    id: str = Field(min_length=1, description="VM name, unique in the fleet")
    data_centre: str = Field(min_length=1, description="data centre the VM stands in")
    address: str = Field("127.0.0.1", description="IP number to listen on")
    port: Port = Field(8080, ge=1, le=65535, description="port for callers and operators")
    peer_port: Port = Field(8081, ge=1, le=65535, description="port for other daemons")
    advertised_peer_port: int = Field(
        0, ge=0, le=65535, description="port that others reach peer_port by, 0 for the same"
    )


class PlatformSettings(_Section):
    """Say where the platform's services are and how to read them."""

    configuration_service: str = Field(description="IP:port of the configuration service")
    vm_list: str = Field("", description="IP:port of the list of VMs; unused with a route source")
    watch_ms: int = Field(60_000, ge=100, description="length of one watch, ms")
    retry_ms: int = Field(5_000, ge=10, description="mean pause after a failed read, ms")
    list_lag_ms: int = Field(5_000, ge=0, description="longest time until a new VM is listed, ms")


class FrontSettings(_Section):
    """Bound what one caller may ask of the daemon."""

    max_connections: int = Field(1_000, ge=1, description="callers' connections")
    max_body_bytes: int = Field(65_536, ge=1, description="size of a request's body, bytes")
    read_timeout_ms: int = Field(5_000, ge=10, description="time for a request to arrive, ms")
    idle_timeout_ms: int = Field(60_000, ge=10, description="time a connection may idle, ms")
    max_timeout_ms: int = Field(30_000, ge=10, description="longest deadline a caller may set, ms")
    answer_reserve_ms: int = Field(5, ge=0, description="time kept to write the answer, ms")
    drain_ms: int = Field(3_000, ge=0, description="time for the balancer to see not ready, ms")


class PolicySettings(_Section):
    """Name the policies in force."""

    chooser: str = Field("least-in-flight", description="replica choice")
    hedger: str = Field("adaptive", description="when a straggler gets a second sub-request")
    admitter: str = Field("deadline", description="which queries are let in")


class TargetSettings(_Section):
    """Say how targets are reached and watched."""

    probe_ms: int = Field(500, ge=10, description="pause between status probes, ms")
    probe_timeout_ms: int = Field(1_000, ge=10, description="time for a probe to answer, ms")
    idle_connections: int = Field(2, ge=0, description="connections kept warm for each target")
    connection_share: float = Field(0.5, gt=0, le=1, description="part of a limit a holder uses")
    cancel_grace_ms: int = Field(500, ge=1, description="time for a target to confirm, ms")
    longest_run_ms: int = Field(
        2_000, ge=1, description="time that one sub-request may run at a target, ms"
    )
    slow_start_ms: int = Field(2_000, ge=0, description="warm-up of a new target, ms")


class PeerSettings(_Section):
    """Say how daemons watch each other and spread state."""

    ping_ms: int = Field(500, ge=10, description="pause between pings, ms")
    ping_timeout_ms: int = Field(250, ge=1, description="time for a ping to answer, ms")
    suspect_ms: int = Field(1_500, ge=1, description="time from suspect to dead, ms")
    fanout: int = Field(3, ge=1, description="peers told at once of a change")
    pause_ms: int = Field(1_000, ge=1, description="clock jump taken for a pause, ms")
    call_timeout_ms: int = Field(1_000, ge=1, description="time for a peer to answer a call, ms")


class RouteSettings(_Section):
    """Say how routes over services are served, instead of a catalogue's collections."""

    source: str = Field("", description="registered source of routes and instances, empty for none")
    ready_port: Port = Field(8082, ge=1, le=65535, description="port of readiness and metrics")
    seeds: list[str] = Field([], description="IP:port of some peers to meet first")
    repeat_ratio: float = Field(
        0.2, ge=0, le=1, description="repeats of a service's requests, as a part of them"
    )
    repeat_slack: float = Field(
        50.0, ge=0, description="repeats of a service's requests beyond that part, a window"
    )
    repeat_window_ms: int = Field(10_000, ge=100, description="window of both, ms")
    least_fleet_size: int = Field(
        16, ge=1, description="daemons among which the slack is divided at least"
    )
    watch_ms: int = Field(
        4_000, ge=100, description="length of one watch; one gone silent is noticed after it, ms"
    )
    retry_ms: int = Field(400, ge=10, description="mean pause after a failed read, ms")
    grace_ms: int = Field(6_000, ge=600, description="time from SIGTERM to SIGKILL, ms")


class ClaimSettings(_Section):
    """Say how keys of requests that may not be repeated are held."""

    window_ms: int = Field(600_000, ge=1_000, description="age up to which a key may be resent, ms")
    clock_skew_ms: int = Field(2_000, ge=0, description="largest difference between clocks, ms")
    group_size: int = Field(3, ge=1, le=7, description="daemons that hold a key")


class QuarantineSettings(_Section):
    """Say when a request that crashes targets is held off."""

    deaths: int = Field(2, ge=1, description="target deaths that quarantine a request")
    hold_ms: int = Field(60_000, ge=1, description="length of a quarantine, ms")
    canaries: int = Field(1, ge=0, description="sub-requests sent first for a doubtful request")
    alert_ms: int = Field(600_000, ge=0, description="time of canaries for all after a death, ms")


class LogSettings(_Section):
    """Say how the daemon logs."""

    level: str = Field("INFO", pattern="^(TRACE|DEBUG|INFO|WARNING|ERROR)$", description="least")
    json_lines: bool = Field(False, description="one JSON object a line instead of text")
    lines_per_second: int = Field(
        200, ge=1, description="lines below WARNING a second; what is over is dropped and counted"
    )


class EventSettings(_Section):
    """Bound the time line held in memory."""

    capacity: int = Field(50_000, ge=1, description="events held for `firtrestle timeline`")


class Settings(_Section):
    """Hold all settings of one daemon."""

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
    plugins: list[str] = Field(DEFAULT_PLUGINS, description="modules to register")
    late_plugins: list[str] = Field(
        [], description="modules to register once a daemon over routes has served for a while"
    )


def load_settings(path: Path) -> Settings | list[Fault]:
    """Read and check a settings file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return [Fault(1, "", f"cannot be read: {error}")]
    return check_document(text, Settings)
