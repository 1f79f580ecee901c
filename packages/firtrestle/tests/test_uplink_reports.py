"""Which daemons are asked to run the requests of those that have lost their links."""

import random
from dataclasses import replace

import pytest
from firtrestle.gossip_maps import GossipMap
from firtrestle.members import Member, MemberStatus
from firtrestle.uplink_reports import UPLINK_PREFIX, UplinkReports
from firtrestle.uplinks import Uplink, UplinkState
from manual_clocks import ManualClock


class FakeMembers:
    def __init__(self, me, peers):
        self.me = me
        self.peers = peers

    def live_peers(self):
        return self.peers


def member(name, incarnation=7, status=MemberStatus.ALIVE):
    return Member(name, incarnation, status, "dc", "h", 1, 2)


class Daemon:
    def __init__(self, *peers):
        self.items = GossipMap()
        self.clock = ManualClock(100_000.0)
        self.uplink = Uplink(self.clock, random.Random(1))
        self.members = FakeMembers(member("me"), list(peers))
        self.losses = 0
        self.reports = UplinkReports(
            self.items, self.members, self.uplink, self.clock, self.count_loss
        )

    def count_loss(self):
        self.losses += 1

    def report(self, name, *value, stamp=1):
        return self.items.put(UPLINK_PREFIX + name, stamp, list(value))

    def reaching(self):
        return [peer.id for peer in self.reports.reaching_peers()]


def test_only_live_peers_that_report_to_reach_instances_are_asked():
    suspect = member("suspect", status=MemberStatus.SUSPECT)
    daemon = Daemon(member("good"), member("cut"), member("older-build"), suspect)
    for name, reaches in (("good", True), ("cut", False), ("suspect", True)):
        assert daemon.report(name, 7, reaches)
    assert daemon.reaching() == ["good"]


def test_a_report_of_an_earlier_incarnation_does_not_hold():
    """The daemon was restarted, perhaps as a build that knows no relays."""
    daemon = Daemon(member("good", incarnation=8))
    daemon.report("good", 7, True)
    assert daemon.reaching() == []
    daemon.report("good", 8, True, stamp=2)
    assert daemon.reaching() == ["good"]


@pytest.mark.parametrize("value", [[], [7], ["7", True], [7, 1], [7, True, 0]])
def test_a_malformed_report_is_refused(value):
    assert not Daemon(member("good")).report("good", *value)


def test_a_report_is_published_when_the_belief_or_the_incarnation_changes():
    daemon = Daemon()

    def published():
        daemon.reports.publish()
        item = daemon.items.by_key[UPLINK_PREFIX + "me"]
        return item.stamp, item.value

    first_stamp, value = published()
    assert value == [7, True]
    assert published() == (first_stamp, value)
    daemon.uplink.state = UplinkState.SUSPECT
    assert published() == (first_stamp, value)
    daemon.uplink.state = UplinkState.DOWN
    second_stamp, value = published()
    assert (value, second_stamp > first_stamp) == ([7, False], True)
    daemon.members.me = replace(daemon.members.me, incarnation=9)
    assert published()[1] == [9, False]
    assert daemon.losses == 0


def test_the_loss_of_a_peer_is_passed_on_and_its_return_is_not():
    daemon = Daemon(member("peer"))
    daemon.report("peer", 7, True, stamp=1)
    assert daemon.losses == 0
    daemon.report("peer", 7, False, stamp=2)
    assert daemon.losses == 1
