import trio
from fakes import FakeHolders, gather_tools, query, snapshot
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.messages import SubReply
from firtrestle.searches import Searches
from trio.testing import MockClock


class OneSnapshot:
    """Snapshot views with one snapshot of two shards for every collection."""

    def for_collection(self, collection: str):
        return [snapshot(2)]


def refusal_when(reply: SubReply) -> Refused:
    async def main():
        async with trio.open_nursery() as nursery:
            holders = FakeHolders(nursery, lambda sub: (5, reply))
            searches = Searches(gather_tools(holders), OneSnapshot())
            result = await searches.run(query(timeout=200))
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def test_query_that_reached_no_target_is_not_reported_as_run():
    """Guards against a refusal that reports `ran` as true after any attempt."""
    refused = refusal_when(SubReply("unreachable"))
    assert (refused.kind, refused.ran) == (ErrorKind.NO_TARGET, Ran.UNKNOWN)


def test_shed_query_is_refused_as_overloaded():
    assert refusal_when(SubReply("shed", sent=True)).kind is ErrorKind.OVERLOADED
