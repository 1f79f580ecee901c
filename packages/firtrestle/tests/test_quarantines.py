from fakes import query
from firtrestle.catalogues import Canary
from firtrestle.events import EventLog
from firtrestle.gossip_maps import GossipMap
from firtrestle.quarantines import QUARANTINE_PREFIX, Quarantines
from firtrestle.settings import QuarantineSettings
from manual_clocks import ManualClock


def new_quarantines() -> tuple[Quarantines, GossipMap, ManualClock]:
    clock, items = ManualClock(1_000_000.0), GossipMap()
    settings = QuarantineSettings(hold_ms=10_000, alert_ms=5_000)
    return Quarantines(settings, items, clock, EventLog("d", 1, clock, 10)), items, clock


async def test_request_that_crashed_two_targets_is_quarantined_for_the_hold_time():
    quarantines, _, clock = new_quarantines()
    request = query(fingerprint="f")
    assert not quarantines.record_crash(request, "t0")
    assert not quarantines.record_crash(request, "t0")  # the same target counts only once
    assert quarantines.record_crash(request, "t1")
    assert quarantines.time_left("f") == 10_000
    clock.at += 10_001
    assert quarantines.time_left("f") is None


async def test_answer_clears_a_suspect():
    quarantines, _, _ = new_quarantines()
    request = query(fingerprint="f")
    quarantines.record_crash(request, "t0")
    quarantines.clear(request)
    assert not quarantines.record_crash(request, "t1")


async def test_known_shape_needs_no_canary_until_a_target_crashes():
    quarantines, _, clock = new_quarantines()
    for number in range(10):
        request = query(number, canary=Canary.NEW_SHAPES)
        assert quarantines.canaries_for(request) == 1
        quarantines.clear(request)
    fresh = query(99, canary=Canary.NEW_SHAPES)
    assert quarantines.canaries_for(fresh) == 0
    quarantines.record_crash(query(50), "t0")
    assert quarantines.canaries_for(fresh) == 1
    clock.at += 5_001
    assert quarantines.canaries_for(fresh) == 0


async def test_peer_quarantine_counts_unless_it_is_expired_or_too_long():
    quarantines, items, clock = new_quarantines()
    now = round(clock.at)
    items.put_rows(
        [
            [QUARANTINE_PREFIX + "good", now + 5_000, ["e", ["t0", "t1"]]],
            [QUARANTINE_PREFIX + "old", now - 1, ["e", []]],
            [QUARANTINE_PREFIX + "endless", now + 10**9, ["e", []]],
        ]
    )
    assert list(quarantines.held()) == ["good"]


async def test_suspect_retried_by_a_peer_is_refused_until_cleared():
    quarantines, items, clock = new_quarantines()
    other, other_items, other_clock = new_quarantines()
    request = query(fingerprint="f")
    quarantines.record_crash(request, "t0")
    other_items.put_rows(items.rows(["suspect/f"]))
    assert other.time_left("f") > 0
    assert other.is_suspicion_pending("f")
    quarantines.clear(request)
    other_items.put_rows(items.rows(["suspect/f"]))
    assert other.time_left("f") is None
    assert not other.is_suspicion_pending("f")


async def test_quarantined_request_has_no_pending_suspicion():
    quarantines, _, _ = new_quarantines()
    request = query(fingerprint="f")
    quarantines.record_crash(request, "t0")
    assert quarantines.is_suspicion_pending("f")
    quarantines.record_crash(request, "t1")
    assert not quarantines.is_suspicion_pending("f")
    assert quarantines.time_left("f") == 10_000
