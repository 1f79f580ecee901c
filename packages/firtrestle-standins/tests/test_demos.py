import pytest
from firtrestle.clocks import Millis
from firtrestle.events import Event, EventKind
from firtrestle_standins.demos import _extra_load


def event(kind, request_id, **fields):
    return Event(1, Millis(0), "d1", 1, kind, request_id, fields)


def answered(request_id, sent):
    return event(EventKind.QUERY_ANSWERED, request_id, sent=sent, shards=10)


def failed(request_id, reached):
    return event(EventKind.SUB_FAILED, request_id, shard=1, outcome="shed", reached=reached)


def test_extra_load_is_what_reached_a_target_beyond_one_for_each_shard():
    assert _extra_load([answered("q1", 10), answered("q2", 11)]) == pytest.approx(0.05)


def test_what_took_nothing_to_a_target_is_no_load():
    trace = [answered("q1", 13), failed("q1", False), failed("q1", False), failed("q1", True)]
    assert _extra_load(trace) == pytest.approx(0.1)


def test_failures_of_queries_without_an_answer_are_left_out():
    assert _extra_load([answered("q1", 10), failed("q2", False)]) == 0.0
