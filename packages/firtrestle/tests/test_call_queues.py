from collections import Counter

from firtrestle.call_queues import CallQueue
from firtrestle.clocks import Millis


def never(call):
    return False


def always(call):
    return True


def test_calls_start_by_priority_and_then_by_deadline():
    queue = CallQueue()
    for priority, deadline, call in ((1, 50, "c"), (0, 90, "b"), (0, 80, "a"), (1, 60, "d")):
        queue.push(priority, Millis(deadline), call)
    assert [queue.pop(never, always) for _ in range(5)] == ["a", "b", "c", "d", None]


def test_ordinary_calls_get_a_quarter_of_the_starts_under_a_flood_of_urgent_ones():
    """Urgent calls used to go first without end, so that ordinary ones waited for ever."""
    queue = CallQueue()
    for number in range(100):
        queue.push(0, Millis(number), "urgent")
        queue.push(1, Millis(number), "ordinary")
    for _ in range(10):
        assert Counter(queue.pop(never, always) for _ in range(4))["ordinary"] == 1


def test_calls_that_may_not_run_yet_keep_their_place_and_those_that_are_over_are_dropped():
    queue = CallQueue()
    for call in range(4):
        queue.push(0, Millis(call), call)
    assert queue.pop(lambda call: call == 0, lambda call: call == 2) == 2
    assert len(queue) == 2
    assert [queue.pop(never, always) for _ in range(2)] == [1, 3]
