"""Group the components that all snapshot gathers of a daemon share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from firtrestle.budgets import ExtraLoadBudget
from firtrestle.clocks import Clock
from firtrestle.events import EventLog
from firtrestle.hedgers import Hedger
from firtrestle.holders import Holders
from firtrestle.quarantines import Quarantines
from firtrestle.replica_choosers import ReplicaChooser
from firtrestle.replicas import Replicas


@dataclass(slots=True)
class GatherTools:
    """Group the components that all snapshot gathers of a daemon share."""

    clock: Clock
    rng: random.Random
    events: EventLog
    holders: Holders
    replicas: Replicas
    chooser: ReplicaChooser
    hedger: Hedger
    quarantines: Quarantines
    budget_by_entry: dict[str, ExtraLoadBudget] = field(default_factory=dict)

    def budget(self, entry_name: str, fraction: float) -> ExtraLoadBudget:
        """Return an entry's extra-load budget, a new one if the fraction has changed."""
        budget = self.budget_by_entry.get(entry_name)
        if budget is None or budget.fraction != fraction:
            budget = ExtraLoadBudget(fraction, self.clock)
            self.budget_by_entry[entry_name] = budget
        return budget
