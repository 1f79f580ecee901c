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
    rng: random.Random
    lossy: float = 0.0
    shares: dict[str, Shares] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)

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
            if {name, other} & self.silent or self.rng.random() < self.lossy:
                await sleep(Millis(200))
                return PeerFailure(True, "lost")
            loan = self.shares[other].lend(borrow, ENTRY)
            await sleep(Millis(self.rng.uniform(1, 30)))
            if self.rng.random() < self.lossy:
                return PeerFailure(True, "lost on the way back")
            return loan

        return call

    def sum(self) -> float:
        return sum(one.part(ENTRY) for one in self.shares.values())


def join(name: str) -> Join:
    return Join(name, 1, "dc", name, 1, 1)


async def ask(fleet: Fleet, name: str, rate: float) -> None:
    while True:
        fleet.shares[name].note_arrival(ENTRY)
        await sleep(Millis(1_000 / rate))


async def watched(fleet: Fleet, seconds: int) -> float:
    most = 0.0
    for _ in range(seconds * 20):
        await sleep(Millis(50))
        most = max(most, fleet.sum())
    return most


def start(fleet: Fleet, nursery: trio.Nursery, count: int) -> None:
    for number in range(count):
        fleet.add(f"d{number}")
    for one in fleet.shares.values():
        nursery.start_soon(one.run, lambda: CATALOGUE)


@pytest.mark.parametrize("daemons", [1, 9])
async def test_demand_on_one_daemon_gets_nine_tenths_of_the_limit(autojump_clock, daemons):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(random.Random(1))
        start(fleet, nursery, daemons)
        nursery.start_soon(ask, fleet, "d0", 24.0)
        await trio.sleep(10)
        low = 1.0
        for _ in range(100):
            await trio.sleep(0.1)
            low = min(low, fleet.shares["d0"].part(ENTRY))
        assert low >= 0.9
        nursery.cancel_scope.cancel()


def test_the_parts_never_add_up_to_more_than_the_limit_over_losses_joins_and_cuts():
    async def body(seed: int) -> float:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            fleet = Fleet(rng, lossy=rng.choice([0.0, 0.2]))
            start(fleet, nursery, rng.choice([2, 5, 9]))
            for name in list(fleet.shares):
                nursery.start_soon(ask, fleet, name, rng.choice([0.2, 4.0, 30.0]))
            most = await watched(fleet, 8)
            fleet.silent = {name for name in fleet.shares if rng.random() < 0.4}
            most = max(most, await watched(fleet, 4))
            fleet.add("late")
            nursery.start_soon(fleet.shares["late"].run, lambda: CATALOGUE)
            nursery.start_soon(ask, fleet, "late", 30.0)
            fleet.silent = set()
            most = max(most, await watched(fleet, 8))
            nursery.cancel_scope.cancel()
        return most

    for seed in range(SEEDS):
        most = trio.run(body, seed, clock=MockClock(autojump_threshold=0))
        assert most <= 1.0, f"seed {seed}: {most}"


async def test_a_daemon_that_starts_uses_little_until_old_loans_are_over(autojump_clock):
    fleet = Fleet(random.Random(1))
    fleet.add("d0")
    assert fleet.shares["d0"].part(ENTRY) == pytest.approx(NEW_DAEMON_LIMIT_SHARE)
    await trio.sleep(3)
    assert fleet.shares["d0"].part(ENTRY) == pytest.approx(ESTABLISHED_LIMIT_SHARE)
