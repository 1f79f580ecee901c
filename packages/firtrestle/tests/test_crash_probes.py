"""Confirming suspected crashes by probes, as distinct from lost links of this daemon."""

import random
from contextlib import asynccontextmanager

import pytest
import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.connect_probes import ConnectProber
from firtrestle.crash_probes import CrashProbes
from firtrestle.crash_records import QUARANTINE_DURATION, QUARANTINE_INSTANCES, CrashRecords
from firtrestle.departures import Departures
from firtrestle.gossip_maps import GossipMap
from firtrestle.http_clients import RESET_LINGER
from firtrestle.instances import Instance, Instances
from manual_clocks import ManualClock
from route_fakes import keep_open

CRASHED = [f"i{number}" for number in range(QUARANTINE_INSTANCES)]
OTHERS = ["i8", "i9"]


class FakeProber:
    def __init__(self) -> None:
        self.accepting: list[str] = []

    async def find_accepting(self, instances):
        return [instance for instance in instances if instance.id in self.accepting]


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
    crashes, instances, accepting, is_quarantined
):
    prober = FakeProber()
    prober.accepting = accepting
    await CrashProbes(crashes, instances, prober, random.Random(1)).check()
    assert crashes.time_left("f") == (QUARANTINE_DURATION if is_quarantined else None)
    assert bool(crashes.suspected()) == (not accepting)


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
        found = await ConnectProber().find_accepting([instance])
    assert found == ([instance] if accepts else [])


async def test_an_instance_without_a_listener_accepts_no_connection():
    async with listening(keep_open) as instance:
        pass
    assert await ConnectProber().find_accepting([instance]) == []
