"""Quarantine of requests that crash instances, as distinct from replies that only broke off."""

import random

import pytest
from firtrestle.crash_records import (
    CRASH_PREFIX,
    EVIDENCE_RETENTION,
    MAX_QUARANTINE_DURATION,
    MAX_RECORDED_CRASHES,
    QUARANTINE_DURATION,
    RECORD_RETENTION,
    TRIAL_STAGGER,
    CrashRecords,
)
from firtrestle.gossip_maps import Gossiper, GossipMap
from firtrestle.messages import Ping
from firtrestle.snapshots import ReplicaId
from hypothesis import given, settings
from hypothesis import strategies as st
from manual_clocks import ManualClock


class Daemon:
    def __init__(self, clock, rank=0) -> None:
        self.items = GossipMap()
        self.gossiper = Gossiper(self.items, 3, random.Random(1), clock)
        self.records = CrashRecords(self.items, clock, lambda fingerprint: rank)

    def crash(self, fingerprint, *names):
        for name in names:
            self.records.record_broken_reply(fingerprint, replica(name))
            self.records.record_instance_lost(replica(name))

    def sync(self, other):
        repair = self.gossiper.repair_for(
            other.gossiper.serve_ping(Ping("d", list(self.items.digest)))
        )
        if repair is not None:
            self.items.put_rows(other.gossiper.serve_pull(repair).items)


def replica(name, born="1"):
    return ReplicaId(name, born)


def pair():
    clock = ManualClock(1_000_000.0)
    return clock, Daemon(clock), Daemon(clock)


def test_request_that_crashed_three_instances_is_quarantined_at_all_daemons():
    clock, first, second = pair()
    first.crash("f", "i1", "i2")
    assert first.records.time_left("f") is None
    first.crash("f", "i3")
    second.sync(first)
    assert first.records.time_left("f") == second.records.time_left("f") == QUARANTINE_DURATION
    assert second.records.time_left("other") is None
    clock.at += QUARANTINE_DURATION
    assert first.records.time_left("f") is None


def test_crashes_seen_by_different_daemons_add_up():
    _, first, second = pair()
    first.crash("f", "i1", "i2")
    second.crash("f", "i3")
    second.sync(first)
    first.sync(second)
    assert first.records.time_left("f") == second.records.time_left("f") == QUARANTINE_DURATION


def test_broken_replies_of_surviving_instances_are_not_crashes():
    clock, first, _ = pair()
    for name in ("i1", "i2", "i3", "i4"):
        first.records.record_broken_reply("f", replica(name))
    clock.at += EVIDENCE_RETENTION + 1
    for name in ("i1", "i2", "i3", "i4"):
        first.records.record_instance_lost(replica(name))
    assert first.records.time_left("f") is None
    first.records.expire()
    assert first.records.is_empty


def test_repeated_crashes_of_an_instance_count_once():
    _, first, _ = pair()
    first.crash("f", "i1", "i1", "i1", "i1")
    assert first.records.time_left("f") is None


# Guards against an instance that starts again under its id counting as one crash, however often.
def test_each_lifetime_of_an_instance_counts():
    _, first, second = pair()
    for born in ("1", "2"):
        first.records.record_broken_reply("f", replica("i1", born))
        first.records.record_instance_lost(replica("i1", born))
    second.crash("f", "i2")
    second.sync(first)
    assert second.records.time_left("f") == QUARANTINE_DURATION


def test_an_instance_named_without_its_lifetime_by_an_earlier_build_counts_once():
    clock, first, _ = pair()
    first.crash("f", "i1")
    first.items.put(CRASH_PREFIX + "f", round(clock.wall()) + 1, ["i1", "i2"])
    assert first.records.time_left("f") is None
    first.items.put(CRASH_PREFIX + "f", round(clock.wall()) + 9, ["i1", "i2", "i3"])
    assert first.records.time_left("f") == QUARANTINE_DURATION


