from firtrestle.clocks import Millis
from firtrestle.departures import Departures
from firtrestle.gossip_maps import GossipMap
from firtrestle.instances import LAPSE_GRACE, Instance, Instances
from manual_clocks import ManualClock


def build():
    gone_ids = set()
    clock = ManualClock()
    departures = Departures(GossipMap(), clock, Millis(3_000))
    return Instances(clock, gone_ids.update, departures), clock, gone_ids


def instance(name="a", draining=False, born=1):
    return Instance(name, "s", "h", 1, "dc", 3, draining, born)


def test_the_highest_revision_of_an_instance_wins():
    instances, _, _ = build()
    assert instances.put(instance(draining=True), 5)
    assert not instances.put(instance(), 4)
    assert instances.serving("s") == ()


def test_a_removal_older_than_the_registration_is_ignored():
    instances, _, _ = build()
    instances.put(instance(), 5)
    assert not instances.remove("a", 4)
    assert instances.serving("s") == (instance(),)
    assert instances.remove("a", 6)
    assert instances.serving("s") == ()


def test_a_restart_under_the_same_id_is_a_new_replica():
    instances, _, gone_ids = build()
    instances.put(instance(born=1), 5)
    instances.put(instance(born=2), 6)
    assert gone_ids == {instance(born=1).replica_id}
    assert instances.get(instance(born=1).replica_id) is None
    assert instances.get(instance(born=2).replica_id) == instance(born=2)


def test_lapsed_instances_are_kept_for_a_grace_period_after_an_outage():
    instances, clock, _ = build()
    instances.put(instance("a"), 5)
    instances.put(instance("b"), 6)
    instances.set_registry_reachable(False)
    clock.at += 60_000
    instances.expire()
    assert len(instances.serving("s")) == 2
    instances.set_registry_reachable(True)
    instances.remove("a", 7)
    instances.remove("b", 8)
    assert len(instances.serving("s")) == 2
    clock.at += LAPSE_GRACE / 2
    instances.put(instance("a"), 9)
    instances.expire()
    assert len(instances.serving("s")) == 2
    clock.at += LAPSE_GRACE
    instances.expire()
    assert instances.serving("s") == (instance("a"),)


def test_a_removal_from_a_peer_takes_effect_after_the_grace_period_during_an_outage():
    instances, clock, _ = build()
    instances.put(instance("a"), 5)
    instances.set_registry_reachable(False)
    instances.remove("a", 7)
    clock.at += LAPSE_GRACE
    instances.expire()
    assert instances.serving("s") == ()


def test_a_mass_removal_without_a_noticed_outage_is_delayed_by_the_grace_period():
    instances, clock, _ = build()
    for number in range(20):
        instances.put(instance(f"i{number}"), number + 1)
    for number in range(20):
        instances.remove(f"i{number}", 100 + number)
    assert len(instances.serving("s")) >= 16
    clock.at += LAPSE_GRACE
    instances.expire()
    assert instances.serving("s") == ()


def test_a_single_removal_takes_effect_at_once():
    instances, _, _ = build()
    for number in range(20):
        instances.put(instance(f"i{number}"), number + 1)
    instances.remove("i3", 100)
    assert len(instances.serving("s")) == 19


def test_a_draining_instance_is_removed_at_once_during_an_outage():
    instances, _, _ = build()
    instances.put(instance(draining=True), 5)
    instances.set_registry_reachable(False)
    instances.remove("a", 6)
    assert instances.count() == 0


def test_a_barred_instance_serves_again_once_its_registration_changes():
    instances, _, _ = build()
    instances.put(instance(), 5)
    instances.bar(instance().replica_id)
    assert instances.serving("s") == ()
    instances.put(instance(), 6)
    assert instances.serving("s") == (instance(),)


# Guards against a planned exit, which may break replies off, counting as a crash.
def test_only_ends_that_were_not_announced_are_losses():
    lost = []
    clock = ManualClock()
    departures = Departures(GossipMap(), clock, Millis(3_000))
    instances = Instances(clock, lambda ids: None, departures, on_lost=lost.append)
    for name in ("removed", "draining", "leaving"):
        instances.put(instance(name, draining=name == "draining"), 1)
    departures.record(instance("leaving"), "r", 200)
    for name in ("removed", "draining", "leaving"):
        instances.remove(name, 2)
    instances.put(instance("restarted", born=1), 3)
    instances.put(instance("restarted", born=2), 4)
    assert lost == [instance("removed").replica_id, instance("restarted").replica_id]
