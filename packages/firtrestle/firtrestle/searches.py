"""Answer one search: pin a snapshot, gather, and move to a newer one when it goes."""

from __future__ import annotations

import itertools

from firtrestle.attempts import Quarantined, SnapshotGone
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.events import EventKind
from firtrestle.gather_tools import GatherTools
from firtrestle.queries import Gathered, Query
from firtrestle.snapshot_gathers import SnapshotGather
from firtrestle.snapshots import Snapshot, build_snapshots, pin

MAX_MOVES = 3
VIEW_PAUSE = Millis(10)
LONGEST_VIEW_WAIT = Millis(500)


class SnapshotViews:
    """Keep the snapshots of each collection, rebuilt when a target's report changes."""

    def __init__(self, tools: GatherTools) -> None:
        self._holders = tools.holders
        self._built_by_collection: dict[str, tuple[tuple[int, int], list[Snapshot]]] = {}

    def of(self, collection: str) -> list[Snapshot]:
        """Return a collection's snapshots, the newest first."""
        manifests = self._holders.manifests
        version = (self._holders.reports_version, manifests.version)
        built = self._built_by_collection.get(collection)
        if built is None or built[0] != version:
            reports = self._holders.reports()
            built = (version, build_snapshots(collection, reports, manifests.of(collection)))
            self._built_by_collection[collection] = built
        return built[1]


class Searches:
    """Answer searches from one snapshot each."""

    def __init__(self, tools: GatherTools, views: SnapshotViews) -> None:
        self._tools = tools
        self._views = views

    async def run(self, query: Query) -> Gathered | Refused:
        """Return the gathered answer, or a refusal that says whether a target saw the query."""
        snapshot = pin(self._views.of(query.entry.collection))
        if snapshot is None:
            return Refused(ErrorKind.NO_TARGET)
        numbers = itertools.count(1)
        sent = 0
        for moves in itertools.count():
            self._note_pin(query, snapshot)
            gather = SnapshotGather(self._tools, query, snapshot, numbers)
            result = await gather.run(may_move=moves < MAX_MOVES)
            sent += result.sent
            if isinstance(result, Gathered):
                return self._checked(query, result, sent)
            if isinstance(result, Quarantined):
                return Refused(ErrorKind.QUARANTINED, Ran.TRUE)
            newer = await self._newer_snapshot(query, result)
            if newer is None:
                gather = SnapshotGather(self._tools, query, snapshot, numbers)
                last = await gather.run(may_move=False)
                if isinstance(last, Gathered):
                    return self._checked(query, last, sent + last.sent)
                return Refused(ErrorKind.QUARANTINED, Ran.TRUE)
            snapshot = newer
        raise AssertionError("unreachable")

    def _note_pin(self, query: Query, snapshot: Snapshot) -> None:
        self._tools.events.add(
            EventKind.SNAPSHOT_PINNED,
            query.request_id,
            collection=snapshot.collection,
            version=snapshot.version,
        )

    async def _newer_snapshot(self, query: Query, gone: SnapshotGone) -> Snapshot | None:
        """Wait a moment for the news of a newer whole snapshot."""
        until = min(query.give_up_at, self._tools.clock.now() + LONGEST_VIEW_WAIT)
        while True:
            newer = pin(self._views.of(query.entry.collection), gone.version)
            if newer is not None and newer.whole:
                return newer
            if self._tools.clock.now() >= until:
                return None
            await sleep(VIEW_PAUSE)

    def _checked(self, query: Query, result: Gathered, sent: int) -> Gathered | Refused:
        """Refuse an answer that covers less than its entry accepts."""
        result.sent = sent
        ran = Ran.UNKNOWN if sent else Ran.FALSE
        if result.covered_by_shard:
            ran = Ran.TRUE
        if result.coverage < query.entry.least_coverage:
            detail = f"{result.covered} of {result.snapshot.total_documents} documents"
            return Refused(ErrorKind.TOO_LITTLE_COVERAGE, ran, detail)
        if result.snapshot.total_documents and not result.covered_by_shard:
            reasons = {str(one.reason) for one in result.missing_by_shard.values()}
            return Refused(_kind_for(reasons), ran, ", ".join(sorted(reasons)))
        return result


def _kind_for(reasons: set[str]) -> ErrorKind:
    if "shed" in reasons:
        return ErrorKind.OVERLOADED
    if "deadline" in reasons:
        return ErrorKind.DEADLINE_PASSED
    return ErrorKind.NO_TARGET
