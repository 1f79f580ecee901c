"""Model check: a daemon that reports all changes up to a revision as known holds them.

Simulated daemons continue reading a registry at their last revision, push changes or lose them,
exchange pings and repairs, and restart. The registry holds instances and evacuations of data
centres. It is restored from copies. There is no network.
"""

import random

from firtrestle.clocks import Millis
from firtrestle.departures import Departures
from firtrestle.evacuation_items import EvacuationItems
from firtrestle.gossip_maps import EVACUATION_PREFIX, Gossiper, GossipMap
from firtrestle.instances import Instance, Instances
from firtrestle.messages import Ping
from firtrestle.registry_eras import RegistryEras
from firtrestle.registry_readers import RegistryProgress
from firtrestle.route_sources import INSTANCE_PREFIX, ParseFailure, SourcePublisher
from firtrestle.routes import RouteTable
from firtrestle.warm_up_items import WarmUpItems
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from manual_clocks import ManualClock
from route_fakes import cold_instances

PART = "instances"
DAEMONS = st.integers(0, 3)
IDS = st.sampled_from("abcde")
ZONES = st.sampled_from(["zone/x", "zone/y"])  # names of evacuations among those of instances


class Daemon:
    def __init__(self, clock, rng) -> None:
        self.items = GossipMap()
        self.eras = RegistryEras()
        self.gossiper = Gossiper(self.items, 3, rng, clock, self.eras)
        departures = Departures(GossipMap(), clock, Millis(3_000))
        self.instances = Instances(clock, lambda gone: None, departures)
        self.applied = []
        self.progress = RegistryProgress(clock, frozenset({PART}), self.eras)
        evacuations = EvacuationItems(self.items, self.instances.evacuations, self.progress, PART)
        warm_ups = cold_instances(clock, self.instances)
        warm_up_items = WarmUpItems(self.items, warm_ups, clock)
        self.publisher = SourcePublisher(
            self.items,
            self.instances,
            self.progress,
            PART,
            self.applied.append,
            evacuations,
            warm_up_items,
        )
        self.publisher.start(lambda text: RouteTable(int(text)) if text else ParseFailure("empty"))

    def ping(self, other: "Daemon", asked_at: Millis) -> None:
        ping = Ping("d", list(self.items.digest), self.eras.to_wire())
        pong = other.gossiper.serve_ping(ping)
        pong.progress = other.progress.to_wire()
        repair = self.gossiper.repair_for(pong)
        if repair is not None:
            answer = other.gossiper.serve_pull(repair)
            self.gossiper.store_rows(answer.items, answer.eras)
        self.publisher.synchronize(ping, pong, asked_at)


