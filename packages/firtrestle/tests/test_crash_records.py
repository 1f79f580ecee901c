"""Requests that crash the instances that run them, told from replies that merely broke."""

import random

from firtrestle.crash_records import (
    CRASH_CONFIRM_WINDOW,
    CRASH_PREFIX,
    QUARANTINE_DURATION,
    RECORD_RETENTION,
    CrashRecords,
)
from firtrestle.messages import Ping
from firtrestle.snapshots import ReplicaId
from firtrestle.spreads import Spreader, SpreadMap
from hand_clocks import HandClock
from hypothesis import given, settings
from hypothesis import strategies as st


class Daemon:
    def __init__(self, clock) -> None:
        self.items = SpreadMap()
        self.spreader = Spreader(self.items, 3, random.Random(1), clock)
        self.records = CrashRecords(self.items, clock)

    def crash(self, fingerprint, *names):
        for name in names:
            self.records.note_break(fingerprint, replica(name))
            self.records.note_gone(replica(name))

    def sync(self, other):
        repair = self.spreader.repair_for(
            other.spreader.serve_ping(Ping("d", list(self.items.digest)))
        )
        if repair is not None:
            self.items.put_rows(other.spreader.serve_pull(repair).items)


def replica(name):
    return ReplicaId(name, "1")


def pair():
    clock = HandClock(1_000_000.0)
    return clock, Daemon(clock), Daemon(clock)


def test_a_request_that_crashed_three_instances_is_held_off_everywhere():
    clock, one, two = pair()
    one.crash("f", "i1", "i2")
    assert one.records.time_left("f") is None
    one.crash("f", "i3")
    two.sync(one)
    assert one.records.time_left("f") == two.records.time_left("f") == QUARANTINE_DURATION
    assert two.records.time_left("other") is None
    clock.at += QUARANTINE_DURATION
    assert one.records.time_left("f") is None


def test_crashes_that_different_daemons_saw_add_up():
    _, one, two = pair()
    one.crash("f", "i1", "i2")
    two.crash("f", "i3")
    two.sync(one)
    one.sync(two)
    assert one.records.time_left("f") == two.records.time_left("f") == QUARANTINE_DURATION


def test_broken_replies_of_instances_that_live_on_are_no_crashes():
    clock, one, _ = pair()
    for name in ("i1", "i2", "i3", "i4"):
        one.records.note_break("f", replica(name))
    clock.at += CRASH_CONFIRM_WINDOW + 1
    for name in ("i1", "i2", "i3", "i4"):
        one.records.note_gone(replica(name))
    assert one.records.time_left("f") is None
    one.records.expire()
    assert one.records.is_idle


def test_the_same_instance_counts_once_for_a_request():
    _, one, _ = pair()
    one.crash("f", "i1", "i1", "i1", "i1")
    assert one.records.time_left("f") is None


def test_one_survivor_clears_the_request_at_all_daemons():
    clock, one, two = pair()
    one.crash("f", "i1", "i2", "i3")
    two.sync(one)
    clock.at += 10
    two.records.note_break("f", replica("i4"))
    two.records.note_survived("f")
    one.sync(two)
    two.records.note_gone(replica("i4"))
    assert one.records.time_left("f") is None
    assert two.records.time_left("f") is None


def test_others_that_ran_on_a_crashed_instance_are_told_apart_by_their_next_answers():
    """Four slots: three innocent requests break together with the one that crashes."""
    _, one, _ = pair()
    for name in ("i1", "i2", "i3"):
        for fingerprint in ("f", "g"):
            one.records.note_break(fingerprint, replica(name))
        one.records.note_gone(replica(name))
        one.records.note_survived("g")
    assert one.records.time_left("f") == QUARANTINE_DURATION
    assert one.records.time_left("g") is None


def test_records_are_forgotten_in_the_end():
    clock, one, _ = pair()
    one.crash("f", "i1", "i2", "i3")
    clock.at += RECORD_RETENTION + 10
    one.records.expire()
    assert one.records.is_idle
    assert not one.items.under(CRASH_PREFIX)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(-10, 2_000_000),
    st.one_of(st.none(), st.integers(), st.lists(st.one_of(st.text(), st.integers()))),
)
def test_what_peers_send_fells_nothing(stamp, value):
    clock, one, _ = pair()
    one.items.put_rows([[CRASH_PREFIX + "f", stamp, value]])
    one.records.expire()
    one.records.time_left("f")
