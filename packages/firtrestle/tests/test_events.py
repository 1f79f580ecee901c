import pytest
from firtrestle.clocks import Clock
from firtrestle.events import Event, EventKind, EventLog


def test_after_returns_the_stored_events_beyond_a_sequence_number():
    log = EventLog("d1", 1, Clock(), capacity=3)
    for number in range(5):
        log.add(EventKind.STARTED, str(number))
    assert [event.seq for event in log.after(0)] == [3, 4, 5]
    assert [event.seq for event in log.after(4)] == [5]
    assert log.after(5) == []


def test_an_event_is_equal_after_encoding_and_decoding():
    log = EventLog("d1", 1, Clock(), capacity=3)
    log.add(EventKind.STARTED, "r", a=1)
    (event,) = log.after(0)
    assert Event.from_dict(event.to_dict()) == event


def test_decoding_an_event_of_unknown_kind_raises():
    with pytest.raises(ValueError, match="nonsense"):
        Event.from_dict({"seq": 1, "at": 0, "process": "d", "incarnation": 1, "kind": "nonsense"})
