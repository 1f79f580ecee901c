"""Quarantine routed requests that crash the instances they run on, at all daemons."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.gossip_maps import GossipMap, Item
from firtrestle.hashing import hex64
from firtrestle.instance_replies import CallerMessage
from firtrestle.snapshots import ReplicaId

CRASH_PREFIX = "crash/"
# Marks that no instance has, as ids contain no spaces.
SUSPECT_MARK = " suspect"
TRIAL_MARK = " trial "
QUARANTINE_INSTANCES = 3  # crashed instances; the platform allows three retries after the third
QUARANTINE_DURATION = Millis(60_000)  # lets the operator fix or withdraw the request meanwhile
MAX_QUARANTINE_DURATION = Millis(300_000)  # doubled by each trial up to this
TRIAL_STAGGER = Millis(1_000)  # between the times from which two daemons may try a request again
RECORD_RETENTION = Millis(600_000)  # since the stamp, which is its publisher's wall clock
# From a broken reply until its instance is found lost. An entry of a crashed instance expires after
# some heartbeats, and is kept for a while longer if many expire at once.
EVIDENCE_RETENTION = Millis(15_000)
MIN_SUSPECT_REPLIES = 2  # broken off, without a reply of any instance
PROBE_TIME = Millis(5_000)  # from a broken reply, in which its instance is probed
# Of the instances on which a request broke off. If most of them live on, the cause is elsewhere.
MIN_LOST_SHARE = 0.5
MAX_CASES = 500  # requests with broken replies; the oldest is dropped
MAX_RECORDED_CRASHES = 8  # of a request
MAX_LOST_INSTANCES = 1_000  # remembered for replies that are found broken after the loss


@dataclass(slots=True)
class _BrokenReply:
    at: Millis
    was_heard: bool  # the instance had replied before, so that it was alive
    is_unanswered: bool = False  # given up, so that only the registry tells a crash from slowness
    is_reached: bool = False  # a probe has reached the instance since
    is_absent: bool = False  # probes don't reach it, and don't tell since when


@dataclass(slots=True)
class _Case:
    """Hold the instances on which a request broke off, and which of them were found lost since."""

    broken_by_replica: dict[ReplicaId, _BrokenReply] = field(default_factory=dict)
    lost: set[ReplicaId] = field(default_factory=set)

    def is_conclusive(self) -> bool:
        """Return whether most of the instances are lost, of those that may live on."""
        absent = sum(
            broken.is_absent and replica_id not in self.lost
            for replica_id, broken in self.broken_by_replica.items()
        )
        return len(self.lost) >= MIN_LOST_SHARE * (len(self.broken_by_replica) - absent)

    def broken(self) -> int:
        """Return the number of replies that broke off."""
        return sum(not broken.is_unanswered for broken in self.broken_by_replica.values())

    def remove_before(self, oldest: Millis) -> int:
        """Remove the broken replies from before a time; return their number."""
        expired = [id_ for id_, broken in self.broken_by_replica.items() if broken.at < oldest]
        for replica_id in expired:
            del self.broken_by_replica[replica_id]
            self.lost.discard(replica_id)
        return len(expired)


@dataclass(slots=True)
class _Record:
    """Hold what all daemons know of a request: marks of crashed lifetimes, trials, suspicion."""

    marks: set[str] = field(default_factory=set)
    trials: int = 0  # that this daemon's quarantine allows for
    quarantined_until: Millis = Millis(0)

    def crashes(self) -> int:
        """Count crashed lifetimes; earlier builds name an instance without its lifetime."""
        crashed = self.crashed()
        instances = {mark.partition(" ")[0] for mark in crashed if " " in mark}
        return sum(" " in mark or mark not in instances for mark in crashed)

    def crashed(self) -> list[str]:
        """Return the marks of crashed lifetimes."""
        return sorted(mark for mark in self.marks if not mark.startswith(" "))


def _lifetime_mark(replica_id: ReplicaId) -> str:
    return f"{replica_id.target_id} {replica_id.searcher}"


def _is_trial(mark: str) -> bool:
    return mark.startswith(TRIAL_MARK)


def message_fingerprint(message: CallerMessage) -> str:
    """Return a hash of the request that is the same for all callers and resends."""
    body = message.body.decode("latin-1")
    return hex64(f"{message.method} {message.host} {message.target}\n{body}")


class CrashRecords:
    """Record which instances crashed while they ran a request that no instance has answered.

    A broken reply is evidence only, whatever this daemon believes of its own links: it counts as a
    crash once its instance is lost, by the registry or by probes that reach others, and if most of
    the instances on which the request broke off are lost. A single complete reply clears the
    request's record, here and at all peers.

    After its quarantine a request is tried once by one daemon, which renews the quarantine at all
    others first, for twice as long.
    """

    def __init__(
        self,
        items: GossipMap,
        clock: Clock,
        own_rank: Callable[[str], int] = lambda fingerprint: 0,
    ) -> None:
        """Prepare; `own_rank` gives this daemon's place in the order in which all may try."""
        self._items = items
        self._clock = clock
        self._own_rank = own_rank
        self._case_by_fingerprint: dict[str, _Case] = {}
        self._lost_at_by_replica: OrderedDict[ReplicaId, Millis] = OrderedDict()
        self._record_by_fingerprint: dict[str, _Record] = {}
        items.add_validator(CRASH_PREFIX, self._is_current)
        items.add_listener(CRASH_PREFIX, self._on_item)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is recorded, so that requests need no check."""
        return not (self._case_by_fingerprint or self._record_by_fingerprint)

    def time_left(self, fingerprint: str) -> Millis | None:
        """Return the rest of a request's quarantine, None if it is not quarantined."""
        record = self._record_by_fingerprint.get(fingerprint)
        left = record.quarantined_until - self._clock.now() if record is not None else 0.0
        return Millis(left) if left > 0 else None

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request crashed an instance, or broke off on several."""
        case = self._case_by_fingerprint.get(fingerprint)
        if case is not None and case.broken() >= MIN_SUSPECT_REPLIES:
            return True
        return fingerprint in self._record_by_fingerprint

    def spread_suspicion(self, fingerprint: str) -> None:
        """Tell all daemons of a request that broke off, and broke off again as it was repeated."""
        record = self._record_by_fingerprint.get(fingerprint, _Record())
        if not record.marks:
            logger.bind(fingerprint=fingerprint).info("request suspected to crash instances")
            self._publish(fingerprint, {SUSPECT_MARK})

    def begin_trial(self, fingerprint: str) -> bool:
        """Renew the quarantine of a request that is due for a trial; return whether it is."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or not record.quarantined_until or self.time_left(fingerprint):
            return False
        logger.bind(fingerprint=fingerprint, trial=record.trials + 1).info(
            "request tried again after its quarantine"
        )
        self._publish(fingerprint, record.marks | {f"{TRIAL_MARK}{record.trials + 1}"})
        return True

    def quarantined(self) -> int:
        """Return the number of requests in quarantine."""
        now = self._clock.now()
        records = self._record_by_fingerprint.values()
        return sum(record.quarantined_until > now for record in records)

    def record_broken_reply(
        self, fingerprint: str, replica_id: ReplicaId, was_heard: bool = True
    ) -> None:
        """Record that an instance's reply broke off before any other reply to the request came."""
        case = self._case_by_fingerprint.setdefault(fingerprint, _Case())
        case.broken_by_replica[replica_id] = _BrokenReply(self._clock.now(), was_heard)
        is_lost = replica_id in self._lost_at_by_replica
        logger.bind(
            fingerprint=fingerprint,
            instance=replica_id.target_id,
            born=replica_id.searcher,
            was_heard=was_heard,
            others=len(case.broken_by_replica) - 1,
            lost=is_lost,
        ).info("broken reply kept")
        if is_lost:
            self._record_loss(fingerprint, case, replica_id, "registry")
        self._limit_cases()

    def record_unanswered(self, fingerprint: str, replica_ids: list[ReplicaId]) -> None:
        """Record instances that got a request which was given up without any reply."""
        case = self._case_by_fingerprint.setdefault(fingerprint, _Case())
        now = self._clock.now()
        for replica_id in replica_ids:
            reply = _BrokenReply(now, was_heard=False, is_unanswered=True)
            case.broken_by_replica.setdefault(replica_id, reply)
        logger.bind(fingerprint=fingerprint, instances=len(replica_ids)).debug(
            "request given up, its instances are remembered"
        )
        self._limit_cases()

    def _limit_cases(self) -> None:
        """Drop the oldest request if there are too many; first those that were only given up."""
        if len(self._case_by_fingerprint) <= MAX_CASES:
            return
        by_fingerprint = self._case_by_fingerprint.items()
        oldest = next(iter(self._case_by_fingerprint))
        dropped = next((key for key, case in by_fingerprint if not case.broken()), oldest)
        del self._case_by_fingerprint[dropped]
        logger.bind(fingerprint=dropped).debug("broken replies dropped, too many requests")

    def suspected(self) -> set[ReplicaId]:
        """Return the instances to probe, on which requests broke off a short time ago."""
        oldest = self._clock.now() - PROBE_TIME
        return {
            replica_id
            for case in self._case_by_fingerprint.values()
            for replica_id, broken in case.broken_by_replica.items()
            if broken.at >= oldest
            and not (broken.is_unanswered or broken.is_reached)
            and replica_id not in case.lost
        }

    def record_unreachable(self, replica_id: ReplicaId, is_refused: bool) -> None:
        """Count the crash of an instance that probes did not reach, while they reached others.

        One that had never replied may have been dead before: connections to it may be accepted and
        dropped in between. It has crashed if they are refused now, as it took the request over one.
        """
        for broken in self._broken_replies(replica_id):
            broken.is_absent = True
        oldest = Millis(self._clock.now() - PROBE_TIME)
        self._record_losses(replica_id, oldest, "probe", only_heard=not is_refused)

    def record_reached(self, replica_id: ReplicaId) -> None:
        """Stop probing an instance that a probe reached; the registry may yet show a restart."""
        for broken in self._broken_replies(replica_id):
            broken.is_reached, broken.is_absent = True, False

    def record_instance_lost(self, replica_id: ReplicaId) -> None:
        """Count the recent broken replies of an instance that was removed or restarted."""
        now = self._clock.now()
        self._lost_at_by_replica[replica_id] = now
        if len(self._lost_at_by_replica) > MAX_LOST_INSTANCES:
            self._lost_at_by_replica.popitem(last=False)
        self._record_losses(replica_id, Millis(now - EVIDENCE_RETENTION), "registry")

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that an instance answered."""
        self._case_by_fingerprint.pop(fingerprint, None)
        if fingerprint in self._record_by_fingerprint:
            crashes = self._record_by_fingerprint[fingerprint].crashes()
            logger.bind(fingerprint=fingerprint, crashes=crashes).info("request cleared by a reply")
            self._publish(fingerprint, set())

    def expire(self) -> None:
        """Remove evidence and records that have expired."""
        oldest = self._clock.now() - EVIDENCE_RETENTION
        for fingerprint, case in list(self._case_by_fingerprint.items()):
            level = "INFO" if case.broken() else "DEBUG"
            expired = case.remove_before(Millis(oldest))
            if expired:
                logger.bind(fingerprint=fingerprint, instances=expired, lost=len(case.lost)).log(
                    level, "broken replies expired"
                )
            if not case.broken_by_replica:
                del self._case_by_fingerprint[fingerprint]
        while self._lost_at_by_replica and next(iter(self._lost_at_by_replica.values())) < oldest:
            self._lost_at_by_replica.popitem(last=False)
        for key, item in self._items.with_prefix(CRASH_PREFIX).items():
            if self._clock.wall() - item.stamp > RECORD_RETENTION:
                self._items.remove(key)
                self._record_by_fingerprint.pop(key.removeprefix(CRASH_PREFIX), None)

    def _broken_replies(self, replica_id: ReplicaId) -> list[_BrokenReply]:
        """Return an instance's broken replies to all requests."""
        cases = self._case_by_fingerprint.values()
        return [
            case.broken_by_replica[replica_id]
            for case in cases
            if replica_id in case.broken_by_replica
        ]

    def _record_losses(
        self, replica_id: ReplicaId, oldest: Millis, evidence: str, only_heard: bool = False
    ) -> None:
        for fingerprint, case in self._case_by_fingerprint.items():
            broken = case.broken_by_replica.get(replica_id)
            if broken is None or broken.at < oldest or replica_id in case.lost:
                continue
            if broken.was_heard or not only_heard:
                self._record_loss(fingerprint, case, replica_id, evidence)

    def _record_loss(
        self, fingerprint: str, case: _Case, replica_id: ReplicaId, evidence: str
    ) -> None:
        case.lost.add(replica_id)
        record = self._record_by_fingerprint.get(fingerprint, _Record())
        logger.bind(
            fingerprint=fingerprint,
            instance=replica_id.target_id,
            born=replica_id.searcher,
            evidence=evidence,
            age_ms=round(self._clock.now() - case.broken_by_replica[replica_id].at),
            lost=len(case.lost),
            broken=len(case.broken_by_replica),
            before=record.crashes(),
        ).info("an instance crashed while it ran a request")
        new = sorted({_lifetime_mark(lost) for lost in case.lost} - record.marks)
        new = new[: max(0, MAX_RECORDED_CRASHES - record.crashes())]
        if case.is_conclusive() and new:
            self._publish(fingerprint, record.marks.union(new))

    def _publish(self, fingerprint: str, marks: set[str]) -> None:
        """Send a record to all daemons; an empty one clears the request."""
        key = CRASH_PREFIX + fingerprint
        known = self._items.by_key.get(key)
        stamp = round(self._clock.wall())
        stamp = max(stamp, known.stamp + 1) if known is not None else stamp
        self._items.put(key, stamp, sorted(marks))

    def _on_item(self, key: str, item: Item) -> None:
        """Merge a published record into the local one; publish again if it lacked known marks."""
        fingerprint = key.removeprefix(CRASH_PREFIX)
        if not item.value:
            self._record_by_fingerprint.pop(fingerprint, None)
            self._case_by_fingerprint.pop(fingerprint, None)
            return
        record = self._record_by_fingerprint.setdefault(fingerprint, _Record())
        missing = record.marks - set(item.value)
        record.marks |= set(item.value)
        self._update_quarantine(fingerprint, record)
        if missing:
            self._publish(fingerprint, record.marks)

    def _update_quarantine(self, fingerprint: str, record: _Record) -> None:
        """Start the quarantine after enough crashes, and renew it with each trial of any daemon."""
        trials = sum(map(_is_trial, record.marks))
        is_new = not record.quarantined_until
        if record.crashes() < QUARANTINE_INSTANCES or not (is_new or trials > record.trials):
            return
        record.trials = trials
        duration = min(MAX_QUARANTINE_DURATION, QUARANTINE_DURATION * 2**trials)
        duration += self._own_rank(fingerprint) * TRIAL_STAGGER
        record.quarantined_until = Millis(self._clock.now() + duration)
        logger.bind(
            fingerprint=fingerprint,
            instances=record.crashed(),
            trials=trials,
            for_ms=round(duration),
        ).warning("request held off: it crashes instances")

    def _is_current(self, key: str, stamp: int, value: Any) -> bool:
        is_list = isinstance(value, list) and all(
            isinstance(instance_id, str) for instance_id in value
        )
        return is_list and self._clock.wall() - stamp <= RECORD_RETENTION
