"""Compare a share of an entry's answers with those of the entry that it replaces."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import trio
from loguru import logger

from firtrestle.catalogues import Catalogue, Entry
from firtrestle.clocks import Clock, Millis
from firtrestle.counts import GrowingCounts
from firtrestle.errors import Refused
from firtrestle.queries import Gathered, Query, fingerprint_of, shape_of
from firtrestle.retirements import COMPARISON_PREFIX, DIFFERING, SAME, Pair
from firtrestle.spreads import SpreadMap

MOST_AT_ONCE = 4
VERSION_FIELD = "version"

RunSearch = Callable[[Query], Awaitable[Gathered | Refused]]


class Comparisons:
    """Run a share of the answered searches again, in the background, and count what differs.

    The old entry's targets get these searches as ordinary ones, a few at a time, and never on a
    caller's time. An answer that is not whole on either side is not counted.
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
        self._counts = GrowingCounts(COMPARISON_PREFIX)
        self._running = 0

    def on_answer(self, sender: str, query: Query, result: Any, **_: Any) -> None:
        """Start a comparison for a share of the whole answers."""
        entry = query.entry
        if entry.replaces is None or not isinstance(result, Gathered) or not result.whole:
            return
        old = self._catalogue().by_name.get(entry.replaces.entry)
        drawn = self._rng.random() < entry.replaces.compare_share
        if old is None or not drawn or self._running >= MOST_AT_ONCE:
            return
        self._running += 1
        self._nursery.start_soon(self._compare, query, result, old)

    def spread(self, items: SpreadMap, process: str) -> None:
        """Put the counts where peers take them from, if they grew."""
        self._counts.spread(items, process)

    async def _compare(self, query: Query, new: Gathered, old_entry: Entry) -> None:
        try:
            old = await self._search(self._query_for(query, old_entry))
        finally:
            self._running -= 1
        if not isinstance(old, Gathered) or not old.whole:
            return
        pair = Pair(query.entry.collection, old_entry.collection)
        same = _content(new) == _content(old)
        self._counts.count((pair.new, pair.old, SAME if same else DIFFERING))
        if not same:
            logger.warning(
                "request {} differs between {} and {}", query.request_id, pair.new, pair.old
            )

    def _query_for(self, query: Query, old: Entry) -> Query:
        return replace(
            query,
            request_id=f"{query.request_id}/compared",
            entry=old,
            urgent=False,
            give_up_at=Millis(self._clock.now() + old.timeout),
            fingerprint=fingerprint_of(old.collection, query.body),
            shape=shape_of(old.collection, query.body),
        )


def _content(gathered: Gathered) -> dict[str, dict[str, Any]]:
    """Return the rows without their index versions, which differ between collections."""
    return {
        row_id: {name: value for name, value in row.items() if name != VERSION_FIELD}
        for row_id, row in gathered.rows_by_id.items()
    }
