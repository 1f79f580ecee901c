"""Check which daemons of a fleet read the registry, simulated without a network."""

import math
import random

import pytest
from firtrestle.members import Member, MemberStatus
from firtrestle.registry_readers import (
    MIN_READERS,
    ReaderRole,
    RegistryProgress,
    choose_readers,
)
from manual_clocks import ManualClock

PARTS = frozenset({"routes", "instances"})


def test_reads_that_fail_do_not_keep_knowledge_current():
    """Pattern: the store turns a reader away; each retry fails within milliseconds."""
    clock = ManualClock()
    progress = RegistryProgress(clock, frozenset({"p"}))
    progress.advance("p", 7)
    for _ in range(10):
        clock.jump(0.402)
        progress.read_failed("p")
    assert progress.age() == pytest.approx(4_020)
    assert progress.needs_proof("p")
    progress.advance("p", 8)
    assert not progress.needs_proof("p")
    assert progress.age() == 0


# Guards against a watch that hangs being taken for current knowledge.
def test_knowledge_ages_until_the_registry_answers_again():
    clock = ManualClock()
    progress = RegistryProgress(clock, frozenset({"p"}))
    progress.advance("p", 7)
    clock.jump(3.0)
    assert progress.age() == progress.part_age("p") == 3_000
    progress.read_failed("p")
    assert progress.age() == 3_000


def member(name, data_centre="a"):
    return Member(name, 1, MemberStatus.ALIVE, data_centre, "h", 1, 2)


def fleet(*sizes):
    return [
        member(f"d{centre}-{number}", f"centre{centre}")
        for centre, size in enumerate(sizes)
        for number in range(size)
    ]


class FakeMembers:
    def __init__(self, me, live):
        self.me = me
        self.live_members = live

    def live(self):
        return self.live_members


class Daemon:
    """Combine one daemon's reader role and progress; `sync` simulates a ping and its repair."""

    def __init__(self, me, live, clock):
        self.clock = clock
        self.progress = RegistryProgress(clock, PARTS)
        self.members = FakeMembers(me, live)
        self.registry_reachable = None
        self.reader_role = ReaderRole(
            self.progress, self.members, clock, random.Random(me.id), self.set_registry_reachable
        )

    def set_registry_reachable(self, is_reachable):
        self.registry_reachable = is_reachable

    def read(self, revision):
        for part in PARTS:
            self.progress.advance(part, revision)

    def fail_reads(self):
        for part in PARTS:
            self.progress.read_failed(part)

    def sync(self, peer):
        self.progress.merge(peer.progress.to_wire(), peer.clock.now())


def test_each_data_centre_has_one_reader_and_the_fleet_at_least_three():
    assert len(choose_readers(fleet(20, 20, 10, 10))) == 4
    assert {reader.data_centre for reader in choose_readers(fleet(20, 20, 10, 10))} == {
        f"centre{number}" for number in range(4)
    }
    assert len(choose_readers(fleet(9))) == MIN_READERS
    assert len(choose_readers(fleet(1))) == 1


def test_losing_a_reader_keeps_the_other_readers():
    live = fleet(20, 20, 20)
    before = choose_readers(live)
    after = choose_readers([member for member in live if member != before[0]])
    assert set(before[1:]) <= set(after)


@pytest.fixture
def pair():
    clock = ManualClock()
    live = fleet(10, 10, 10)
    reader = choose_readers(live)[0]
    non_reader = next(member for member in live if member not in choose_readers(live))
    return clock, Daemon(reader, live, clock), Daemon(non_reader, live, clock)


def test_a_daemon_synchronized_with_a_current_reader_does_not_read(pair):
    clock, reader, non_reader = pair
    reader.read(7)
    non_reader.sync(reader)
    clock.jump(1.1)
    assert non_reader.reader_role.decide() is not None
    reader.read(7)
    non_reader.sync(reader)
    assert non_reader.reader_role.decide() is None
    assert reader.reader_role.decide() is None
    assert reader.reader_role.is_active and not non_reader.reader_role.is_active
    assert non_reader.progress.revision("routes") == 7


def test_a_daemon_without_a_current_reader_reads_itself_within_2_4_s(pair):
    clock, reader, non_reader = pair
    reader.read(7)
    non_reader.sync(reader)
    waited = 0.0
    while not non_reader.reader_role.is_active or waited < 0.3:
        clock.jump(0.1)
        waited += 0.1
        non_reader.reader_role.decide()
        assert waited < 2.4
    assert non_reader.progress.revision("instances") == 7


def test_every_reader_is_asked_in_turn_while_none_is_current(pair):
    clock, reader, non_reader = pair
    reader.read(7)
    non_reader.sync(reader)
    clock.jump(1.0)
    asked = {non_reader.reader_role.decide().id for _ in range(MIN_READERS)}
    assert asked == {reader.id for reader in choose_readers(non_reader.members.live_members)}


def test_daemons_that_do_not_read_notice_an_unreachable_registry(pair):
    clock, reader, non_reader = pair
    reader.read(7)
    non_reader.sync(reader)
    non_reader.reader_role.decide()
    assert non_reader.registry_reachable
    reader.fail_reads()
    clock.jump(1.5)
    non_reader.sync(reader)
    non_reader.reader_role.decide()
    assert not non_reader.registry_reachable
    reader.read(8)
    non_reader.sync(reader)
    non_reader.reader_role.decide()
    assert non_reader.registry_reachable


# Guards against a fleet whose readers all wait for a registry that never received their watches.
def test_a_daemon_reads_itself_within_2_4_s_while_its_readers_hear_nothing(pair):
    clock, reader, non_reader = pair
    reader.read(7)
    waited = 0.0
    while not non_reader.reader_role.is_active or waited < 0.3:
        clock.jump(0.1)
        waited += 0.1
        if non_reader.reader_role.decide() is not None:
            non_reader.sync(reader)
        assert waited < 2.4


def test_merging_older_progress_of_a_peer_changes_nothing(pair):
    clock, reader, non_reader = pair
    reader.read(7)
    non_reader.read(9)
    non_reader.sync(reader)
    assert non_reader.progress.revision("routes") == 9
    assert non_reader.progress.age() == 0


def test_malformed_progress_of_a_peer_is_ignored(pair):
    _, _, non_reader = pair
    non_reader.progress.merge(
        {"routes": [1, -5], "instances": "7", "more": [math.nan, 1]}, non_reader.clock.now()
    )
    assert non_reader.progress.revision("routes") is None
    assert non_reader.progress.age() == math.inf