class RegistryModel(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.revision = 1
        self.version = 1
        self.events = []  # (revision, id, instance or None), True for an evacuation
        self.current = {}
        self.era = 1
        self.events_by_era = {1: self.events}
        self.copy = (self.revision, [], {})
        self.late_pushes = []  # (receiver, rows, eras of the sender)
        self.daemons = [Daemon(self.clock, self.rng) for _ in range(4)]

    @rule(name=IDS, draining=st.booleans(), born=st.integers(1, 3))
    def register(self, name, draining, born):
        self.revision += 1
        self.current[name] = Instance(name, "s", "h", 1, "dc", 3, draining, born)
        self.events.append((self.revision, name, self.current[name]))

    @rule(name=ZONES)
    def evacuate(self, name):
        self.revision += 1
        self.current[name] = True
        self.events.append((self.revision, name, True))

    @rule(name=st.one_of(IDS, ZONES))
    def remove(self, name):
        if self.current.pop(name, None) is not None:
            self.revision += 1
            self.events.append((self.revision, name, None))

    @rule()
    def take_copy(self):
        self.copy = (self.revision, list(self.events), dict(self.current))

    @rule()
    def restore(self):
        self.revision, events, current = self.copy
        self.era += 1
        self.events, self.current = list(events), dict(current)
        self.events_by_era[self.era] = self.events

    @rule(number=DAEMONS)
    def watch(self, number):
        daemon = self.daemons[number]
        daemon.eras.observe(self.era)
        after = daemon.progress.revision(PART)
        if after is None:
            self.read_completely(daemon)
            return
        for revision, name, instance in self.events:
            if revision > after:
                self.publish_event(daemon, revision, name, instance)
        daemon.progress.advance(PART, self.revision)

    @rule(number=DAEMONS)
    def lose_history(self, number):
        self.daemons[number].eras.observe(self.era)
        self.daemons[number].progress.forget(PART)
        self.read_completely(self.daemons[number])

    def read_completely(self, daemon):
        last = {name: revision for revision, name, _ in self.events}
        for name, instance in self.current.items():
            self.publish_event(daemon, last[name], name, instance, is_complete_read=True)
        daemon.publisher.retain_instances(set(self.current), self.revision)
        zones = {zone_of(name) for name in self.current if is_zone(name)}
        daemon.publisher.evacuations.retain(zones, self.revision)
        daemon.progress.advance(PART, self.revision)

    def publish_event(self, daemon, revision, name, instance, is_complete_read=False):
        if is_zone(name) and instance is None:
            daemon.publisher.evacuations.withdraw(zone_of(name), revision)
        elif is_zone(name):
            daemon.publisher.evacuations.publish(zone_of(name), revision)
        elif instance is None:
            daemon.publisher.remove_instance(name, revision)
        else:
            daemon.publisher.publish_instance(instance, revision, is_complete_read)

    @rule(number=DAEMONS, other=DAEMONS, lost=st.booleans(), late=st.booleans())
    def push(self, number, other, lost, late):
        eras = self.daemons[number].eras.to_wire()
        rows = self.daemons[number].items.take_changed()
        if lost or number == other:
            return
        self.late_pushes.append((other, rows, eras))
        if not late:
            self.deliver_late_pushes()

    @rule()
    def deliver_late_pushes(self):
        pushes, self.late_pushes = self.late_pushes, []
        for other, rows, eras in pushes:
            self.daemons[other].gossiper.store_rows(rows, eras)

    @rule(number=DAEMONS, other=DAEMONS)
    def ping(self, number, other):
        if number != other:
            self.daemons[number].ping(self.daemons[other], self.clock.now())

    @rule(number=DAEMONS)
    def restart(self, number):
        self.daemons[number] = Daemon(self.clock, self.rng)

    @rule(number=DAEMONS)
    def publish(self, number):
        self.version += 1
        self.daemons[number].publisher.publish_routes(self.version, str(self.version))

    @rule(pause=st.floats(1, 4_000))
    def wait(self, pause):
        self.clock.at += pause
        for daemon in self.daemons:
            daemon.instances.expire()

    @invariant()
    def changes_up_to_the_reported_revision_are_held(self):
        for daemon in self.daemons:
            known = daemon.progress.revision(PART) or 0
            era = daemon.eras.span.newest if daemon.eras.span is not None else self.era
            last = {}
            for revision, name, instance in self.events_by_era[era]:
                if revision <= known:
                    last[name] = (revision, instance)
            for name, (revision, instance) in last.items():
                item = daemon.items.by_key.get(key_of(name))
                if instance is None and item is None:
                    continue  # removed before this daemon read anything
                assert item is not None, f"{name}@{revision} is not held, but {known} is reported"
                if item.stamp <= revision:
                    held = value_of(name, item)
                    assert held == instance, f"{name} differs from the registry at revision {known}"

    def teardown(self):
        """Check that all hold just what is registered once all have read and exchanged it."""
        for _ in range(3):
            for number in range(len(self.daemons)):
                self.watch(number)
                for other in range(len(self.daemons)):
                    self.ping(number, other)
        self.wait(60_000)
        for daemon in self.daemons:
            held = {instance.id: instance for instance in daemon.instances.all()}
            held |= {f"zone/{zone}": True for zone in daemon.instances.evacuations.zones()}
            assert held == self.current

    @invariant()
    def applied_versions_only_increase(self):
        for daemon in self.daemons:
            versions = [table.version for table in daemon.applied]
            assert versions == sorted(set(versions))


def is_zone(name):
    return name.startswith("zone/")


def zone_of(name):
    return name.removeprefix("zone/")


def value_of(name, item):
    if not item.value:
        return None
    return True if is_zone(name) else Instance(name, *item.value)


def key_of(name):
    return EVACUATION_PREFIX + zone_of(name) if is_zone(name) else INSTANCE_PREFIX + name


TestRegistryModel = RegistryModel.TestCase
TestRegistryModel.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
