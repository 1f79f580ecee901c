"""Export queries, refusals and sub-requests as Prometheus metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from firtrestle import signals
from firtrestle.clocks import MILLIS_PER_SECOND
from firtrestle.metrics import (
    ADMISSION_SECONDS,
    ADMISSIONS,
    QUERIES,
    QUERY_SECONDS,
    REFUSALS,
    SUB_REQUESTS,
)
from firtrestle.queries import GatherResult

if TYPE_CHECKING:
    from firtrestle.kernels import Kernel


def _on_answer(entry_name: str, result: Any, latency: float, **_: Any) -> None:
    is_complete = not isinstance(result, GatherResult) or result.is_complete
    QUERIES.labels(entry_name, "whole" if is_complete else "partial").inc()
    QUERY_SECONDS.labels(entry_name).observe(latency / MILLIS_PER_SECOND)


def _on_refusal(entry_name: str, refused: Any) -> None:
    REFUSALS.labels(entry_name, str(refused.kind), str(refused.ran)).inc()


def _on_sub_requests(entry_name: str, count: int) -> None:
    SUB_REQUESTS.labels(entry_name).inc(count)


def _on_route_answer(route_name: str, answer: Any, latency: float) -> None:
    coverage = "partial" if answer.missing else "whole"
    QUERIES.labels(route_name, coverage).inc()
    QUERY_SECONDS.labels(route_name).observe(latency / MILLIS_PER_SECOND)


def _on_admission(route_name: str, priority: int, waited: float | None) -> None:
    ADMISSIONS.labels(str(priority), "admitted" if waited is None else "delayed").inc()
    if waited is not None:
        ADMISSION_SECONDS.labels(str(priority)).observe(waited / MILLIS_PER_SECOND)


def _on_admission_refusal(route_name: str, priority: int) -> None:
    ADMISSIONS.labels(str(priority), "refused").inc()


def register(kernel: Kernel) -> None:
    """Connect the metrics to the signals."""
    signals.query_answered.connect(_on_answer)
    signals.request_answered.connect(_on_route_answer)
    signals.query_refused.connect(_on_refusal)
    signals.request_admitted.connect(_on_admission)
    signals.admission_refused.connect(_on_admission_refusal)
    signals.sub_requests_sent.connect(_on_sub_requests)
