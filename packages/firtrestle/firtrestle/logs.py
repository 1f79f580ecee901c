"""Write structured logs to standard output, within a bound and without ever blocking."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from firtrestle.settings import DaemonSettings, LogSettings

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[daemon]}/{extra[data_centre]} "
    "{name}: {message}"
)
ALWAYS_KEPT = 30  # loguru's number of WARNING: such lines pass the rate, not a full pipe
DETAIL = 10  # loguru's number of DEBUG: such lines leave half of the rate to others
MAX_WAITING_BYTES = 262_144  # of lines that a slow reader has not taken


class LineSink:
    """Write lines without waiting; drop what is over the rate or what the reader can't take.

    Lines of at least WARNING don't count against the rate; details get half of it. A line that
    says how many were dropped follows as soon as one can be written again.
    """

    def __init__(
        self,
        stream: TextIO,
        lines_per_second: int,
        seconds: Callable[[], float] = time.monotonic,
    ) -> None:
        self.dropped = 0
        self._stream = stream  # held, as its file closes with it
        self._seconds = seconds
        self._file = stream.fileno()
        os.set_blocking(self._file, False)
        self._rate = lines_per_second
        self._left = float(lines_per_second)
        self._filled_at = seconds()
        self._waiting = bytearray()

    def write(self, line: str, level: int) -> None:
        """Take one line with its line end."""
        self._refill()
        if level < ALWAYS_KEPT:
            reserve = self._rate / 2 if level <= DETAIL else 0.0
            if self._left < 1 + reserve:
                self.dropped += 1
                return
            self._left -= 1
        if self.dropped and self._take(json.dumps({"message": "dropped", "lines": self.dropped})):
            self.dropped = 0
        if not self._take(line):
            self.dropped += 1
        self.flush()

    def flush(self) -> None:
        """Hand over what the reader takes now."""
        try:
            while self._waiting:
                del self._waiting[: os.write(self._file, self._waiting)]
        except BlockingIOError:
            return
        except OSError:
            self._waiting.clear()  # nobody reads any more, and there is nowhere to say so

    def _take(self, line: str) -> bool:
        data = line.rstrip("\n").encode() + b"\n"
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            return False
        self._waiting += data
        return True

    def _refill(self) -> None:
        now = self._seconds()
        gained = (now - self._filled_at) * self._rate
        self._left = min(float(self._rate), self._left + gained)
        self._filled_at = now


def configure_logs(logs: LogSettings, daemon: DaemonSettings) -> None:
    """Send logs to standard output as text or as one JSON object a line."""
    sink = LineSink(sys.stdout, logs.lines_per_second)
    logger.remove()
    logger.configure(extra={"daemon": daemon.id, "data_centre": daemon.data_centre})
    if logs.json_lines:
        logger.add(lambda message: sink.write(_as_json(message), _level(message)), level=logs.level)
    else:
        logger.add(
            lambda message: sink.write(str(message), _level(message)),
            format=TEXT_FORMAT,
            level=logs.level,
            diagnose=False,
            backtrace=False,
        )


def _level(message: Message) -> int:
    return message.record["level"].no


def _as_json(message: Message) -> str:
    entry = message.record
    line = {
        "at": entry["time"].isoformat(),
        "level": entry["level"].name,
        "module": entry["name"],
        "message": entry["message"],
        **entry["extra"],
    }
    if entry["exception"] is not None:
        line["exception"] = str(entry["exception"].value)
    return json.dumps(line)
