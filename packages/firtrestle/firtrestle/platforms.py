"""Watch the platform's documents: one daemon per data centre reads for the whole fleet."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.gossip_maps import GossipMap
from firtrestle.http_clients import HttpFailure, HttpReply, fetch
from firtrestle.members import Members
from firtrestle.rendezvous import owner
from firtrestle.settings import PlatformSettings

DOCUMENT_PREFIX = "document/"
REJECTED_PREFIX = "rejected/"
ROLE_CHECK_INTERVAL = Millis(500)
ANSWER_GRACE = Millis(2_000)  # added to the wait of a long poll


FaultFinder = Callable[[str, int], list[str]]


@dataclass(frozen=True, slots=True)
class Document:
    """Represent one revision of a platform document."""

    name: str
    revision: int
    text: str


class DocumentWatcher:
    """Read one document while this daemon is its data centre's reader, and publish it.

    A published document is in force. Only its reader checks whether it may replace the previous
    one; other daemons check just that it is valid.
    """

    def __init__(
        self,
        name: str,
        address: str,
        find_faults: FaultFinder,
        settings: PlatformSettings,
        items: GossipMap,
        members: Members,
        clock: Clock,
        rng: random.Random,
        find_transition_faults: FaultFinder | None = None,
    ) -> None:
        self.name = name
        self.reads = 0
        self.last_read_at: Millis | None = None
        self._address = address
        self._find_faults = find_faults
        self._find_transition_faults = find_transition_faults or (lambda text, revision: [])
        self._settings = settings
        self._items = items
        self._members = members
        self._clock = clock
        self._rng = rng
        self._newest_read_revision = 0
        items.add_validator(DOCUMENT_PREFIX + name, self._is_valid)

    def held_revision(self) -> int:
        """Return the revision of the stored document, 0 if there is none."""
        item = self._items.by_key.get(DOCUMENT_PREFIX + self.name)
        return item.stamp if item is not None else 0

    async def run(self, read_first: bool) -> None:
        """Watch forever, reading while this daemon is the reader.

        With `read_first`, read until the service answers once, whether reader or not.
        """
        if read_first:
            while not await self._read(Millis(0)):
                await self._back_off()
        while True:
            if not self._is_reader():
                await sleep(ROLE_CHECK_INTERVAL)
                continue
            is_read = await self._read(Millis(self._settings.watch_ms))
            # A poll may be lost while the service answers new calls.
            if not is_read and not await self._read(Millis(0)):
                await self._back_off()

    async def read_now(self) -> bool:
        """Read once without waiting for a change; return whether the read succeeded."""
        return await self._read(Millis(0))

    def _is_reader(self) -> bool:
        me = self._members.me
        local_ids = [m.id for m in self._members.live() if m.data_centre == me.data_centre]
        return owner(f"reader/{self.name}", local_ids) == me.id

    async def _back_off(self) -> None:
        await sleep(Millis(self._settings.retry_ms * self._rng.uniform(0.5, 1.5)))

    async def _read(self, wait: Millis) -> bool:
        self.reads += 1
        after = max(self._newest_read_revision, self.held_revision())
        path = f"/v1/documents/{self.name}?after={after}&wait_ms={round(wait)}"
        reply = await fetch(self._address, "GET", path, Millis(wait + ANSWER_GRACE))
        if isinstance(reply, HttpFailure):
            logger.warning("reading document {} failed: {}", self.name, reply.reason)
            return False
        if reply.status == 204:
            self.last_read_at = self._clock.now()
            return True
        document = self._parse(reply)
        if document is None:
            logger.warning(
                "reading document {} gave no usable document: status {}", self.name, reply.status
            )
            return False
        self.last_read_at = self._clock.now()
        self._publish(document)
        if document.revision <= after and wait > 0:
            logger.warning(
                "document {} went back to revision {}; ignored", self.name, document.revision
            )
            await self._back_off()
        return True

    def _parse(self, reply: HttpReply) -> Document | None:
        value: Any = reply.json()
        if reply.status != 200 or not isinstance(value, dict):
            return None
        revision, text = value.get("revision"), value.get("text")
        if not isinstance(revision, int) or not isinstance(text, str):
            return None
        return Document(self.name, revision, text)

    def _publish(self, document: Document) -> None:
        """Publish a newer revision if it is valid, its faults if not."""
        if document.revision <= max(self._newest_read_revision, self.held_revision()):
            return
        self._newest_read_revision = document.revision
        faults = self._find_faults(document.text, document.revision)
        faults = faults or self._find_transition_faults(document.text, document.revision)
        if faults:
            logger.error(
                "document {} revision {} rejected: {}", self.name, document.revision, faults[0]
            )
            self._items.put(REJECTED_PREFIX + self.name, document.revision, faults)
        else:
            self._items.put(DOCUMENT_PREFIX + self.name, document.revision, document.text)

    def _is_valid(self, key: str, stamp: int, value: Any) -> bool:
        if key != DOCUMENT_PREFIX + self.name:
            return True
        return isinstance(value, str) and not self._find_faults(value, stamp)
