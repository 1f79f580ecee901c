"""Write structured logs to standard output, rate-limited and without blocking the event loop."""

from __future__ import annotations

import json
import os
import sys
import time
import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from firtrestle.settings import DaemonSettings, LogSettings

if TYPE_CHECKING:
    from loguru import Message, RecordException

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[daemon]}/{extra[data_centre]} "
    "{name}: {message}"
)
WARNING_LEVEL = 30  # loguru's number
DEBUG_LEVEL = 10  # loguru's number
MAX_TRACE_CHARS = 4_000  # the end of a trace, where the exception was raised
MAX_LOGGED_ID_CHARS = 200  # callers may choose longer ids
MAX_BUFFER_BYTES = 262_144  # lines that the reader of a full pipe has not consumed yet


class LineSink:
    """Write log lines without blocking; drop those over the rate limit or the buffer's size.

    The rate limit is a token bucket. Lines of WARNING and above bypass it and are dropped only
    if the buffer is full; lines of DEBUG and below may use half of the bucket, so that they leave
    room for others. Once a line can be written again, a line with the number of dropped ones
    precedes it.
    """

    def __init__(
        self,
        stream: TextIO,
        lines_per_second: int,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.dropped = 0
        self._stream = stream  # keeps the file descriptor open
        self._monotonic = monotonic
        self._fd = stream.fileno()
        os.set_blocking(self._fd, False)
        self._rate = lines_per_second
        self._tokens = float(lines_per_second)
        self._refilled_at = monotonic()
        self._buffer = bytearray()

    def write(self, line: str, level: int) -> None:
        """Write one line, or count it as dropped."""
        self._refill()
        if level < WARNING_LEVEL:
            reserve = self._rate / 2 if level <= DEBUG_LEVEL else 0.0
            if self._tokens < 1 + reserve:
                self.dropped += 1
                return
            self._tokens -= 1
        if self.dropped and self._append_to_buffer(
            json.dumps({"message": "dropped", "lines": self.dropped})
        ):
            self.dropped = 0
        if not self._append_to_buffer(line):
            self.dropped += 1
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the file accepts now."""
        try:
            while self._buffer:
                del self._buffer[: os.write(self._fd, self._buffer)]
        except BlockingIOError:
            return
        except OSError:
            self._buffer.clear()  # the reader is gone, so there is nowhere left to report the error

    def _append_to_buffer(self, line: str) -> bool:
        data = line.rstrip("\n").encode() + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            return False
        self._buffer += data
        return True

    def _refill(self) -> None:
        now = self._monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(float(self._rate), self._tokens + refill)
        self._refilled_at = now


def configure_logs(logs: LogSettings, daemon: DaemonSettings) -> None:
    """Send logs to standard output as text or as one JSON object per line."""
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


def _trace(exception: RecordException) -> str:
    return "".join(traceback.format_exception(exception.type, exception.value, exception.traceback))


def _as_json(message: Message) -> str:
    record = message.record
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
        **record["extra"],
    }
    request_id = line.get("request_id")
    if isinstance(request_id, str) and len(request_id) > MAX_LOGGED_ID_CHARS:
        line["request_id"] = f"{request_id[:MAX_LOGGED_ID_CHARS]}..."
    if record["exception"] is not None:
        line["exception"] = str(record["exception"].value)
        line["trace"] = _trace(record["exception"])[-MAX_TRACE_CHARS:]
    return json.dumps(line)
