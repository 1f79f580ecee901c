"""Count the decisions of all service gathers of a daemon."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class GatherCounts:
    """Count decisions since the start, for the metrics."""

    ended_early: int = 0  # while attempts were open
    repeats_withheld: int = 0  # kept for others, or not needed
    sheds_repeated: int = 0  # shards that were sent again after an instance shed them
    statuses_withheld: int = 0  # of instances' failures, as they deny that the request ran
