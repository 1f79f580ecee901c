"""Provide daemons that publish what they read to each other, without a network."""

import json
import random

from firtrestle.clocks import Clock, Millis
from firtrestle.departures import Departures
from firtrestle.evacuation_items import EvacuationItems
from firtrestle.gossip_maps import Gossiper, GossipMap
from firtrestle.instances import Instance, Instances
from firtrestle.messages import Ping
from firtrestle.registry_eras import RegistryEras
from firtrestle.registry_readers import RegistryProgress
from firtrestle.route_sources import ParseFailure, SourcePublisher
from firtrestle.routes import RouteTable
from firtrestle.warm_up_items import WarmUpItems
from route_fakes import cold_instances

PART = "instances"
EVACUATIONS_PART = "operators"
EARLIER_PART = "routes-only"  # the name by which earlier builds know a part of it


def parse(text):
    version = json.loads(text)
    return RouteTable(version) if version else ParseFailure("no version")


class Daemon:
    def __init__(self) -> None:
        clock = Clock()
        self.items = GossipMap()
        self.eras = RegistryEras()
        self.gossiper = Gossiper(self.items, 3, random.Random(1), clock, self.eras)
        departures = Departures(GossipMap(), clock, Millis(3_000))
        self.instances = Instances(clock, lambda gone: None, departures)
        self.applied = []
        self.progress = RegistryProgress(
            clock, frozenset({PART, EVACUATIONS_PART}), self.eras, {EVACUATIONS_PART: EARLIER_PART}
        )
        evacuations = EvacuationItems(
            self.items, self.instances.evacuations, self.progress, EVACUATIONS_PART
        )
        warm_up_items = WarmUpItems(self.items, cold_instances(clock, self.instances), clock)
        self.publisher = SourcePublisher(
            self.items,
            self.instances,
            self.progress,
            PART,
            self.applied.append,
            evacuations,
            warm_up_items,
        )
        self.publisher.start(parse)
        self.is_earlier_build = False  # it then reports progress as such a build does

    def ping(self, other: "Daemon") -> None:
        ping = Ping("d", list(self.items.digest), self.eras.to_wire())
        pong = other.gossiper.serve_ping(ping)
        other.progress.report_in(pong)
        if other.is_earlier_build:
            pong.parts = {}
        repair = self.gossiper.repair_for(pong)
        if repair is not None:
            answer = other.gossiper.serve_pull(repair)
            self.gossiper.store_rows(answer.items, answer.eras)
        self.publisher.synchronize(ping, pong, Millis(0))

    def receive_all_from(self, other: "Daemon", eras: list[int] | None = None) -> None:
        rows = other.items.rows(list(other.items.by_key))
        self.gossiper.store_rows(rows, other.eras.to_wire() if eras is None else eras)

    def read_completely(self, era: int, revision: int, **revision_by_id: int) -> None:
        self.eras.observe(era)
        for name, registered_at in revision_by_id.items():
            self.publisher.publish_instance(instance(name), registered_at, is_complete_read=True)
        self.publisher.retain_instances(set(revision_by_id), revision)
        self.progress.advance(PART, revision)

    @property
    def evacuated(self) -> list[str]:
        return self.instances.evacuations.zones()

    def evacuate(self, zone: str, revision: int) -> None:
        """Read that a data centre is evacuated."""
        self.publisher.evacuations.publish(zone, revision)
        self.progress.advance(EVACUATIONS_PART, revision)

    def withdraw(self, zone: str, revision: int) -> None:
        """Read the removal of an evacuation."""
        self.publisher.evacuations.withdraw(zone, revision)
        self.progress.advance(EVACUATIONS_PART, revision)

    def read_evacuations(self, era: int, revision: int, **revision_by_zone: int) -> None:
        """Read the part of the evacuations completely."""
        self.eras.observe(era)
        for zone, written_at in revision_by_zone.items():
            self.publisher.evacuations.publish(zone, written_at)
        self.publisher.evacuations.retain(set(revision_by_zone), revision)
        self.progress.advance(EVACUATIONS_PART, revision)


def instance(name="a", draining=False):
    return Instance(name, "s", "h", 1, "dc", 3, draining, 1)
