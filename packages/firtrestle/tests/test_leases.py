import random
from dataclasses import dataclass, field
from functools import partial

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.lease_keepers import LeaseKeeper
from firtrestle.leases import (
    LEASE_DURATION,
    LOTS_PER_TARGET,
    LeaseTable,
    LotOwners,
    TargetLease,
    handover_wait,
)
from firtrestle.messages import AskLeases, Join, ReturnLeases
from firtrestle.peers import PeerAddress, PeerFailure
from firtrestle.settings import ClaimSettings, TargetSettings
from firtrestle.vm_lists import Vm, VmKind, VmList, VmState
from firtrestle.voters import Voters
from trio.testing import MockClock

SETTINGS = TargetSettings(longest_run_ms=800)
WAIT = handover_wait(SETTINGS)
SLOTS = 3
SEEDS = 25


class SimulatedClock(Clock):
    """Derive the wall clock from trio's clock, so that autojump moves both."""

    def wall(self) -> Millis:
        return Millis(self.now() + 1e12)


@dataclass
class Daemon:
    """Represent one daemon, its leases and the sub-requests it runs at the targets."""

    name: str
    voters: Voters
    table: LeaseTable
    keeper: LeaseKeeper
    alive: bool = True
    frozen: bool = False
    lease_by_target: dict[str, TargetLease] = field(default_factory=dict)
    running_by_target: dict[str, int] = field(default_factory=dict)


class Fleet:
    """Run daemons whose calls to each other are lost, delayed and reordered."""

    def __init__(self, nursery: trio.Nursery, rng: random.Random, loss_rate: float) -> None:
        self.nursery = nursery
        self.rng = rng
        self.loss_rate = loss_rate
        self.clock = SimulatedClock()
        self.by_name: dict[str, Daemon] = {}
        self.side_by_name: dict[str, int] = {}
        self.running_by_target: dict[str, int] = {}
        self.most_running = 0
        self.served = 0
        self._starts = 0

    def add(self, name: str) -> Daemon:
        """Start a daemon that knows all others and is known to them."""
        self._starts += 1
        data_centre = f"dc{int(name[1:]) % 3}"
        voters = Voters(name, PeerAddress(name, 1), ClaimSettings(), self.clock, data_centre)
        for other in self.by_name.values():
            voters.add(join(other.name))
            other.voters.add(join(name))
        voters.establish()
        owners = LotOwners(voters, self.clock)
        table = LeaseTable(voters, owners, SETTINGS, self.clock)
        holder = f"{name}#{self._starts}"
        call = partial(self.call, holder)
        keeper = LeaseKeeper(holder, owners, call, SETTINGS, self.clock, self.nursery, self.rng)
        self.by_name[name] = daemon = Daemon(name, voters, table, keeper)
        self.nursery.start_soon(keeper.run)
        return daemon

    async def call(self, holder: str, name: str, value):
        caller = self.by_name[holder.partition("#")[0]]
        while caller.frozen:
            await sleep(Millis(50))
        await sleep(Millis(self.rng.expovariate(1 / 20)))
        daemon = self.by_name.get(name)
        while daemon is not None and daemon.frozen:
            await sleep(Millis(50))
        partitioned = self.side_by_name.get(name) != self.side_by_name.get(caller.name)
        if daemon is None or not daemon.alive or partitioned or self.rng.random() < self.loss_rate:
            await sleep(Millis(200))
            return PeerFailure(True, "lost")
        is_ask = isinstance(value, AskLeases)
        answer = daemon.table.grant(value) if is_ask else daemon.table.release(value)
        await sleep(Millis(self.rng.expovariate(1 / 20)))
        while caller.frozen:
            await sleep(Millis(50))
        return answer

    def hold(self, name: str, target_id: str) -> None:
        daemon = self.by_name[name]
        if target_id not in daemon.lease_by_target:
            lease = daemon.lease_by_target[target_id] = TargetLease()
            daemon.keeper.hold(target_id, lease, lambda: None)

    def release(self, name: str, target_id: str) -> None:
        daemon = self.by_name[name]
        if daemon.lease_by_target.get(target_id) and not daemon.running_by_target.get(target_id):
            del daemon.lease_by_target[target_id]
            daemon.keeper.drop(target_id)

    async def generate_load(self) -> None:
        """Use every leased slot, for random times up to the deadline that targets enforce."""
        while True:
            await sleep(Millis(self.rng.uniform(10, 50)))
            for daemon in list(self.by_name.values()):
                if not daemon.alive or daemon.frozen:
                    continue
                for target_id, lease in daemon.lease_by_target.items():
                    now = self.clock.now()
                    running = daemon.running_by_target.get(target_id, 0)
                    if running < lease.slots(SLOTS, now):
                        length = self.rng.choice([20.0, lease.run_deadline(now) - now])
                        self.nursery.start_soon(self._run, daemon, target_id, length)

    async def _run(self, daemon: Daemon, target_id: str, length: float) -> None:
        daemon.running_by_target[target_id] = daemon.running_by_target.get(target_id, 0) + 1
        self.running_by_target[target_id] = self.running_by_target.get(target_id, 0) + 1
        self.most_running = max(self.most_running, self.running_by_target[target_id])
        self.served += 1
        await sleep(Millis(length))
        daemon.running_by_target[target_id] -= 1
        self.running_by_target[target_id] -= 1


