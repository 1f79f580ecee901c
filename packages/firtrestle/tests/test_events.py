import pytest
from firtrestle.clocks import Clock
from firtrestle.events import Event, EventKind, EventLog


def test_events_are_read_from_where_a_reader_stopped():
    log = EventLog("d1", 1, Clock(), capacity=3)
    for number in range(5):
        log.add(EventKind.STARTED, str(number))
    assert [event.seq for event in log.after(0)] == [3, 4, 5]
    assert [event.seq for event in log.after(4)] == [5]
    assert log.after(5) == []


def test_an_event_survives_its_written_form():
    log = EventLog("d1", 1, Clock(), capacity=3)
    log.add(EventKind.STARTED, "r", a=1)
    (event,) = log.after(0)
    assert Event.from_dict(event.to_dict()) == event


def test_an_unknown_kind_is_refused():
    with pytest.raises(ValueError, match="nonsense"):
        Event.from_dict({"seq": 1, "at": 0, "process": "d", "incarnation": 1, "kind": "nonsense"})
