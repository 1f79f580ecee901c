import pytest
from firtrestle.clocks import Millis
from firtrestle.held_registrations import (
    CHECK_INS_UNTIL_EXPIRY,
    END_RETENTION,
    RETURN_TIME,
    HeldRegistrations,
)
from firtrestle.instances import Instance
from manual_clocks import ManualClock

CHECK_IN_INTERVAL = Millis(1_000)
HOLD_TIME = CHECK_INS_UNTIL_EXPIRY * CHECK_IN_INTERVAL + RETURN_TIME


def instance(draining=False, born=2):
    return Instance("a", "s", "h", 1, "dc", 3, draining, born)


def build():
    clock = ManualClock()
    return HeldRegistrations(clock, CHECK_IN_INTERVAL), clock


@pytest.mark.parametrize(
    ("registered", "known"),
    [(instance(), instance(draining=True)), (instance(born=1), instance())],
    ids=["draining before", "an earlier lifetime"],
)
def test_a_copy_that_contradicts_what_was_known_is_held_back_for_the_hold_time(registered, known):
    held, clock = build()
    held.begin_era()
    assert held.hold(registered, 5, known)
    assert held.revision("a") == 5
    clock.at += HOLD_TIME - 1
    assert held.take_due() == []
    clock.at += 1
    assert [due.instance for due in held.take_due()] == [registered]
    assert held.take_due() == []


@pytest.mark.parametrize(
    ("registered", "known"),
    [
        (instance(), instance()),
        (instance(draining=True), instance()),
        (instance(born=3), instance(draining=True)),
        (instance(), None),
    ],
    ids=["the same", "drains now", "a new lifetime", "unknown"],
)
def test_a_copy_that_contradicts_nothing_is_used_at_once(registered, known):
    held, _ = build()
    held.begin_era()
    assert not held.hold(registered, 5, known)


def test_only_lifetimes_that_had_ended_before_the_restore_are_held_back():
    held, clock = build()
    held.record_end(instance())
    assert not held.hold(instance(), 5, None)
    clock.at += 10
    held.begin_era()
    assert held.hold(instance(), 5, None)
    assert not held.hold(instance(born=3), 6, None)


def test_an_end_is_forgotten_after_a_while():
    held, clock = build()
    held.record_end(instance())
    clock.at += END_RETENTION + 1
    held.take_due()
    held.begin_era()
    assert not held.hold(instance(), 5, None)


def test_a_later_change_of_the_instance_replaces_a_held_registration():
    held, clock = build()
    held.begin_era()
    held.hold(instance(born=1), 5, instance())
    held.discard("a")
    clock.at += HOLD_TIME
    assert held.take_due() == []


def test_a_second_restore_forgets_what_the_first_copy_held():
    held, clock = build()
    held.begin_era()
    held.hold(instance(born=1), 5, instance())
    clock.at += 1_000
    held.begin_era()
    assert held.revision("a") == 0
    clock.at += HOLD_TIME
    assert held.take_due() == []