def join(name: str) -> Join:
    return Join(name, 1, f"dc{int(name[1:]) % 3}", name, 1, 1)


async def inject_faults(fleet: Fleet, rng: random.Random, targets: list[str]) -> None:
    """Move, freeze, partition and restart daemons and change what they hold, at random."""
    for _ in range(60):
        await sleep(Millis(rng.uniform(20, 800)))
        name = rng.choice(list(fleet.by_name))
        daemon = fleet.by_name[name]
        match rng.randrange(16):
            case 0 | 1 | 2 | 3 | 4 | 5 | 6:
                fleet.hold(name, rng.choice(targets))
            case 7 | 8 | 9:
                fleet.release(name, rng.choice(targets))
            case 10:
                fleet.side_by_name = {member: rng.randrange(2) for member in fleet.by_name}
            case 11 | 12:
                fleet.side_by_name = {}
            case 13 | 14:
                daemon.frozen = not daemon.frozen
            case 15:
                daemon.alive = False
                await sleep(Millis(rng.uniform(0, 500)))
                fleet.add(name)


def test_no_target_exceeds_its_slots_under_partitions_freezes_crashes_and_holder_changes():
    async def body(seed: int) -> tuple[int, int]:
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, rng, rng.choice([0.0, 0.2]))
            for number in range(rng.choice([2, 5, 7])):
                fleet.add(f"d{number}")
            await sleep(WAIT)
            nursery.start_soon(fleet.generate_load)
            await inject_faults(fleet, rng, ["t1", "t2"])
            nursery.cancel_scope.cancel()
        return fleet.most_running, fleet.served

    served = 0
    for seed in range(SEEDS):
        most, ran = trio.run(body, seed, clock=MockClock(autojump_threshold=0))
        assert most <= SLOTS, f"seed {seed}: {most}"
        served += ran
    assert served > SEEDS * 40  # otherwise the fleet served too little to prove anything


def new_table(clock: Clock, *others: str) -> tuple[LeaseTable, Voters]:
    voters = Voters("d0", PeerAddress("d0", 1), ClaimSettings(), clock, "dc0")
    for name in others:
        voters.add(join(name))
    voters.establish()
    return LeaseTable(voters, LotOwners(voters, clock), SETTINGS, clock), voters


async def test_sole_holder_gets_every_slot(autojump_clock):
    table, _ = new_table(SimulatedClock())
    await sleep(Millis(WAIT + 1))
    assert table.grant(AskLeases("d0#1", 1, ["t"])).lots_by_target == {"t": [0, 1, 2]}


async def test_second_holder_waits_for_the_lease_and_its_sub_requests_to_end(autojump_clock):
    table, _ = new_table(SimulatedClock())
    await sleep(Millis(WAIT + 1))
    table.grant(AskLeases("d0#1", 1, ["t"]))
    await sleep(Millis(LEASE_DURATION + SETTINGS.longest_run_ms))
    assert table.grant(AskLeases("d0#2", 1, ["t"])).lots_by_target == {}
    await sleep(Millis(300))
    assert table.grant(AskLeases("d0#2", 1, ["t"])).lots_by_target != {}


async def test_returned_leases_are_free_at_once_unless_requested_again_since(autojump_clock):
    table, _ = new_table(SimulatedClock())
    await sleep(Millis(WAIT + 1))
    table.grant(AskLeases("a#1", 1, ["t"]))
    table.grant(AskLeases("a#1", 2, ["t"]))
    table.release(ReturnLeases("a#1", 1, ["t"]))  # late: the target was requested again
    assert table.grant(AskLeases("b#1", 1, ["t"])).lots_by_target == {}
    table.release(ReturnLeases("a#1", 2, ["t"]))
    assert table.grant(AskLeases("b#1", 1, ["t"])).lots_by_target != {}


async def test_new_owner_of_a_lot_waits_until_earlier_leases_are_over(autojump_clock):
    clock = SimulatedClock()
    table, voters = new_table(clock, "d1", "d2")
    assert table.grant(AskLeases("d0#1", 1, ["t"])).lots_by_target == {}
    assert not table.is_ready()
    await sleep(Millis(WAIT + 1))
    assert table.is_ready()
    before = table.grant(AskLeases("d0#1", 1, ["t"])).lots_by_target["t"]
    assert len(before) == 1  # the daemons are in three data centres
    vm = Vm("d0", VmKind.DAEMON, "dc0", "d0", 1, 1, VmState.LIVE, "")
    await sleep(Millis(ClaimSettings().window_ms + 1))
    voters.apply_vm_list(VmList(1, {"d0": vm}))  # the platform no longer lists the others
    assert table.grant(AskLeases("d0#1", 2, ["t"])).lots_by_target["t"] == before
    await sleep(Millis(WAIT + 1))
    assert table.grant(AskLeases("d0#1", 3, ["t"])).lots_by_target["t"] == list(
        range(LOTS_PER_TARGET)
    )


async def test_target_dropped_while_its_lease_is_requested_gets_no_lease(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, random.Random(1), 0.0)
        fleet.add("d0")
        await sleep(WAIT)
        for _ in range(50):
            fleet.hold("d0", "t")
            await trio.lowlevel.checkpoint()  # the keeper has started its request
            lease = fleet.by_name["d0"].lease_by_target["t"]
            fleet.release("d0", "t")
            await sleep(Millis(70))
            assert lease.by_owner == {}
        nursery.cancel_scope.cancel()
