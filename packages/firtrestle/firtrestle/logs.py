"""Write structured logs to standard error."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

from firtrestle.settings import DaemonSettings, LogSettings

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[daemon]}/{extra[data_centre]} "
    "{name}: {message}"
)


def configure_logs(logs: LogSettings, daemon: DaemonSettings) -> None:
    """Send logs to standard error as text or as one JSON object a line."""
    logger.remove()
    logger.configure(extra={"daemon": daemon.id, "data_centre": daemon.data_centre})
    if logs.json_lines:
        logger.add(_write_json, level=logs.level)
    else:
        logger.add(
            sys.stderr, format=TEXT_FORMAT, level=logs.level, diagnose=False, backtrace=False
        )


def _write_json(message: Message) -> None:
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
    sys.stderr.write(json.dumps(line) + "\n")
