import pytest
from firtrestle.gossip_maps import GossipMap
from firtrestle.known_daemons import SETTLING_TIME, KnownDaemons
from firtrestle.members import MEMBER_PREFIX, STATUSES, MemberStatus
from firtrestle.settings import Settings
from manual_clocks import ManualClock

SETTLING_S = SETTLING_TIME / 1_000


def build(seeds=("10.0.0.1:8081", "10.0.0.2:8081")):
    items, clock = GossipMap(), ManualClock()
    settings = Settings.model_validate(
        {
            "daemon": {"id": "d1", "data_centre": "a", "address": "10.0.0.1"},
            "platform": {"configuration_service": "10.0.0.9:1"},
            "routes": {"seeds": list(seeds)},
        }
    )
    return KnownDaemons.from_config(settings, items, clock), items, clock


def put(items, name, data_centre, status=MemberStatus.ALIVE, incarnation=1):
    value = [data_centre, "h", 1, 2]
    items.put(MEMBER_PREFIX + name, incarnation * STATUSES + status, value)


# Guards against a daemon that is cut off from all others and takes the whole bound for itself.
def test_a_daemon_with_seeds_has_not_settled_while_it_knows_no_other():
    known, items, clock = build()
    put(items, "d1", "a")
    clock.jump(100)
    assert not known.has_settled()
    put(items, "d2", "a")
    clock.jump(SETTLING_S - 0.1)
    assert not known.has_settled()
    clock.jump(0.1)
    assert known.has_settled()


@pytest.mark.parametrize("seeds", [(), ("10.0.0.1:8081",)])
def test_a_daemon_that_is_alone_by_its_settings_settles(seeds):
    known, _, clock = build(seeds)
    assert not known.has_settled()
    clock.jump(SETTLING_S)
    assert known.has_settled()


# Guards against a daemon that starts during a partition and displaces one on the other side.
def test_a_daemon_has_not_settled_while_a_data_centre_has_no_daemon_alive():
    known, items, clock = build()
    put(items, "d2", "a")
    put(items, "d3", "b", MemberStatus.DEAD)
    put(items, "d4", "c", MemberStatus.LEFT)
    clock.jump(SETTLING_S)
    assert not known.has_settled()
    put(items, "d3", "b", incarnation=2)
    assert known.has_settled()
    put(items, "d3", "b", MemberStatus.DEAD, incarnation=2)
    assert known.has_settled()


def test_daemons_that_are_dead_or_have_left_stay_known():
    known, items, _ = build()
    put(items, "d2", "a", MemberStatus.DEAD)
    put(items, "d3", "b", MemberStatus.LEFT)
    assert known.ids == {"d1", "d2", "d3"}
