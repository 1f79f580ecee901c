"""Merge the events of all daemons into one time line."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import UTC, datetime

from firtrestle.clocks import MILLIS_PER_SECOND
from firtrestle.events import Event
from firtrestle.traces import merge

from firtrestle_client.fleets import get_all


class TimeLine:
    """Read events from daemons, each one once."""

    def __init__(self, addresses: list[str]) -> None:
        self.failure_by_address: dict[str, str] = {}
        self._after_by_address = dict.fromkeys(addresses, 0)

    async def read(self, request_id: str = "", wait_ms: int = 0) -> list[Event]:
        """Return the events that came since the last call, in order of time."""
        events: list[Event] = []
        waiting = list(self._after_by_address)
        while waiting:
            pages = [await self._page(address, request_id, wait_ms) for address in waiting]
            waiting = []
            for address, page in pages:
                events += page
                if page and not request_id:
                    waiting.append(address)
            wait_ms = 0
        return merge(events)

    async def _page(self, address: str, request_id: str, wait_ms: int) -> tuple[str, list[Event]]:
        after = self._after_by_address[address]
        path = f"/-/events?after={after}&wait_ms={wait_ms}&request_id={request_id}"
        (answer,) = await get_all([address], path)
        if answer.value is None:
            self.failure_by_address[address] = answer.failure
            return address, []
        self._after_by_address[address] = answer.value["last"]
        return address, [Event.from_dict(raw) for raw in answer.value["events"]]


def event_lines(events: Iterable[Event]) -> Iterable[str]:
    """Return one line of text an event."""
    for event in events:
        moment = datetime.fromtimestamp(event.at / MILLIS_PER_SECOND, UTC)
        fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
        stamp = moment.strftime("%H:%M:%S.%f")[:-3]
        yield f"{stamp} {event.process:<12} {event.kind:<18} {event.request_id} {fields}".rstrip()


def json_lines(events: Iterable[Event]) -> Iterable[str]:
    """Return one JSON object an event, as `replay` reads them."""
    for event in events:
        yield json.dumps(event.to_dict(), separators=(",", ":"))
