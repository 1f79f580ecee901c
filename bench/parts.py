"""Measure what a part run by a peer costs: `python -m bench.parts --part 30`.

Prints the processor time of a gather of one and of two parts' shards, both asked directly, and of
one of two parts at this daemon and at the peer; from these, what the relay costs either of them.
Searchers answer at once from another process, over connections that are kept.
"""

from __future__ import annotations

import argparse
import json
import random
import subprocess
import sys
import time
from typing import Any

import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.members import Member, MemberStatus
from firtrestle.messages import Relay
from firtrestle.part_relays import PartRelays
from firtrestle.peer_servers import PeerServer
from firtrestle.peers import FINISHED, PeerAddress, PeerClients
from firtrestle.relay_servers import RelayServer
from firtrestle.work_estimates import Estimate
from loguru import logger

from bench.gathers import WARM_UP_GATHERS, build_front, build_request

HOST = "127.0.0.1"
OWN_ID, OTHER_ID, PEER_ID = "d1", "p1", "p4"  # the last is alone in its half, by its hash
WORK_SHARE = 0.4  # of the latency target, for which two parts are due
PAUSE = Millis(50)  # between gathers; a peer that is busy for most of the time refuses parts
CPU_TIME = "cpu"  # asks the peer for its processor time


class FixedWork:
    """Replace the estimates of a daemon's work by one value."""

    def __init__(self, value: Millis) -> None:
        self._value = value

    def processor_estimate(self) -> Estimate:
        """Return the value as an estimate."""
        return Estimate(self._value, Millis(0), Millis(0), self._value)


async def serve_parts(ports: list[int]) -> None:
    """Serve parts as a peer does; print its port, and its processor time for each line read."""

    async def serve(value: Any) -> Any:
        assert isinstance(value, Relay)
        return await server.serve(value)

    async with trio.open_nursery() as nursery:
        front = build_front(ports, nursery)
        server = RelayServer(front._tools, front.state)
        peers = PeerServer(serve, lambda sub, deliver: FINISHED)
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(trio.serve_listeners, peers.serve, listeners)
        print(listeners[0].socket.getsockname()[1], flush=True)
        while await trio.to_thread.run_sync(sys.stdin.readline):
            print(time.process_time(), flush=True)


async def measure(ports: list[int], gathers: int, peer: subprocess.Popen[str] | None) -> Any:
    """Return the processor time of a gather here and at the peer, in ms."""
    async with trio.open_nursery() as nursery:
        front = build_front(ports, nursery)
        if peer is not None:
            divide(front, ports, nursery)
        for number in range(WARM_UP_GATHERS):
            await sleep(PAUSE)
            assert (await front.handle(build_request(number))).status == 200
        before_there, before_here = peer_time(peer), time.process_time()
        for number in range(gathers):
            await sleep(PAUSE)
            response = await front.handle(build_request(number))
            assert response.headers["X-Missing-Parts"] == "0", response.headers
        here = time.process_time() - before_here
        there = peer_time(peer) - before_there
        splits = front._tools.splits
        is_complete = splits.divided == gathers + WARM_UP_GATHERS and not splits.refused
        assert peer is None or is_complete, (splits.divided, splits.refused, splits.lost)
        nursery.cancel_scope.cancel()
    return here / gathers * 1e3, there / gathers * 1e3


def divide(front: Any, ports: list[int], nursery: trio.Nursery) -> None:
    """Let a front divide its gathers into two parts, one of which the peer runs."""
    tools, clients = front._tools, PeerClients(nursery)
    (route,) = front.state.table.routes_by_host["h.example"]
    members = [
        Member(name, 1, MemberStatus.ALIVE, "dc", HOST, 1, peer_port)
        for name in (OTHER_ID, PEER_ID)
    ]

    async def call(member: Member, relay: Relay, timeout: Millis) -> Any:
        address = PeerAddress(member.host, member.peer_port)
        return await clients.get(address).call(relay, timeout)

    rng = random.Random(1)
    tools.splits = PartRelays(OWN_ID, "dc", tools.clock, rng, lambda: members, call)
    tools.work = FixedWork(Millis(WORK_SHARE * route.latency_target / len(ports)))


def peer_time(peer: subprocess.Popen[str] | None) -> float:
    """Return the processor time that the peer has used, in seconds."""
    if peer is None:
        return 0.0
    assert peer.stdin is not None and peer.stdout is not None
    peer.stdin.write(f"{CPU_TIME}\n")
    peer.stdin.flush()
    return float(peer.stdout.readline())


peer_port = 0


def main() -> None:
    """Measure, or serve as the peer."""
    global peer_port
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", type=int, default=30)
    parser.add_argument("--gathers", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--serve", default="")
    arguments = parser.parse_args()
    logger.remove()
    if arguments.serve:
        trio.run(serve_parts, json.loads(arguments.serve))
        return
    shards = 2 * arguments.part
    command = [sys.executable, "-m", "bench.gathers", "--serve", "--shards", str(shards)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as searchers:
        ports = json.loads(searchers.stdout.readline())
        command = [sys.executable, "-m", "bench.parts", "--serve", json.dumps(ports)]
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
        with subprocess.Popen(command, text=True, **pipes) as peer:
            try:
                peer_port = int(peer.stdout.readline())
                for _ in range(arguments.rounds):
                    print_round(ports, arguments.gathers, peer)
            finally:
                peer.kill()
                searchers.kill()


def print_round(ports: list[int], gathers: int, peer: subprocess.Popen[str]) -> None:
    """Print the costs of one round in ms."""
    half, _ = trio.run(measure, ports[: len(ports) // 2], gathers, None)
    whole, _ = trio.run(measure, ports, gathers, None)
    here, there = trio.run(measure, ports, gathers, peer)
    shards_of_a_part = whole - half  # without the work that each request costs
    figures = {
        "one_part_direct": half,
        "two_parts_direct": whole,
        "divided_here": here,
        "divided_at_peer": there,
        "relay_here": here - half,
        "relay_at_peer": there - shards_of_a_part,
    }
    print(json.dumps({name: round(value, 2) for name, value in figures.items()}), flush=True)


if __name__ == "__main__":
    main()
