import random

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.events import EventLog
from firtrestle.gossip_maps import Gossiper, GossipMap
from firtrestle.members import Member, Members, MemberStatus
from firtrestle.messages import Ping, PingFor, Pull
from firtrestle.peers import PeerAddress, PeerFailure
from firtrestle.settings import PeerSettings
from firtrestle.vm_lists import Vm, VmKind, VmList, VmState

SETTINGS = PeerSettings(ping_ms=500, ping_timeout_ms=250, suspect_ms=1_500)
PORTS = {"d0": 10, "d1": 11, "d2": 12, "d3": 13}


class FakeNetwork:
    """Deliver calls between the members of a test, except over cut links or to dead members."""

    def __init__(self) -> None:
        self.by_port: dict[int, Members] = {}
        self.gossiper_by_port: dict[int, Gossiper] = {}
        self.cut: set[frozenset[int]] = set()
        self.dead: set[int] = set()
        self.pings = 0


class FakeClients:
    def __init__(self, net: FakeNetwork, port: int) -> None:
        self.net, self.port = net, port

    def get(self, address: PeerAddress):
        return FakeClient(self.net, self.port, address.port)


class FakeClient:
    def __init__(self, net: FakeNetwork, own_port: int, peer_port: int) -> None:
        self.net, self.own_port, self.peer_port = net, own_port, peer_port

    async def call(self, value, timeout):
        net = self.net
        if {self.own_port, self.peer_port} & net.dead or frozenset(
            (self.own_port, self.peer_port)
        ) in net.cut:
            await sleep(timeout)
            return PeerFailure(True, "lost")
        await sleep(Millis(1))
        match value:
            case Ping():
                net.pings += 1
                return net.gossiper_by_port[self.peer_port].serve_ping(value)
            case Pull():
                return net.gossiper_by_port[self.peer_port].serve_pull(value)
            case PingFor():
                return await net.by_port[self.peer_port].serve_ping_for(value)


def fleet(net: FakeNetwork, nursery: trio.Nursery) -> dict[str, Members]:
    clock = Clock()
    vms = {n: Vm(n, VmKind.DAEMON, "dc", "h", p, p, VmState.LIVE, "") for n, p in PORTS.items()}
    members: dict[str, Members] = {}
    for name, port in PORTS.items():
        rng = random.Random(port)
        gossiper = Gossiper(GossipMap(), 3, rng, clock)
        me = Member(name, 1, MemberStatus.ALIVE, "dc", "h", port, port)
        events = EventLog(name, 1, clock, 1_000)
        view = Members(me, SETTINGS, gossiper, FakeClients(net, port), clock, events, rng)
        view.apply_vm_list(VmList(1, vms))
        net.by_port[port] = members[name] = view
        net.gossiper_by_port[port] = gossiper
        nursery.start_soon(view.run)
    return members


def statuses(members: Members) -> dict[str, str]:
    return {m.id: m.status.name for m in members.by_id.values()}


async def test_listed_daemons_discover_each_other_and_detect_a_dead_one(autojump_clock):
    net = FakeNetwork()
    async with trio.open_nursery() as nursery:
        members = fleet(net, nursery)
        await trio.sleep(5)
        assert all(len(view.live()) == 4 for view in members.values())
        net.dead.add(PORTS["d3"])
        await trio.sleep(8)
        for name in ("d0", "d1", "d2"):
            assert statuses(members[name])["d3"] == "DEAD"
        nursery.cancel_scope.cancel()


async def test_a_single_cut_link_marks_no_member_dead(autojump_clock):
    net = FakeNetwork()
    async with trio.open_nursery() as nursery:
        members = fleet(net, nursery)
        await trio.sleep(5)
        net.cut.add(frozenset((PORTS["d0"], PORTS["d1"])))
        await trio.sleep(20)
        assert all(len(view.live()) == 4 for view in members.values())
        nursery.cancel_scope.cancel()


async def test_all_views_converge_within_10_s_after_a_partition_heals(autojump_clock):
    net = FakeNetwork()
    async with trio.open_nursery() as nursery:
        members = fleet(net, nursery)
        await trio.sleep(5)
        for left in ("d0", "d1"):
            for right in ("d2", "d3"):
                net.cut.add(frozenset((PORTS[left], PORTS[right])))
        await trio.sleep(20)
        assert len(members["d0"].live()) == 2
        net.cut.clear()
        await trio.sleep(10)
        assert all(len(view.live()) == 4 for view in members.values())
        assert len({view._items.digest[0] for view in members.values()}) == 1
        nursery.cancel_scope.cancel()


async def test_pings_per_daemon_and_second_stay_within_bounds(autojump_clock):
    net = FakeNetwork()
    async with trio.open_nursery() as nursery:
        fleet(net, nursery)
        await trio.sleep(5)
        before = net.pings
        await trio.sleep(20)
        per_daemon_and_second = (net.pings - before) / len(PORTS) / 20
        assert 1.5 < per_daemon_and_second < 2.6
        nursery.cancel_scope.cancel()


async def test_a_leaving_daemon_gets_no_new_work(autojump_clock):
    net = FakeNetwork()
    async with trio.open_nursery() as nursery:
        members = fleet(net, nursery)
        await trio.sleep(5)
        members["d2"].leave()
        await trio.sleep(5)
        assert "d2" not in members["d0"].live_ids()
        assert "d2" not in members["d2"].live_ids()
        nursery.cancel_scope.cancel()


async def test_each_daemon_is_the_partner_of_another_and_partners_stay_the_same():
    clock = Clock()
    by_id = {}
    for number in range(40):
        me = Member(f"d{number}", 1, MemberStatus.ALIVE, f"dc{number % 4}", "h", 1, number + 1)
        items = Gossiper(GossipMap(), 3, random.Random(1), clock)
        events = EventLog(me.id, 1, clock, 100)
        by_id[me.id] = Members(me, SETTINGS, items, None, clock, events, random.Random(1))
    for members in by_id.values():
        for other in by_id.values():
            members.by_id[other.me.id] = other.me
        members.version += 1
    partners = {id_: [m.id for m in members.partners(2, 1)] for id_, members in by_id.items()}
    assert {name for names in partners.values() for name in names} == set(by_id)
    for id_, names in partners.items():
        local = [name for name in names if by_id[name].me.data_centre == by_id[id_].me.data_centre]
        assert (len(local), len(names), id_ in names) == (2, 3, False)
    assert partners == {
        id_: [m.id for m in members.partners(2, 1)] for id_, members in by_id.items()
    }
