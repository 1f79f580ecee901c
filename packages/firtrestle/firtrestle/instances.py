"""Track the instances of each service from a registry's registrations and removals.

A removal may be a lapse: a registration that expired because the registry was unreachable, or
that a copy lacks from which the registry was restored, while the instance still runs. Such
instances are kept for a grace period.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.departures import Departures
from firtrestle.evacuations import Evacuations
from firtrestle.held_registrations import HeldRegistrations
from firtrestle.snapshots import ReplicaId

LAPSE_GRACE = Millis(2_500)  # live instances register again within 2 s after an outage
OUTAGE_AFTERMATH = Millis(5_000)  # for this long after an outage, removals may be lapses
# Removals of a large share of the instances at once show an outage that was not noticed.
MASS_REMOVAL_WINDOW = Millis(1_000)
MASS_REMOVAL_SHARE = 0.2
MIN_MASS_REMOVALS = 4  # a small fleet's ordinary changes must not count as an outage
CHECK_IN_INTERVAL = Millis(1_200)
EARLIER_ERA_REVISION = 0  # of what is known from before the registry was restored; below all others


@dataclass(frozen=True, slots=True)
class Instance:
    """Represent a registered instance of a service; `born` is its start in Unix time, in ms.

    `warm_up_left` is known only to the daemon that read the registration.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    born: int
    warm_up_left: Millis = field(default=Millis(0), compare=False)
    replica_id: ReplicaId = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        """Derive the replica id: a restart under the same instance id is another replica."""
        object.__setattr__(self, "replica_id", ReplicaId(self.id, str(self.born)))


@dataclass(slots=True)
class _Record:
    """Hold an instance's newest registration and why it may be out of use."""

    instance: Instance
    revision: int
    barred: bool = False  # another instance answers at its address
    lapsed_at: Millis | None = None  # time of a removal that may be a lapse
    is_of_earlier_era: bool = False  # not registered since the registry was restored
    had_lapsed: bool = False  # before the registry was restored


