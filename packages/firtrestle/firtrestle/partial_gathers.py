"""Run the part of a gather that a peer has divided, and judge its coverage over the whole."""

from __future__ import annotations

from firtrestle.coverages import Coverage
from firtrestle.early_ends import EarlyEnds
from firtrestle.gather_prospects import GatherProspects
from firtrestle.http_clients import MAX_REPLY_BYTES
from firtrestle.relay_messages import RelayTerms
from firtrestle.routed_requests import RoutedRequest
from firtrestle.service_gathers import ServiceGather
from firtrestle.service_tools import ServiceTools


class PartialGather(ServiceGather):
    """Run a peer's request for some services, of which others may run at other daemons.

    The part waits for the route's least coverage of its own services, but it is given up only if
    the whole gather can't be covered, even with all services of the other parts.
    """

    def __init__(
        self,
        tools: ServiceTools,
        request: RoutedRequest,
        terms: RelayTerms,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        super().__init__(tools, request, terms.services, terms, max_reply_bytes)
        self._others = terms.others
        whole = Coverage(len(terms.services) + terms.others, request.route.least_coverage)
        self._ends = EarlyEnds(tools, request, whole, self._rules)
        self._prospects = GatherProspects(tools, request, whole, self._rules)

    def _services_elsewhere(self) -> int:
        return self._others

    def _should_stop(self) -> bool:
        """Return whether the least coverage of the whole gather is out of reach."""
        if self._is_hopeless or not self._others:
            return super()._should_stop()
        total = len(self._services) + self._others
        missing = len(self.attempt_summary.reason_by_service)
        return (total - missing) / total < self._route.least_coverage
