"""Check how a daemon follows a document of the platform whose polls may hang, without a network."""

import json
import random

import pytest
import trio
from firtrestle import platforms
from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.gossip_maps import GossipMap
from firtrestle.http_clients import HttpFailure, HttpReply
from firtrestle.members import Member, MemberStatus
from firtrestle.platforms import DocumentWatcher
from firtrestle.settings import PlatformSettings

IN_FORCE_WITHIN = Millis(14_000)  # a change of configuration, everywhere
ME = Member("d1", 1, MemberStatus.ALIVE, "a", "h", 1, 2)


class FakeService:
    """Serve one document; a poll that arrives while it is silent is never answered."""

    def __init__(self):
        self.revision = 1
        self.is_silent = False
        self.changed = trio.Event()

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = trio.Event()

    async def fetch(self, address, method, path, timeout):
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&"))
        with move_on_after(timeout):
            if self.is_silent:
                await trio.sleep_forever()
            with move_on_after(Millis(float(query["wait_ms"]))):
                while self.revision <= int(query["after"]):
                    await self.changed.wait()
            body = json.dumps({"revision": self.revision, "text": "t"}).encode()
            return HttpReply(200 if self.revision > int(query["after"]) else 204, {}, body)
        return HttpFailure(True, "too late")


class FakeMembers:
    me = ME

    def live(self):
        return [ME]


@pytest.fixture
async def followed(nursery, monkeypatch):
    service = FakeService()
    monkeypatch.setattr(platforms, "fetch", service.fetch)
    watcher = DocumentWatcher(
        "catalogue",
        "h:1",
        lambda text, revision: [],
        PlatformSettings(configuration_service="h:1"),
        GossipMap(),
        FakeMembers(),
        Clock(),
        random.Random(1),
    )
    nursery.start_soon(watcher.run, True)
    await sleep(Millis(1_000))
    assert watcher.held_revision() == 1
    return service, watcher


# Guards against a poll that hangs being waited for while the service answers new calls.
@pytest.mark.parametrize("silent_for", [1_000, 5_000, 9_000, 20_000])
async def test_a_change_after_a_silent_spell_is_published_in_time(
    autojump_clock, followed, silent_for
):
    service, watcher = followed
    service.change()
    await sleep(Millis(10))
    service.is_silent = True
    service.change()
    await sleep(Millis(silent_for))
    service.is_silent = False
    service.change()
    await sleep(IN_FORCE_WITHIN)
    assert watcher.held_revision() == service.revision
