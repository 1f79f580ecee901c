from firtrestle.clocks import MILLIS_PER_SECOND, Millis
from firtrestle.departures import DEPARTURE_PREFIX, RETENTION, Departures
from firtrestle.gossip_maps import GossipMap
from firtrestle.instances import Instance, Instances
from manual_clocks import ManualClock

DRAIN_TIME = Millis(3_000)


class Daemon:
    """Hold the instances that one daemon knows, and what it heard of their departures."""

    def __init__(self, clock):
        self.items = GossipMap()
        self.departures = Departures(self.items, clock, DRAIN_TIME, self._on_change)
        self.instances = Instances(clock, lambda gone: None, self.departures)

    def _on_change(self, replica_id):
        self.instances.refresh()

    def serving(self):
        return {instance.id for instance in self.instances.serving("s")}


def instance(name="a", draining=False, born=1):
    return Instance(name, "s", "h", 1, "dc", 3, draining, born)


def daemon_with(*names):
    clock = ManualClock()
    daemon = Daemon(clock)
    for name in names:
        daemon.instances.put(instance(name), 1)
    return daemon, clock


def test_an_instance_that_announced_its_departure_gets_no_work_while_there_are_others():
    daemon, _ = daemon_with("a", "b")
    daemon.departures.record(instance("a"), "r1", 200)
    assert daemon.serving() == {"b"}


def test_a_registration_of_the_same_lifetime_does_not_bring_a_leaving_instance_back():
    daemon, _ = daemon_with("a", "b")
    daemon.departures.record(instance("a"), "r1", 200)
    daemon.instances.put(instance("a"), 7)
    assert daemon.serving() == {"b"}
    daemon.instances.remove("a", 8)
    daemon.instances.put(instance("a"), 9)
    assert daemon.serving() == {"b"}


def test_a_new_lifetime_of_a_leaving_instance_gets_work():
    daemon, _ = daemon_with("a", "b")
    daemon.departures.record(instance("a"), "r1", 200)
    daemon.instances.put(instance("a", born=2), 7)
    assert daemon.serving() == {"a", "b"}


def test_the_last_instance_of_a_service_is_used_for_a_part_of_its_drain_time_only():
    daemon, clock = daemon_with("a")
    daemon.departures.record(instance("a"), "r1", 200)
    assert daemon.serving() == {"a"}
    clock.jump((DRAIN_TIME * 0.9) / MILLIS_PER_SECOND)
    daemon.departures.expire()
    assert daemon.serving() == set()


def test_a_peer_passes_over_an_instance_that_another_daemon_heard_is_leaving():
    daemon, clock = daemon_with("a", "b")
    peer = Daemon(clock)
    for name in ("a", "b"):
        peer.instances.put(instance(name), 1)
    daemon.departures.record(instance("a"), "r1", 200)
    peer.items.put_rows(daemon.items.take_changed())
    assert peer.serving() == {"b"}


def test_the_word_of_a_peer_never_leaves_a_service_without_an_instance():
    daemon, clock = daemon_with("a")
    daemon.items.put(DEPARTURE_PREFIX + "a", round(clock.wall()), 1)
    clock.jump(DRAIN_TIME / MILLIS_PER_SECOND)
    daemon.departures.expire()
    assert daemon.serving() == {"a"}
    daemon.instances.put(instance("a", draining=True), 7)
    assert daemon.serving() == set()


def test_malformed_and_old_words_of_peers_are_refused():
    daemon, clock = daemon_with("a", "b")
    assert not daemon.items.put(DEPARTURE_PREFIX + "a", round(clock.wall()), "x")
    assert not daemon.items.put(DEPARTURE_PREFIX + "a", round(clock.wall() - 2 * RETENTION), 1)
    assert daemon.serving() == {"a", "b"}


def test_departures_are_forgotten_long_after_them():
    daemon, clock = daemon_with("a", "b")
    daemon.departures.record(instance("a"), "r1", 200)
    clock.jump((2 * RETENTION) / MILLIS_PER_SECOND)
    daemon.departures.expire()
    assert daemon.departures.count() == 0
    assert daemon.items.by_key == {}
