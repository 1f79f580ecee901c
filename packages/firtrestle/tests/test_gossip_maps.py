import random

import trio
from firtrestle.clocks import Clock
from firtrestle.gossip_maps import Gossiper, GossipMap
from firtrestle.messages import Ping, Pull
from hypothesis import given, settings
from hypothesis import strategies as st

PUTS = st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(0, 20)), max_size=30)


def build_map(puts) -> GossipMap:
    items = GossipMap()
    for key, stamp in puts:
        items.put(key, stamp, [key, stamp])
    return items


def exchange(sender: GossipMap, receiver: GossipMap) -> None:
    local = Gossiper(sender, 3, random.Random(1), Clock())
    remote = Gossiper(receiver, 3, random.Random(1), Clock())
    repair = local.repair_for(remote.serve_ping(Ping("d1", list(sender.digest))))
    if repair is not None:
        sender.put_rows(remote.serve_pull(repair).items)


def stamps(items: GossipMap) -> dict[str, int]:
    return {key: item.stamp for key, item in items.by_key.items()}


@settings(max_examples=200, derandomize=True)
@given(PUTS, PUTS)
def test_one_exchange_brings_two_daemons_to_the_highest_stamps(left, right):
    sender, receiver = build_map(left), build_map(right)
    exchange(sender, receiver)
    highest: dict[str, int] = {}
    for key, stamp in left + right:
        highest[key] = max(stamp, highest.get(key, 0))
    assert stamps(sender) == stamps(receiver) == highest
    assert sender.digest == receiver.digest


def test_an_item_with_a_lower_stamp_is_refused():
    items = build_map([("document/catalogue", 5)])
    assert not items.put("document/catalogue", 4, "old")
    assert items.by_key["document/catalogue"].stamp == 5


def test_a_guard_refuses_an_invalid_item_of_a_peer():
    items = GossipMap()
    items.add_validator("document/", lambda key, stamp, value: value == "good")
    items.put_rows([["document/a", 1, "good"], ["document/a", 2, "bad"]])
    assert items.by_key["document/a"].value == "good"


def test_malformed_rows_are_skipped():
    items = GossipMap()
    items.put_rows([["a"], [1, 2, 3], ["a", "x", 1], ["b", 1, None]])
    assert list(items.by_key) == ["b"]


def test_each_change_is_returned_once_for_a_push():
    items = build_map([("a", 1), ("a", 2)])
    assert items.take_changed() == [["a", 2, ["a", 2]]]
    assert items.take_changed() == []


async def test_a_large_text_is_announced_and_sent_once(autojump_clock):
    sender, receiver = GossipMap(), GossipMap()
    local = Gossiper(sender, 3, random.Random(1), Clock())
    remote = Gossiper(receiver, 3, random.Random(1), Clock())
    sent: list[Pull] = []

    async def call(peer, pull):
        sent.append(pull)
        return remote.serve_pull(pull)

    sender.put("document/catalogue", 2, "x" * 5_000)
    sender.put("small", 1, "y")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(local.push_changes, lambda: ["d1", "d2", "d3"], call)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert stamps(receiver) == {"document/catalogue": 2, "small": 1}
    large = [row for pull in sent for row in pull.items if row[0] == "document/catalogue"]
    assert len(large) == 1
