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


def test_extra_load_counts_sub_requests_beyond_one_per_shard():
    assert _extra_load([answered("q1", 10), answered("q2", 11)]) == pytest.approx(0.05)


def test_attempts_that_reach_no_target_are_not_extra_load():
    trace = [answered("q1", 13), failed("q1", False), failed("q1", False), failed("q1", True)]
    assert _extra_load(trace) == pytest.approx(0.1)


def test_failures_of_unanswered_queries_are_ignored():
    assert _extra_load([answered("q1", 10), failed("q2", False)]) == 0.0
