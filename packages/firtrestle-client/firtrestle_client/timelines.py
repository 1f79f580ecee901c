"""Merge the events of all daemons into one sequence ordered by time."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import UTC, datetime

from firtrestle.clocks import MILLIS_PER_SECOND
from firtrestle.events import Event
from firtrestle.traces import merge

from firtrestle_client.fleets import fetch_json_from_all


class TimeLine:
    """Read the events of daemons incrementally, each event once.

    `failure_by_address` holds the last failure of each daemon that could not be read.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.failure_by_address: dict[str, str] = {}
        self._after_by_address = dict.fromkeys(addresses, 0)

    async def read(self, request_id: str = "", wait_ms: int = 0) -> list[Event]:
        """Return the events recorded since the last call, ordered by time.

        Without new events, each daemon holds its reply for up to `wait_ms` (long polling). Further
        pages are then fetched without waiting.
        """
        events: list[Event] = []
        pending = list(self._after_by_address)
        while pending:
            before = dict(self._after_by_address)
            for address in pending:
                events += await self._fetch_page(address, request_id, wait_ms)
            # A page may hold no event of the request although later ones do.
            pending = [a for a in pending if self._after_by_address[a] > before[a]]
            wait_ms = 0
        return merge(events)

    async def _fetch_page(self, address: str, request_id: str, wait_ms: int) -> list[Event]:
        after = self._after_by_address[address]
        path = f"/-/events?after={after}&wait_ms={wait_ms}&request_id={request_id}"
        (answer,) = await fetch_json_from_all([address], path)
        if answer.value is None:
            self.failure_by_address[address] = answer.failure
            return []
        self._after_by_address[address] = answer.value["last"]
        return [Event.from_dict(raw) for raw in answer.value["events"]]


def event_lines(events: Iterable[Event]) -> Iterable[str]:
    """Format each event as a line of text."""
    for event in events:
        moment = datetime.fromtimestamp(event.at / MILLIS_PER_SECOND, UTC)
        fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
        stamp = moment.strftime("%H:%M:%S.%f")[:-3]
        yield f"{stamp} {event.process:<12} {event.kind:<18} {event.request_id} {fields}".rstrip()


def json_lines(events: Iterable[Event]) -> Iterable[str]:
    """Format each event as a line of JSON, the input format of `firtrestle replay`."""
    for event in events:
        yield json.dumps(event.to_dict(), separators=(",", ":"))
