"""Know the instances of each service, from what a registry says and when it said so."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.snapshots import ReplicaId

LAPSE_GRACE = Millis(2_500)  # after a registry's return; live instances are back in about 2 s


@dataclass(frozen=True, slots=True)
class Instance:
    """Hold one registered instance of a service; `born` is the Unix time of its start, in ms."""

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    born: int

    @property
    def replica_id(self) -> ReplicaId:
        """Name this start of the instance: a restart under the same id is another replica."""
        return ReplicaId(self.id, str(self.born))


@dataclass(slots=True)
class _Held:
    instance: Instance
    revision: int
    barred: bool = False  # another instance answered at its address
    lapsed: bool = False  # removed while the registry was unwell; kept for a while


class Instances:
    """Hold the instances in use, by id and by service; the highest revision of an id wins."""

    def __init__(self, clock: Clock, forget: Callable[[set[ReplicaId]], None]) -> None:
        self._clock = clock
        self._forget = forget
        self._held_by_id: dict[str, _Held] = {}
        self._removed_revision_by_id: dict[str, int] = {}
        self._by_service: dict[str, tuple[Instance, ...]] | None = None
        self._unwell_since: Millis | None = None
        self._well_since: Millis | None = None

    def put(self, instance: Instance, revision: int) -> bool:
        """Take in an instance's newest registration; return whether it was news."""
        if revision <= self._last_revision(instance.id):
            return False
        before = self._held_by_id.get(instance.id)
        self._held_by_id[instance.id] = _Held(instance, revision)
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
            self._forget({before.instance.replica_id})
        return True

    def remove(self, instance_id: str, revision: int) -> bool:
        """Take in that an instance's registration is gone; return whether it was news."""
        if revision <= self._last_revision(instance_id):
            return False
        self._removed_revision_by_id[instance_id] = revision
        held = self._held_by_id.get(instance_id)
        if held is None:
            return True
        if self._keeps_lapsed() and not held.instance.draining:
            held.lapsed = True
            logger.bind(instance=instance_id, revision=revision).info("registration lapsed, kept")
        else:
            self._drop(instance_id, revision)
        return True

    def bar(self, replica_id: ReplicaId) -> None:
        """Give an instance no new work until its registration changes: its address is another's."""
        held = self._held_by_id.get(replica_id.target_id)
        if held is None or held.instance.replica_id != replica_id or held.barred:
            return
        held.barred = True
        self._by_service = None
        logger.bind(instance=replica_id.target_id, revision=held.revision).info("instance barred")

    def note_registry(self, well: bool) -> None:
        """Take note whether the registry answers."""
        now = self._clock.now()
        if not well:
            if self._unwell_since is None:
                self._unwell_since = now
            self._well_since = None
        elif self._unwell_since is not None and self._well_since is None:
            self._well_since = now

    def expire(self) -> None:
        """Drop lapsed instances once the registry has been back for long enough."""
        if self._well_since is None or self._clock.now() - self._well_since < LAPSE_GRACE:
            return
        self._unwell_since = self._well_since = None
        for instance_id, held in list(self._held_by_id.items()):
            if held.lapsed:
                self._drop(instance_id, self._removed_revision_by_id[instance_id])

    def revision_of(self, instance_id: str) -> int:
        """Return the revision of the newest news of an instance, 0 for none."""
        return self._last_revision(instance_id)

    def ids(self) -> set[str]:
        """Return the ids of all instances held and not lapsed."""
        return {one for one, held in self._held_by_id.items() if not held.lapsed}

    def get(self, replica_id: ReplicaId) -> Instance | None:
        """Return the instance of one start, or None when it is gone or was restarted."""
        held = self._held_by_id.get(replica_id.target_id)
        if held is None or held.instance.replica_id != replica_id:
            return None
        return held.instance

    def serving(self, service: str) -> tuple[Instance, ...]:
        """Return the instances that may get new work, those leaving excluded."""
        if self._by_service is None:
            grouped: dict[str, list[Instance]] = {}
            for held in self._held_by_id.values():
                if not held.instance.draining and not held.barred:
                    grouped.setdefault(held.instance.service, []).append(held.instance)
            self._by_service = {name: tuple(held) for name, held in grouped.items()}
        return self._by_service.get(service, ())

    def count(self) -> int:
        """Return how many instances are held."""
        return len(self._held_by_id)

    def _last_revision(self, instance_id: str) -> int:
        held = self._held_by_id.get(instance_id)
        removed = self._removed_revision_by_id.get(instance_id, 0)
        return max(removed, held.revision if held is not None else 0)

    def _keeps_lapsed(self) -> bool:
        return self._unwell_since is not None

    def _drop(self, instance_id: str, revision: int) -> None:
        held = self._held_by_id.pop(instance_id)
        self._by_service = None
        self._forget({held.instance.replica_id})
        logger.bind(instance=instance_id, revision=revision).info("instance removed")
