"""Keep a fault in one connection or call from ending anything else."""

from __future__ import annotations

import traceback
from collections import Counter

from loguru import logger

MAX_LOGGED_SITES = 100  # distinct faults that are logged with their trace


class FaultRecorder:
    """Count isolated faults, and log the first of each kind and place."""

    def __init__(self) -> None:
        self.count_by_task: Counter[str] = Counter()
        self._logged_sites: set[tuple[str, str, int]] = set()

    def record(self, task: str, error: BaseException) -> None:
        """Count a fault of a kind of task, and log it with its trace if it is a new one."""
        self.count_by_task[task] += 1
        leaf = first_leaf(error)
        site = _site(task, leaf)
        if site in self._logged_sites or len(self._logged_sites) >= MAX_LOGGED_SITES:
            return
        self._logged_sites.add(site)
        logger.opt(exception=leaf).error("{} ended by an unexpected exception", task)


faults = FaultRecorder()


def first_leaf(error: BaseException) -> BaseException:
    """Return the first exception that is not itself a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _site(task: str, error: BaseException) -> tuple[str, str, int]:
    frames = traceback.extract_tb(error.__traceback__)
    line = frames[-1].lineno if frames else 0
    return task, type(error).__name__, line or 0
