"""Check how daemons learn of evacuations and of their ends, with each failure of the registry."""

import math

import pytest
from firtrestle.messages import Pong
from source_fakes import EARLIER_PART, EVACUATIONS_PART, PART, Daemon


def fleet(count):
    return [Daemon() for _ in range(count)]


# Guards against a reader's death losing what it read, or what comes after it.
async def test_the_next_reader_goes_on_where_the_last_one_ended():
    first, second, third = fleet(3)
    first.evacuate("z1", 5)
    second.ping(first)
    assert second.progress.revision(EVACUATIONS_PART) == 5
    second.withdraw("z1", 7)
    second.evacuate("z2", 8)
    third.ping(second)
    assert second.evacuated == third.evacuated == ["z2"]


async def test_a_removal_overrides_an_older_evacuation_from_a_peer():
    stale, fresh = fleet(2)
    for daemon in (stale, fresh):
        daemon.evacuate("z1", 5)
    fresh.withdraw("z1", 7)
    fresh.receive_all_from(stale)
    assert fresh.evacuated == []
    stale.receive_all_from(fresh)
    assert stale.evacuated == []


# Guards against an evacuation that stays in force where its removal was missed.
async def test_a_peer_that_lacks_an_evacuation_and_knows_later_changes_ends_it():
    stale, started = fleet(2)
    stale.evacuate("z1", 5)
    started.read_evacuations(0, 8)
    stale.ping(started)
    assert stale.evacuated == started.evacuated == []


async def test_a_peer_that_lacks_an_evacuation_and_knows_no_later_change_gets_it():
    ahead, behind = fleet(2)
    behind.read_evacuations(0, 4)
    behind.progress.advance(PART, 9)  # of another part, which proves nothing
    ahead.eras.observe(0)
    ahead.evacuate("z1", 5)
    ahead.ping(behind)
    assert ahead.evacuated == behind.evacuated == ["z1"]


# Guards against an evacuation coming back by a push that was under way as its removal was read.
async def test_an_evacuation_whose_end_is_known_is_not_taken_from_a_peer():
    stale, fresh = fleet(2)
    stale.evacuate("z1", 5)
    fresh.read_evacuations(0, 8)
    fresh.receive_all_from(stale)
    assert fresh.evacuated == []


# Guards against the end of an evacuation because the registry or the peers are not reached.
async def test_a_daemon_that_reaches_neither_the_registry_nor_a_peer_keeps_what_it_knew():
    (daemon,) = fleet(1)
    daemon.evacuate("z1", 5)
    daemon.progress.read_failed(EVACUATIONS_PART)
    daemon.progress.forget(EVACUATIONS_PART)
    assert daemon.evacuated == ["z1"]


async def test_a_complete_read_after_lost_history_ends_what_it_lacks_but_nothing_newer():
    (daemon,) = fleet(1)
    daemon.evacuate("z1", 5)
    daemon.evacuate("z2", 6)
    daemon.progress.forget(EVACUATIONS_PART)
    daemon.publisher.evacuations.publish("z3", 12)
    daemon.read_evacuations(0, 11, z2=6)
    assert daemon.evacuated == ["z2", "z3"]


# Guards against revisions of the lost era outliving the restore (stamps start again below them).
async def test_an_evacuation_stays_through_a_restore_until_the_copy_is_read():
    reader, peer = fleet(2)
    reader.read_evacuations(1, 20, z1=15, z2=16)
    peer.ping(reader)
    reader.eras.observe(2)
    assert reader.evacuated == ["z1", "z2"]
    reader.read_evacuations(2, 9, z2=8)
    assert reader.evacuated == ["z2"]
    peer.ping(reader)
    peer.ping(reader)
    assert peer.evacuated == ["z2"]
    reader.evacuate("z1", 10)
    peer.ping(reader)
    assert peer.evacuated == ["z1", "z2"]


async def test_an_item_of_an_earlier_era_is_refused():
    reader, late = fleet(2)
    late.read_evacuations(1, 15, z1=14)
    reader.read_evacuations(1, 5)
    reader.read_evacuations(2, 9)
    reader.receive_all_from(late)
    assert reader.evacuated == []
    assert reader.eras.refused_rows == 1


# Guards against a daemon that starts between a restore and the first read of the copy.
async def test_a_daemon_that_starts_after_a_restore_adopts_what_its_peers_still_enforce():
    running, started = fleet(2)
    running.read_evacuations(1, 20, z1=15)
    running.eras.observe(2)
    started.ping(running)
    assert started.evacuated == ["z1"]
    assert started.progress.revision(EVACUATIONS_PART) is None
    assert not started.progress.complete.is_set()


# Guards against a daemon that serves before it knows the evacuations.
async def test_a_daemon_that_starts_knows_the_evacuations_of_its_peer_with_both_parts():
    running, started = fleet(2)
    running.read_completely(1, 7, a=3)
    started.ping(running)
    assert not started.progress.complete.is_set()
    running.evacuate("z1", 5)
    started.ping(running)
    assert started.progress.complete.is_set()
    assert started.evacuated == ["z1"]


# Guards against a peer that doesn't read evacuations, in an upgrade, ending them or vouching for
# their absence.
async def test_progress_of_an_earlier_build_proves_nothing_of_evacuations():
    daemon, earlier = fleet(2)
    daemon.evacuate("z1", 5)
    earlier.is_earlier_build = True
    earlier.progress.advance(EVACUATIONS_PART, 9)
    earlier.progress.advance(PART, 9)
    daemon.ping(earlier)
    assert daemon.evacuated == ["z1"]
    assert daemon.progress.revision(EVACUATIONS_PART) == 5
    assert daemon.progress.revision(PART) == 9
    assert math.isfinite(daemon.progress.age())
    assert set(daemon.progress.to_wire()) == {EVACUATIONS_PART, PART}


# Guards against earlier builds counting a part that they don't know, whose age grows there.
async def test_earlier_builds_are_told_the_progress_of_the_parts_that_they_know():
    (daemon,) = fleet(1)
    daemon.evacuate("z1", 5)
    daemon.progress.advance(PART, 9)
    pong = Pong()
    daemon.progress.report_in(pong)
    assert {name: row[0] for name, row in pong.progress.items()} == {EARLIER_PART: 5, PART: 9}
    assert {name: row[0] for name, row in pong.parts.items()} == {EVACUATIONS_PART: 5, PART: 9}


@pytest.mark.parametrize("value", [None, True, [False], [True, 1], "x", {"zone": True}, [[]]])
async def test_a_malformed_item_of_a_peer_is_skipped(value):
    (daemon,) = fleet(1)
    daemon.items.put_rows([["evacuation/z1", 4, value]])
    assert daemon.evacuated == []
    assert not daemon.items.by_key
