"""Who reads the registry for a fleet, simulated without a network."""

import math
import random

import pytest
from firtrestle.clocks import Millis
from firtrestle.members import Member, MemberStatus
from firtrestle.registry_readers import MIN_READERS, ReaderDuty, RegistryProgress, choose_readers
from hand_clocks import HandClock

PARTS = frozenset({"routes", "instances"})


def member(name, data_centre="a"):
    return Member(name, 1, MemberStatus.ALIVE, data_centre, "h", 1, 2)


def fleet(*sizes):
    return [
        member(f"d{centre}-{number}", f"centre{centre}")
        for centre, size in enumerate(sizes)
        for number in range(size)
    ]


class MembersFake:
    def __init__(self, me, live):
        self.me = me
        self.all = live

    def live(self):
        return self.all


class Daemon:
    """One daemon's duty and progress; `sync` is a ping of a peer that was repaired."""

    def __init__(self, me, live, clock):
        self.clock = clock
        self.progress = RegistryProgress(clock, PARTS)
        self.members = MembersFake(me, live)
        self.registry_well = None
        self.duty = ReaderDuty(
            self.progress, self.members, clock, random.Random(me.id), self.note_registry
        )

    def note_registry(self, well):
        self.registry_well = well

    def read(self, revision):
        for part in PARTS:
            self.progress.took(part, revision)
            self.progress.watching(part, Millis(5_500))

    def fail(self):
        for part in PARTS:
            self.progress.lost(part)

    def sync(self, other):
        self.progress.merge(other.progress.told(), other.clock.now())


def test_each_data_centre_has_one_reader_and_the_fleet_at_least_three():
    assert len(choose_readers(fleet(20, 20, 10, 10))) == 4
    assert {one.data_centre for one in choose_readers(fleet(20, 20, 10, 10))} == {
        f"centre{number}" for number in range(4)
    }
    assert len(choose_readers(fleet(9))) == MIN_READERS
    assert len(choose_readers(fleet(1))) == 1


def test_a_lost_reader_changes_only_its_own_data_centre():
    live = fleet(20, 20, 20)
    before = choose_readers(live)
    after = choose_readers([one for one in live if one != before[0]])
    assert set(before[1:]) <= set(after)


@pytest.fixture
def pair():
    clock = HandClock()
    live = fleet(10, 10, 10)
    reader = choose_readers(live)[0]
    other = next(one for one in live if one not in choose_readers(live))
    return clock, Daemon(reader, live, clock), Daemon(other, live, clock)


def test_who_hears_from_a_current_reader_does_not_read(pair):
    clock, reader, other = pair
    reader.read(7)
    other.sync(reader)
    clock.jump(1.1)
    assert other.duty.decide() is not None
    other.sync(reader)
    assert other.duty.decide() is None
    assert reader.duty.decide() is None
    assert reader.duty.is_active and not other.duty.is_active
    assert other.progress.revision("routes") == 7


def test_who_hears_from_no_reader_reads_within_the_bounds(pair):
    clock, reader, other = pair
    reader.read(7)
    other.sync(reader)
    waited = 0.0
    while not other.duty.is_active or waited < 0.3:
        clock.jump(0.1)
        waited += 0.1
        other.duty.decide()
        assert waited < 2.4
    assert other.progress.revision("instances") == 7


def test_every_reader_is_asked_in_turn_while_none_is_current(pair):
    clock, reader, other = pair
    reader.read(7)
    other.sync(reader)
    clock.jump(1.0)
    asked = {other.duty.decide().id for _ in range(MIN_READERS)}
    assert asked == {one.id for one in choose_readers(other.members.all)}


def test_a_registry_that_is_away_is_noticed_by_those_that_do_not_read_it(pair):
    clock, reader, other = pair
    reader.read(7)
    other.sync(reader)
    other.duty.decide()
    assert other.registry_well
    reader.fail()
    clock.jump(1.3)
    other.sync(reader)
    other.duty.decide()
    assert not other.registry_well
    reader.read(8)
    other.sync(reader)
    other.duty.decide()
    assert other.registry_well


def test_a_broken_watch_does_not_make_known_changes_old(pair):
    clock, reader, _ = pair
    reader.read(7)
    clock.jump(3.0)
    assert reader.progress.age() == 0
    reader.fail()
    assert reader.progress.age() == pytest.approx(1_000)


def test_a_silent_peer_with_older_knowledge_takes_nothing_back(pair):
    clock, reader, other = pair
    reader.read(7)
    other.read(9)
    other.sync(reader)
    assert other.progress.revision("routes") == 9
    assert other.progress.age() == 0


def test_progress_that_cannot_be_read_is_left_out(pair):
    _, _, other = pair
    other.progress.merge(
        {"routes": [1, -5], "instances": "7", "more": [math.nan, 1]}, other.clock.now()
    )
    assert other.progress.revision("routes") is None
    assert other.progress.age() == math.inf
