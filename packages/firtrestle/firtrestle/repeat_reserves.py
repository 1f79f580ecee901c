"""Decide how much of a repeat budget is kept for repeats that matter more than a given one."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

# Shares of a window's allowance. One of 91 daemons with a request a second may spend 2.4 repeats
# of a shard in 10 s: a reserve of 0.3 keeps the second of them, one of 0.6 both.
HEDGE_RESERVE = 0.3  # for retries, without which a shard has no reply at all
LESS_URGENT_RESERVE = 0.15  # below one repeat of such a daemon, so that no route goes without
EXTRA_RESERVE = 0.3
HOPELESS_RESERVE = 0.6
# Repeats of a gather with a lower chance yield fewer answers than the same repeats of others.
MIN_CHANCE = 0.2
ASSURED_CHANCE = 0.95


class RepeatNeed(StrEnum):
    """Define what a repeat can do for its gather's least coverage."""

    DECISIVE = "decisive"
    EXTRA = "extra"  # the least coverage is expected without it
    HOPELESS = "hopeless"  # the least coverage is not expected with it either
    SURPLUS = "surplus"  # the latency target has passed, and other shards suffice


@dataclass(frozen=True, slots=True)
class Prospect:
    """Represent a gather's chances of its least coverage, with and without one repeat."""

    need: RepeatNeed
    chance_with: float
    chance_without: float


def repeat_need(chance_with: float, chance_without: float) -> RepeatNeed:
    """Return the need of a repeat by the chances of the least coverage with and without it."""
    if chance_with < MIN_CHANCE:
        return RepeatNeed.HOPELESS
    return RepeatNeed.EXTRA if chance_without >= ASSURED_CHANCE else RepeatNeed.DECISIVE


def reserve_share(need: RepeatNeed, is_most_urgent: bool, is_hedge: bool) -> float:
    """Return the share of a budget's allowance that a repeat must leave to others."""
    reserve = 0.0 if is_most_urgent else LESS_URGENT_RESERVE
    if need is RepeatNeed.EXTRA:
        reserve = max(reserve, EXTRA_RESERVE)
    elif need is RepeatNeed.HOPELESS:
        reserve = HOPELESS_RESERVE
    return max(reserve, HEDGE_RESERVE) if is_hedge else reserve


def reach_chance(needed: int, chances: Sequence[float]) -> float:
    """Return the chance that at least `needed` of independent events happen, approximately.

    The sum is taken as normally distributed, which is off by at most some hundredths here.
    """
    if needed <= 0:
        return 1.0
    if needed > sum(chance > 0.0 for chance in chances):
        return 0.0
    missing = needed - 0.5 - sum(chances)
    deviation = math.sqrt(sum(chance * (1.0 - chance) for chance in chances))
    if not deviation:
        return float(missing <= 0.0)
    return 0.5 * math.erfc(missing / (deviation * math.sqrt(2.0)))
