"""Telling dead instances from lost links of this daemon, by probes."""

import random
from contextlib import asynccontextmanager

import pytest
import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.connect_probes import ConnectProber, ProbeRound
from firtrestle.crash_records import QUARANTINE_DURATION, QUARANTINE_INSTANCES, CrashRecords
from firtrestle.departures import Departures
from firtrestle.fault_probes import FaultProbes
from firtrestle.gossip_maps import GossipMap
from firtrestle.http_clients import RESET_LINGER
from firtrestle.instances import Instance, Instances
from firtrestle.uplinks import MAX_SILENCE, MIN_SILENT_INSTANCES, Uplink, UplinkState
from manual_clocks import ManualClock
from route_fakes import instances as build_instances
from route_fakes import keep_open

CRASHED = [f"i{number}" for number in range(QUARANTINE_INSTANCES)]
OTHERS = ["i8", "i9"]


class FakeProber:
    def __init__(self) -> None:
        self.accepting: list[str] = []

    async def probe(self, instances):
        ids = {instance.replica_id for instance in instances if instance.id in self.accepting}
        return ProbeRound(accepting=ids)


@pytest.fixture
def clock():
    return ManualClock(1_000_000.0)


@pytest.fixture
def instances(clock):
    found = Instances(clock, lambda ids: None, Departures(GossipMap(), clock, Millis(1_000)))
    for name in (*CRASHED, *OTHERS):
        found.put(Instance(name, "s", "h", 1, "dc", 3, False, 1), 1)
    return found


@pytest.fixture
def crashes(clock, instances):
    """Return records of a request that broke off on some instances."""
    records = CrashRecords(GossipMap(), clock)
    for instance in instances.all():
        if instance.id in CRASHED:
            records.record_broken_reply("f", instance.replica_id)
    return records


@pytest.mark.parametrize(
    ("accepting", "is_quarantined"),
    [
        (OTHERS, True),
        ([], False),
        ([*CRASHED, *OTHERS], False),
        (CRASHED, False),
    ],
    ids=["crashed", "links lost", "links lost for a while", "others crashed"],
)
async def test_unreachable_instances_have_crashed_if_others_are_reached_meanwhile(
    clock, crashes, instances, accepting, is_quarantined
):
    prober = FakeProber()
    prober.accepting = accepting
    uplink = Uplink(clock, random.Random(1))
    await FaultProbes(uplink, crashes, instances.all, prober, random.Random(1)).probe()
    assert crashes.time_left("f") == (QUARANTINE_DURATION if is_quarantined else None)
    assert bool(crashes.suspected()) == (not accepting)


@pytest.fixture
def doubting(clock):
    """Return an uplink in doubt, probes of its instances, and the instances that failed."""
    known = build_instances(24)
    failed = known[:16]
    prober = FakeProber()
    uplink = Uplink(clock, random.Random(1))
    crashes = CrashRecords(GossipMap(), clock)
    probes = FaultProbes(uplink, crashes, lambda: known, prober, random.Random(1))
    clock.at += MAX_SILENCE
    for instance in failed:
        uplink.record_failure(instance)
    clock.at += MAX_SILENCE
    uplink.check([])
    assert uplink.state is UplinkState.SUSPECT
    return uplink, probes, prober, failed, known[16:]


# Guards against many instances that end at once being taken for lost links.
async def test_links_over_which_others_are_reached_are_not_lost_however_many_are_dead(
    doubting, clock
):
    uplink, probes, prober, _, others = doubting
    prober.accepting = [instance.id for instance in others]
    for _ in range(10):
        await probes.probe()
        clock.at += 1_000
        uplink.check([])
        assert not uplink.is_lost
    assert not uplink.failing_ids


async def test_links_are_lost_if_neither_failed_instances_nor_others_are_reached(doubting):
    uplink, probes, _, _, _ = doubting
    await probes.probe()
    assert uplink.state is UplinkState.DOWN


# Guards against dead instances hiding the live ones among those that are probed.
async def test_instances_that_replied_a_short_time_ago_are_probed_first(clock):
    known = build_instances(40, services=1)
    alive = known[-1]
    prober = FakeProber()
    prober.accepting = [alive.id]
    for seed in range(20):
        uplink = Uplink(clock, random.Random(seed))
        crashes = CrashRecords(GossipMap(), clock)
        probes = FaultProbes(uplink, crashes, lambda: known, prober, random.Random(seed))
        uplink.record_heard(instance=alive)
        clock.at += MAX_SILENCE
        for instance in known[:MIN_SILENT_INSTANCES]:
            uplink.record_failure(instance, is_new=True)
        await probes.probe()
        assert uplink.state is UplinkState.UP
        assert uplink.opens


@asynccontextmanager
async def listening(handler):
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, handler, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield Instance("i", "s", "127.0.0.1", port, "dc", 3, False, 1)
        nursery.cancel_scope.cancel()


async def reset_soon(stream: trio.SocketStream) -> None:
    await sleep(Millis(20))
    stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_LINGER)
    stream.socket.close()


# Guards against a relay in between, which accepts connections, being taken for the instance.
@pytest.mark.parametrize(("handler", "accepts"), [(keep_open, True), (reset_soon, False)])
async def test_an_instance_accepts_a_connection_if_it_keeps_it_open(handler, accepts):
    async with listening(handler) as instance:
        found = await ConnectProber().probe([instance])
    assert found.accepting == ({instance.replica_id} if accepts else set())
    assert not found.refusing


async def test_an_instance_without_a_listener_accepts_no_connection():
    async with listening(keep_open) as instance:
        pass
    found = await ConnectProber().probe([instance])
    assert (found.accepting, found.refusing) == (set(), {instance.replica_id})
