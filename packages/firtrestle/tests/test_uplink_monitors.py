"""Probing instances while a daemon's links to them are in doubt, over one daemon and a fleet."""

import random
from collections import defaultdict
from dataclasses import replace

import pytest
import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.connect_probes import ConnectProber, ProbeRound
from firtrestle.crash_records import CrashRecords
from firtrestle.fault_probes import FaultProbes
from firtrestle.gossip_maps import GossipMap
from firtrestle.uplink_monitors import UplinkMonitor
from firtrestle.uplinks import Uplink, UplinkState
from route_fakes import instances, keep_open
from trio.testing import MockClock


class FakeInstances:
    """Refuse connections on a port that nothing listens on, or accept them on another."""

    def __init__(self, port):
        self.port = port

    def all(self):
        return [replace(instance, host="127.0.0.1", port=self.port) for instance in instances(9)]


def build_probes(uplink, list_instances, prober, clock, seed):
    crashes = CrashRecords(GossipMap(), clock)
    return FaultProbes(uplink, crashes, list_instances, prober, random.Random(seed))


@pytest.mark.parametrize("accepts", [True, False])
async def test_the_loss_of_a_peer_makes_an_idle_daemon_probe_its_own_links(accepts, nursery):
    """No request is under way, so that nothing is silent."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    if accepts:
        nursery.start_soon(trio.serve_listeners, keep_open, listeners)
    else:
        await listeners[0].aclose()
    clock = Clock()
    uplink = Uplink(clock, random.Random(1))
    probes = build_probes(uplink, FakeInstances(port).all, ConnectProber(), clock, 1)
    monitor = UplinkMonitor(uplink, probes, lambda since, duration: [], clock, random.Random(1))
    nursery.start_soon(monitor.run)
    await sleep(Millis(600))
    assert uplink.state is UplinkState.UP
    monitor.record_loss_of_peer()
    await sleep(Millis(300))
    assert (uplink.state is UplinkState.UP) == accepts
    nursery.cancel_scope.cancel()


FLEET = 195
CUT = (Millis(1_000), Millis(11_000))
MAX_LOSS_TIME = Millis(1_000)
MAX_RETURN_TIME = Millis(2_500)
MAX_CONNECTS = 12  # to one instance in a second: a tenth of the connections that it takes


class FleetProber:
    """Accept connections except in the cut, and record when each instance accepted one."""

    def __init__(self, clock):
        self.clock = clock
        self.started_at = clock.now()
        self.accepted = []

    def is_cut(self, lasting=0.0):
        return CUT[0] + lasting <= self.clock.now() - self.started_at < CUT[1]

    async def probe(self, instances):
        await sleep(Millis(100))
        if self.is_cut():
            return ProbeRound()
        self.accepted += [(self.clock.now(), instance.id) for instance in instances]
        return ProbeRound(accepting={instance.replica_id for instance in instances})

    def max_connects(self):
        """Return the most connections that one instance accepted within a second."""
        times_by_id = defaultdict(list)
        for at, id_ in self.accepted:
            times_by_id[id_].append(at)
        return max(
            sum(at <= other < at + 1_000 for other in times)
            for times in times_by_id.values()
            for at in times
        )


# Guards against a storm of connections when a fleet loses its links, and when it has them back.
def test_a_large_fleet_that_is_cut_off_spreads_its_probes_and_returns():
    async def main():
        clock = Clock()
        prober = FleetProber(clock)
        known = instances(189, services=63)
        uplinks = []

        def list_silent(since, duration):
            return known[:9] if prober.is_cut(duration) else []

        async def use(uplink):
            """Get replies to requests outside the cut, as far as any are sent from here."""
            while True:
                await sleep(Millis(100))
                if not prober.is_cut() and uplink.state is not UplinkState.DOWN:
                    uplink.record_heard()

        async with trio.open_nursery() as nursery:
            for number in range(FLEET):
                rng = random.Random(number)
                uplinks.append(Uplink(clock, rng))
                probes = build_probes(uplinks[-1], lambda: known, prober, clock, number)
                monitor = UplinkMonitor(uplinks[-1], probes, list_silent, clock, rng)
                nursery.start_soon(monitor.run)
                nursery.start_soon(use, uplinks[-1])
            await sleep(Millis(CUT[0] + MAX_LOSS_TIME))
            assert all(uplink.state is UplinkState.DOWN for uplink in uplinks)
            await sleep(Millis(CUT[1] - CUT[0] - MAX_LOSS_TIME + MAX_RETURN_TIME))
            assert all(uplink.is_settled for uplink in uplinks)
            nursery.cancel_scope.cancel()
        assert prober.max_connects() <= MAX_CONNECTS

    trio.run(main, clock=MockClock(autojump_threshold=0))
