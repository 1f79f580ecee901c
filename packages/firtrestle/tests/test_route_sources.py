import json
import random

import pytest
import trio
from firtrestle.clocks import Clock, Millis
from firtrestle.departures import Departures
from firtrestle.gossip_maps import Gossiper, GossipMap
from firtrestle.instances import Instance, Instances
from firtrestle.messages import Ping
from firtrestle.registry_eras import RegistryEras
from firtrestle.registry_readers import RegistryProgress
from firtrestle.route_sources import ParseFailure, SourcePublisher
from firtrestle.routes import RouteTable
from firtrestle.warm_up_items import WarmUpItems
from hypothesis import given
from hypothesis import strategies as st
from route_fakes import cold_instances

PART = "instances"


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
        self.progress = RegistryProgress(clock, frozenset({PART}), self.eras)
        warm_ups = cold_instances(clock, self.instances)
        warm_up_items = WarmUpItems(self.items, warm_ups, clock)
        self.publisher = SourcePublisher(
            self.items, self.instances, self.progress, PART, self.applied.append, warm_up_items
        )
        self.publisher.start(parse)

    def ping(self, other: "Daemon") -> None:
        ping = Ping("d", list(self.items.digest), self.eras.to_wire())
        pong = other.gossiper.serve_ping(ping)
        pong.progress = other.progress.to_wire()
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


def instance(name="a", draining=False):
    return Instance(name, "s", "h", 1, "dc", 3, draining, 1)


async def test_a_daemon_refused_by_the_store_gets_its_state_from_a_peer():
    reader, refused = Daemon(), Daemon()
    reader.publisher.publish_routes(7, "7")
    reader.publisher.publish_instance(instance(), 3)
    refused.receive_all_from(reader)
    assert [table.version for table in refused.applied] == [7]
    assert refused.instances.serving("s") == (instance(),)


@given(st.permutations([1, 3, 5, 8]))
def test_applied_versions_only_increase_in_any_order_of_arrival(order):
    async def main():
        daemon = Daemon()
        for version in order:
            daemon.publisher.publish_routes(version, str(version))
        versions = [table.version for table in daemon.applied]
        assert versions == sorted(set(versions))
        assert versions[-1] == 8

    trio.run(main)


async def test_an_invalid_desired_state_is_neither_applied_nor_published():
    daemon = Daemon()
    daemon.publisher.publish_routes(3, "3")
    daemon.publisher.publish_routes(9, "0")
    assert [table.version for table in daemon.applied] == [3]
    assert daemon.items.by_key["routes"].stamp == 3


async def test_a_removal_overrides_an_older_registration_from_a_peer():
    stale, fresh = Daemon(), Daemon()
    for daemon in (stale, fresh):
        daemon.publisher.publish_instance(instance(), 3)
    fresh.publisher.remove_instance("a", 5)
    fresh.receive_all_from(stale)
    assert fresh.instances.serving("s") == ()
    stale.receive_all_from(fresh)
    assert stale.instances.serving("s") == ()


async def test_a_heartbeat_that_changes_nothing_is_not_published():
    daemon = Daemon()
    daemon.publisher.publish_instance(instance(), 3)
    daemon.items.take_changed()
    daemon.publisher.publish_instance(instance(), 4)
    assert daemon.items.take_changed() == []


async def test_a_complete_read_removes_absent_instances_but_not_newer_ones():
    daemon = Daemon()
    daemon.publisher.publish_instance(instance("a"), 3)
    daemon.publisher.publish_instance(instance("b"), 9)
    daemon.publisher.retain_instances({"c"}, 7)
    assert daemon.instances.ids() == {"b"}


async def test_malformed_items_of_a_peer_are_skipped():
    daemon = Daemon()
    rows = [["instance/a", 3, ["s", "h", "1", "dc", 3, False, 1]], ["instance/b", 4, "x"]]
    daemon.items.put_rows(rows)
    assert daemon.instances.count() == 0


async def test_a_daemon_that_missed_a_removal_does_not_undo_it():
    """A daemon that missed a removal pings one that started, and read completely, after it.

    The second one holds no item of the removed instance, so that no stamp overrides the old
    registration, and both daemons served the instance again.
    """
    stale, started = Daemon(), Daemon()
    stale.publisher.publish_instance(instance("a"), 2)
    stale.progress.advance(PART, 2)
    started.publisher.retain_instances(set(), 3)
    started.progress.advance(PART, 3)
    stale.ping(started)
    assert stale.progress.revision(PART) == 3
    assert stale.instances.serving("s") == ()
    assert started.instances.serving("s") == ()


