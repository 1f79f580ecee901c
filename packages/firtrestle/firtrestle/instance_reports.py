"""Combine the reports of all daemons on single instances into verdicts on them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.snapshots import ReplicaId

# A healthy instance's pause delays requests for a shorter time.
MIN_SPAN = Millis(400)
MAX_GAP = Millis(1_000)  # between two reports of one run
# Longer than it takes until a renewed verdict has reached all daemons.
HOLD_TIME = Millis(2_500)
RENEWAL_INTERVAL = Millis(500)  # of a verdict that newer reports support
MIN_OWN_INTERVAL = Millis(100)  # between two reports of this daemon that peers are told of
# With a verdict on more of the instances, the load or the network is at fault.
MAX_VERDICT_SHARE = 0.3
MAX_REPORTED_AGE = Millis(60_000)

OnVerdict = Callable[[ReplicaId, Millis], None]


@dataclass(slots=True)
class _Run:
    """Represent reports on one instance, the times of the first and the last.

    Only reports after `good_at`, the last good reply that ended a run, count for a verdict.
    """

    first_at: Millis
    last_at: Millis
    good_at: Millis = Millis(float("-inf"))
    told_at: Millis = Millis(float("-inf"))  # the last report that peers were told of
    is_told: bool = False  # whether peers were told of a verdict
    is_in_force: bool = False  # whether the verdict holds, as it was logged last

    @property
    def is_verdict(self) -> bool:
        """Return whether the reports span more than a pause of a healthy instance."""
        return self.last_at - max(self.first_at, self.good_at) >= MIN_SPAN

    def ends_before(self, report_at: Millis) -> bool:
        """Return whether a report is too late to belong to the run.

        While an instance is avoided nobody can report on it, so that a verdict extends its run.
        """
        return report_at - self.last_at > MAX_GAP + (HOLD_TIME if self.is_verdict else 0.0)


class InstanceReports:
    """Collect reports of one kind on instances, and tell when an instance is to be avoided.

    A daemon of a large fleet sends each instance a request in some seconds only, too few to judge
    it alone. Daemons tell a few peers of each report, and verdicts spread to all. Times travel as
    ages, so that wall clocks don't matter.
    """

    kind: str  # what the verdict says of an instance
    is_lifted_by_good_replies: bool
    holds_if_widespread: bool  # also above MAX_VERDICT_SHARE

    def __init__(
        self, clock: Clock, count_instances: Callable[[], int], on_verdict: OnVerdict
    ) -> None:
        self._clock = clock
        self._count_instances = count_instances
        self._on_verdict = on_verdict
        self._run_by_replica: dict[ReplicaId, _Run] = {}
        self._changed: set[ReplicaId] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether no report is kept."""
        return not self._run_by_replica

    def record(self, replica_id: ReplicaId) -> None:
        """Record what an instance did to a request of this daemon."""
        now = self._clock.now()
        run = self._merge(replica_id, now, now)
        if now - run.told_at >= MIN_OWN_INTERVAL:
            self._announce(replica_id, run)

    def record_good(self, replica_id: ReplicaId) -> None:
        """Record a good reply of an instance, which may end a run of reports on it."""
        run = self._run_by_replica.get(replica_id)
        if run is not None and self._end_run(replica_id, run, self._clock.now()):
            self._announce(replica_id, run)

    def merge_rows(self, rows: Any) -> None:
        """Merge the reports that a peer sent; skip malformed ones."""
        now = self._clock.now()
        for row in rows if isinstance(rows, list) else [rows]:
            if not _is_row(row):
                logger.debug("a peer's report on a {} instance is malformed: {!r}", self.kind, row)
                continue
            instance_id, born, first_age, last_age, good_age = row
            replica_id = ReplicaId(instance_id, born)
            run = self._merge(replica_id, Millis(now - first_age), Millis(now - last_age))
            is_lifted = good_age is not None and self._end_run(
                replica_id, run, Millis(now - good_age)
            )
            is_news = not run.is_told or run.last_at - run.told_at >= RENEWAL_INTERVAL
            if is_lifted or (run.is_verdict and is_news):
                self._announce(replica_id, run)

    def take_rows(self) -> list[list[Any]]:
        """Return what peers are to be told since the last call."""
        now = self._clock.now()
        changed, self._changed = self._changed, set()
        runs = [(id_, self._run_by_replica[id_]) for id_ in changed if id_ in self._run_by_replica]
        return [
            [
                id_.target_id,
                id_.searcher,
                round(now - run.first_at),
                round(now - run.last_at),
                round(now - run.good_at) if run.good_at > run.first_at else None,
            ]
            for id_, run in runs
        ]

    def verdict_count(self) -> int:
        """Return the number of instances with a verdict that holds."""
        now = self._clock.now()
        runs = self._run_by_replica.values()
        return sum(run.is_verdict and now - run.last_at < HOLD_TIME for run in runs)

    def expire(self) -> None:
        """Log verdicts that no longer hold, and forget runs that no later report can extend."""
        now = self._clock.now()
        for replica_id, run in list(self._run_by_replica.items()):
            if run.is_in_force and now - run.last_at >= HOLD_TIME:
                self._end_verdict(replica_id, run)
            if run.ends_before(now):
                del self._run_by_replica[replica_id]

    def _announce(self, replica_id: ReplicaId, run: _Run) -> None:
        run.told_at = run.last_at
        run.is_told = run.is_verdict
        self._changed.add(replica_id)

    def _end_run(self, replica_id: ReplicaId, run: _Run, good_at: Millis) -> bool:
        """Count only reports after a good reply; return whether that lifted a verdict."""
        if not self.is_lifted_by_good_replies:
            return False
        was_verdict = run.is_verdict
        run.good_at = max(run.good_at, good_at)
        if not was_verdict or run.is_verdict:
            return False
        self._on_verdict(replica_id, self._clock.now())
        if run.is_in_force:
            self._end_verdict(replica_id, run)
        return True

    def _merge(self, replica_id: ReplicaId, first_at: Millis, last_at: Millis) -> _Run:
        run = self._run_by_replica.get(replica_id)
        if run is None or run.ends_before(first_at):
            run = self._run_by_replica[replica_id] = _Run(first_at, last_at)
        elif run.first_at - last_at > MAX_GAP:  # of an earlier run
            return run
        else:
            run.first_at = min(run.first_at, first_at)
            run.last_at = max(run.last_at, last_at)
        if run.is_verdict:
            self._apply(replica_id, run)
        return run

    def _apply(self, replica_id: ReplicaId, run: _Run) -> None:
        now = self._clock.now()
        if now - run.last_at >= HOLD_TIME:
            return
        is_new = not run.is_in_force
        is_avoided = self.holds_if_widespread or not self._is_widespread()
        run.is_in_force = True
        if is_new:
            logger.bind(
                instance=replica_id.target_id,
                span_ms=round(run.last_at - run.first_at),
                age_ms=round(now - run.last_at),
                avoided=is_avoided,
                verdicts=self.verdict_count(),
                instances=self._count_instances(),
            ).info("instance {}, by the reports of several daemons", self.kind)
        if is_avoided:
            self._on_verdict(replica_id, Millis(run.last_at + HOLD_TIME))

    def _end_verdict(self, replica_id: ReplicaId, run: _Run) -> None:
        run.is_in_force = False
        logger.bind(
            instance=replica_id.target_id,
            age_ms=round(self._clock.now() - run.last_at),
            verdicts=self.verdict_count(),
        ).info("instance no longer {}, by the reports of several daemons", self.kind)

    def _is_widespread(self) -> bool:
        return self.verdict_count() > MAX_VERDICT_SHARE * self._count_instances()


def _is_row(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != 5:
        return False
    instance_id, born, first_age, last_age, good_age = row
    are_texts = isinstance(instance_id, str) and isinstance(born, str)
    are_numbers = all(
        isinstance(age, int | float) and not isinstance(age, bool)
        for age in (first_age, last_age, 0 if good_age is None else good_age)
    )
    if not (are_texts and are_numbers):
        return False
    is_good_age = good_age is None or 0 <= good_age <= MAX_REPORTED_AGE
    return is_good_age and 0 <= last_age <= first_age <= MAX_REPORTED_AGE
