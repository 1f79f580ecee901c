"""Watch the platform's documents, from a few daemons for the whole fleet."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.http_clients import HttpFailure, HttpReply, fetch
from firtrestle.members import Members
from firtrestle.rendezvous import owner
from firtrestle.settings import PlatformSettings
from firtrestle.spreads import SpreadMap

DOCUMENT_PREFIX = "document/"
REJECTED_PREFIX = "rejected/"
RECHECK = Millis(500)
ANSWER_GRACE = Millis(2_000)


FaultsOf = Callable[[str, int], list[str]]


@dataclass(frozen=True, slots=True)
class Document:
    """Hold one revision of a document of the platform."""

    name: str
    revision: int
    text: str


class DocumentWatcher:
    """Read one document when this daemon is its data centre's reader, and spread it.

    A document that has spread is in force; only its reader asks whether it may follow the last.
    """

    def __init__(
        self,
        name: str,
        address: str,
        faults_of: FaultsOf,
        settings: PlatformSettings,
        items: SpreadMap,
        members: Members,
        clock: Clock,
        rng: random.Random,
        may_not_follow: FaultsOf | None = None,
    ) -> None:
        self.name = name
        self.reads = 0
        self.last_read_at: Millis | None = None
        self._address = address
        self._faults_of = faults_of
        self._may_not_follow = may_not_follow or (lambda text, revision: [])
        self._settings = settings
        self._items = items
        self._members = members
        self._clock = clock
        self._rng = rng
        self._offered = 0
        items.guard(DOCUMENT_PREFIX + name, self._is_valid)

    def held(self) -> int:
        """Return the revision held, 0 for none."""
        item = self._items.by_key.get(DOCUMENT_PREFIX + self.name)
        return item.stamp if item is not None else 0

    async def run(self, read_first: bool) -> None:
        """Watch for ever, while this daemon is the reader."""
        if read_first:
            while not await self._read(Millis(0)):
                await self._back_off()
        while True:
            if not self._is_reader():
                await sleep(RECHECK)
            elif not await self._read(Millis(self._settings.watch_ms)):
                await self._back_off()

    async def read_now(self) -> bool:
        """Read once without waiting for a change; return whether the service answered."""
        return await self._read(Millis(0))

    def _is_reader(self) -> bool:
        me = self._members.me
        near = [m.id for m in self._members.live() if m.data_centre == me.data_centre]
        return owner(f"reader/{self.name}", near) == me.id

    async def _back_off(self) -> None:
        await sleep(Millis(self._settings.retry_ms * self._rng.uniform(0.5, 1.5)))

    async def _read(self, wait: Millis) -> bool:
        self.reads += 1
        after = max(self._offered, self.held())
        path = f"/v1/documents/{self.name}?after={after}&wait_ms={round(wait)}"
        reply = await fetch(self._address, "GET", path, Millis(wait + ANSWER_GRACE))
        if isinstance(reply, HttpFailure):
            logger.warning("reading {} failed: {}", self.name, reply.reason)
            return False
        if reply.status == 204:
            self.last_read_at = self._clock.now()
            return True
        document = self._document(reply)
        if document is None:
            logger.warning("reading {} gave status {}", self.name, reply.status)
            return False
        self.last_read_at = self._clock.now()
        self._offer(document)
        if document.revision <= after and wait > 0:
            logger.warning("{} fell back to revision {}", self.name, document.revision)
            await self._back_off()
        return True

    def _document(self, reply: HttpReply) -> Document | None:
        value: Any = reply.json()
        if reply.status != 200 or not isinstance(value, dict):
            return None
        revision, text = value.get("revision"), value.get("text")
        if not isinstance(revision, int) or not isinstance(text, str):
            return None
        return Document(self.name, revision, text)

    def _offer(self, document: Document) -> None:
        """Spread a newer valid revision; make an invalid one known."""
        if document.revision <= max(self._offered, self.held()):
            return
        self._offered = document.revision
        faults = self._faults_of(document.text, document.revision)
        faults = faults or self._may_not_follow(document.text, document.revision)
        if faults:
            logger.error("{} {} is refused: {}", self.name, document.revision, faults[0])
            self._items.put(REJECTED_PREFIX + self.name, document.revision, faults)
        else:
            self._items.put(DOCUMENT_PREFIX + self.name, document.revision, document.text)

    def _is_valid(self, key: str, stamp: int, value: Any) -> bool:
        if key != DOCUMENT_PREFIX + self.name:
            return True
        return isinstance(value, str) and not self._faults_of(value, stamp)
