"""Check which warm-ups a daemon publishes as it reads registrations, and what others believe."""

import random

import pytest
from firtrestle.clocks import Millis
from firtrestle.departures import Departures
from firtrestle.evacuation_items import EvacuationItems
from firtrestle.gossip_maps import Gossiper, GossipMap
from firtrestle.instances import Instance, Instances
from firtrestle.known_daemons import KnownDaemons
from firtrestle.registry_eras import RegistryEras
from firtrestle.registry_readers import RegistryProgress
from firtrestle.route_sources import SourcePublisher
from firtrestle.routes import RouteTable, ServiceTerms
from firtrestle.snapshots import ReplicaId
from firtrestle.warm_up_items import MAX_LEFT, WarmUpItems
from firtrestle.warm_ups import END_MARGIN, WarmUpBounds, WarmUps
from manual_clocks import ManualClock

KEY = "warm-up/i"
ID = ReplicaId("i", "1")
TABLE = RouteTable(terms_by_service={"s": ServiceTerms("s", 0, 0.1)})


class Daemon:
    """Read and exchange registrations as a daemon does; it has no permit for cold instances."""

    def __init__(self, clock, bounds=WarmUpBounds(1.5, 0.0)):
        self.clock = clock
        self.items = GossipMap()
        self.eras = RegistryEras()
        self.gossiper = Gossiper(self.items, 3, random.Random(1), clock, self.eras)
        departures = Departures(GossipMap(), clock, Millis(3_000))
        self.instances = Instances(clock, lambda gone: None, departures)
        known = KnownDaemons("d", "dc", clock, expects_peers=False)
        self.warm_ups = WarmUps(clock, known, bounds, self.find_service)
        self.warm_up_items = WarmUpItems(self.items, self.warm_ups, clock)
        self.warm_up_items.apply(TABLE)
        progress = RegistryProgress(clock, frozenset({"i"}), self.eras)
        self.publisher = SourcePublisher(
            self.items,
            self.instances,
            progress,
            "i",
            lambda table: None,
            EvacuationItems(self.items, self.instances.evacuations, progress, "i"),
            self.warm_up_items,
        )
        self.changes = []
        self.items.add_listener("", lambda key, item: self.changes.append(key))

    def find_service(self, replica_id):
        instance = self.instances.get(replica_id)
        return instance.service if instance is not None else None

    def read(self, revision, left, born=1, complete=False):
        instance = Instance("i", "s", "h", 1, "dc", 3, False, born, Millis(left))
        self.publisher.publish_instance(instance, revision, complete)

    def receive_from(self, other):
        rows = other.items.rows(list(other.items.by_key))
        self.gossiper.store_rows(rows, other.eras.to_wire())

    def is_cold(self, replica_id=ID):
        return self.warm_ups.wait(replica_id) > 0

    @property
    def value(self):
        return self.items.by_key[KEY].value if KEY in self.items.by_key else None

    @property
    def published(self):
        return self.changes.count(KEY)


def pair():
    clock = ManualClock()
    return Daemon(clock), Daemon(clock), clock


# Guards against a registration that becomes known before its warm-up, and is used without a bound.
def test_a_warm_up_is_published_before_its_registration_and_recorded_by_all():
    reader, other, _ = pair()
    reader.read(7, 20_000)
    assert reader.changes == [KEY, "instance/i"]
    other.receive_from(reader)
    assert reader.value == [1, 20_000]
    assert reader.items.by_key[KEY].stamp == 7
    assert reader.is_cold()
    assert other.is_cold()


# Guards against a message to all daemons for each renewal of a registration.
def test_renewals_are_not_published_while_they_tell_nothing_new():
    reader, _, clock = pair()
    for number in range(16):
        reader.read(7 + number, 20_000 - 1_200 * number)
        clock.jump(1.2 - 0.01 * (number % 2))
    assert reader.published == 1


def test_an_instance_that_becomes_cold_again_is_published_again():
    reader, other, clock = pair()
    reader.read(7, 20_000)
    clock.jump(1)
    reader.read(8, 20_000)
    assert reader.published == 2
    other.receive_from(reader)
    clock.jump(19.5)
    assert other.is_cold()
    clock.jump(0.5 + END_MARGIN / 1_000)
    assert not other.is_cold()


