import random
from dataclasses import dataclass, field

import pytest
import trio
from firtrestle.claims import Claimed, Claims, HeldByEarlierClaim, InDoubt, KeyState, KeyTable
from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.keys import new_key
from firtrestle.messages import AskKey, Claim, Done, Join, Settle
from firtrestle.peers import PeerAddress, PeerFailure
from firtrestle.settings import ClaimSettings
from firtrestle.vm_lists import Vm, VmKind, VmList, VmState
from firtrestle.voters import Voters
from trio.testing import MockClock

SETTINGS = ClaimSettings(window_ms=60_000, clock_skew_ms=100)
SEEDS = 1_000
CALL_TIMEOUT = Millis(200)
CLAIMS_PER_KEY = 8


class SharedClock(Clock):
    """Derive the wall clock from the test's clock."""

    def wall(self) -> Millis:
        return Millis(1_000_000 + self.now())


@dataclass
class Fleet:
    """Run daemons on a network that loses and delays messages and may be partitioned."""

    rng: random.Random
    nursery: trio.Nursery
    clock: Clock = field(default_factory=SharedClock)
    by_id: dict[str, "Node"] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    loss_rate: float = 0.0
    sides: dict[str, int] = field(default_factory=dict)
    frozen: set[str] = field(default_factory=set)
    version: int = 0

    def vm_list(self) -> VmList:
        vms = {name: vm(name) for name in self.listed}
        return VmList(self.version, vms)

    def publish(self) -> None:
        """Deliver the newest list to some daemons at once; the others get a later one."""
        self.version += 1
        for node in self.by_id.values():
            if self.rng.random() < 0.7:
                node.see_list(self.vm_list())

    async def call(self, sender: str, receiver: str, value):
        """Return the answer, or a failure on time-out; the message may still arrive afterwards."""
        answers: list = []
        answered = trio.Event()
        self.nursery.start_soon(self._deliver, sender, receiver, value, answers, answered)
        with move_on_after(CALL_TIMEOUT):
            await answered.wait()
            return answers[0]
        return PeerFailure(True, "too late")

    async def _deliver(self, sender: str, receiver: str, value, answers: list, answered) -> None:
        await sleep(Millis(self.rng.uniform(0, 20)))
        if self._is_lost(sender, receiver):
            return
        while receiver in self.frozen:
            await sleep(Millis(50))
        if receiver not in self.by_id:
            return
        answer = self.by_id[receiver].answer(value)
        await sleep(Millis(self.rng.uniform(0, 20)))
        if not self._is_lost(receiver, sender):
            answers.append(answer)
            answered.set()

    def _is_lost(self, sender: str, receiver: str) -> bool:
        partitioned = self.sides.get(sender, 0) != self.sides.get(receiver, 0)
        return partitioned or receiver not in self.by_id or self.rng.random() < self.loss_rate


@dataclass
class Node:
    """Represent the parts of one daemon that decide on keys."""

    name: str
    fleet: Fleet
    seen: int = 0

    def __post_init__(self) -> None:
        clock = self.fleet.clock
        self.voters = Voters(self.name, PeerAddress(self.name, 1), SETTINGS, clock)
        self.table = KeyTable(self.voters, SETTINGS, clock)
        incarnation = round(clock.wall())
        name = f"{self.name}#{incarnation}"
        rng = self.fleet.rng
        self.claims = Claims(name, self.voters, self.call, SETTINGS, clock, rng)

    async def call(self, receiver: str, value):
        if receiver == self.name:
            return self.answer(value)
        return await self.fleet.call(self.name, receiver, value)

    def answer(self, value):
        match value:
            case Claim():
                return self.table.vote(value)
            case Settle():
                return self.table.settle(value)
            case AskKey():
                return self.claims.report_claim(value)
            case Join():
                self.voters.add(value)
                return Done()

    def see_list(self, vms: VmList) -> None:
        if vms.version > self.seen:
            self.seen = vms.version
            self.voters.apply_vm_list(vms)

    async def join(self) -> None:
        """Announce this daemon to each listed one, as the joiner does, then start voting."""
        joined: set[str] = {self.name}
        self.see_list(self.fleet.vm_list())
        while missing := self.fleet.listed - joined:
            for name in missing:
                answer = await self.call(name, Join(self.name, 1, "dc", self.name, 1, 1))
                if isinstance(answer, Done):
                    joined.add(name)
            await sleep(Millis(20))
        self.voters.establish()


