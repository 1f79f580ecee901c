"""Judge how many of a request's services have replied, or still may, and how many must."""

from __future__ import annotations

import math
from dataclasses import dataclass

ROUNDING = 1e-9  # keeps a share of services that is a whole number from being rounded up


@dataclass(frozen=True, slots=True)
class Coverage:
    """Represent how many of a request's services must reply for an answer."""

    services: int
    least_share: float

    def least_replies(self) -> int:
        """Return how many services must reply for an answer."""
        return max(1, math.ceil(self.services * self.least_share - ROUNDING))

    def is_enough(self, replies: int) -> bool:
        """Return whether a number of replies is enough for an answer."""
        return replies > 0 and replies / self.services >= self.least_share
