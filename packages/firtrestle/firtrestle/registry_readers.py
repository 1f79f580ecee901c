"""Decide which daemons read a registry for the fleet, and know how current this one is."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.members import Member, Members
from firtrestle.rendezvous import rank

READERS_KEY = "reader/registry"  # by which daemons are ranked
LEAST_READERS = 3  # of the fleet, so that two may be lost, or be turned away, at once
REFRESH_AGE = Millis(500)  # of what is known, from which a reader is asked for news
LONGEST_AGE = (Millis(1_500), Millis(2_200))  # then a daemon reads itself; below bounds of 3 s
TURN = Millis(5_000)  # of a daemon that reads because it heard from no reader
UNWELL_AGE = Millis(1_200)  # from which the registry is taken to be away; readers hear in 0.5 s
CUT_AGE = Millis(1_000)  # of what a watch told that broke: when it last worked is not known
SETTLING = Millis(700)  # after a start: one ping of a seed tells of the other daemons
TICK = Millis(200)


@dataclass(slots=True)
class _Part:
    """Hold up to which revision all changes of one part are known here, and since when."""

    revision: int
    known_at: Millis
    watched_until: Millis = Millis(0)  # while a watch of this daemon waits, nothing is missed


class RegistryProgress:
    """Know up to which revision this daemon holds all changes of each part of a registry."""

    def __init__(self, clock: Clock, expected: frozenset[str]) -> None:
        self._clock = clock
        self._expected = expected
        self._part_by_name: dict[str, _Part] = {}
        self.complete = trio.Event()  # once every expected part is known

    def revision(self, name: str) -> int | None:
        """Return the revision to go on from, or None if the part must be read as a whole."""
        part = self._part_by_name.get(name)
        return part.revision if part is not None else None

    def took(self, name: str, revision: int) -> None:
        """Take in that all changes of a part up to a revision are known."""
        held = self._part_by_name.get(name)
        newest = max(revision, held.revision) if held is not None else revision
        self._part_by_name[name] = _Part(newest, self._clock.now())
        self._note_complete()

    def watching(self, name: str, longest: Millis) -> None:
        """Take in that a watch of a part begins, which tells at once what changes."""
        part = self._part_by_name.get(name)
        if part is not None:
            part.watched_until = Millis(self._clock.now() + longest)

    def lost(self, name: str) -> None:
        """Take in that a read or watch of a part failed."""
        part = self._part_by_name.get(name)
        now = self._clock.now()
        if part is not None and part.watched_until > now:
            part.known_at = max(part.known_at, Millis(now - CUT_AGE))
        if part is not None:
            part.watched_until = Millis(0)

    def forget(self, name: str) -> None:
        """Take in that a part must be read as a whole, as the registry lost its history."""
        self._part_by_name.pop(name, None)

    def age(self) -> Millis:
        """Return the age of the oldest part; infinite while one is not known."""
        if not self._expected <= self._part_by_name.keys():
            return Millis(float("inf"))
        return Millis(max(self._age_of(part) for part in self._part_by_name.values()))

    def told(self) -> dict[str, list[float]]:
        """Return the revision and age of each part, for a peer that has just been synchronized."""
        return {
            name: [part.revision, round(self._age_of(part))]
            for name, part in self._part_by_name.items()
        }

    def adopt(self, told: dict[str, Any], asked_at: Millis) -> None:
        """Take over a peer's progress, once all that it holds is held here too.

        `asked_at` is when the peer was asked: what it told may have aged since.
        """
        for name, row in told.items():
            if not _is_progress(name, row):
                logger.bind(part=name).warning("a peer's progress can't be read")
                continue
            revision, age = row
            known_at = Millis(asked_at - age)
            held = self._part_by_name.get(name)
            if held is None:
                self._part_by_name[name] = _Part(revision, known_at)
            elif revision >= held.revision:
                held.revision = revision
                held.known_at = max(held.known_at, known_at)
        self._note_complete()

    def _age_of(self, part: _Part) -> Millis:
        now = self._clock.now()
        return Millis(0) if part.watched_until > now else Millis(max(0.0, now - part.known_at))

    def _note_complete(self) -> None:
        if self._expected <= self._part_by_name.keys():
            self.complete.set()


class ReaderDuty:
    """Tell this daemon when to read the registry, and keep it current while it doesn't.

    One live daemon of each data centre reads, and at least three in all. The others ask a reader
    for what they miss. Who hears from no reader that is current reads itself for a while.
    """

    def __init__(
        self,
        progress: RegistryProgress,
        members: Members,
        clock: Clock,
        rng: random.Random,
        note_registry: Callable[[bool], None],
    ) -> None:
        self._progress = progress
        self._members = members
        self._clock = clock
        self._rng = rng
        self._note_registry = note_registry
        self._longest_age = rng.uniform(*LONGEST_AGE)
        self._settled_at = Millis(clock.now() + SETTLING)
        self._own_turn_until = Millis(0)
        self._asked: set[str] = set()  # readers, since one was current
        self._active = trio.Event()
        self._active.set()  # a starting daemon reads once, whoever the readers are

    @property
    def is_active(self) -> bool:
        """Say whether this daemon is to read now."""
        return self._active.is_set()

    async def wait_active(self) -> None:
        """Return when this daemon is to read."""
        await self._active.wait()

    async def run(self) -> None:
        """Decide again and again, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                await sleep(TICK)
                reader = self.decide()
                if reader is not None:
                    nursery.start_soon(self._members.refresh_from, reader)

    def decide(self) -> Member | None:
        """Begin or end to read; return the reader to ask for news now, if one is to be asked."""
        now = self._clock.now()
        age = self._progress.age()
        self._note_registry(age < UNWELL_AGE)
        readers = readers_of(self._members.live())
        chosen = now >= self._settled_at and any(one.id == self._members.me.id for one in readers)
        if not chosen and age > self._longest_age and now >= self._own_turn_until:
            self._own_turn_until = Millis(now + TURN)
        self._set_active(chosen or now < self._own_turn_until, chosen, age)
        if chosen or age < REFRESH_AGE:
            self._asked.clear()
            return None
        return self._next_to_ask(readers)

    def _next_to_ask(self, readers: list[Member]) -> Member | None:
        """Return a reader of this data centre, then the others in turn until one is current."""
        near = self._members.me.data_centre
        ordered = sorted(readers, key=lambda one: one.data_centre != near)
        untried = [one for one in ordered if one.id not in self._asked] or ordered
        if not untried:
            return None
        self._asked.add(untried[0].id)
        if len(self._asked) >= len(ordered):
            self._asked.clear()
        return untried[0]

    def _set_active(self, active: bool, chosen: bool, age: Millis) -> None:
        if active == self._active.is_set():
            return
        logger.bind(reads=active, chosen=chosen, age_ms=min(round(age, 1), 1e9)).info(
            "registry read by this daemon" if active else "registry read by others"
        )
        if active:
            self._active.set()
        else:
            self._active = trio.Event()


def readers_of(live: list[Member]) -> list[Member]:
    """Return the daemons that read: the first of each data centre by rank, and at least three."""
    by_id = {one.id: one for one in live}
    ordered = [by_id[one] for one in rank(READERS_KEY, by_id)]
    first_by_data_centre: dict[str, Member] = {}
    for member in ordered:
        first_by_data_centre.setdefault(member.data_centre, member)
    readers = list(first_by_data_centre.values())
    others = [one for one in ordered if one not in readers]
    return readers + others[: max(0, LEAST_READERS - len(readers))]


def told_revision(told: dict[str, Any], name: str) -> int:
    """Return the revision of a part that a peer told, 0 if it told none that can be read."""
    row = told.get(name)
    return row[0] if _is_progress(name, row) else 0


def _is_progress(name: Any, row: Any) -> bool:
    return (
        isinstance(name, str)
        and isinstance(row, list)
        and len(row) == 2
        and isinstance(row[0], int)
        and isinstance(row[1], int | float)
        and row[1] >= 0
    )
