"""Check how readers follow a registry whose watches may hang, without a network."""

import random

import pytest
import trio
from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.members import Member, MemberStatus
from firtrestle.registry_readers import CHECK_AGE, ReaderRole, RegistryProgress
from firtrestle.registry_watches import (
    PartFollower,
    RegistryFailure,
    RegistryItem,
    RegistryUpdates,
)
from firtrestle.route_sources import SourceTools
from firtrestle.settings import RouteSettings

PART = "p"
SETTINGS = RouteSettings(source="s", watch_ms=10_000)
START = Millis(3_000)  # by then the daemons have read the registry, and know their readers


class FakeRegistry:
    """Answer reads and watches; a call that arrives while it is silent is never answered."""

    def __init__(self):
        self.revision = 1
        self.calls = 0
        self.is_silent = False
        self.drops_watches = False  # long polls get no answer, short reads do
        self.most_changes = 1_000  # that fit into an answer
        self.era = 0
        self.changed = trio.Event()

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = trio.Event()

    def updates(self, after):
        items = (RegistryItem(PART, b"", self.revision),) if self.revision > after else ()
        return RegistryUpdates(items, self.revision, self.era)

    def restore(self, revision):
        """Go on at a revision in the next era; open watches stay silent until a change."""
        self.era += 1
        self.revision = revision

    async def answer(self, after, wait):
        self.calls += 1
        if self.is_silent:
            await trio.sleep_forever()
        with move_on_after(wait):
            while self.revision <= after:
                await self.changed.wait()
        if after and self.revision - after > self.most_changes:
            return RegistryFailure("too many changes", too_long=True)
        if self.drops_watches and wait > 1_000:
            await trio.sleep_forever()
        return self.updates(after)


class FakeClient:
    def __init__(self, registry):
        self.registry = registry

    async def read_prefix(self, prefix):
        return await self.registry.answer(0, Millis(0))

    async def watch(self, prefix, after, wait, answer_timeout):
        with move_on_after(Millis(wait + answer_timeout)):
            return await self.registry.answer(after, wait)
        return RegistryFailure("no answer")


class FakeMembers:
    def __init__(self, me, fleet):
        self.me = me
        self.fleet = fleet

    def live(self):
        return [daemon.me for daemon in self.fleet]

    async def refresh_from(self, member):
        await sleep(Millis(2))
        asked = next(daemon for daemon in self.fleet if daemon.me.id == member.id)
        own = next(daemon for daemon in self.fleet if daemon.me.id == self.me.id)
        own.learn(asked)


class Daemon:
    def __init__(self, name, registry, fleet):
        clock = Clock()
        rng = random.Random(name)
        self.me = Member(name, 1, MemberStatus.ALIVE, "a", "h", 1, 2)
        self.held = (0, 0)  # the era and the revision of the newest answer
        self.progress = RegistryProgress(clock, frozenset({PART}))
        self.role = ReaderRole(
            self.progress, FakeMembers(self.me, fleet), clock, rng, lambda is_reachable: None
        )
        tools = SourceTools(None, self.progress, self.role, rng, clock)
        self.follower = PartFollower(
            PART, lambda: FakeClient(registry), self.publish, tools, SETTINGS
        )

    def publish(self, updates, is_complete_read):
        self.held = max(self.held, (updates.era, updates.revision))

    def learn(self, other):
        self.progress.eras.learn(other.progress.eras.to_wire())
        if not self.progress.eras.are_shared_by(other.progress.eras.to_wire()):
            return
        self.held = max(self.held, other.held)
        self.progress.merge(other.progress.to_wire(), Clock().now())


@pytest.fixture
async def fleet(nursery):
    registry = FakeRegistry()
    daemons = []
    daemons.extend(Daemon(f"d{number}", registry, daemons) for number in range(7))
    for daemon in daemons:
        nursery.start_soon(daemon.follower.run)
        nursery.start_soon(daemon.role.run)
    await sleep(START)
    return registry, daemons


async def time_until_held(daemons, registry):
    """Return after how many ms all daemons hold the registry's revision."""
    started_at = Clock().now()
    with trio.fail_after(60):
        while min(daemon.held for daemon in daemons) < (registry.era, registry.revision):
            await sleep(Millis(10))
    return Clock().now() - started_at


# Guards against a watch that hangs being taken for current knowledge.
@pytest.mark.parametrize("silent_for", [300, 700, 1_500, 3_000, 6_000])
async def test_a_change_after_a_silent_spell_is_held_by_all_within_3_s(
    autojump_clock, fleet, silent_for
):
    registry, daemons = fleet
    registry.change()
    await sleep(Millis(100))
    registry.is_silent = True
    await sleep(Millis(silent_for))
    registry.is_silent = False
    registry.change()
    assert await time_until_held(daemons, registry) <= 3_000