# Guards against a reader that takes what it learnt late of a warm-up for what the others know.
def test_a_reader_that_joined_late_publishes_that_an_instance_is_cold_again():
    reader, late, clock = pair()
    reader.read(7, 20_000)
    clock.jump(10)
    late.receive_from(reader)  # for it, 20 s are left
    late.read(8, 20_000)
    reader.receive_from(late)
    clock.jump(19)
    assert reader.is_cold()


@pytest.mark.parametrize("after", [1, 25])
def test_the_end_of_a_warm_up_is_published_once(after):
    reader, other, clock = pair()
    reader.read(7, 20_000)
    other.receive_from(reader)
    clock.jump(after)
    reader.read(8, 0)
    reader.read(9, 0)
    assert reader.value == [1, 0]
    assert reader.published == 2
    other.receive_from(reader)
    assert not other.is_cold()


# Guards against daemons that start long after a warm-up, and refuse requests for its length.
def test_a_daemon_that_joins_after_a_warm_up_takes_the_instance_for_warm():
    reader, late, clock = pair()
    reader.read(7, 20_000)
    clock.jump(25)
    reader.read(8, 0)
    late.receive_from(reader)
    assert not late.is_cold()


def test_a_new_lifetime_has_a_warm_up_of_its_own():
    reader, other, clock = pair()
    reader.read(7, 20_000)
    clock.jump(1)
    reader.read(8, 5_000, born=2)
    other.receive_from(reader)
    assert other.value == [2, 5_000]
    assert other.is_cold(ReplicaId("i", "2"))


# Guards against instances that are read before the desired state, at the start of a fleet.
def test_a_warm_up_that_was_read_before_the_bound_was_known_is_published_with_the_bound():
    reader, other, clock = pair()
    reader.warm_up_items.apply(RouteTable())
    reader.read(7, 20_000)
    assert reader.value is None
    clock.jump(2)
    reader.warm_up_items.apply(TABLE)
    assert reader.value == [1, 18_000]
    other.receive_from(reader)
    assert other.is_cold()


def test_a_service_or_a_deployment_without_a_bound_publishes_and_holds_nothing():
    without_rate = Daemon(ManualClock())
    without_rate.warm_up_items.apply(RouteTable(terms_by_service={"s": ServiceTerms("s", 0)}))
    without_bounds = Daemon(ManualClock(), bounds=None)
    for daemon in (without_rate, without_bounds):
        daemon.read(7, 20_000)
        daemon.read(8, 0)
        assert daemon.changes == ["instance/i"]
        assert daemon.warm_ups.is_empty
    receiver = Daemon(ManualClock())
    receiver.read(7, 20_000)
    without_bounds.receive_from(receiver)
    assert without_bounds.warm_ups.is_empty


# Guards against revisions of before a restore, which are above those of what is read after it.
def test_a_warm_up_that_is_read_after_a_restore_overrides_one_of_before():
    reader, other, clock = pair()
    for daemon in (reader, other):
        daemon.eras.observe(1)
    reader.read(700, 5_000)
    other.receive_from(reader)
    reader.eras.observe(2)
    reader.read(8, 20_000)
    other.receive_from(reader)
    clock.jump(10)
    assert other.is_cold()


def test_a_warm_up_of_another_era_is_refused():
    reader, other, _ = pair()
    reader.eras.observe(1)
    other.eras.observe(2)
    reader.read(700, 5_000)
    other.receive_from(reader)
    assert KEY not in other.items.by_key


@pytest.mark.parametrize(
    "value", [[], [1], [1, 2, 3], [1, -1], [1, 1.5], [1, True], ["1", 2], "ab", [1, MAX_LEFT + 1]]
)
def test_malformed_items_are_refused(value):
    daemon = Daemon(ManualClock())
    assert not daemon.items.put(KEY, 1, value)
    assert daemon.items.put(KEY, 1, [1, int(MAX_LEFT)])


# Guards against a number that no message between daemons can hold.
def test_a_registration_that_states_an_endless_warm_up_is_published_with_the_longest_time():
    daemon = Daemon(ManualClock())
    daemon.read(7, 1e300)
    assert daemon.value == [1, MAX_LEFT]


def test_items_of_instances_that_are_unknown_hold_nothing_back_and_expire():
    daemon = Daemon(ManualClock())
    daemon.items.put(KEY, 1, [1, 1_000])
    assert not daemon.is_cold()
    assert daemon.warm_ups.count() == 0
    daemon.clock.jump(2)
    daemon.warm_up_items.expire()
    assert daemon.warm_ups.is_empty
