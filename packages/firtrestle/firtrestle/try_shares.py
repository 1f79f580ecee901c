"""Learn which share of recent tries was answered, by failing instances and by others."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.clocks import Clock, Millis

# A daemon that sees one gather a second learns from the last few; a spell of faults lasts seconds.
HALF_LIFE = Millis(2_000)
PRIOR_TRIES = 8.0  # weight of what is assumed before tries were observed
FAILING_PRIOR = 0.5
SOUND_PRIOR = 1.0


@dataclass(slots=True)
class _Share:
    """Count tries, failures and the ages of failures, halved per half-life."""

    prior: float
    tries: float = 0.0
    failures: float = 0.0
    failure_ages: float = 0.0
    at: Millis = Millis(0)

    def add(self, is_failure: bool, age: Millis, now: Millis) -> None:
        self.fade(now)
        self.tries += 1.0
        if is_failure:
            self.failures += 1.0
            self.failure_ages += age

    def answered(self) -> float:
        expected = self.failures + PRIOR_TRIES * (1.0 - self.prior)
        return 1.0 - expected / (self.tries + PRIOR_TRIES)

    def fade(self, now: Millis) -> None:
        kept = 0.5 ** ((now - self.at) / HALF_LIFE)
        self.tries *= kept
        self.failures *= kept
        self.failure_ages *= kept
        self.at = now


class TryShares:
    """Learn the answered share of tries, one for failing instances and one for all others.

    A single instance gets a request of a daemon in some seconds, too few to learn from alone.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failing = _Share(FAILING_PRIOR)
        self._sound = _Share(SOUND_PRIOR)

    def record(self, of_failing: bool, answered: bool, age: Millis) -> None:
        """Record the end of a try."""
        self._share(of_failing).add(not answered, age, self._clock.now())

    def record_cancelled(self, of_failing: bool, age: Millis) -> None:
        """Record a try that was cancelled; it tells nothing if failures come later than that.

        Sheds come before answers. If only these counted, a gather that is ended by its first sheds
        would have seen nothing else.
        """
        share = self._share(of_failing)
        if not share.failures or age * share.failures >= share.failure_ages:
            share.add(False, age, self._clock.now())

    def answered(self, of_failing: bool) -> float:
        """Return the share of tries that is answered."""
        share = self._share(of_failing)
        share.fade(self._clock.now())
        return share.answered()

    def _share(self, of_failing: bool) -> _Share:
        return self._failing if of_failing else self._sound
