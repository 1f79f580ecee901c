import json
import random

import trio
from firtrestle.clocks import Clock, Millis
from firtrestle.instances import Instance, Instances
from firtrestle.messages import Ping
from firtrestle.registry_readers import RegistryProgress
from firtrestle.route_sources import BadRoutes, News
from firtrestle.routes import RouteTable
from firtrestle.spreads import Spreader, SpreadMap
from hypothesis import given
from hypothesis import strategies as st

PART = "instances"


def parse(text):
    version = json.loads(text)
    return RouteTable(version) if version else BadRoutes("no version")


class Daemon:
    def __init__(self) -> None:
        clock = Clock()
        self.items = SpreadMap()
        self.spreader = Spreader(self.items, 3, random.Random(1), clock)
        self.instances = Instances(clock, lambda gone: None)
        self.applied = []
        self.progress = RegistryProgress(clock, frozenset({PART}))
        self.news = News(self.items, self.instances, self.progress, PART, self.applied.append)
        self.news.start(parse)

    def ping(self, other: "Daemon") -> None:
        ping = Ping("d", list(self.items.digest))
        pong = other.spreader.serve_ping(ping)
        pong.progress = other.progress.told()
        repair = self.spreader.repair_for(pong)
        if repair is not None:
            self.items.put_rows(other.spreader.serve_pull(repair).items)
        self.news.synchronize(ping, pong, Millis(0))

    def hear(self, other: "Daemon") -> None:
        self.items.put_rows(other.items.rows(list(other.items.by_key)))


def instance(name="a", draining=False):
    return Instance(name, "s", "h", 1, "dc", 3, draining, 1)


async def test_a_desired_state_reaches_a_daemon_that_the_store_turns_away():
    reader, cut_off = Daemon(), Daemon()
    reader.news.routes(7, "7")
    reader.news.instance(instance(), 3)
    cut_off.hear(reader)
    assert [table.version for table in cut_off.applied] == [7]
    assert cut_off.instances.serving("s") == (instance(),)


@given(st.permutations([1, 3, 5, 8]))
def test_versions_never_go_back_in_whatever_order_they_come(order):
    async def main():
        daemon = Daemon()
        for version in order:
            daemon.news.routes(version, str(version))
        versions = [table.version for table in daemon.applied]
        assert versions == sorted(set(versions))
        assert versions[-1] == 8

    trio.run(main)


async def test_an_invalid_desired_state_is_not_applied_and_not_spread():
    daemon = Daemon()
    daemon.news.routes(3, "3")
    daemon.news.routes(9, "0")
    assert [table.version for table in daemon.applied] == [3]
    assert daemon.items.by_key["routes"].stamp == 3


async def test_a_removal_outlives_older_news_of_the_same_instance_from_a_peer():
    stale, fresh = Daemon(), Daemon()
    for daemon in (stale, fresh):
        daemon.news.instance(instance(), 3)
    fresh.news.gone("a", 5)
    fresh.hear(stale)
    assert fresh.instances.serving("s") == ()
    stale.hear(fresh)
    assert stale.instances.serving("s") == ()


async def test_a_heartbeat_that_changes_nothing_is_not_spread():
    daemon = Daemon()
    daemon.news.instance(instance(), 3)
    daemon.items.take_changed()
    daemon.news.instance(instance(), 4)
    assert daemon.items.take_changed() == []


async def test_a_whole_read_drops_what_left_but_not_what_came_after_it():
    daemon = Daemon()
    daemon.news.instance(instance("a"), 3)
    daemon.news.instance(instance("b"), 9)
    daemon.news.present({"c"}, 7)
    assert daemon.instances.ids() == {"b"}


async def test_damaged_items_of_a_peer_are_passed_over():
    daemon = Daemon()
    rows = [["instance/a", 3, ["s", "h", "1", "dc", 3, False, 1]], ["instance/b", 4, "x"]]
    daemon.items.put_rows(rows)
    assert daemon.instances.count() == 0


async def test_a_removal_that_one_daemon_missed_and_another_never_saw_is_not_undone():
    """A daemon that was cut off meets one that started, and read all, after a removal."""
    late, started = Daemon(), Daemon()
    late.news.instance(instance("a"), 2)
    late.progress.took(PART, 2)
    started.news.present(set(), 3)
    started.progress.took(PART, 3)
    late.ping(started)
    assert late.progress.revision(PART) == 3
    assert late.instances.serving("s") == ()
    assert started.instances.serving("s") == ()


async def test_a_peer_that_knows_less_refutes_nothing():
    one, behind = Daemon(), Daemon()
    one.news.instance(instance("a"), 5)
    one.progress.took(PART, 5)
    behind.progress.took(PART, 4)
    one.ping(behind)
    assert one.instances.serving("s") == (instance("a"),)
    assert behind.instances.serving("s") == (instance("a"),)


async def test_what_came_while_a_peer_answered_is_not_taken_for_what_it_knows():
    one, other = Daemon(), Daemon()
    other.progress.took(PART, 9)
    ping = Ping("d", list(one.items.digest))
    pong = other.spreader.serve_ping(ping)
    pong.progress = other.progress.told()
    one.news.instance(instance("a"), 4)
    one.news.synchronize(ping, pong, Millis(0))
    assert one.progress.revision(PART) is None


async def test_a_registration_that_lapsed_and_came_back_unchanged_is_not_refuted():
    """A store's outage: one daemon read all after it, another between lapse and return."""
    back, between = Daemon(), Daemon()
    back.news.instance(instance("a"), 2)
    between.news.present(set(), 3)
    between.progress.took(PART, 3)
    back.news.instance(instance("a"), 4, is_whole_read=True)
    back.progress.took(PART, 4)
    back.ping(between)
    between.ping(back)
    assert back.instances.serving("s") == (instance("a"),)
    assert between.instances.serving("s") == (instance("a"),)
