import random

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.events import EventLog
from firtrestle.members import Member, Members, MemberStatus
from firtrestle.messages import Ping, PingFor, Pull
from firtrestle.peers import PeerAddress, PeerFailure
from firtrestle.settings import PeerSettings
from firtrestle.spreads import Spreader, SpreadMap
from firtrestle.vm_lists import Vm, VmKind, VmList, VmState

SETTINGS = PeerSettings(ping_ms=500, ping_timeout_ms=250, suspect_ms=1_500)
PORTS = {"d0": 10, "d1": 11, "d2": 12, "d3": 13}


class Net:
    """Carry calls between the members of a test, except over cut links."""

    def __init__(self) -> None:
        self.by_port: dict[int, Members] = {}
        self.spreader_by_port: dict[int, Spreader] = {}
        self.cut: set[frozenset[int]] = set()
        self.dead: set[int] = set()
        self.pings = 0


class Clients:
    def __init__(self, net: Net, port: int) -> None:
        self.net, self.port = net, port

    def get(self, address: PeerAddress):
        return Client(self.net, self.port, address.port)


class Client:
    def __init__(self, net: Net, mine: int, other: int) -> None:
        self.net, self.mine, self.other = net, mine, other

    async def call(self, value, timeout):
        net = self.net
        if {self.mine, self.other} & net.dead or frozenset((self.mine, self.other)) in net.cut:
            await sleep(timeout)
            return PeerFailure(True, "lost")
        await sleep(Millis(1))
        match value:
            case Ping():
                net.pings += 1
                return net.spreader_by_port[self.other].serve_ping(value)
            case Pull():
                return net.spreader_by_port[self.other].serve_pull(value)
            case PingFor():
                return await net.by_port[self.other].serve_ping_for(value)


def fleet(net: Net, nursery: trio.Nursery) -> dict[str, Members]:
    clock = Clock()
    vms = {n: Vm(n, VmKind.DAEMON, "dc", "h", p, p, VmState.LIVE, "") for n, p in PORTS.items()}
    members: dict[str, Members] = {}
    for name, port in PORTS.items():
        rng = random.Random(port)
        spreader = Spreader(SpreadMap(), 3, rng, clock)
        me = Member(name, 1, MemberStatus.ALIVE, "dc", "h", port, port)
        events = EventLog(name, 1, clock, 1_000)
        made = Members(me, SETTINGS, spreader, Clients(net, port), clock, events, rng)
        made.apply_list(VmList(1, vms))
        net.by_port[port] = members[name] = made
        net.spreader_by_port[port] = spreader
        nursery.start_soon(made.run)
    return members


def statuses(members: Members) -> dict[str, str]:
    return {m.id: m.status.name for m in members.by_id.values()}


async def test_listed_daemons_find_each_other_and_a_dead_one_is_found_out(autojump_clock):
    net = Net()
    async with trio.open_nursery() as nursery:
        members = fleet(net, nursery)
        await trio.sleep(5)
        assert all(len(one.live()) == 4 for one in members.values())
        net.dead.add(PORTS["d3"])
        await trio.sleep(8)
        for name in ("d0", "d1", "d2"):
            assert statuses(members[name])["d3"] == "DEAD"
        nursery.cancel_scope.cancel()


async def test_one_cut_link_makes_nobody_dead(autojump_clock):
    net = Net()
    async with trio.open_nursery() as nursery:
        members = fleet(net, nursery)
        await trio.sleep(5)
        net.cut.add(frozenset((PORTS["d0"], PORTS["d1"])))
        await trio.sleep(20)
        assert all(len(one.live()) == 4 for one in members.values())
        nursery.cancel_scope.cancel()


async def test_after_a_split_heals_all_views_agree_within_10_s(autojump_clock):
    net = Net()
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
        assert all(len(one.live()) == 4 for one in members.values())
        assert len({one._items.digest[0] for one in members.values()}) == 1
        nursery.cancel_scope.cancel()


async def test_pings_cost_a_daemon_the_same_however_many_there_are(autojump_clock):
    net = Net()
    async with trio.open_nursery() as nursery:
        fleet(net, nursery)
        await trio.sleep(5)
        before = net.pings
        await trio.sleep(20)
        per_daemon_and_second = (net.pings - before) / len(PORTS) / 20
        assert 1.5 < per_daemon_and_second < 2.6
        nursery.cancel_scope.cancel()


async def test_a_daemon_that_leaves_is_no_candidate_for_new_work(autojump_clock):
    net = Net()
    async with trio.open_nursery() as nursery:
        members = fleet(net, nursery)
        await trio.sleep(5)
        members["d2"].leave()
        await trio.sleep(5)
        assert "d2" not in members["d0"].live_ids()
        assert "d2" not in members["d2"].live_ids()
        nursery.cancel_scope.cancel()
