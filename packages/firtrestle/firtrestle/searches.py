"""Answer searches from one pinned snapshot each, moving to a newer one if it is dropped."""

from __future__ import annotations

import itertools

from firtrestle.attempts import Quarantined, SnapshotGone
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.events import EventKind
from firtrestle.gather_tools import GatherTools
from firtrestle.queries import GatherResult, Query
from firtrestle.snapshot_gathers import SnapshotGather
from firtrestle.snapshots import Snapshot, build_snapshots, choose_snapshot

MAX_SNAPSHOT_MOVES = 3  # of one search
VIEW_POLL_INTERVAL = Millis(10)
MAX_NEWER_SNAPSHOT_WAIT = Millis(500)  # for gossip to announce the next version


class SnapshotViews:
    """Cache the snapshots of each collection until a target report or manifest changes."""

    def __init__(self, tools: GatherTools) -> None:
        self._holders = tools.holders
        self._built_by_collection: dict[str, tuple[tuple[int, int], list[Snapshot]]] = {}

    def for_collection(self, collection: str) -> list[Snapshot]:
        """Return a collection's snapshots, the newest first."""
        manifests = self._holders.manifests
        change_counts = (self._holders.reports_change_count, manifests.change_count)
        built = self._built_by_collection.get(collection)
        if built is None or built[0] != change_counts:
            reports = self._holders.reports()
            built = (
                change_counts,
                build_snapshots(collection, reports, manifests.for_collection(collection)),
            )
            self._built_by_collection[collection] = built
        return built[1]


class Searches:
    """Run searches, each against a single snapshot."""

    def __init__(self, tools: GatherTools, views: SnapshotViews) -> None:
        self._tools = tools
        self._views = views

    async def run(self, query: Query) -> GatherResult | Refused:
        """Return the gathered answer, or a refusal that states whether a target ran the query."""
        snapshot = choose_snapshot(self._views.for_collection(query.entry.collection))
        if snapshot is None:
            return Refused.not_run(ErrorKind.NO_TARGET)
        attempt_numbers = itertools.count(1)
        sent = 0
        for moves in itertools.count():
            self._record_pin(query, snapshot)
            gather = SnapshotGather(self._tools, query, snapshot, attempt_numbers)
            result = await gather.run(may_change_version=moves < MAX_SNAPSHOT_MOVES)
            sent += result.sent
            if isinstance(result, GatherResult):
                return self._check_coverage(query, result, sent)
            if isinstance(result, Quarantined):
                return Refused(ErrorKind.QUARANTINED, Ran.TRUE)
            newer = await self._newer_snapshot(query, result)
            if newer is None:  # answer with what the old snapshot's remaining replicas cover
                gather = SnapshotGather(self._tools, query, snapshot, attempt_numbers)
                final = await gather.run(may_change_version=False)
                if isinstance(final, GatherResult):
                    return self._check_coverage(query, final, sent + final.sent)
                return Refused(ErrorKind.QUARANTINED, Ran.TRUE)
            snapshot = newer
        raise AssertionError("unreachable")

    def _record_pin(self, query: Query, snapshot: Snapshot) -> None:
        self._tools.events.add(
            EventKind.SNAPSHOT_PINNED,
            query.request_id,
            collection=snapshot.collection,
            version=snapshot.version,
        )

    async def _newer_snapshot(self, query: Query, gone: SnapshotGone) -> Snapshot | None:
        """Return a newer complete snapshot, or None after a bounded wait."""
        until = min(query.deadline, self._tools.clock.now() + MAX_NEWER_SNAPSHOT_WAIT)
        while True:
            newer = choose_snapshot(
                self._views.for_collection(query.entry.collection), gone.version
            )
            if newer is not None and newer.is_complete:
                return newer
            if self._tools.clock.now() >= until:
                return None
            await sleep(VIEW_POLL_INTERVAL)

    def _check_coverage(
        self, query: Query, result: GatherResult, sent: int
    ) -> GatherResult | Refused:
        """Return the answer, or a refusal if it covers nothing or less than its entry requires."""
        result.sent = sent
        ran = Ran.UNKNOWN if sent else Ran.FALSE
        if result.covered_by_shard:
            ran = Ran.TRUE
        if result.coverage < query.entry.least_coverage:
            detail = f"{result.covered} of {result.snapshot.total_documents} documents"
            return Refused(ErrorKind.TOO_LITTLE_COVERAGE, ran, detail)
        if result.snapshot.total_documents and not result.covered_by_shard:
            reasons = {str(missing.reason) for missing in result.missing_by_shard.values()}
            return Refused(_refusal_kind(reasons), ran, ", ".join(sorted(reasons)))
        return result


def _refusal_kind(reasons: set[str]) -> ErrorKind:
    if "shed" in reasons:
        return ErrorKind.OVERLOADED
    if "deadline" in reasons:
        return ErrorKind.DEADLINE_PASSED
    return ErrorKind.NO_TARGET