def vm(name: str) -> Vm:
    return Vm(name, VmKind.DAEMON, "dc", name, 1, 1, VmState.LIVE, "")


async def start(fleet: Fleet, names: list[str], nursery: trio.Nursery, wait: bool = True) -> None:
    for name in names:
        fleet.by_id[name] = Node(name, fleet)
        fleet.listed.add(name)
    fleet.version += 1
    async with trio.open_nursery() as joining:
        for name in names:
            target = joining if wait else nursery
            target.start_soon(fleet.by_id[name].join)


async def submit(fleet: Fleet, node: Node, key: str, ran: list[str]) -> None:
    """Claim a key and run its request as Submits does; the daemon may freeze or crash between."""
    claimed = await node.claims.claim(key, "f")
    if not isinstance(claimed, Claimed):
        return
    while node.name in fleet.frozen:
        await sleep(Millis(50))
    if fleet.by_id.get(node.name) is not node:
        return  # the daemon crashed between its claim and the run
    if fleet.rng.random() < 0.2:
        await node.claims.settle(claimed, KeyState.RELEASED, {})
        return
    ran.append(node.name)
    await sleep(Millis(fleet.rng.uniform(0, 50)))
    if fleet.by_id.get(node.name) is node:
        await node.claims.settle(claimed, KeyState.DONE, {"answer": 1})


async def inject_faults(fleet: Fleet, nursery: trio.Nursery) -> None:
    """Crash, add, restart, freeze, resume and partition daemons, while VM lists lag behind."""
    number = 100
    while True:
        await sleep(Millis(fleet.rng.uniform(5, 120)))
        names = sorted(fleet.by_id)
        fault = fleet.rng.choice(["kill", "add", "freeze", "thaw", "split", "heal", "restart"])
        if fault == "kill" and len(names) > 2:
            victim = fleet.rng.choice(names)
            del fleet.by_id[victim]
            nursery.start_soon(unlist_later, fleet, victim)
        elif fault == "add":
            number += 1
            await start(fleet, [f"d{number}"], nursery, wait=False)
        elif fault == "restart":
            name = fleet.rng.choice(names)
            fleet.by_id[name] = Node(name, fleet)
            nursery.start_soon(fleet.by_id[name].join)
        elif fault == "freeze":
            fleet.frozen.add(fleet.rng.choice(names))
        elif fault == "split":
            fleet.sides = {name: fleet.rng.randrange(2) for name in names}
        elif fault == "thaw":
            fleet.frozen.clear()
        else:
            fleet.sides = {}


async def unlist_later(fleet: Fleet, name: str) -> None:
    await sleep(Millis(fleet.rng.uniform(0, 200)))
    if name not in fleet.by_id:
        fleet.listed.discard(name)
        fleet.publish()


async def run_fleet(seed: int) -> tuple[int, int]:
    """Return the highest number of runs of any key, and how many keys ran at all."""
    rng = random.Random(seed)
    ran_by_key: dict[str, list[str]] = {}
    async with trio.open_nursery() as nursery:
        fleet = Fleet(rng, nursery)
        await start(fleet, [f"d{n}" for n in range(rng.choice([1, 2, 3, 5, 9]))], nursery)
        await sleep(Millis(300))
        fleet.loss_rate = rng.choice([0.0, 0.05, 0.3])
        if rng.random() < 0.9:
            nursery.start_soon(inject_faults, fleet, nursery)
        for _ in range(3):
            key = new_key(fleet.clock.wall(), rng.getrandbits(74))
            ran = ran_by_key[key] = []
            for _ in range(CLAIMS_PER_KEY):
                node = fleet.by_id[rng.choice(sorted(fleet.by_id))]
                nursery.start_soon(submit, fleet, node, key, ran)
                await sleep(Millis(rng.uniform(0, 80)))
        await sleep(Millis(1_000))
        nursery.cancel_scope.cancel()
    return max(len(ran) for ran in ran_by_key.values()), sum(map(bool, ran_by_key.values()))


