"""A clock that a test moves by hand."""

from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis


class HandClock(Clock):
    """Tell the same time as monotonic and wall clock, moved by a test alone."""

    def __init__(self, at: float = 0.0) -> None:
        self.at = at

    def now(self) -> Millis:
        return Millis(self.at)

    def wall(self) -> Millis:
        return Millis(self.at)

    def jump(self, seconds: float) -> None:
        self.at += seconds * MILLIS_PER_SECOND
