"""Follow one part of a registry, and check that its open watch misses nothing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import trio
from loguru import logger

from firtrestle.clocks import Millis, sleep
from firtrestle.registry_eras import EraSpan
from firtrestle.route_sources import SourceTools
from firtrestle.settings import RouteSettings

# Collects a series of changes into few calls; changes need to be in force only within seconds.
BATCH_DELAY = Millis(250)
PROOF_WAIT = Millis(100)  # of a watch whose answer is to show that the registry answers at all
CALL_TIMEOUT = Millis(1_500)  # usual answers take milliseconds, but a registry may be slow at times
CHECK_WAIT = Millis(1)
# Shorter than CALL_TIMEOUT: the reads that follow a failed check allow for a slow registry.
CHECK_TIMEOUT = Millis(600)


@dataclass(frozen=True, slots=True)
class RegistryItem:
    """Represent the newest value of a key; None if it was removed or can't be decoded."""

    key: str
    value: bytes | None
    revision: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RegistryUpdates:
    """Represent the items of a read or watch, complete up to a revision of the registry.

    Revisions are given out again after the registry was restored from a copy, which begins its
    next era; the era is None if the answer's could not be read.
    """

    items: tuple[RegistryItem, ...]
    revision: int
    era: int | None = None


@dataclass(frozen=True, slots=True)
class RegistryFailure:
    """Report a call that failed or whose answer is of no use.

    After `history_gone` the whole part must be read again. With `too_long`, so it must if changes
    were asked for: that answer only grows, while a complete read has each key once.
    """

    reason: str
    history_gone: bool = False
    too_long: bool = False


RegistryResult = RegistryUpdates | RegistryFailure
RESTORED = RegistryFailure("the registry was restored", history_gone=True)


class RegistryClient(Protocol):
    """Call a registry over one connection, one call at a time."""

    async def read_prefix(self, prefix: str) -> RegistryResult:
        """Read all items under a prefix."""

    async def watch(
        self, prefix: str, after: int, wait: Millis, answer_timeout: Millis
    ) -> RegistryResult:
        """Wait for changes under a prefix after a revision, for up to `wait`.

        The call fails if there is no answer within `answer_timeout` after that.
        """


class PartFollower:
    """Read one part of a registry once, then watch it, while this daemon is a reader.

    An open watch is silent both when nothing changes and when the registry never received it, or
    lost its answer. So its silence proves nothing; short reads over a second connection do.
    """

    def __init__(
        self,
        name: str,
        connect: Callable[[], RegistryClient],
        publish: Callable[[RegistryUpdates, bool], None],
        tools: SourceTools,
        settings: RouteSettings,
    ) -> None:
        self.watches_given_up = 0
        self.reachable: bool | None = None  # None before the first call
        self._name = name
        self._watcher = connect()
        self._checker = connect()
        self._publish = publish  # gets updates, and whether they are a complete read
        self._progress = tools.progress
        self._reader_role = tools.reader_role
        self._clock = tools.clock
        self._rng = tools.rng
        self._settings = settings

    async def run(self) -> None:
        """Follow the part forever; read it completely if the registry lost its history."""
        while True:
            await self._reader_role.wait_active()
            revision = self._progress.revision(self._name)
            started_at = self._clock.now()
            span = self._progress.eras.span
            result = self._check_era(await self._read(revision), span, revision is None)
            self._note_reachable(result)
            if isinstance(result, RegistryFailure):
                self._log_failed_read(result, started_at)
                if result.history_gone:
                    self._progress.forget(self._name)
                    continue
                if result.too_long and revision is not None:
                    self._progress.read_again(self._name)
                    continue
                self._progress.read_failed(self._name)
                await sleep(Millis(self._settings.retry_ms * self._rng.uniform(0.5, 1.5)))
                continue
            if revision is None:
                self._log_complete_read(result)
            self._publish(result, revision is None)
            self._progress.advance(self._name, result.revision)
            if result.items:
                await sleep(BATCH_DELAY)

    def _check_era(
        self, result: RegistryResult, span: EraSpan | None, is_complete_read: bool
    ) -> RegistryResult:
        """Return a result, or why it is of no use in the eras that are known now.

        `span` are those known when the call was made: changes after a revision are of use only
        while that revision's era lasts.
        """
        if isinstance(result, RegistryFailure):
            return result
        eras = self._progress.eras
        if result.era is not None:
            if eras.is_past(result.era):
                return RegistryFailure(f"answer of era {result.era}, a later one is known")
            eras.observe(result.era)
        if span is not None and eras.span != span and not is_complete_read:
            return RESTORED
        return result

    async def _read(self, revision: int | None) -> RegistryResult:
        """Read the whole part, or wait for changes after a revision."""
        if revision is None:
            return await self._watcher.read_prefix(self._name)
        if self._reader_role.is_unproven(self._name):
            return await self._watcher.watch(self._name, revision, PROOF_WAIT, CALL_TIMEOUT)
        return await self._watch_with_checks(revision)

    async def _watch_with_checks(self, revision: int) -> RegistryResult:
        """Return the answer to a long watch, or the first check that shows that it missed one."""
        results: list[RegistryResult] = []

        async def keep_first(read: Awaitable[RegistryResult]) -> None:
            results.append(await read)
            nursery.cancel_scope.cancel()

        wait = Millis(self._settings.watch_ms)
        async with trio.open_nursery() as nursery:
            watch = self._watcher.watch(self._name, revision, wait, CALL_TIMEOUT)
            nursery.start_soon(keep_first, watch)
            nursery.start_soon(keep_first, self._check_until_missed())
        return results[0]

    async def _check_until_missed(self) -> RegistryResult:
        """Check the part each time its knowledge has aged, until a check fails or finds changes."""
        while True:
            await self._reader_role.wait_check_due(self._name)
            revision = self._progress.revision(self._name)
            if revision is None:
                return RESTORED
            span = self._progress.eras.span
            result = await self._checker.watch(self._name, revision, CHECK_WAIT, CHECK_TIMEOUT)
            result = self._check_era(result, span, is_complete_read=False)
            if isinstance(result, RegistryFailure) or result.items:
                self._log_given_up(result)
                return result
            self._progress.advance(self._name, result.revision)

    def _log_complete_read(self, updates: RegistryUpdates) -> None:
        logger.bind(
            part=self._name,
            era=updates.era,
            revision=updates.revision,
            items=len(updates.items),
        ).info("registry read completely")

    def _log_given_up(self, result: RegistryResult) -> None:
        self.watches_given_up += 1
        missed = len(result.items) if isinstance(result, RegistryUpdates) else None
        reason = result.reason if isinstance(result, RegistryFailure) else "changes not reported"
        logger.bind(
            part=self._name,
            reason=reason,
            missed=missed,
            registry_age_ms=self._progress.logged_age(),
        ).info("registry watch given up after a check")

    def _log_failed_read(self, failure: RegistryFailure, started_at: Millis) -> None:
        logger.bind(
            part=self._name,
            reason=failure.reason,
            too_long=failure.too_long,
            after_ms=round(self._clock.now() - started_at),
            registry_age_ms=self._progress.logged_age(),
        ).info("registry read failed")

    def _note_reachable(self, result: RegistryResult) -> None:
        """Log when the registry becomes reachable or unreachable."""
        is_failure = isinstance(result, RegistryFailure)
        reachable = not is_failure or result.history_gone or result.too_long
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if isinstance(result, RegistryFailure) and not reachable:
            logger.bind(part=self._name, reason=result.reason).warning("store lost")
        else:
            logger.bind(part=self._name).info("store reached")
