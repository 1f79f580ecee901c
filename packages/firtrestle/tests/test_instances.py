from firtrestle.clocks import Millis
from firtrestle.departures import Departures
from firtrestle.gossip_maps import GossipMap
from firtrestle.instances import LAPSE_GRACE, Instance, Instances
from manual_clocks import ManualClock


def build(**callbacks):
    gone_ids = set()
    clock = ManualClock()
    departures = Departures(GossipMap(), clock, Millis(3_000))
    return Instances(clock, gone_ids.update, departures, **callbacks), clock, gone_ids


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


def test_a_registration_after_a_restore_wins_at_any_revision():
    instances, _, _ = build()
    instances.put(instance(born=1), 50)
    instances.remove("gone", 60)
    instances.begin_era()
    assert instances.put(instance(born=2), 4)
    assert instances.put(instance("gone"), 5)
    assert instances.serving("s") == (instance(born=2), instance("gone"))


# Guards against a drain that is written at a revision given out before being taken for old news.
def test_a_drain_after_a_restore_holds_at_any_revision():
    instances, _, _ = build()
    instances.put(instance(), 50)
    instances.begin_era()
    instances.put(instance(), 3)
    instances.put(instance(draining=True), 4)
    assert instances.serving("s") == ()


def test_an_instance_that_a_copy_lacks_serves_until_it_should_have_registered_again():
    instances, clock, _ = build()
    instances.put(instance(), 50)
    instances.begin_era()
    instances.remove("a", 9)
    assert instances.serving("s") == (instance(),)
    clock.at += LAPSE_GRACE - 1
    instances.expire()
    assert instances.serving("s") == (instance(),)
    clock.at += 1
    instances.expire()
    assert instances.serving("s") == ()


# Guards against instances that a copy lacks making the removals after them look like an outage.
def test_removals_by_a_copy_delay_no_later_ones():
    instances, _, _ = build()
    for number in range(20):
        instances.put(instance(f"i{number}"), 50 + number)
    instances.begin_era()
    for number in range(10):
        instances.put(instance(f"i{number}"), number + 1)
    for number in range(10, 20):
        instances.remove(f"i{number}", 11)
    instances.remove("i3", 12)
    assert instance("i3") not in instances.serving("s")


def test_an_instance_known_to_drain_is_not_used_as_a_copy_has_it_ready():
    instances, clock, _ = build()
    instances.put(instance(draining=True), 50)
    instances.begin_era()
    assert instances.put(instance(), 5)
    assert instances.serving("s") == ()
    assert not instances.put(instance(draining=True), 5)
    instances.put(instance(draining=True), 6)
    clock.at += 60_000
    instances.expire()
    assert instances.serving("s") == ()


def test_a_removed_instance_that_a_copy_holds_is_used_once_it_outlives_its_expiry():
    instances, clock, _ = build()
    instances.put(instance(), 50)
    instances.remove("a", 51)
    clock.at += 100
    instances.begin_era()
    instances.put(instance(), 5)
    assert instances.serving("s") == ()
    clock.at += 60_000
    instances.expire()
    assert instances.serving("s") == (instance(),)


def test_a_removal_discards_what_a_copy_held():
    instances, clock, _ = build()
    instances.put(instance(), 50)
    instances.remove("a", 51)
    instances.begin_era()
    instances.put(instance(), 5)
    instances.remove("a", 6)
    clock.at += 60_000
    instances.expire()
    assert instances.count() == 0


def test_a_later_lifetime_stays_in_use_while_a_copy_holds_an_earlier_one():
    instances, clock, _ = build()
    instances.put(instance(born=2), 50)
    instances.begin_era()
    instances.put(instance(born=1), 5)
    assert instances.serving("s") == (instance(born=2),)
    instances.put(instance(born=2), 6)
    clock.at += LAPSE_GRACE
    instances.expire()
    assert instances.serving("s") == (instance(born=2),)
    clock.at += 60_000
    instances.expire()
    assert instances.serving("s") == (instance(born=2),)


def test_a_barred_instance_is_not_used_again_as_a_copy_holds_it():
    instances, _, _ = build()
    instances.put(instance(), 50)
    instances.bar(instance().replica_id)
    instances.begin_era()
    instances.put(instance(), 5)
    assert instances.serving("s") == ()
    instances.put(instance(), 6)
    assert instances.serving("s") == (instance(),)


def test_a_lapse_is_told_once_so_that_its_end_can_be_awaited():
    lapses = []
    instances, clock, _ = build(on_lapsed=lambda: lapses.append(clock.now()))
    instances.put(instance("a"), 1)
    instances.put(instance("b"), 2)
    instances.set_registry_reachable(False)
    instances.remove("a", 3)
    instances.remove("a", 4)
    instances.set_registry_reachable(True)
    clock.at += 10_000
    instances.remove("b", 5)
    assert lapses == [0]
    assert instances.time_until_expiry() == LAPSE_GRACE - 10_000
    instances.expire()
    assert instances.time_until_expiry() is None


# Guards against a copy reviving an instance whose removal, near an outage, was taken for a lapse.
def test_a_copy_does_not_end_a_lapse_that_began_before_it():
    instances, clock, _ = build()
    instances.put(instance(), 50)
    instances.set_registry_reachable(False)
    instances.set_registry_reachable(True)
    instances.remove("a", 51)
    instances.begin_era()
    instances.put(instance(), 5)
    clock.at += LAPSE_GRACE
    instances.expire()
    assert instances.serving("s") == ()
    clock.at += 60_000
    instances.expire()
    assert instances.serving("s") == (instance(),)


def test_an_instance_that_registers_after_the_restored_registry_lacked_it_is_used_at_once():
    instances, clock, _ = build()
    for name in ("lapsed", "ended", "known"):
        instances.put(instance(name), 50)
    instances.remove("ended", 51)
    instances.set_registry_reachable(False)
    instances.remove("lapsed", 52)
    clock.at += 10
    instances.begin_era()
    for number, name in enumerate(("lapsed", "ended", "known")):
        instances.remove(name, 5)
        instances.put(instance(name), 6 + number)
    assert len(instances.serving("s")) == 3
    clock.at += 60_000
    instances.expire()
    assert len(instances.serving("s")) == 3


def test_a_second_copy_gives_an_instance_that_both_lack_its_whole_grace_period():
    instances, clock, _ = build()
    instances.put(instance(), 50)
    instances.begin_era()
    instances.remove("a", 9)
    clock.at += LAPSE_GRACE - 100
    instances.begin_era()
    instances.remove("a", 8)
    clock.at += LAPSE_GRACE - 100
    instances.expire()
    assert instances.serving("s") == (instance(),)
    instances.put(instance(), 9)
    clock.at += 200
    instances.expire()
    assert instances.serving("s") == (instance(),)
