"""Choose the daemons that read a registry for the fleet, and track how current each one is."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.members import Member, Members
from firtrestle.messages import Pong
from firtrestle.registry_eras import RegistryEras
from firtrestle.rendezvous import rank

READER_RANK_KEY = "reader/registry"
MIN_READERS = 3  # two readers may be lost, or refused by the registry, at the same time
# The first reader checks knowledge of this age, each next one so much later.
CHECK_AGE = Millis(700)
CHECK_STAGGER = Millis(50)
REFRESH_AGE = Millis(900)  # a daemon with older knowledge asks a reader, who has checked by then
# With older knowledge a daemon reads itself; each draws its own age. Below the 3 s in which a new
# desired state or a drain must be in force.
MAX_AGE_RANGE = (Millis(1_500), Millis(2_200))
OWN_READ_PERIOD = Millis(5_000)  # how long a daemon reads itself if no reader was current
# With older knowledge the registry counts as unreachable: no reader's check has succeeded.
UNREACHABLE_AGE = Millis(1_400)
MIN_SLEEP = Millis(1)  # a shorter one might not advance the clock
MEMBERSHIP_WAIT = Millis(700)  # after a start; one ping of a seed returns the other daemons
DECISION_INTERVAL = Millis(200)


@dataclass(slots=True)
class _PartProgress:
    """Record up to which revision all changes of one part are known here, and since when.

    The revision is None while the part must be read completely.
    """

    revision: int | None
    known_at: Millis
    needs_proof: bool = False  # a read failed, and none has succeeded since


class RegistryProgress:
    """Track up to which revision this daemon knows all changes of each part of a registry."""

    def __init__(
        self,
        clock: Clock,
        expected: frozenset[str],
        eras: RegistryEras | None = None,
        earlier_name_by_part: dict[str, str] | None = None,
    ) -> None:
        """Prepare; earlier builds know a smaller part, by another name, in place of some parts."""
        self._earlier_name_by_part = earlier_name_by_part or {}
        self.eras = eras or RegistryEras()
        self.eras.add_listener(self._on_restored)
        self._clock = clock
        self._expected = expected
        self._part_by_name: dict[str, _PartProgress] = {}
        self.too_long_answers = 0  # to questions for changes; complete reads followed them
        self.complete = trio.Event()  # set once every expected part is known

    def revision(self, name: str) -> int | None:
        """Return the revision to continue from, or None if the part must be read completely."""
        part = self._part_by_name.get(name)
        return part.revision if part is not None else None

    def advance(self, name: str, revision: int) -> None:
        """Record that all changes of a part up to a revision are known."""
        part = self._part_by_name.get(name)
        newest = max(revision, part.revision or 0) if part is not None else revision
        self._part_by_name[name] = _PartProgress(newest, self._clock.now())
        self._update_complete()

    def needs_proof(self, name: str) -> bool:
        """Return whether the last read of a part failed."""
        part = self._part_by_name.get(name)
        return part is not None and part.needs_proof

    def read_failed(self, name: str) -> None:
        """Record that a read or watch of a part failed."""
        part = self._part_by_name.get(name)
        if part is not None:
            part.needs_proof = True

    def forget(self, name: str) -> None:
        """Require a complete read of a part, as the registry no longer has its history."""
        self._part_by_name.pop(name, None)

    def read_again(self, name: str) -> None:
        """Require a complete read of a part whose changes are too many for an answer."""
        part = self._part_by_name.get(name)
        if part is not None:
            part.revision = None
        self.too_long_answers += 1

    def age(self) -> Millis:
        """Return the age of the least current part; infinite while a part is unknown.

        All changes that are older are known. Only answers of the registry, here or at a peer,
        make knowledge current: an open watch is silent also if the registry never received it.
        """
        if not self._expected <= self._part_by_name.keys():
            return Millis(float("inf"))
        return Millis(max((self._age_of(part) for part in self._part_by_name.values()), default=0))

    def part_age(self, name: str) -> Millis:
        """Return the age of what is known of one part; infinite while it is unknown."""
        part = self._part_by_name.get(name)
        return self._age_of(part) if part is not None else Millis(math.inf)

    def logged_age(self) -> int | None:
        """Return the age in whole ms for a log line, None while a part is unknown."""
        age = self.age()
        return round(age) if math.isfinite(age) else None

    def to_wire(self) -> dict[str, list[float]]:
        """Return [revision, age in ms] by part, for a peer that has just been synchronized."""
        return {
            name: [part.revision, round(self._age_of(part))]
            for name, part in self._part_by_name.items()
            if part.revision is not None
        }

    def report_in(self, pong: Pong) -> None:
        """State the progress in the answer to a ping, for earlier builds too.

        Whoever knows all changes of a part knows those of a smaller part within it.
        """
        pong.parts = self.to_wire()
        pong.progress = {
            self._earlier_name_by_part.get(name, name): row for name, row in pong.parts.items()
        }

    def merge(self, reported: dict[str, Any], asked_at: Millis) -> None:
        """Adopt a peer's progress; only to be called once all that the peer holds is held here.

        `asked_at` is when the peer was asked: its report may have aged since then. Parts that are
        not expected, as peers of other builds may report, are ignored.
        """
        for name, row in reported.items():
            if name not in self._expected:
                continue
            if not _is_progress_row(name, row):
                logger.bind(part=name).warning("a peer reported malformed progress; ignored")
                continue
            revision, age = row
            known_at = Millis(asked_at - age)
            part = self._part_by_name.get(name)
            if part is None:
                self._part_by_name[name] = _PartProgress(revision, known_at)
            elif part.revision is None or revision >= part.revision:
                part.revision = revision
                part.known_at = max(part.known_at, known_at)
        self._update_complete()

    def _on_restored(self) -> None:
        """Require a complete read of all parts, whose revisions are those of an earlier era."""
        for part in self._part_by_name.values():
            part.revision = None
            part.needs_proof = False

    def _age_of(self, part: _PartProgress) -> Millis:
        return Millis(max(0.0, self._clock.now() - part.known_at))

    def _update_complete(self) -> None:
        if self._expected <= self._part_by_name.keys():
            self.complete.set()


class ReaderRole:
    """Decide when this daemon reads the registry, and keep it current while it doesn't.

    One live daemon of each data centre reads, and at least three in all. The others ask a reader
    for the changes they lack, and so does a reader whose own reads fail. A daemon that finds no
    current reader reads itself for a while.

    All readers watch, and the first of them checks at short intervals that nothing was missed.
    Each other one asks the reader before it, and checks itself if that one has not.
    """

    def __init__(
        self,
        progress: RegistryProgress,
        members: Members,
        clock: Clock,
        rng: random.Random,
        set_registry_reachable: Callable[[bool], None],
    ) -> None:
        self._progress = progress
        self._members = members
        self._clock = clock
        self._rng = rng
        self._set_registry_reachable = set_registry_reachable
        self._max_age = rng.uniform(*MAX_AGE_RANGE)
        self._members_known_at = Millis(clock.now() + MEMBERSHIP_WAIT)
        self._own_reads_until = Millis(0)
        self._readers: list[Member] = []  # as of the last decision
        self._check_lock = trio.Lock()  # one question to a peer brings the progress of all parts
        self._asked_ids: set[str] = set()  # readers asked since this daemon was last current
        self._active = trio.Event()
        self._active.set()  # a starting daemon reads once, whether it is a reader or not

    @property
    def is_active(self) -> bool:
        """Return whether this daemon should read now."""
        return self._active.is_set()

    async def wait_active(self) -> None:
        """Wait until this daemon should read."""
        await self._active.wait()

    def is_unproven(self, part: str) -> bool:
        """Return whether a read of a part failed, or its last answer is due for a check."""
        return self._progress.needs_proof(part) or self._check_is_due(part)

    async def wait_check_due(self, part: str) -> None:
        """Wait until this daemon should check a part, as no reader before it has."""
        while True:
            await self.wait_active()
            if not self._check_is_due(part):
                left = self._own_check_age() - self._progress.part_age(part)
                await sleep(Millis(max(left, MIN_SLEEP)))
                continue
            async with self._check_lock:
                earlier = self._earlier_reader()
                if earlier is not None and self._check_is_due(part):
                    await self._members.refresh_from(earlier)
            if self._check_is_due(part):
                return

    def _check_is_due(self, part: str) -> bool:
        return self._progress.part_age(part) >= self._own_check_age()

    def _own_check_age(self) -> Millis:
        return Millis(CHECK_AGE + CHECK_STAGGER * self._own_place())

    def _own_place(self) -> int:
        """Return this daemon's place among the readers; the next one if it is none of them."""
        ids = [reader.id for reader in self._readers]
        return ids.index(self._members.me.id) if self._members.me.id in ids else len(ids)

    def _earlier_reader(self) -> Member | None:
        """Return the reader before this daemon, None for the first."""
        place = self._own_place()
        return self._readers[place - 1] if place else None

    async def run(self) -> None:
        """Decide at a fixed interval and ask readers for changes, forever."""
        async with trio.open_nursery() as nursery:
            while True:
                await sleep(DECISION_INTERVAL)
                reader = self.decide()
                if reader is not None:
                    nursery.start_soon(self._members.refresh_from, reader)

    def decide(self) -> Member | None:
        """Start or stop reading; return the reader to ask for changes now, if any."""
        now = self._clock.now()
        age = self._progress.age()
        self._set_registry_reachable(age < UNREACHABLE_AGE)
        self._readers = choose_readers(self._members.live())
        chosen = now >= self._members_known_at and self._own_place() < len(self._readers)
        if not chosen and age > self._max_age and now >= self._own_reads_until:
            self._own_reads_until = Millis(now + OWN_READ_PERIOD)
        self._set_active(chosen or now < self._own_reads_until, chosen)
        if age < REFRESH_AGE:
            self._asked_ids.clear()
            return None
        return self._next_to_ask()

    def _next_to_ask(self) -> Member | None:
        """Return the next other reader in turn, those of this data centre first."""
        me = self._members.me
        others = [reader for reader in self._readers if reader.id != me.id]
        ordered = sorted(others, key=lambda reader: reader.data_centre != me.data_centre)
        untried = [reader for reader in ordered if reader.id not in self._asked_ids] or ordered
        if not untried:
            return None
        self._asked_ids.add(untried[0].id)
        if len(self._asked_ids) >= len(ordered):
            self._asked_ids.clear()
        return untried[0]

    def _set_active(self, active: bool, chosen: bool) -> None:
        if active == self._active.is_set():
            return
        logger.bind(reads=active, chosen=chosen, age_ms=self._progress.logged_age()).info(
            "registry read by this daemon" if active else "registry read by others"
        )
        if active:
            self._active.set()
        else:
            self._active = trio.Event()


def choose_readers(live: list[Member]) -> list[Member]:
    """Return the daemons that read: the first of each data centre by rank, and at least three."""
    by_id = {member.id: member for member in live}
    ordered = [by_id[member_id] for member_id in rank(READER_RANK_KEY, by_id)]
    first_by_data_centre: dict[str, Member] = {}
    for member in ordered:
        first_by_data_centre.setdefault(member.data_centre, member)
    readers = list(first_by_data_centre.values())
    others = [member for member in ordered if member not in readers]
    return readers + others[: max(0, MIN_READERS - len(readers))]


def reported_progress(pong: Pong) -> dict[str, Any]:
    """Return the progress that a peer reports; one of an earlier build states it in one field."""
    return pong.parts or pong.progress


def reported_revision(reported: dict[str, Any], name: str) -> int:
    """Return the revision of a part in a peer's report, 0 if it is missing or malformed."""
    row = reported.get(name)
    return row[0] if _is_progress_row(name, row) else 0


def _is_progress_row(name: Any, row: Any) -> bool:
    return (
        isinstance(name, str)
        and isinstance(row, list)
        and len(row) == 2
        and isinstance(row[0], int)
        and isinstance(row[1], int | float)
        and row[1] >= 0
    )
