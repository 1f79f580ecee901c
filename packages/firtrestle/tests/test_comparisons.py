import random

import trio
from fakes import entry, query, snapshot
from firtrestle.catalogues import Catalogue, Replaces
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.comparisons import MAX_CONCURRENT_COMPARISONS, Comparisons
from firtrestle.errors import ErrorKind, Refused
from firtrestle.outcomes import SubOutcome
from firtrestle.queries import Gathered, MissingShard
from firtrestle.retirements import CollectionPair, ComparisonCounts, merged_comparisons
from firtrestle.spreads import SpreadMap

OLD = entry(name="old", collection="c1")
CATALOGUE = Catalogue(1, {"old": OLD})
PAIR = CollectionPair("c", "c1")


def gathered(*ids: str, version: int = 1, whole: bool = True) -> Gathered:
    found = Gathered(snapshot(1, version=version))
    found.rows_by_id = {one: {"id": one, "version": version} for one in ids}
    if not whole:
        found.missing_by_shard[0] = MissingShard(0, 1, SubOutcome.DEADLINE)
    return found


def asked(share: float = 1.0):
    return query(replaces=Replaces("old", share, 10, 0.0))


class Old:
    """Answer for the old entry, when let."""

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
    old: Old, new: Gathered, share: float = 1.0, times: int = 1
) -> ComparisonCounts:
    items = SpreadMap()
    async with trio.open_nursery() as nursery:
        made = Comparisons(old.run, lambda: CATALOGUE, nursery, Clock(), random.Random(1))
        for _ in range(times):
            made.on_answer("new", asked(share), new)
            await sleep(Millis(1))
        old.may_answer.set()
    made.spread(items, "d1/1")
    return merged_comparisons(items).get(PAIR, ComparisonCounts())


async def test_equal_rows_of_another_version_are_the_same(autojump_clock):
    old = Old(gathered("a", "b", version=7))
    assert await counts_after(old, gathered("a", "b")) == ComparisonCounts(1, 0)
    assert old.queries[0].entry is OLD
    assert not old.queries[0].urgent


async def test_a_row_more_or_less_differs(autojump_clock):
    assert await counts_after(Old(gathered("a")), gathered("a", "b")) == ComparisonCounts(0, 1)
    assert await counts_after(Old(gathered("a", "b")), gathered("a")) == ComparisonCounts(0, 1)


async def test_what_is_not_whole_or_refused_is_not_counted(autojump_clock):
    refused = Refused(ErrorKind.NO_TARGET)
    assert await counts_after(Old(refused), gathered("a")) == ComparisonCounts()
    assert await counts_after(Old(gathered("a", whole=False)), gathered("a")) == ComparisonCounts()
    old = Old(gathered("a"))
    assert await counts_after(old, gathered("a", whole=False)) == ComparisonCounts()
    assert old.queries == []


async def test_only_a_share_is_compared(autojump_clock):
    old = Old(gathered("a"))
    compared = await counts_after(old, gathered("a"), share=0.1, times=1_000)
    assert 60 < compared.same < 140


async def test_a_slow_old_entry_gets_a_few_at_a_time(autojump_clock):
    old = Old(gathered("a"))
    old.may_answer = trio.Event()
    compared = await counts_after(old, gathered("a"), times=50)
    assert compared.same == len(old.queries) == MAX_CONCURRENT_COMPARISONS


async def test_an_entry_that_replaces_none_is_not_compared(autojump_clock):
    old = Old(gathered("a"))
    async with trio.open_nursery() as nursery:
        made = Comparisons(old.run, lambda: CATALOGUE, nursery, Clock(), random.Random(1))
        made.on_answer("e", query(), gathered("a"))
    assert old.queries == []
