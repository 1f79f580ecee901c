"""Define the daemon's Prometheus metrics."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

if TYPE_CHECKING:
    from firtrestle.gather_counts import GatherCounts
    from firtrestle.part_relays import PartRelays
    from firtrestle.relay_servers import RelayServer
    from firtrestle.relays import Relays

REGISTRY = CollectorRegistry()
LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.065, 0.13, 0.25, 0.5, 1.0, 2.5)

QUERIES = Counter(
    "firtrestle_queries", "Answered queries", ["entry", "coverage"], registry=REGISTRY
)
REFUSALS = Counter(
    "firtrestle_refusals", "Refused queries", ["entry", "kind", "ran"], registry=REGISTRY
)
SUB_REQUESTS = Counter("firtrestle_sub_requests", "Sub-requests sent", ["entry"], registry=REGISTRY)
QUERY_SECONDS = Histogram(
    "firtrestle_query_seconds",
    "Time to answer a query",
    ["entry"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
ADMISSIONS = Counter(
    "firtrestle_admissions",
    "Requests by what admission decided: admitted at once, delayed or refused",
    ["priority", "outcome"],
    registry=REGISTRY,
)
ADMISSION_SECONDS = Histogram(
    "firtrestle_admission_wait_seconds",
    "Time that delayed requests waited for the processor",
    ["priority"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
REVISION = Gauge("firtrestle_catalogue_revision", "Catalogue revision in force", registry=REGISTRY)
MEMBERS = Gauge("firtrestle_members", "Daemons by status", ["status"], registry=REGISTRY)
PEER_BYTES = Gauge("firtrestle_peer_bytes", "Bytes over peer streams", ["way"], registry=REGISTRY)
PLATFORM_READS = Gauge("firtrestle_platform_reads", "Reads of the platform", registry=REGISTRY)
RUNNING = Gauge("firtrestle_running_requests", "Requests being answered", registry=REGISTRY)
LOOP_BUSY = Gauge(
    "firtrestle_loop_busy_seconds",
    "Time in which the event loop ran tasks, since the start",
    registry=REGISTRY,
)
ISOLATED_FAULTS = Gauge(
    "firtrestle_isolated_faults",
    "Connections and calls that an unexpected exception ended",
    ["task"],
    registry=REGISTRY,
)
IN_FLIGHT = Gauge("firtrestle_attempts_in_flight", "Attempts without a reply", registry=REGISTRY)
QUEUED = Gauge(
    "firtrestle_attempts_queued", "Attempts that wait for a connection", registry=REGISTRY
)
OVER_BOUNDS = Gauge(
    "firtrestle_replies_over_bounds",
    "Replies of instances that were ended as they exceeded their bounds, since the start",
    registry=REGISTRY,
)
MESSAGE_BYTES = Gauge(
    "firtrestle_message_bytes",
    "Bytes held of messages that are not read or written whole",
    ["kind"],
    registry=REGISTRY,
)
RESPONSES_CUT = Gauge(
    "firtrestle_responses_cut",
    "Responses ended before their clients had read them, since the start",
    ["reason"],
    registry=REGISTRY,
)
CONNECTIONS = Gauge(
    "firtrestle_instance_connections", "Open connections to instances", registry=REGISTRY
)
REPLICAS = Gauge("firtrestle_replicas", "Known replicas by state", ["state"], registry=REGISTRY)
REPORTED_SLOW = Gauge(
    "firtrestle_instances_reported_slow",
    "Instances that are slow by the reports of several daemons",
    registry=REGISTRY,
)
REPORTED_FAILING = Gauge(
    "firtrestle_instances_reported_failing",
    "Instances that are failing by the reports of several daemons",
    registry=REGISTRY,
)
GATHERS_ENDED_EARLY = Gauge(
    "firtrestle_gathers_ended_early",
    "Requests that were ended as too few of their services could still reply, since the start",
    registry=REGISTRY,
)
REPEATS_WITHHELD = Gauge(
    "firtrestle_repeats_withheld",
    "Repeats that were not sent, to keep the budget for those that matter more, since the start",
    registry=REGISTRY,
)
SHEDS_REPEATED = Gauge(
    "firtrestle_sheds_repeated",
    "Sub-requests that were sent to another instance after one had shed them, since the start",
    registry=REGISTRY,
)
STATUSES_WITHHELD = Gauge(
    "firtrestle_statuses_withheld",
    "Failures of instances that were not passed on, as their status denies that the request ran",
    registry=REGISTRY,
)
UPLINK_LOST = Gauge(
    "firtrestle_uplink_lost",
    "1 while this daemon believes that it reaches no instance",
    registry=REGISTRY,
)
OPENING_LOST = Gauge(
    "firtrestle_uplink_opening_lost",
    "1 while this daemon believes that it can open no connection to an instance",
    registry=REGISTRY,
)
UPLINK_LOSSES = Gauge(
    "firtrestle_uplink_losses",
    "Times that this daemon has lost its links to the instances, since the start",
    registry=REGISTRY,
)
RELAYED = Gauge(
    "firtrestle_requests_relayed",
    "Requests that a peer ran for this daemon, whole or in part, since the start",
    registry=REGISTRY,
)
NOT_RELAYED = Gauge(
    "firtrestle_requests_not_relayed",
    "Requests that no peer took, since the start",
    registry=REGISTRY,
)
RELAYS_SERVED = Gauge(
    "firtrestle_relays_served",
    "Requests that were run for peers, since the start",
    registry=REGISTRY,
)
RELAYS_REFUSED = Gauge(
    "firtrestle_relays_refused",
    "Requests of peers that were refused, since the start",
    registry=REGISTRY,
)
DIVIDED = Gauge(
    "firtrestle_gathers_divided",
    "Gathers of which peers ran parts, since the start",
    registry=REGISTRY,
)
PARTS_REFUSED = Gauge(
    "firtrestle_parts_refused",
    "Parts of gathers that a peer refused, or whose peer was not reached, since the start",
    registry=REGISTRY,
)
PARTS_LOST = Gauge(
    "firtrestle_parts_lost",
    "Parts of gathers that a peer got and didn't answer, or not in time, since the start",
    registry=REGISTRY,
)
UNHEARD = Gauge(
    "firtrestle_instances_unheard_seconds",
    "Time since the last reply of any instance",
    registry=REGISTRY,
)
EVACUATED = Gauge(
    "firtrestle_evacuated_data_centres",
    "Data centres that operators have evacuated, as far as this daemon knows",
    registry=REGISTRY,
)
LEAVING = Gauge(
    "firtrestle_instances_leaving",
    "Instances that announced their departure, here or to a peer",
    registry=REGISTRY,
)
HELD_BACK = Gauge(
    "firtrestle_instances_held_back",
    "Instances that asked this daemon for a pause that is not over",
    registry=REGISTRY,
)
QUARANTINED = Gauge(
    "firtrestle_requests_quarantined",
    "Requests that are held off, as they crash instances",
    registry=REGISTRY,
)
LIMITED = Gauge(
    "firtrestle_instances_limited",
    "Instances that name the rate of requests that they take",
    registry=REGISTRY,
)
WARM_UPS = Gauge(
    "firtrestle_warm_ups",
    "Cold instances with a bound, and requests to them that were sent or refused since the start",
    ["number"],
    registry=REGISTRY,
)
REPEATS_LEFT = Gauge(
    "firtrestle_repeats_left",
    "Repeats that a window still allows",
    ["service"],
    registry=REGISTRY,
)
REGISTRY_AGE = Gauge(
    "firtrestle_registry_age_seconds", "Age of what is known of the registry", registry=REGISTRY
)
REGISTRY_ERA = Gauge(
    "firtrestle_registry_era", "Newest era of the registry that is known", registry=REGISTRY
)
REGISTRY_RESTORES = Gauge(
    "firtrestle_registry_restores",
    "Times that the registry was read again as another era of it was known, since the start",
    registry=REGISTRY,
)
TOO_LONG_ANSWERS = Gauge(
    "firtrestle_registry_too_long_answers",
    "Watches whose changes were too many for an answer, so that all was read, since the start",
    registry=REGISTRY,
)
ROWS_OF_OTHER_ERAS = Gauge(
    "firtrestle_registry_rows_of_other_eras",
    "Registrations of peers that were refused as their revisions are of other eras",
    registry=REGISTRY,
)
ROUTES_AGE = Gauge(
    "firtrestle_routes_age_seconds",
    "Time since the routes came into force",
    registry=REGISTRY,
)


def set_by_label(gauge: Gauge, value_by_label: Mapping[str, float]) -> None:
    """Set a gauge that has one label, for each value of it."""
    for label, value in value_by_label.items():
        gauge.labels(label).set(value)


def record_gathers(counts: GatherCounts) -> None:
    """Set the counters of decisions on gathers."""
    GATHERS_ENDED_EARLY.set(counts.ended_early)
    REPEATS_WITHHELD.set(counts.repeats_withheld)
    SHEDS_REPEATED.set(counts.sheds_repeated)
    STATUSES_WITHHELD.set(counts.statuses_withheld)


def record_relays(relays: Relays, server: RelayServer, splits: PartRelays) -> None:
    """Set the counters of requests that one daemon runs for another."""
    RELAYED.set(relays.relayed)
    NOT_RELAYED.set(relays.not_relayed)
    RELAYS_SERVED.set(server.served)
    RELAYS_REFUSED.set(server.refused)
    DIVIDED.set(splits.divided)
    PARTS_REFUSED.set(splits.refused)
    PARTS_LOST.set(splits.lost)


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
