import random

import pytest
from firtrestle.clocks import Clock, Millis
from firtrestle.hedgers import Progress
from firtrestle.plugins.hedgers import MIN_SAMPLES, AdaptiveHedger, NoHedger


class TickingClock(Clock):
    at = 0.0

    def now(self) -> Millis:
        self.at += 0.01
        return Millis(self.at)


def progress(median: float, shards: int = 30) -> Progress:
    return Progress("c", shards, shards - 1, Millis(median))


def test_the_baseline_never_hedges():
    assert NoHedger(TickingClock()).delay(progress(5)) is None


def test_without_enough_samples_the_delay_is_three_times_the_median():
    hedger = AdaptiveHedger(TickingClock())
    assert hedger.delay(progress(5)) == 15
    assert hedger.delay(progress(5, shards=1)) is None
    hedger.learn("c", [Millis(5)] * (MIN_SAMPLES - 1))
    assert hedger.delay(progress(5)) == 15


def test_the_delay_scales_with_the_median_during_a_slowdown():
    hedger = AdaptiveHedger(TickingClock())
    rng = random.Random(1)
    for _ in range(50):
        hedger.learn("c", [Millis(rng.uniform(8, 12)) for _ in range(30)])
    calm, slow = hedger.delay(progress(10)), hedger.delay(progress(100))
    assert slow == pytest.approx(10 * calm, rel=0.01)


def test_the_share_of_late_replies_stays_near_the_budget():
    hedger = AdaptiveHedger(TickingClock())
    rng = random.Random(1)
    late = total = 0
    for _ in range(400):
        latencies = [Millis(rng.expovariate(0.1) + 5) for _ in range(30)]
        delay = hedger.delay(progress(sorted(latencies)[15]))
        if delay is not None:
            late += sum(latency > delay for latency in latencies)
            total += 30
        hedger.learn("c", latencies)
    assert late / total < 0.025