def run(test, *args):
    return trio.run(test, *args, clock=MockClock(autojump_threshold=0))


def test_key_runs_at_most_once_under_crashes_freezes_partitions_and_lost_messages():
    keys_run = 0
    for seed in range(SEEDS):
        most, ran = run(run_fleet, seed)
        assert most <= 1, f"seed {seed} ran a key {most} times"
        keys_run += ran
    assert keys_run > SEEDS  # of 3 keys per seed; a fleet that refuses all of them proves nothing


def test_new_key_is_granted_and_a_resend_gets_the_recorded_outcome():
    async def body():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(random.Random(1), nursery)
            await start(fleet, ["d0", "d1", "d2", "d3"], nursery)
            await sleep(Millis(300))
            key = new_key(fleet.clock.wall(), 1)
            claimed = await fleet.by_id["d0"].claims.claim(key, "f")
            assert isinstance(claimed, Claimed)
            other = await fleet.by_id["d3"].claims.claim(key, "f")
            assert isinstance(other, HeldByEarlierClaim)
            assert other.state is KeyState.CLAIMED
            await fleet.by_id["d0"].claims.settle(claimed, KeyState.DONE, {"answer": 7})
            again = await fleet.by_id["d3"].claims.claim(key, "f")
            assert again.outcome == {"answer": 7}

    run(body)


def test_daemon_younger_than_the_key_does_not_vote():
    async def body():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(random.Random(1), nursery)
            key = new_key(fleet.clock.wall(), 1)
            await start(fleet, ["d0", "d1"], nursery)
            assert isinstance(await fleet.by_id["d0"].claims.claim(key, "f"), InDoubt)

    run(body)


def test_outcome_of_a_crashed_owner_stays_unknown():
    async def body():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(random.Random(1), nursery)
            await start(fleet, ["d0", "d1", "d2", "d3"], nursery)
            await sleep(Millis(300))
            key = new_key(fleet.clock.wall(), 1)
            assert isinstance(await fleet.by_id["d0"].claims.claim(key, "f"), Claimed)
            del fleet.by_id["d0"]
            for _ in range(3):
                answer = await fleet.by_id["d1"].claims.claim(key, "f")
                assert isinstance(answer, InDoubt) or answer.state is KeyState.UNKNOWN

    run(body)


# Guards against records that stay claimed for ever, and with them all that expired after them.
async def test_an_exception_during_the_votes_gives_the_key_back(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(random.Random(1), nursery)
        await start(fleet, ["d1"], nursery)
        node = fleet.by_id["d1"]
        await sleep(Millis(1_000))  # a daemon grants only keys that are younger than itself
        key = new_key(fleet.clock.wall(), 1)
        node.claims._call = fail
        with pytest.raises(ExceptionGroup):
            await node.claims.claim(key, "f")
        node.claims._call = node.call
        assert isinstance(await node.claims.claim(key, "f"), Claimed)
        nursery.cancel_scope.cancel()


async def fail(receiver: str, value) -> None:
    if isinstance(value, Claim):
        raise RuntimeError("the call failed")


def test_one_of_several_concurrent_claims_of_a_key_is_granted():
    async def body(seed: int) -> int:
        """Return how many of four daemons' claims of one key are granted."""
        granted: list[str] = []

        async def claim(node: Node, key: str) -> None:
            if isinstance(await node.claims.claim(key, "f"), Claimed):
                granted.append(node.name)

        async with trio.open_nursery() as nursery:
            fleet = Fleet(random.Random(seed), nursery)
            await start(fleet, [f"d{n}" for n in range(5)], nursery)
            await sleep(Millis(300))
            key = new_key(fleet.clock.wall(), seed)
            async with trio.open_nursery() as claiming:
                for name in ("d0", "d1", "d2", "d3"):
                    claiming.start_soon(claim, fleet.by_id[name], key)
        return len(granted)

    assert [run(body, seed) for seed in range(50)] == [1] * 50
