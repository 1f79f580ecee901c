"""Group the components that all service gathers of a daemon share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from firtrestle.admission_gates import AdmissionGate
from firtrestle.availabilities import Availability
from firtrestle.backoffs import Backoffs
from firtrestle.clocks import Clock
from firtrestle.crash_records import CrashRecords
from firtrestle.failing_reports import FailingReports
from firtrestle.gather_counts import GatherCounts
from firtrestle.hedgers import Hedger
from firtrestle.instance_pools import InstancePools
from firtrestle.instances import Instances
from firtrestle.loop_monitors import LoopMonitor
from firtrestle.part_relays import PartRelays
from firtrestle.rate_limits import RateLimits
from firtrestle.relays import Relays
from firtrestle.repeat_budgets import RepeatBudgets
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.replica_subsets import ReplicaSubsets
from firtrestle.replicas import Replicas
from firtrestle.slow_reports import SlowReports
from firtrestle.try_shares import TryShares
from firtrestle.uplinks import Uplink
from firtrestle.usual_replies import UsualReplies
from firtrestle.warm_ups import WarmUps
from firtrestle.work_estimates import WorkEstimates


@dataclass(slots=True)
class ServiceTools:
    """Group the components that all service gathers of a daemon share."""

    clock: Clock
    rng: random.Random
    replicas: Replicas
    chooser: ReplicaChooser
    hedger: Hedger
    instances: Instances
    pools: InstancePools
    budgets: RepeatBudgets
    subsets: ReplicaSubsets
    crashes: CrashRecords
    backoffs: Backoffs
    rate_limits: RateLimits
    warm_ups: WarmUps
    slow_reports: SlowReports
    failing_reports: FailingReports
    loop: LoopMonitor
    uplink: Uplink
    relays: Relays
    splits: PartRelays
    data_centre: str
    reply_memory_bytes: int
    counts: GatherCounts = field(default_factory=GatherCounts)
    try_shares: TryShares = field(init=False)
    usual_replies: UsualReplies = field(init=False)
    availability: Availability = field(init=False)
    work: WorkEstimates = field(init=False)
    gate: AdmissionGate = field(init=False)

    def __post_init__(self) -> None:
        """Join what the components know of single instances, and start to learn."""
        self.work = WorkEstimates(self.clock, self.loop)
        self.gate = AdmissionGate(self.clock, self.rng, self.loop, self.work)
        self.try_shares = TryShares(self.clock)
        self.usual_replies = UsualReplies(self.clock)
        self.availability = Availability(
            self.clock,
            self.data_centre,
            self.instances,
            self.replicas,
            self.subsets,
            self.backoffs,
            self.rate_limits,
            self.warm_ups,
        )
