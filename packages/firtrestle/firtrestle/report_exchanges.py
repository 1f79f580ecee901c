"""Exchange reports on instances with peers, and keep the verdicts in the replicas' records."""

from __future__ import annotations

from typing import Any, Protocol

import trio

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.failing_reports import FailingReports
from firtrestle.instances import Instances
from firtrestle.members import Member
from firtrestle.messages import Pull
from firtrestle.replicas import Replicas
from firtrestle.slow_reports import SlowReports
from firtrestle.snapshots import ReplicaId

SHARE_INTERVAL = Millis(200)
PARTNERS = (2, 1)  # in this data centre, and in others, where bytes are scarce


class Peers(Protocol):
    """Define how peers are chosen and told."""

    def partners(self, local: int, remote: int) -> list[Member]:
        """Return peers that stay the same for as long as they live."""

    async def call(self, member: Member, value: Any) -> Any:
        """Send a message to a peer, and return its answer or the failure of the call."""


class ReportExchange:
    """Hold what is reported of slow and of failing instances, here and by peers."""

    def __init__(
        self, clock: Clock, instances: Instances, replicas: Replicas, peers: Peers
    ) -> None:
        self.slow = SlowReports(clock, instances.count, self._avoid_slow)
        self.failing = FailingReports(clock, instances.count, self._avoid_failing)
        self._instances = instances
        self._replicas = replicas
        self._peers = peers

    async def run(self) -> None:
        """Tell a few peers what changed in the reports, forever."""
        async with trio.open_nursery() as nursery:
            while True:
                await sleep(SHARE_INTERVAL)
                pull = Pull(slow=self.slow.take_rows(), failing=self.failing.take_rows())
                for partner in self._peers.partners(*PARTNERS) if pull.slow or pull.failing else []:
                    nursery.start_soon(self._peers.call, partner, pull)

    def merge(self, pull: Pull) -> None:
        """Merge the reports that a peer sent."""
        self.slow.merge_rows(pull.slow)
        self.failing.merge_rows(pull.failing)

    def expire(self) -> None:
        """Forget the reports that no later one can extend."""
        self.slow.expire()
        self.failing.expire()

    def _avoid_slow(self, replica_id: ReplicaId, until: Millis) -> None:
        if self._instances.get(replica_id) is not None:
            self._replicas.get(replica_id).reported_slow_until = until

    def _avoid_failing(self, replica_id: ReplicaId, until: Millis) -> None:
        if self._instances.get(replica_id) is not None:
            self._replicas.get(replica_id).reported_failing_until = until
