"""Divide each entry's limits among the daemons, and lend unused parts.

Each daemon owns an equal part, a fraction of the limits. It lends the part that it does not need
for a short time, and does not use it itself until the loan is over by its own clock, which it
starts later than the borrower does. So the parts in use never add up to more than the limit, even
if daemons crash, are suspended or are partitioned.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from firtrestle.catalogues import Catalogue, Entry
from firtrestle.clocks import MILLIS_PER_SECOND, Clock, Millis, sleep
from firtrestle.messages import Borrow, Loan
from firtrestle.voters import CallDaemon, Voters

# Fractions of the limit, each divided by the number of daemons.
ESTABLISHED_LIMIT_SHARE = 0.95
NEW_DAEMON_LIMIT_SHARE = 0.05  # for a daemon that others may not know yet
RESERVE_RATIO = 0.05  # fraction of its own part that a daemon never lends, for bursts of queries
LOAN_DURATION = Millis(2_000)  # a borrower may admit queries on a loan for this long
LOAN_MARGIN = Millis(500)
BORROW_INTERVAL = Millis(500)
DEMAND_WINDOW = Millis(1_000)
HEADROOM_RATIO = 1.25  # multiple of its demand that a lender keeps and a borrower asks for
MAX_NEW_LENDERS_ASKED = 16  # per interval, besides the current lenders
MIN_LOAN_PART = 0.002  # fraction of the limit


@dataclass(slots=True)
class _ActiveLoan:
    """Represent a part of the limits that is lent or borrowed until a monotonic time."""

    part: float
    until: Millis


@dataclass(slots=True)
class _EntryUsage:
    """Track one entry's demand at this daemon, and the loans given and taken for it."""

    arrivals: deque[Millis] = field(default_factory=deque)
    running: int = 0
    lent_by_borrower: dict[str, list[_ActiveLoan]] = field(default_factory=dict)
    borrowed_by_lender: dict[str, _ActiveLoan] = field(default_factory=dict)


