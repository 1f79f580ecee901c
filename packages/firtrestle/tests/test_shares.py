import random
from dataclasses import dataclass, field

import pytest
import trio
from fakes import entry
from firtrestle.catalogues import Catalogue
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.messages import Join
from firtrestle.peers import PeerAddress, PeerFailure
from firtrestle.settings import ClaimSettings
from firtrestle.shares import ESTABLISHED_LIMIT_SHARE, NEW_DAEMON_LIMIT_SHARE, Shares
from firtrestle.voters import Voters
from trio.testing import MockClock

ENTRY = entry(rate_per_second=20.0, concurrency=1_000_000)
CATALOGUE = Catalogue(1, {ENTRY.name: ENTRY})
SETTINGS = ClaimSettings()
SEEDS = 40


@dataclass
class Fleet:
    """Run shares of daemons that lose each other's calls."""

    rng: random.Random
    loss_rate: float = 0.0
    shares: dict[str, Shares] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)

    def add(self, name: str) -> None:
        voters = Voters(name, PeerAddress(name, 1), SETTINGS, Clock())
        for other in self.shares:
            voters.add(join(other))
            self.shares[other]._voters.add(join(name))
        voters.establish()
        self.shares[name] = Shares(voters, self.caller(name), Clock(), self.rng)

    def caller(self, name: str):
        async def call(other: str, borrow):
            await sleep(Millis(self.rng.uniform(1, 30)))
            if {name, other} & self.unreachable or self.rng.random() < self.loss_rate:
                await sleep(Millis(200))
                return PeerFailure(True, "lost")
            loan = self.shares[other].lend(borrow, ENTRY)
            await sleep(Millis(self.rng.uniform(1, 30)))
            if self.rng.random() < self.loss_rate:
                return PeerFailure(True, "lost on the way back")
            return loan

        return call

    def total_part(self) -> float:
        return sum(shares.part(ENTRY) for shares in self.shares.values())


def join(name: str) -> Join:
    return Join(name, 1, "dc", name, 1, 1)


async def generate_demand(fleet: Fleet, name: str, rate: float) -> None:
    while True:
        fleet.shares[name].record_arrival(ENTRY)
        await sleep(Millis(1_000 / rate))


async def highest_total_part(fleet: Fleet, seconds: int) -> float:
    highest = 0.0
    for _ in range(seconds * 20):
        await sleep(Millis(50))
        highest = max(highest, fleet.total_part())
    return highest


def start(fleet: Fleet, nursery: trio.Nursery, count: int) -> None:
    for number in range(count):
        fleet.add(f"d{number}")
    for shares in fleet.shares.values():
        nursery.start_soon(shares.run, lambda: CATALOGUE)


@pytest.mark.parametrize("daemons", [1, 9])
async def test_single_busy_daemon_gets_at_least_nine_tenths_of_the_limit(autojump_clock, daemons):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(random.Random(1))
        start(fleet, nursery, daemons)
        nursery.start_soon(generate_demand, fleet, "d0", 24.0)
        await trio.sleep(10)
        lowest = 1.0
        for _ in range(100):
            await trio.sleep(0.1)
            lowest = min(lowest, fleet.shares["d0"].part(ENTRY))
        assert lowest >= 0.9
        nursery.cancel_scope.cancel()


def test_total_part_never_exceeds_the_limit_under_losses_joins_and_partitions():
    async def body(seed: int) -> float:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            fleet = Fleet(rng, loss_rate=rng.choice([0.0, 0.2]))
            start(fleet, nursery, rng.choice([2, 5, 9]))
            for name in list(fleet.shares):
                nursery.start_soon(generate_demand, fleet, name, rng.choice([0.2, 4.0, 30.0]))
            highest = await highest_total_part(fleet, 8)
            fleet.unreachable = {name for name in fleet.shares if rng.random() < 0.4}
            highest = max(highest, await highest_total_part(fleet, 4))
            fleet.add("late")
            nursery.start_soon(fleet.shares["late"].run, lambda: CATALOGUE)
            nursery.start_soon(generate_demand, fleet, "late", 30.0)
            fleet.unreachable = set()
            highest = max(highest, await highest_total_part(fleet, 8))
            nursery.cancel_scope.cancel()
        return highest

    for seed in range(SEEDS):
        highest = trio.run(body, seed, clock=MockClock(autojump_threshold=0))
        assert highest <= 1.0, f"seed {seed}: {highest}"


async def test_new_daemon_uses_a_small_part_until_earlier_loans_are_over(autojump_clock):
    fleet = Fleet(random.Random(1))
    fleet.add("d0")
    assert fleet.shares["d0"].part(ENTRY) == pytest.approx(NEW_DAEMON_LIMIT_SHARE)
    await trio.sleep(3)
    assert fleet.shares["d0"].part(ENTRY) == pytest.approx(ESTABLISHED_LIMIT_SHARE)
