"""Compare a sample of an entry's answers with those of the entry that it replaces."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import trio
from loguru import logger

from firtrestle.catalogues import Catalogue, Entry
from firtrestle.clocks import Clock, Millis
from firtrestle.counts import GrowOnlyCounts
from firtrestle.errors import Refused
from firtrestle.gossip_maps import GossipMap
from firtrestle.queries import GatherResult, Query, query_fingerprint, query_shape
from firtrestle.retirements import COMPARISON_PREFIX, DIFFERING, SAME, CollectionPair

MAX_CONCURRENT_COMPARISONS = 4
VERSION_FIELD = "version"

RunSearch = Callable[[Query], Awaitable[GatherResult | Refused]]


class Comparisons:
    """Repeat a sample of the answered searches on the old entry, and count differing answers.

    The searches run in the background as ordinary (not urgent) ones, a few at a time, so that no
    caller waits for them. A pair of answers counts only if both are complete.
    """

    def __init__(
        self,
        search: RunSearch,
        catalogue: Callable[[], Catalogue],
        nursery: trio.Nursery,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._search = search
        self._catalogue = catalogue
        self._nursery = nursery
        self._clock = clock
        self._rng = rng
        self._counts = GrowOnlyCounts(COMPARISON_PREFIX)
        self._running = 0

    def on_answer(self, sender: str, query: Query, result: Any, **_: Any) -> None:
        """Start a comparison for a sample of the complete answers."""
        entry = query.entry
        if entry.replaces is None or not isinstance(result, GatherResult) or not result.is_complete:
            return
        old = self._catalogue().by_name.get(entry.replaces.entry)
        sampled = self._rng.random() < entry.replaces.compare_share
        if old is None or not sampled or self._running >= MAX_CONCURRENT_COMPARISONS:
            return
        self._running += 1
        self._nursery.start_soon(self._compare, query, result, old)

    def publish(self, items: GossipMap, process: str) -> None:
        """Publish the counts to peers if they have grown."""
        self._counts.publish(items, process)

    async def _compare(self, query: Query, new: GatherResult, old_entry: Entry) -> None:
        try:
            old = await self._search(self._query_for(query, old_entry))
        finally:
            self._running -= 1
        if not isinstance(old, GatherResult) or not old.is_complete:
            return
        pair = CollectionPair(query.entry.collection, old_entry.collection)
        same = _rows_without_version(new) == _rows_without_version(old)
        self._counts.count((pair.new, pair.old, SAME if same else DIFFERING))
        if not same:
            logger.warning(
                "answers to request {} differ between collections {} (new) and {} (old)",
                query.request_id,
                pair.new,
                pair.old,
            )

    def _query_for(self, query: Query, old: Entry) -> Query:
        return replace(
            query,
            request_id=f"{query.request_id}/compared",
            entry=old,
            urgent=False,
            deadline=Millis(self._clock.now() + old.timeout),
            fingerprint=query_fingerprint(old.collection, query.body),
            shape=query_shape(old.collection, query.body),
        )


def _rows_without_version(result: GatherResult) -> dict[str, dict[str, Any]]:
    """Return the rows without their index versions, which differ between collections anyway."""
    return {
        row_id: {name: value for name, value in row.items() if name != VERSION_FIELD}
        for row_id, row in result.rows_by_id.items()
    }