# Guards against a quarantine that ends once and for all while the request still comes.
def test_a_request_is_tried_by_one_daemon_after_its_quarantine_and_held_off_again_by_all():
    clock = ManualClock(1_000_000.0)
    first, second = Daemon(clock), Daemon(clock, rank=1)
    first.crash("f", "i1", "i2", "i3")
    second.sync(first)
    for trial in range(1, 6):
        assert not first.records.begin_trial("f")
        clock.at += first.records.time_left("f")
        assert first.records.time_left("f") is None
        assert second.records.time_left("f") == TRIAL_STAGGER
        assert first.records.begin_trial("f")
        assert first.records.is_suspect("f")
        second.sync(first)
        held = min(MAX_QUARANTINE_DURATION, QUARANTINE_DURATION * 2**trial)
        assert first.records.time_left("f") == held
        assert second.records.time_left("f") == held + TRIAL_STAGGER


def test_a_trial_that_is_answered_ends_the_quarantine_at_all_daemons():
    clock, first, second = pair()
    first.crash("f", "i1", "i2", "i3")
    second.sync(first)
    clock.at += QUARANTINE_DURATION
    assert second.records.begin_trial("f")
    second.records.record_success("f")
    first.sync(second)
    assert not first.records.is_suspect("f")
    assert not first.records.begin_trial("f")


def test_a_daemon_that_starts_learns_from_its_peers_which_requests_are_held_off():
    clock, first, _ = pair()
    first.crash("f", "i1", "i2", "i3")
    started = Daemon(clock)
    started.sync(first)
    assert started.records.time_left("f") == QUARANTINE_DURATION


def test_a_suspicion_is_known_to_all_daemons_but_counts_as_no_crash():
    _, first, second = pair()
    first.records.spread_suspicion("f")
    second.sync(first)
    assert second.records.is_suspect("f")
    second.crash("f", "i1", "i2")
    assert second.records.time_left("f") is None
    second.crash("f", "i3")
    assert second.records.time_left("f") == QUARANTINE_DURATION
    second.records.record_success("f")
    first.sync(second)
    assert not first.records.is_suspect("f")


def test_a_record_stays_small_however_many_instances_crash():
    clock, first, _ = pair()
    first.crash("f", *(f"i{number}" for number in range(100)))
    assert len(first.items.by_key[CRASH_PREFIX + "f"].value) == MAX_RECORDED_CRASHES
    merged = [f"i{number} 9" for number in range(MAX_RECORDED_CRASHES + 5)]
    first.items.put(CRASH_PREFIX + "f", round(clock.wall()) + 100, merged)
    size = len(first.items.by_key[CRASH_PREFIX + "f"].value)
    first.crash("f", "i200", "i201")
    assert len(first.items.by_key[CRASH_PREFIX + "f"].value) == size


def test_one_answer_clears_the_request_at_all_daemons():
    clock, first, second = pair()
    first.crash("f", "i1", "i2", "i3")
    second.sync(first)
    clock.at += 10
    second.records.record_broken_reply("f", replica("i4"))
    second.records.record_success("f")
    first.sync(second)
    second.records.record_instance_lost(replica("i4"))
    assert first.records.time_left("f") is None
    assert second.records.time_left("f") is None


def test_answers_clear_innocent_requests_that_ran_on_crashed_instances():
    """With four slots, a crash also breaks off up to three innocent requests."""
    _, first, _ = pair()
    for name in ("i1", "i2", "i3"):
        for fingerprint in ("f", "g"):
            first.records.record_broken_reply(fingerprint, replica(name))
        first.records.record_instance_lost(replica(name))
        first.records.record_success("g")
    assert first.records.time_left("f") == QUARANTINE_DURATION
    assert first.records.time_left("g") is None


def test_expired_records_are_removed():
    clock, first, _ = pair()
    first.crash("f", "i1", "i2", "i3")
    clock.at += RECORD_RETENTION + 10
    first.records.expire()
    assert first.records.is_empty
    assert not first.items.with_prefix(CRASH_PREFIX)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(-10, 2_000_000),
    st.one_of(st.none(), st.integers(), st.lists(st.one_of(st.text(), st.integers()))),
)
def test_malformed_records_from_peers_raise_no_error(stamp, value):
    clock, first, _ = pair()
    first.items.put_rows([[CRASH_PREFIX + "f", stamp, value]])
    first.records.expire()
    first.records.time_left("f")


