"""How many parts a gather gets, which shards each has, and which peers are chosen."""

import random
from collections import Counter

import pytest
from firtrestle.clocks import Millis
from firtrestle.gather_splits import (
    MAX_PARTS,
    SET_ASIDE_TIME,
    PartCounts,
    PeerStandings,
    part_of,
    parts_needed,
    shards_by_part,
)
from manual_clocks import ManualClock

TARGET = Millis(97)
SERVICES = tuple(f"shard-{number}" for number in range(90))
PEERS = tuple(f"front-{number}" for number in range(28))


def count_parts(counts, processor_time, shards=90, target=TARGET, time_left=None):
    left = target if time_left is None else time_left
    return counts.count("r", Millis(processor_time * shards), target, left)


@pytest.mark.parametrize(
    ("processor_time", "shards", "parts"),
    [
        (0.45, 90, 2),  # of a half-core daemon: 40 ms of processor time for a target of 97 ms
        (0.9, 90, 3),  # the same while the other half of the core is not available
        (0.15, 90, 1),  # of a daemon three times as fast
        (0.45, 36, 1),
        (2.25, 90, 4),
    ],
)
def test_slower_daemons_and_larger_gathers_get_more_parts(processor_time, shards, parts):
    assert count_parts(PartCounts(), processor_time, shards) == parts


# Guards against a machine that slows down keeping its callers waiting for all shards.
def test_a_daemon_that_turns_five_times_slower_divides_at_once_and_stops_once_it_is_fast_again():
    counts = PartCounts()
    assert [count_parts(counts, time) for time in (0.15, 0.75, 0.75, 0.15)] == [1, 3, 3, 1]


# Guards against connections that are opened and closed as an estimate varies.
@pytest.mark.parametrize("boundary", [1, 2, 3])
def test_an_estimate_that_varies_around_a_limit_does_not_change_the_number_of_parts(boundary):
    limit = boundary * TARGET * 0.25
    rng, counts = random.Random(1), PartCounts()
    numbers = [
        counts.count("r", Millis(limit * rng.uniform(1.001, 1.19)), TARGET, TARGET)
        for _ in range(200)
    ]
    assert len(set(numbers)) == 1


# Guards against a change for gathers that fit, also right after one that didn't.
def test_work_below_a_quarter_of_the_target_is_never_divided():
    counts = PartCounts()
    assert counts.count("r", Millis(80), TARGET, TARGET) > 1
    assert counts.count("r", Millis(24.2), TARGET, TARGET) == 1
    assert counts.count("r", Millis(24.2), TARGET, Millis(1)) == 1
    assert counts.count("r", Millis(24.25), TARGET, TARGET) == 1


def test_a_gather_with_less_time_left_gets_more_parts_and_leaves_the_route_s_number_unchanged():
    counts = PartCounts()
    assert count_parts(counts, 0.45) == 2
    assert count_parts(counts, 0.45, time_left=Millis(45)) == 3
    assert count_parts(counts, 0.45, time_left=Millis(-5)) == MAX_PARTS
    assert count_parts(counts, 0.45) == 2


def test_each_part_of_a_time_has_room_for_its_work():
    for work in (10, 30, 55, 80, 97):
        parts = parts_needed(Millis(work), TARGET)
        assert parts == MAX_PARTS or work / parts <= 0.25 * TARGET + 1e-6


@pytest.mark.parametrize("parts", [1, 2, 3, 4])
def test_parts_hold_all_shards_once_and_are_of_equal_size(parts):
    divided = shards_by_part(SERVICES, parts)
    assert sorted(shard for shards in divided for shard in shards) == list(range(len(SERVICES)))
    assert max(map(len, divided)) - min(map(len, divided)) <= 1


# Guards against all connections being replaced when one shard is added.
def test_a_shard_that_is_added_moves_few_others():
    before = shards_by_part(SERVICES, 4)
    after = shards_by_part((*SERVICES, "shard-new"), 4)
    moved = sum(len(set(old) - set(new)) for old, new in zip(before, after, strict=True))
    assert moved <= 4


def test_a_daemon_stays_with_its_shards_when_the_number_of_parts_is_doubled():
    whole, half = shards_by_part(SERVICES, 2), shards_by_part(SERVICES, 4)
    for name in PEERS:
        assert set(half[part_of(name, 4)]) <= set(whole[part_of(name, 2)])


def test_all_daemons_together_are_spread_over_the_parts():
    names = [f"front-{number}" for number in range(400)]
    for parts in (2, 3, 4):
        sizes = Counter(part_of(name, parts) for name in names)
        assert set(sizes) == set(range(parts))
        assert min(sizes.values()) > 0.7 * 400 / parts


def standings():
    clock = ManualClock(1_000.0)
    return PeerStandings(clock, random.Random(4)), clock


def members(part, parts=3):
    return [name for name in PEERS if part_of(name, parts) == part]


def test_a_peer_is_chosen_among_those_that_belong_to_the_part():
    peers, _ = standings()
    chosen = {peers.choose(1, 3, PEERS) for _ in range(200)}
    assert chosen <= set(members(1))
    assert len(chosen) > 3


# Guards against small fleets, in which no peer may belong to a part, dividing nothing.
def test_any_peer_may_run_a_part_to_which_none_belongs():
    peers, _ = standings()
    assert peers.choose(1, 3, members(0)) in members(0)
    assert peers.choose(1, 3, []) is None


# Guards against peers that are overloaded being given further parts, of shards foreign to them.
def test_peers_set_aside_get_no_part_for_a_while_and_neither_do_others_in_their_place():
    peers, clock = standings()
    for name in members(1):
        peers.set_aside(name)
    assert peers.choose(1, 3, PEERS) is None
    assert peers.choose(2, 3, PEERS) in members(2)
    clock.jump(SET_ASIDE_TIME / 1_000)
    assert peers.choose(1, 3, PEERS) in members(1)


def test_of_two_peers_the_one_with_fewer_running_parts_is_chosen_then_the_last_heard():
    peers, clock = standings()
    busy, idle = members(1)[:2]
    peers.begin(busy)
    assert {peers.choose(1, 3, [busy, idle]) for _ in range(20)} == {idle}
    peers.end(busy)
    peers.record_answer(busy)
    clock.jump(2.0)
    peers.record_answer(idle)
    assert {peers.choose(1, 3, [busy, idle]) for _ in range(20)} == {idle}
    assert (peers.age(busy), peers.age(idle)) == (2_000.0, 0.0)


def test_peers_that_are_gone_are_forgotten():
    peers, _ = standings()
    peers.record_answer("gone")
    peers.record_answer("kept")
    peers.begin("running")
    peers.retain_only(["kept"])
    assert [peers.age(name) for name in ("gone", "kept")] == [None, 0.0]
    peers.end("running")
