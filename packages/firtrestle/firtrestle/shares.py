"""Share each entry's limits over the daemons, and lend what is not needed.

Every daemon owns an equal part. It lends what it does not need for a short time, and does not use
it until that time is over by its own clock, which starts after the borrower's. So the parts in use
never add up to more than the limit, whoever dies, sleeps or is cut off.
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

ESTABLISHED_PART = 0.95  # of the limit, over all daemons that every other one knows
NEWCOMER_PART = 0.05  # of an equal part, for a daemon that others may not know yet
KEPT = 0.05  # of its own part, that a daemon never lends, for queries that come all at once
LOAN = Millis(2_000)  # time that a borrower may let queries in on a loan
MARGIN = Millis(500)
PERIOD = Millis(500)
DEMAND_WINDOW = Millis(1_000)
HEADROOM = 1.25  # of the demand, that a lender keeps and a borrower asks for
LENDERS_ASKED = 16  # at most, in one period
LEAST_LOAN = 0.002  # of the limit


@dataclass(slots=True)
class _Part:
    """Hold a part of the limit lent or borrowed until a moment."""

    part: float
    until: Millis


@dataclass(slots=True)
class _EntryShare:
    """Hold one entry's demand here, and its loans both ways."""

    arrivals: deque[Millis] = field(default_factory=deque)
    running: int = 0
    lent_by_borrower: dict[str, list[_Part]] = field(default_factory=dict)
    borrowed_by_lender: dict[str, _Part] = field(default_factory=dict)


class Shares:
    """Know which part of each entry's limits this daemon may use now."""

    def __init__(self, voters: Voters, call: CallDaemon, clock: Clock, rng: random.Random) -> None:
        self._voters = voters
        self._call = call
        self._clock = clock
        self._rng = rng
        self._share_by_entry: dict[str, _EntryShare] = {}
        self._own_since: Millis | None = None

    def has_own_part(self) -> bool:
        """Say whether all others know this daemon, and loans from before its start are over."""
        now = self._clock.now()
        if self._voters.established_at is None:
            return False
        if self._own_since is None:
            self._own_since = Millis(now + LOAN + MARGIN)
        return now >= self._own_since

    def part(self, entry: Entry) -> float:
        """Return the part of an entry's limits, from 0 to 1, that queries may be let in on."""
        share = self._share(entry.name)
        now = self._clock.now()
        loans = share.borrowed_by_lender.values()
        borrowed = sum(loan.part for loan in loans if now < loan.until)
        return max(0.0, self._base() - self._lent_part(share)) + borrowed

    def note_arrival(self, entry: Entry) -> None:
        """Count a query as demand, let in or not."""
        share = self._share(entry.name)
        now = self._clock.now()
        share.arrivals.append(now)
        self._expire(share, now)

    def note_running(self, entry: Entry, change: int) -> None:
        """Count a query as running, or as ended."""
        self._share(entry.name).running += change

    def lend(self, borrow: Borrow, entry: Entry | None) -> Loan:
        """Lend the part that is not needed here, or less."""
        if entry is None:
            return Loan(0.0)
        share = self._share(entry.name)
        lent_to_others = self._lent_part(share, but=borrow.borrower)
        kept = max(KEPT * self._base(), HEADROOM * self._demand(entry, share))
        free = self._base() - lent_to_others - kept
        part = min(borrow.part, free)
        if part < LEAST_LOAN:
            return Loan(0.0)
        until = Millis(self._clock.now() + LOAN + entry.timeout + MARGIN)
        share.lent_by_borrower.setdefault(borrow.borrower, []).append(_Part(part, until))
        return Loan(part)

    async def run(self, catalogue: Callable[[], Catalogue]) -> None:
        """Borrow for entries with more demand than share, for ever."""
        while True:
            await sleep(Millis(PERIOD * self._rng.uniform(0.8, 1.2)))
            self.has_own_part()  # starts the wait for old loans once this daemon is established
            async with trio.open_nursery() as nursery:
                for name in list(self._share_by_entry):
                    entry = catalogue().by_name.get(name)
                    if entry is None:
                        del self._share_by_entry[name]
                    else:
                        nursery.start_soon(self._borrow_for, entry)

    async def _borrow_for(self, entry: Entry) -> None:
        """Renew the loans that are still needed, then ask others for what lacks."""
        share = self._share(entry.name)
        own = max(0.0, self._base() - self._lent_part(share))
        lacking = HEADROOM * self._demand(entry, share) - own
        for daemon_id in self._lenders(share):
            if lacking < LEAST_LOAN:
                return
            asked_at = self._clock.now()
            answer = await self._call(daemon_id, Borrow(entry.name, lacking, self._voters.my_id))
            if isinstance(answer, Loan) and answer.part > 0:
                loan = _Part(answer.part, Millis(asked_at + LOAN))
                share.borrowed_by_lender[daemon_id] = loan
                lacking -= answer.part

    def _lenders(self, share: _EntryShare) -> list[str]:
        """Return whom to ask, those who lend already first."""
        now = self._clock.now()
        borrowed = share.borrowed_by_lender
        for daemon_id in [one for one, loan in borrowed.items() if now >= loan.until]:
            del borrowed[daemon_id]
        others = [one for one in self._voters.others() if one not in borrowed]
        self._rng.shuffle(others)
        return [*borrowed, *others[:LENDERS_ASKED]]

    def _base(self) -> float:
        """Return this daemon's own part, small until all others know it and old loans are over."""
        part = ESTABLISHED_PART if self.has_own_part() else NEWCOMER_PART
        return part / self._fleet_size()

    def _fleet_size(self) -> int:
        return len(self._voters.others()) + 1

    def _lent_part(self, share: _EntryShare, but: str = "") -> float:
        """Return the part lent out; of one borrower's loans that overlap, the largest counts."""
        now = self._clock.now()
        total = 0.0
        for borrower, loans in list(share.lent_by_borrower.items()):
            loans[:] = [loan for loan in loans if now < loan.until]
            if not loans:
                del share.lent_by_borrower[borrower]
            elif borrower != but:
                total += max(loan.part for loan in loans)
        return total

    def _demand(self, entry: Entry, share: _EntryShare) -> float:
        """Return the part of the limits that queries here ask for."""
        self._expire(share, self._clock.now())
        rate = len(share.arrivals) * MILLIS_PER_SECOND / DEMAND_WINDOW
        return min(1.0, max(rate / entry.rate_per_second, share.running / entry.concurrency))

    def _expire(self, share: _EntryShare, now: Millis) -> None:
        while share.arrivals and now - share.arrivals[0] > DEMAND_WINDOW:
            share.arrivals.popleft()

    def _share(self, name: str) -> _EntryShare:
        return self._share_by_entry.setdefault(name, _EntryShare())