# Guards against lost links of a daemon being taken for crashes, which quarantines good requests.
def test_broken_replies_of_instances_that_live_on_are_forgotten():
    clock, first, second = pair()
    for name in ("i1", "i2", "i3", "i4"):
        first.records.record_broken_reply("f", replica(name))
    second.sync(first)
    assert first.records.time_left("f") is None
    assert second.records.time_left("f") is None
    clock.at += EVIDENCE_RETENTION + 1
    first.records.expire()
    assert first.records.is_empty


# Guards against ordinary restarts after lost links of a daemon being taken for crashes.
def test_restarts_of_a_few_of_the_instances_on_which_a_request_broke_off_are_no_crashes():
    _, first, _ = pair()
    names = [f"i{number}" for number in range(8)]
    for name in names:
        first.records.record_broken_reply("f", replica(name))
    for name in names[:3]:
        first.records.record_instance_lost(replica(name))
    assert first.records.time_left("f") is None
    first.records.record_instance_lost(replica(names[3]))
    assert first.records.time_left("f") == QUARANTINE_DURATION


def test_an_instance_that_is_reached_again_has_crashed_only_if_it_was_restarted():
    _, first, _ = pair()
    for name in ("i1", "i2", "i3"):
        first.records.record_broken_reply("f", replica(name))
        first.records.record_reached(replica(name))
    assert not first.records.suspected()
    assert first.records.time_left("f") is None
    for name in ("i1", "i2", "i3"):
        first.records.record_instance_lost(replica(name))
    assert first.records.time_left("f") == QUARANTINE_DURATION


# Guards against a daemon that wakes from a pause and reads the registry before the broken replies.
def test_a_reply_that_is_found_broken_after_its_instance_was_lost_is_a_crash():
    clock, first, _ = pair()
    for name in ("i1", "i2", "i3"):
        first.records.record_instance_lost(replica(name))
        clock.at += 100
        first.records.record_broken_reply("f", replica(name))
    assert first.records.time_left("f") == QUARANTINE_DURATION


def test_the_success_of_another_request_leaves_a_suspected_crash_as_it_is():
    _, first, _ = pair()
    for name in ("i1", "i2", "i3"):
        for fingerprint in ("poison", "innocent"):
            first.records.record_broken_reply(fingerprint, replica(name))
    first.records.record_success("innocent")
    for replica_id in first.records.suspected():
        first.records.record_unreachable(replica_id, is_refused=False)
    assert first.records.time_left("poison") == QUARANTINE_DURATION
    assert first.records.time_left("innocent") is None


# Guards against instances that were dead before being taken for crashed by the next request.
@pytest.mark.parametrize(
    ("was_heard", "is_refused"), [(True, False), (False, False), (False, True), (True, True)]
)
def test_an_unreachable_instance_has_crashed_if_it_had_replied_or_refuses_or_was_restarted(
    was_heard, is_refused
):
    _, first, _ = pair()
    for name in ("i1", "i2", "i3"):
        first.records.record_broken_reply("f", replica(name), was_heard)
        first.records.record_unreachable(replica(name), is_refused)
    assert (first.records.time_left("f") is not None) == (was_heard or is_refused)
    for name in ("i1", "i2", "i3"):
        first.records.record_instance_lost(replica(name))
    assert first.records.time_left("f") == QUARANTINE_DURATION


# Guards against three certain crashes that decide nothing as the request goes on to crash others,
# which this daemon had never heard of (review case 10).
def test_instances_that_are_not_reached_outweigh_no_certain_crashes():
    _, first, _ = pair()
    for number in range(20):
        first.records.record_broken_reply("f", replica(f"i{number}"), was_heard=False)
        first.records.record_unreachable(replica(f"i{number}"), is_refused=False)
    for name in ("i0", "i1", "i2"):
        assert first.records.time_left("f") is None
        first.records.record_instance_lost(replica(name))
    assert first.records.time_left("f") == QUARANTINE_DURATION


def test_instances_that_live_on_outweigh_a_few_crashes():
    _, first, _ = pair()
    for number in range(20):
        first.records.record_broken_reply("f", replica(f"i{number}"), was_heard=False)
    for number in range(3, 20):
        first.records.record_unreachable(replica(f"i{number}"), is_refused=False)
    for number in range(3, 11):
        first.records.record_reached(replica(f"i{number}"))
    for name in ("i0", "i1", "i2"):
        first.records.record_instance_lost(replica(name))
    assert first.records.time_left("f") is None
