import random

import trio
from fakes import entry, query, snapshot
from firtrestle.catalogues import Catalogue, Replaces
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.comparisons import MAX_CONCURRENT_COMPARISONS, Comparisons
from firtrestle.errors import ErrorKind, Refused
from firtrestle.gossip_maps import GossipMap
from firtrestle.outcomes import SubOutcome
from firtrestle.queries import GatherResult, MissingShard
from firtrestle.retirements import CollectionPair, ComparisonCounts, merged_comparisons

OLD = entry(name="old", collection="c1")
CATALOGUE = Catalogue(1, {"old": OLD})
PAIR = CollectionPair("c", "c1")


def gather_result(*ids: str, version: int = 1, complete: bool = True) -> GatherResult:
    found = GatherResult(snapshot(1, version=version))
    found.rows_by_id = {row_id: {"id": row_id, "version": version} for row_id in ids}
    if not complete:
        found.missing_by_shard[0] = MissingShard(0, 1, SubOutcome.DEADLINE)
    return found


def new_query(share: float = 1.0):
    return query(replaces=Replaces("old", share, 10, 0.0))


class OldEntry:
    """Answer searches on the old entry once `may_answer` is set."""

    def __init__(self, answer) -> None:
        self.answer = answer
        self.queries = []
        self.may_answer = trio.Event()
        self.may_answer.set()

    async def run(self, old_query):
        self.queries.append(old_query)
        await self.may_answer.wait()
        return self.answer


async def counts_after(
    old: OldEntry, new: GatherResult, share: float = 1.0, times: int = 1
) -> ComparisonCounts:
    items = GossipMap()
    async with trio.open_nursery() as nursery:
        comparisons = Comparisons(old.run, lambda: CATALOGUE, nursery, Clock(), random.Random(1))
        for _ in range(times):
            comparisons.on_answer("new", new_query(share), new)
            await sleep(Millis(1))
        old.may_answer.set()
    comparisons.publish(items, "d1/1")
    return merged_comparisons(items).get(PAIR, ComparisonCounts())


async def test_equal_rows_of_another_index_version_are_the_same(autojump_clock):
    old = OldEntry(gather_result("a", "b", version=7))
    assert await counts_after(old, gather_result("a", "b")) == ComparisonCounts(1, 0)
    assert old.queries[0].entry is OLD
    assert not old.queries[0].urgent


async def test_extra_or_missing_row_counts_as_differing(autojump_clock):
    assert await counts_after(
        OldEntry(gather_result("a")), gather_result("a", "b")
    ) == ComparisonCounts(0, 1)
    assert await counts_after(
        OldEntry(gather_result("a", "b")), gather_result("a")
    ) == ComparisonCounts(0, 1)


async def test_incomplete_or_refused_answers_are_not_counted(autojump_clock):
    refused = Refused.not_run(ErrorKind.NO_TARGET)
    assert await counts_after(OldEntry(refused), gather_result("a")) == ComparisonCounts()
    assert (
        await counts_after(OldEntry(gather_result("a", complete=False)), gather_result("a"))
        == ComparisonCounts()
    )
    old = OldEntry(gather_result("a"))
    assert await counts_after(old, gather_result("a", complete=False)) == ComparisonCounts()
    assert old.queries == []


async def test_only_the_configured_share_is_compared(autojump_clock):
    old = OldEntry(gather_result("a"))
    compared = await counts_after(old, gather_result("a"), share=0.1, times=1_000)
    assert 60 < compared.same < 140


async def test_slow_old_entry_gets_few_searches_at_a_time(autojump_clock):
    old = OldEntry(gather_result("a"))
    old.may_answer = trio.Event()
    compared = await counts_after(old, gather_result("a"), times=50)
    assert compared.same == len(old.queries) == MAX_CONCURRENT_COMPARISONS


async def test_entry_that_replaces_none_is_not_compared(autojump_clock):
    old = OldEntry(gather_result("a"))
    async with trio.open_nursery() as nursery:
        comparisons = Comparisons(old.run, lambda: CATALOGUE, nursery, Clock(), random.Random(1))
        comparisons.on_answer("e", query(), gather_result("a"))
    assert old.queries == []
