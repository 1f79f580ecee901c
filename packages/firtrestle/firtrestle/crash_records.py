"""Quarantine routed requests that crash the instances they run on, at all daemons."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.gossip_maps import GossipMap, Item
from firtrestle.hashing import hex64
from firtrestle.instance_replies import CallerMessage
from firtrestle.snapshots import ReplicaId

CRASH_PREFIX = "crash/"
QUARANTINE_INSTANCES = 3  # crashed instances; the platform allows three retries after the third
QUARANTINE_DURATION = Millis(60_000)  # lets the operator fix or withdraw the request meanwhile
RECORD_RETENTION = Millis(600_000)  # since the stamp, which is its publisher's wall clock
# From a broken reply until its instance is found lost. An entry of a crashed instance expires after
# some heartbeats, and is kept for a while longer if many expire at once.
EVIDENCE_RETENTION = Millis(15_000)
PROBE_TIME = Millis(5_000)  # from a broken reply, in which its instance is probed
# Of the instances on which a request broke off. If most of them live on, the cause is elsewhere.
MIN_LOST_SHARE = 0.5
MAX_CASES = 500  # requests with broken replies; the oldest is dropped
MAX_LOST_INSTANCES = 1_000  # remembered for replies that are found broken after the loss


@dataclass(slots=True)
class _BrokenReply:
    at: Millis
    was_heard: bool  # the instance had replied before, so that it was alive
    is_reached: bool = False  # a probe has reached the instance since


@dataclass(slots=True)
class _Case:
    """Hold the instances on which a request broke off, and which of them were found lost since."""

    broken_by_replica: dict[ReplicaId, _BrokenReply] = field(default_factory=dict)
    lost: set[ReplicaId] = field(default_factory=set)

    def is_conclusive(self) -> bool:
        """Return whether most of the instances are lost."""
        return len(self.lost) >= MIN_LOST_SHARE * len(self.broken_by_replica)


@dataclass(slots=True)
class _Record:
    crashed: set[str] = field(default_factory=set)
    quarantined_until: Millis = Millis(0)


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
    """

    def __init__(self, items: GossipMap, clock: Clock) -> None:
        self._items = items
        self._clock = clock
        self._case_by_fingerprint: OrderedDict[str, _Case] = OrderedDict()
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
        if len(self._case_by_fingerprint) > MAX_CASES:
            dropped, _ = self._case_by_fingerprint.popitem(last=False)
            logger.bind(fingerprint=dropped).info("broken replies dropped, too many requests")

    def suspected(self) -> set[ReplicaId]:
        """Return the instances to probe, on which requests broke off a short time ago."""
        oldest = self._clock.now() - PROBE_TIME
        return {
            replica_id
            for case in self._case_by_fingerprint.values()
            for replica_id, broken in case.broken_by_replica.items()
            if broken.at >= oldest and not broken.is_reached and replica_id not in case.lost
        }

    def record_unreachable(self, replica_id: ReplicaId) -> None:
        """Count the crash of an instance that probes did not reach, while they reached others.

        One that had never replied may have been dead before: connections to it may be accepted and
        dropped in between.
        """
        oldest = Millis(self._clock.now() - PROBE_TIME)
        self._record_losses(replica_id, oldest, "probe", only_heard=True)

    def record_reached(self, replica_id: ReplicaId) -> None:
        """Stop probing an instance that a probe reached; the registry may yet show a restart."""
        for case in self._case_by_fingerprint.values():
            if replica_id in case.broken_by_replica:
                case.broken_by_replica[replica_id].is_reached = True

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
            crashed = len(self._record_by_fingerprint[fingerprint].crashed)
            logger.bind(fingerprint=fingerprint, crashed=crashed).info("request cleared by a reply")
            self._publish(fingerprint, [])

    def expire(self) -> None:
        """Remove evidence and records that have expired."""
        oldest = self._clock.now() - EVIDENCE_RETENTION
        for fingerprint, case in list(self._case_by_fingerprint.items()):
            if all(broken.at < oldest for broken in case.broken_by_replica.values()):
                del self._case_by_fingerprint[fingerprint]
                logger.bind(
                    fingerprint=fingerprint,
                    instances=len(case.broken_by_replica),
                    lost=len(case.lost),
                ).info("broken replies expired")
        while self._lost_at_by_replica and next(iter(self._lost_at_by_replica.values())) < oldest:
            self._lost_at_by_replica.popitem(last=False)
        for key, item in self._items.with_prefix(CRASH_PREFIX).items():
            if self._clock.wall() - item.stamp > RECORD_RETENTION:
                self._items.remove(key)
                self._record_by_fingerprint.pop(key.removeprefix(CRASH_PREFIX), None)

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
            before=len(record.crashed),
        ).info("an instance crashed while it ran a request")
        crashed = {lost.target_id for lost in case.lost}
        if case.is_conclusive() and not crashed <= record.crashed:
            self._publish(fingerprint, sorted(record.crashed | crashed))

    def _publish(self, fingerprint: str, crashed: list[str]) -> None:
        """Send a record to all daemons; an empty one clears the request."""
        key = CRASH_PREFIX + fingerprint
        known = self._items.by_key.get(key)
        stamp = round(self._clock.wall())
        self._items.put(key, max(stamp, known.stamp + 1) if known is not None else stamp, crashed)

    def _on_item(self, key: str, item: Item) -> None:
        """Merge a published record into the local one; publish again if it lacked known crashes."""
        fingerprint = key.removeprefix(CRASH_PREFIX)
        if not item.value:
            self._record_by_fingerprint.pop(fingerprint, None)
            return
        record = self._record_by_fingerprint.setdefault(fingerprint, _Record())
        missing = record.crashed - set(item.value)
        record.crashed |= set(item.value)
        if len(record.crashed) >= QUARANTINE_INSTANCES and not record.quarantined_until:
            record.quarantined_until = Millis(self._clock.now() + QUARANTINE_DURATION)
            logger.bind(fingerprint=fingerprint, instances=sorted(record.crashed)).warning(
                "request held off: it crashes instances"
            )
        if missing:
            self._publish(fingerprint, sorted(record.crashed))

    def _is_current(self, key: str, stamp: int, value: Any) -> bool:
        is_list = isinstance(value, list) and all(
            isinstance(instance_id, str) for instance_id in value
        )
        return is_list and self._clock.wall() - stamp <= RECORD_RETENTION
