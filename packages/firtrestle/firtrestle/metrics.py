"""Define the daemon's Prometheus metrics."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

REGISTRY = CollectorRegistry()
LATENCY_BUCKETS = (0.005, 0.01, 0.02, 0.04, 0.065, 0.13, 0.25, 0.5, 1.0, 2.5)  # seconds

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
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
REVISION = Gauge("firtrestle_catalogue_revision", "Catalogue revision in force", registry=REGISTRY)
MEMBERS = Gauge("firtrestle_members", "Daemons by status", ["status"], registry=REGISTRY)
PEER_BYTES = Gauge("firtrestle_peer_bytes", "Bytes over peer streams", ["way"], registry=REGISTRY)
PLATFORM_READS = Gauge("firtrestle_platform_reads", "Reads of the platform", registry=REGISTRY)


def exposition() -> bytes:
    """Return all metrics as Prometheus text."""
    return generate_latest(REGISTRY)
