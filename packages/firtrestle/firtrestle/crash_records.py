"""Quarantine routed requests that crash the instances they run on, at all daemons."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
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
CRASH_CONFIRM_WINDOW = Millis(5_000)  # from a broken reply until its instance is found lost
MAX_LOGGED_FINGERPRINTS = 5
MAX_UNCONFIRMED_INSTANCES = 1_000  # instances with broken replies not yet confirmed as crashes


@dataclass(frozen=True, slots=True)
class _BrokenReply:
    fingerprint: str
    at: Millis


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """Represent an instance that could not be reached after it broke off replies."""

    replica_id: ReplicaId
    broken_replies: list[_BrokenReply]
    at: Millis


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

    A broken reply counts as a crash only if its instance is found unreachable, removed or restarted
    soon after. An unreachable instance is only suspected until probes confirm it, as it may be this
    daemon that has lost its links. A single complete reply clears the request's record, here and at
    all peers.
    """

    def __init__(self, items: GossipMap, clock: Clock) -> None:
        self._items = items
        self._clock = clock
        self._broken_by_replica: OrderedDict[ReplicaId, list[_BrokenReply]] = OrderedDict()
        self._suspicions: list[_Suspicion] = []
        self._record_by_fingerprint: dict[str, _Record] = {}
        items.add_validator(CRASH_PREFIX, self._is_current)
        items.add_listener(CRASH_PREFIX, self._on_item)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is recorded, so that requests need no check."""
        return not (self._broken_by_replica or self._suspicions or self._record_by_fingerprint)

    def time_left(self, fingerprint: str) -> Millis | None:
        """Return the rest of a request's quarantine, None if it is not quarantined."""
        record = self._record_by_fingerprint.get(fingerprint)
        left = record.quarantined_until - self._clock.now() if record is not None else 0.0
        return Millis(left) if left > 0 else None

    def record_broken_reply(self, fingerprint: str, replica_id: ReplicaId) -> None:
        """Record that an instance's reply broke off before any other reply to the request came."""
        logger.bind(fingerprint=fingerprint, instance=replica_id.target_id).info(
            "broken reply kept"
        )
        self._broken_by_replica.setdefault(replica_id, []).append(
            _BrokenReply(fingerprint, self._clock.now())
        )
        if len(self._broken_by_replica) > MAX_UNCONFIRMED_INSTANCES:
            self._broken_by_replica.popitem(last=False)

    def record_unreachable(self, replica_id: ReplicaId) -> None:
        """Suspect that an instance that broke off replies and is unreachable has crashed."""
        broken_replies = self._broken_by_replica.pop(replica_id, None)
        if broken_replies:
            suspicion = _Suspicion(replica_id, broken_replies, self._clock.now())
            self._suspicions.append(suspicion)

    def suspected(self) -> set[ReplicaId]:
        """Return the instances that are suspected to have crashed."""
        return {suspicion.replica_id for suspicion in self._suspicions}

    def confirm_crash(self, replica_id: ReplicaId) -> None:
        """Count the crash of a suspected instance."""
        for suspicion in self._take_suspicions(replica_id):
            self._record_crashes(replica_id, suspicion.broken_replies, suspicion.at)

    def withdraw_suspicion(self, replica_id: ReplicaId) -> None:
        """Keep only the broken replies of an instance that is reachable, in case it restarted."""
        for suspicion in self._take_suspicions(replica_id):
            self._broken_by_replica.setdefault(replica_id, []).extend(suspicion.broken_replies)

    def discard_unconfirmed(self) -> None:
        """Forget broken replies and suspicions that lost links of this daemon explain."""
        if self._broken_by_replica or self._suspicions:
            fingerprints = {
                broken.fingerprint
                for broken_replies in self._broken_by_replica.values()
                for broken in broken_replies
            }
            logger.bind(
                instances=len(self._broken_by_replica),
                suspected=len(self._suspicions),
                fingerprints=sorted(fingerprints)[:MAX_LOGGED_FINGERPRINTS],
            ).info("broken replies explained by lost links")
        self._broken_by_replica.clear()
        self._suspicions.clear()

    def record_instance_lost(self, replica_id: ReplicaId) -> None:
        """Count the recent broken replies of an instance that was removed or restarted."""
        broken_replies = self._broken_by_replica.pop(replica_id, [])
        for suspicion in self._take_suspicions(replica_id):
            broken_replies += suspicion.broken_replies
        self._record_crashes(replica_id, broken_replies, self._clock.now())

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that an instance answered."""
        self._suspicions = [
            replace(suspicion, broken_replies=kept)
            for suspicion in self._suspicions
            if (kept := _without(fingerprint, suspicion.broken_replies))
        ]
        for replica_id, broken_replies in list(self._broken_by_replica.items()):
            kept = _without(fingerprint, broken_replies)
            if kept:
                self._broken_by_replica[replica_id] = kept
            else:
                del self._broken_by_replica[replica_id]
        if fingerprint in self._record_by_fingerprint:
            crashed = len(self._record_by_fingerprint[fingerprint].crashed)
            logger.bind(fingerprint=fingerprint, crashed=crashed).info("request cleared by a reply")
            self._publish(fingerprint, [])

    def expire(self) -> None:
        """Remove unconfirmed broken replies and records that have expired."""
        now = self._clock.now()
        for replica_id, broken_replies in list(self._broken_by_replica.items()):
            if all(now - broken.at > CRASH_CONFIRM_WINDOW for broken in broken_replies):
                fingerprints = sorted({broken.fingerprint for broken in broken_replies})
                logger.bind(
                    instance=replica_id.target_id,
                    fingerprints=fingerprints[:MAX_LOGGED_FINGERPRINTS],
                ).info("broken replies expired")
                del self._broken_by_replica[replica_id]
        self._suspicions = [s for s in self._suspicions if now - s.at <= CRASH_CONFIRM_WINDOW]
        for key, item in self._items.with_prefix(CRASH_PREFIX).items():
            if self._clock.wall() - item.stamp > RECORD_RETENTION:
                self._items.remove(key)
                self._record_by_fingerprint.pop(key.removeprefix(CRASH_PREFIX), None)

    def _take_suspicions(self, replica_id: ReplicaId) -> list[_Suspicion]:
        taken = [s for s in self._suspicions if s.replica_id == replica_id]
        self._suspicions = [s for s in self._suspicions if s.replica_id != replica_id]
        return taken

    def _record_crashes(
        self, replica_id: ReplicaId, broken_replies: list[_BrokenReply], lost_at: Millis
    ) -> None:
        for broken in broken_replies:
            if lost_at - broken.at <= CRASH_CONFIRM_WINDOW:
                self._record_crash(broken.fingerprint, replica_id.target_id)

    def _record_crash(self, fingerprint: str, target_id: str) -> None:
        record = self._record_by_fingerprint.get(fingerprint, _Record())
        bound = logger.bind(fingerprint=fingerprint, instance=target_id, before=len(record.crashed))
        bound.info("an instance crashed while it ran a request")
        if target_id not in record.crashed:
            self._publish(fingerprint, sorted(record.crashed | {target_id}))

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


def _without(fingerprint: str, broken_replies: list[_BrokenReply]) -> list[_BrokenReply]:
    return [broken for broken in broken_replies if broken.fingerprint != fingerprint]
