"""Bound the memory of a daemon's messages that are not read or written whole."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.clocks import Clock
from firtrestle.receive_bounds import ReceiveMemory
from firtrestle.settings import DaemonSettings
from firtrestle.transfers import ResponseWrites

BYTES_PER_MB = 1_000_000
REPLY_MEMORY_SHARE = 0.1  # of the VM's memory, for unfinished replies of instances
REQUEST_MEMORY_SHARE = 0.1  # of the VM's memory, for unfinished requests of callers
RESPONSE_MEMORY_SHARE = 0.2  # of the VM's memory, for responses that callers have not read


@dataclass(frozen=True, slots=True)
class MessageMemory:
    """Group the bounds of all messages of a daemon, by their kind."""

    replies: ReceiveMemory
    requests: ReceiveMemory
    responses: ResponseWrites

    @classmethod
    def from_config(cls, settings: DaemonSettings, clock: Clock) -> MessageMemory:
        """Divide a part of the VM's memory among the kinds of message."""
        memory_bytes = settings.memory_mb * BYTES_PER_MB
        return cls(
            ReceiveMemory(int(memory_bytes * REPLY_MEMORY_SHARE)),
            ReceiveMemory(int(memory_bytes * REQUEST_MEMORY_SHARE)),
            ResponseWrites(memory_bytes * RESPONSE_MEMORY_SHARE, clock),
        )

    def used_bytes_by_kind(self) -> dict[str, int]:
        """Return the bytes that are held now."""
        return {
            "requests read": self.requests.used_bytes,
            "replies read": self.replies.used_bytes,
            "responses written": self.responses.used_bytes,
        }
