"""Write a stand-in's events to a file so that they survive its process."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, TextIO

from firtrestle.clocks import Clock
from firtrestle.events import Event, EventKind


class EventFile:
    """Append events to a file as JSON lines, each one flushed before the next."""

    def __init__(self, process: str, path: Path) -> None:
        self.process = process
        self.incarnation = time.time_ns() // 1_000_000
        self._clock = Clock()
        self._seq = 0
        self._file: TextIO = path.open("a", buffering=1)

    def add(self, kind: EventKind, request_id: str = "", **fields: Any) -> None:
        """Append one event, stamped with the current time."""
        self._seq += 1
        at = self._clock.wall()
        event = Event(self._seq, at, self.process, self.incarnation, kind, request_id, fields)
        self._file.write(json.dumps(event.to_dict(), separators=(",", ":")) + "\n")