async def test_a_peer_at_an_older_revision_removes_nothing():
    ahead, behind = Daemon(), Daemon()
    ahead.publisher.publish_instance(instance("a"), 5)
    ahead.progress.advance(PART, 5)
    behind.progress.advance(PART, 4)
    ahead.ping(behind)
    assert ahead.instances.serving("s") == (instance("a"),)
    assert behind.instances.serving("s") == (instance("a"),)


async def test_progress_is_not_adopted_if_an_item_arrived_during_the_ping():
    pinging, pinged = Daemon(), Daemon()
    pinged.progress.advance(PART, 9)
    ping = Ping("d", list(pinging.items.digest))
    pong = pinged.gossiper.serve_ping(ping)
    pong.progress = pinged.progress.to_wire()
    pinging.publisher.publish_instance(instance("a"), 4)
    pinging.publisher.synchronize(ping, pong, Millis(0))
    assert pinging.progress.revision(PART) is None


async def test_a_registration_restored_unchanged_after_a_lapse_is_kept():
    """One daemon reads completely after a store's outage, another between lapse and return.

    The removal seen in between overrode the registration, as that kept its old stamp.
    """
    restored, between = Daemon(), Daemon()
    restored.publisher.publish_instance(instance("a"), 2)
    between.publisher.retain_instances(set(), 3)
    between.progress.advance(PART, 3)
    restored.publisher.publish_instance(instance("a"), 4, is_complete_read=True)
    restored.progress.advance(PART, 4)
    restored.ping(between)
    between.ping(restored)
    assert restored.instances.serving("s") == (instance("a"),)
    assert between.instances.serving("s") == (instance("a"),)


# Guards against the claim of a daemon that has not heard of a restore removing instances (CONFIG).
async def test_a_peer_of_an_earlier_era_removes_nothing_and_learns_of_the_restore():
    reader, late = Daemon(), Daemon()
    for daemon in (reader, late):
        daemon.read_completely(1, 15, a=3)
    reader.read_completely(2, 9, a=3, d=7)
    reader.ping(late)
    assert reader.instances.ids() == {"a", "d"}
    assert reader.progress.revision(PART) == 9
    assert late.eras.to_wire() == [1, 2]
    assert late.progress.revision(PART) is None
    late.ping(reader)
    late.ping(reader)
    assert late.instances.ids() == {"a", "d"}
    assert late.progress.revision(PART) == 9


async def test_rows_that_were_sent_before_a_restore_was_known_are_refused():
    reader, late = Daemon(), Daemon()
    late.read_completely(1, 15, a=3)
    late.publisher.remove_instance("d", 14)
    reader.read_completely(1, 5, a=3)
    reader.read_completely(2, 9, a=3, d=7)
    reader.receive_all_from(late)
    assert reader.instances.ids() == {"a", "d"}
    assert reader.eras.refused_rows == 2


async def test_rows_of_a_later_era_begin_it_here():
    reader, late = Daemon(), Daemon()
    for daemon in (reader, late):
        daemon.read_completely(1, 15, a=12)
    reader.read_completely(2, 9, a=3, d=7)
    late.receive_all_from(reader)
    assert late.instances.ids() == {"a", "d"}
    assert late.progress.revision(PART) is None


# Guards against an upgrade at any first era; builds before it name no eras.
@pytest.mark.parametrize("era", [0, 1, 3])
async def test_a_peer_that_names_no_eras_is_heard_without_a_restore(era):
    earlier, daemon = Daemon(), Daemon()
    earlier.publisher.publish_instance(instance("a"), 5)
    daemon.read_completely(era, 4)
    daemon.receive_all_from(earlier, eras=[])
    assert daemon.instances.ids() == {"a"}


async def test_a_peer_that_names_no_eras_is_not_heard_after_a_restore():
    earlier, daemon = Daemon(), Daemon()
    earlier.publisher.publish_instance(instance("a"), 15)
    daemon.read_completely(1, 4)
    daemon.read_completely(2, 4)
    daemon.receive_all_from(earlier, eras=[])
    assert daemon.instances.ids() == set()


async def test_a_daemon_that_starts_after_a_restore_takes_over_the_eras_of_its_peers():
    running, started = Daemon(), Daemon()
    running.read_completely(1, 20, a=15)
    running.read_completely(2, 9, a=3, d=7)
    started.read_completely(2, 8, a=3)
    running.ping(started)
    assert running.instances.ids() == {"a", "d"}
    started.ping(running)
    started.ping(running)
    assert started.instances.ids() == {"a", "d"}
    assert started.progress.revision(PART) == 9