# Guards against open connections that stay silent without a reset while new calls are answered.
async def test_a_change_that_no_watch_reports_is_held_by_all_within_3_s(autojump_clock, fleet):
    registry, daemons = fleet
    registry.drops_watches = True
    for _ in range(5):
        registry.change()
        assert await time_until_held(daemons, registry) <= 3_000
        await sleep(Millis(1_000))
    assert sum(daemon.follower.watches_given_up for daemon in daemons) >= 5


async def test_knowledge_of_a_quiet_registry_stays_current_at_every_daemon(autojump_clock, fleet):
    _, daemons = fleet
    ages = []
    for _ in range(200):
        await sleep(Millis(100))
        ages += [daemon.progress.age() for daemon in daemons]
    assert max(ages) < 1_400
    assert sum(daemon.follower.watches_given_up for daemon in daemons) == 0


async def test_one_reader_checks_for_the_whole_fleet(autojump_clock, fleet):
    """Pattern: nothing changes; the registry gets the checks of one reader, and long watches."""
    registry, _ = fleet
    calls_before = registry.calls
    await sleep(Millis(60_000))
    watches = 3 * 60_000 / SETTINGS.watch_ms
    assert registry.calls - calls_before <= 60_000 / CHECK_AGE + watches + 3


async def test_a_reader_before_that_is_turned_away_is_replaced_by_the_next_one(
    autojump_clock, fleet
):
    registry, daemons = fleet
    first = next(daemon for daemon in daemons if daemon.role._earlier_reader() is None)
    first.follower._watcher = first.follower._checker = FakeClient(FakeRegistry())
    first.follower._watcher.registry.is_silent = True
    for _ in range(5):
        registry.change()
        assert await time_until_held(daemons, registry) <= 3_000
        await sleep(Millis(3_000))


# Guards against a restore that no watch reports: revisions go back, and soon pass the known ones.
@pytest.mark.parametrize("revision", [1, 50, 51, 90])
async def test_a_restore_is_noticed_by_all_within_3_s_at_any_revision(
    autojump_clock, fleet, revision
):
    registry, daemons = fleet
    registry.revision = 50
    registry.change()
    assert await time_until_held(daemons, registry) <= 3_000
    registry.restore(revision)
    assert await time_until_held(daemons, registry) <= 3_000
    assert {daemon.progress.revision(PART) for daemon in daemons} == {revision}
    registry.change()
    assert await time_until_held(daemons, registry) <= 3_000


async def test_two_restores_within_a_second_are_noticed_by_all(autojump_clock, fleet):
    registry, daemons = fleet
    registry.restore(5)
    await sleep(Millis(600))
    registry.restore(3)
    assert await time_until_held(daemons, registry) <= 3_000
    assert {tuple(daemon.progress.eras.to_wire()) for daemon in daemons} == {(0, 2)}


# Guards against an answer of the era before, which comes late, being taken for news.
async def test_an_answer_of_an_earlier_era_is_a_failed_read(autojump_clock, fleet):
    registry, daemons = fleet
    registry.restore(9)
    assert await time_until_held(daemons, registry) <= 3_000
    registry.era -= 1
    registry.revision = 70
    await sleep(Millis(3_000))
    assert {daemon.progress.revision(PART) for daemon in daemons} == {9}


async def test_knowledge_keeps_its_age_while_a_part_is_read_again(autojump_clock, fleet):
    registry, daemons = fleet
    progress = daemons[0].progress
    age_before = progress.age()
    progress.eras.observe(5)
    assert progress.revision(PART) is None
    assert progress.age() == age_before


# Guards against a question whose answer is too long being asked again and again, while changes
# add to it, so that none is in force (review case 7).
@pytest.mark.parametrize("changes", [20, 200])
async def test_changes_that_are_too_many_for_an_answer_are_read_as_a_whole(
    fleet, changes, autojump_clock
):
    registry, daemons = fleet
    await sleep(START)
    registry.most_changes = 3
    for _ in range(changes):
        registry.change()
        await sleep(Millis(10))
    calls = registry.calls
    await sleep(Millis(1_000))
    assert {daemon.held for daemon in daemons} == {(0, registry.revision)}
    assert registry.calls - calls < 30
    assert sum(daemon.progress.too_long_answers for daemon in daemons) > 0
