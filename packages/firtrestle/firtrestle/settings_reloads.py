"""Apply changed settings of a running daemon, as far as they need no restart."""

from __future__ import annotations

from pathlib import Path

from loguru import logger

from firtrestle.logs import configure_logs
from firtrestle.settings import Settings, load_settings


def reload_settings(current: Settings, settings_file: Path) -> Settings:
    """Apply the changed log settings, and return the settings in force.

    Other changes, which need a restart, are reported. A file with faults changes nothing.
    """
    settings = load_settings(settings_file)
    if not isinstance(settings, Settings):
        faults = [str(fault) for fault in settings]
        logger.bind(faults=faults).error("settings not reloaded: the file has faults")
        return current
    needs_restart = [
        name
        for name in Settings.model_fields
        if name != "logs" and getattr(settings, name) != getattr(current, name)
    ]
    configure_logs(settings.logs, settings.daemon)
    logger.bind(level=settings.logs.level, waiting=needs_restart).info("settings reloaded")
    return current.model_copy(update={"logs": settings.logs})