class Shares:
    """Track which part of each entry's limits this daemon may use now."""

    def __init__(self, voters: Voters, call: CallDaemon, clock: Clock, rng: random.Random) -> None:
        self._voters = voters
        self._call = call
        self._clock = clock
        self._rng = rng
        self._usage_by_entry: dict[str, _EntryUsage] = {}
        self._own_part_from: Millis | None = None

    def has_own_part(self) -> bool:
        """Return whether all others know this daemon, and loans from before its start are over.

        The first call after this daemon was established starts the wait for those loans.
        """
        now = self._clock.now()
        if self._voters.established_at is None:
            return False
        if self._own_part_from is None:
            self._own_part_from = Millis(now + LOAN_DURATION + LOAN_MARGIN)
        return now >= self._own_part_from

    def part(self, entry: Entry) -> float:
        """Return the part of an entry's limits that this daemon may use now, from 0 to 1."""
        usage = self._usage(entry.name)
        now = self._clock.now()
        loans = usage.borrowed_by_lender.values()
        borrowed = sum(loan.part for loan in loans if now < loan.until)
        return max(0.0, self._own_part() - self._lent_part(usage)) + borrowed

    def record_arrival(self, entry: Entry) -> None:
        """Count a query as demand, whether it is admitted or not."""
        usage = self._usage(entry.name)
        now = self._clock.now()
        usage.arrivals.append(now)
        self._expire_arrivals(usage, now)

    def add_running(self, entry: Entry, change: int) -> None:
        """Add `change` to the number of an entry's running queries."""
        self._usage(entry.name).running += change

    def lend(self, borrow: Borrow, entry: Entry | None) -> Loan:
        """Lend the requested part, or as much of it as is not needed here."""
        if entry is None:
            return Loan(0.0)
        usage = self._usage(entry.name)
        lent_to_others = self._lent_part(usage, excluding=borrow.borrower)
        reserved = max(
            RESERVE_RATIO * self._own_part(), HEADROOM_RATIO * self._demand(entry, usage)
        )
        free = self._own_part() - lent_to_others - reserved
        part = min(borrow.part, free)
        if part < MIN_LOAN_PART:
            return Loan(0.0)
        until = Millis(self._clock.now() + LOAN_DURATION + entry.timeout + LOAN_MARGIN)
        usage.lent_by_borrower.setdefault(borrow.borrower, []).append(_ActiveLoan(part, until))
        return Loan(part)

    async def run(self, catalogue: Callable[[], Catalogue]) -> None:
        """Borrow for entries whose demand exceeds this daemon's own part, until cancelled."""
        while True:
            await sleep(Millis(BORROW_INTERVAL * self._rng.uniform(0.8, 1.2)))
            self.has_own_part()  # starts the wait for earlier loans once this daemon is established
            async with trio.open_nursery() as nursery:
                for name in list(self._usage_by_entry):
                    entry = catalogue().by_name.get(name)
                    if entry is None:
                        del self._usage_by_entry[name]
                    else:
                        nursery.start_soon(self._borrow_for, entry)

    async def _borrow_for(self, entry: Entry) -> None:
        """Renew the loans that are still needed, then ask other daemons for the shortfall."""
        usage = self._usage(entry.name)
        own = max(0.0, self._own_part() - self._lent_part(usage))
        shortfall = HEADROOM_RATIO * self._demand(entry, usage) - own
        for daemon_id in self._lenders_to_ask(usage):
            if shortfall < MIN_LOAN_PART:
                return
            asked_at = self._clock.now()
            answer = await self._call(daemon_id, Borrow(entry.name, shortfall, self._voters.my_id))
            if isinstance(answer, Loan) and answer.part > 0:
                loan = _ActiveLoan(answer.part, Millis(asked_at + LOAN_DURATION))
                usage.borrowed_by_lender[daemon_id] = loan
                shortfall -= answer.part

    def _lenders_to_ask(self, usage: _EntryUsage) -> list[str]:
        """Return the daemons to ask for loans, current lenders first."""
        now = self._clock.now()
        borrowed = usage.borrowed_by_lender
        for daemon_id in [lender for lender, loan in borrowed.items() if now >= loan.until]:
            del borrowed[daemon_id]
        others = [other for other in self._voters.others() if other not in borrowed]
        self._rng.shuffle(others)
        return [*borrowed, *others[:MAX_NEW_LENDERS_ASKED]]

    def _own_part(self) -> float:
        """Return this daemon's own part, lent or not.

        It is small until all others know this daemon and loans from before its start are over.
        """
        limit_share = ESTABLISHED_LIMIT_SHARE if self.has_own_part() else NEW_DAEMON_LIMIT_SHARE
        return limit_share / self._fleet_size()

    def _fleet_size(self) -> int:
        return len(self._voters.others()) + 1

    def _lent_part(self, usage: _EntryUsage, excluding: str = "") -> float:
        """Return the part lent out.

        Of one borrower's overlapping loans only the largest counts, because a renewal replaces the
        loan before it.
        """
        now = self._clock.now()
        total = 0.0
        for borrower, loans in list(usage.lent_by_borrower.items()):
            loans[:] = [loan for loan in loans if now < loan.until]
            if not loans:
                del usage.lent_by_borrower[borrower]
            elif borrower != excluding:
                total += max(loan.part for loan in loans)
        return total

    def _demand(self, entry: Entry, usage: _EntryUsage) -> float:
        """Return the part of the limits that this daemon's recent and running queries take up."""
        self._expire_arrivals(usage, self._clock.now())
        rate = len(usage.arrivals) * MILLIS_PER_SECOND / DEMAND_WINDOW
        return min(1.0, max(rate / entry.rate_per_second, usage.running / entry.concurrency))

    def _expire_arrivals(self, usage: _EntryUsage, now: Millis) -> None:
        while usage.arrivals and now - usage.arrivals[0] > DEMAND_WINDOW:
            usage.arrivals.popleft()

    def _usage(self, name: str) -> _EntryUsage:
        return self._usage_by_entry.setdefault(name, _EntryUsage())