class Instances:
    """Hold the registered instances by id and by service; the highest revision of an id wins."""

    def __init__(
        self,
        clock: Clock,
        on_gone: Callable[[set[ReplicaId]], None],
        departures: Departures,
        on_draining: Callable[[Instance], None] = lambda instance: None,
        on_lost: Callable[[ReplicaId], None] = lambda replica_id: None,
        check_in_interval: Millis = CHECK_IN_INTERVAL,
        on_lapsed: Callable[[], None] = lambda: None,
        evacuations: Evacuations | None = None,
    ) -> None:
        """Prepare; `on_lost` is called for instances that ended without having announced it.

        `on_lapsed` is called as an instance lapses; `expire` is due at the end of its grace period.
        """
        self.evacuations = evacuations or Evacuations(clock)
        self.evacuations.add_listener(lambda zone: self.refresh())
        self._clock = clock
        self._on_gone = on_gone
        self._departures = departures
        self._on_draining = on_draining
        self._on_lost = on_lost
        self._on_lapsed = on_lapsed
        self._record_by_id: dict[str, _Record] = {}
        self._removed_revision_by_id: dict[str, int] = {}
        self._held = HeldRegistrations(clock, check_in_interval)
        self._by_service: dict[str, tuple[Instance, ...]] | None = None
        self._unreachable = False
        self._recovered_at: Millis | None = None
        self._removal_times: deque[Millis] = deque()

    def put(self, instance: Instance, revision: int) -> bool:
        """Store a registration if it is newer; return whether it was."""
        if not self._is_news(instance.id, revision, "registration"):
            return False
        before = self._record_by_id.get(instance.id)
        known = before if before is not None and before.is_of_earlier_era else None
        if self._is_held_back(instance, revision, known):
            if known is not None and known.instance.born != instance.born:
                self._lapse(known, revision)
            return True
        self._store(instance, revision)
        return True

    def _is_held_back(self, instance: Instance, revision: int, known: _Record | None) -> bool:
        """Return whether a registration may be one that a copy brought back.

        It is not if the registry, once restored, has lacked the instance before.
        """
        if instance.id in self._removed_revision_by_id:
            return False
        known_instance = known.instance if known is not None else None
        had_lapsed = known is not None and known.had_lapsed
        return self._held.hold(instance, revision, known_instance, had_lapsed)

    def _store(self, instance: Instance, revision: int) -> None:
        before = self._record_by_id.get(instance.id)
        # A copy tells nothing new of an instance whose address another one had taken.
        is_barred = (
            before is not None
            and before.barred
            and before.is_of_earlier_era
            and before.instance == instance
        )
        self._record_by_id[instance.id] = _Record(instance, revision, is_barred)
        self._by_service = None
        if before is None or before.instance != instance:
            logger.bind(
                instance=instance.id,
                service=instance.service,
                draining=instance.draining,
                born=instance.born,
                revision=revision,
            ).info("instance registered")
        if before is not None and before.instance.born != instance.born:
            self._end(before.instance)
        if instance.draining and (before is None or not before.instance.draining):
            self._on_draining(instance)

    def remove(self, instance_id: str, revision: int) -> bool:
        """Remove an instance, or mark it as lapsed; return whether the removal was newer."""
        if not self._is_news(instance_id, revision, "removal"):
            return False
        self._removed_revision_by_id[instance_id] = revision
        self._held.discard(instance_id)
        record = self._record_by_id.get(instance_id)
        if record is None or record.lapsed_at is not None:
            return True
        if record.instance.draining:
            self._drop(instance_id, revision)
        elif record.is_of_earlier_era or self._may_be_lapse():
            self._lapse(record, revision)
        else:
            self._drop(instance_id, revision)
        return True

    def begin_era(self) -> None:
        """Compare no revision known so far with later ones, as the registry was restored."""
        for record in self._record_by_id.values():
            if not record.is_of_earlier_era:
                record.had_lapsed = record.lapsed_at is not None
            elif not record.had_lapsed:
                record.lapsed_at = None  # only the copy before this one lacked it
            record.revision = EARLIER_ERA_REVISION
            record.is_of_earlier_era = True
        self._removed_revision_by_id.clear()
        self._held.begin_era()

    def bar(self, replica_id: ReplicaId) -> None:
        """Give an instance no new work until a newer registration of it is stored.

        Called if another instance answers at its address.
        """
        record = self._record_by_id.get(replica_id.target_id)
        if record is None or record.instance.replica_id != replica_id or record.barred:
            return
        record.barred = True
        self._by_service = None
        logger.bind(instance=replica_id.target_id, revision=record.revision).info("instance barred")

    def set_registry_reachable(self, is_reachable: bool) -> None:
        """Record whether the registry is reachable."""
        if self._unreachable and is_reachable:
            self._recovered_at = self._clock.now()
        self._unreachable = not is_reachable

    def expire(self) -> None:
        """Drop lapsed instances after the grace period, and use registrations held no longer."""
        now = self._clock.now()
        for instance_id, record in list(self._record_by_id.items()):
            if record.lapsed_at is not None and now - record.lapsed_at >= LAPSE_GRACE:
                self._drop(instance_id, self._last_revision(instance_id))
        for held in self._held.take_due():
            self._store(held.instance, held.revision)

    def time_until_expiry(self) -> Millis | None:
        """Return the time until the next grace period ends, None if no instance has lapsed."""
        lapsed_at = [
            record.lapsed_at
            for record in self._record_by_id.values()
            if record.lapsed_at is not None
        ]
        return Millis(min(lapsed_at) + LAPSE_GRACE - self._clock.now()) if lapsed_at else None

    def refresh(self) -> None:
        """Choose the serving instances of each service anew, after departures or evacuations."""
        self._by_service = None

    def ids(self) -> set[str]:
        """Return the ids of all instances that have not lapsed."""
        return {
            instance_id
            for instance_id, record in self._record_by_id.items()
            if record.lapsed_at is None
        }

    def all(self) -> list[Instance]:
        """Return all instances, including lapsed, draining and barred ones."""
        return [record.instance for record in self._record_by_id.values()]

    def get(self, replica_id: ReplicaId) -> Instance | None:
        """Return the instance of a replica id, or None if it is gone or was restarted."""
        record = self._record_by_id.get(replica_id.target_id)
        if record is None or record.instance.replica_id != replica_id:
            return None
        return record.instance

    def serving(self, service: str) -> tuple[Instance, ...]:
        """Return the instances of a service that may get new work: not draining, not barred.

        None is in an evacuated data centre. Those that announced their departure are returned only
        if there is no other.
        """
        if self._by_service is None:
            self._by_service = self._group_by_service()
        return self._by_service.get(service, ())

    def count(self) -> int:
        """Return the number of instances, including lapsed, draining and barred ones."""
        return len(self._record_by_id)

    def _group_by_service(self) -> dict[str, tuple[Instance, ...]]:
        staying: dict[str, list[Instance]] = {}
        leaving: dict[str, list[Instance]] = {}
        for record in self._record_by_id.values():
            instance = record.instance
            if instance.draining or record.barred:
                continue
            if self.evacuations.covers(instance.data_centre):
                continue
            if not self._departures.is_leaving(instance.replica_id):
                staying.setdefault(instance.service, []).append(instance)
            elif self._departures.is_last_resort(instance.replica_id):
                leaving.setdefault(instance.service, []).append(instance)
        return {name: tuple(instances) for name, instances in (leaving | staying).items()}

    def _is_news(self, instance_id: str, revision: int, change: str) -> bool:
        last_revision = self._last_revision(instance_id)
        if revision <= last_revision:
            logger.bind(
                instance=instance_id, change=change, revision=revision, known_revision=last_revision
            ).debug("change of an instance is no news")
        return revision > last_revision

    def _last_revision(self, instance_id: str) -> int:
        record = self._record_by_id.get(instance_id)
        removed = self._removed_revision_by_id.get(instance_id, 0)
        registered = record.revision if record is not None else 0
        return max(removed, registered, self._held.revision(instance_id))

    def _may_be_lapse(self) -> bool:
        """Count a removal, and return whether it may be due to an outage of the registry.

        This daemon's own view of the registry doesn't decide alone, as a peer may have read the
        removal; a mass removal counts as an outage too.
        """
        now = self._clock.now()
        self._removal_times.append(now)
        while now - self._removal_times[0] > MASS_REMOVAL_WINDOW:
            self._removal_times.popleft()
        if len(self._removal_times) >= max(
            MIN_MASS_REMOVALS, MASS_REMOVAL_SHARE * len(self._record_by_id)
        ):
            return True
        after_outage = (
            self._recovered_at is not None and now - self._recovered_at < OUTAGE_AFTERMATH
        )
        return self._unreachable or after_outage

    def _lapse(self, record: _Record, revision: int) -> None:
        """Keep an instance for a grace period although its registration is gone."""
        if record.lapsed_at is None:
            record.lapsed_at = self._clock.now()
            logger.bind(
                instance=record.instance.id, revision=revision, restored=record.is_of_earlier_era
            ).info("registration lapsed, kept")
            self._on_lapsed()

    def _drop(self, instance_id: str, revision: int) -> None:
        record = self._record_by_id.pop(instance_id)
        self._held.record_end(record.instance)
        self._by_service = None
        self._end(record.instance)
        logger.bind(instance=instance_id, revision=revision).info("instance removed")

    def _end(self, instance: Instance) -> None:
        if not (instance.draining or self._departures.is_leaving(instance.replica_id)):
            self._on_lost(instance.replica_id)
        self._on_gone({instance.replica_id})
