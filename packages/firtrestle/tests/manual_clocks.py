"""Provide a clock that only the test advances."""

from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis


class ManualClock(Clock):
    """Return the same time as monotonic and as wall clock; only the test advances it."""

    def __init__(self, at: float = 0.0) -> None:
        self.at = at

    def now(self) -> Millis:
        return Millis(self.at)

    def wall(self) -> Millis:
        return Millis(self.at)

    def jump(self, seconds: float) -> None:
        self.at += seconds * MILLIS_PER_SECOND
