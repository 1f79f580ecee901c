"""Know the instances of each service, from what a registry says and when it said so."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.snapshots import ReplicaId

LAPSE_GRACE = Millis(2_500)  # after a removal; live instances are back 2 s after an outage's end
OUTAGE_MEMORY = Millis(5_000)  # after a registry's return, in which removals may be lapses
MASS_WINDOW = Millis(1_000)  # in which removals are counted as coming together
MASS_SHARE = 0.2  # of all instances, whose removal at once shows an outage that was not noticed
MASS_LEAST = 4  # removals, so that a small fleet's ordinary changes are not taken for an outage


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
    replica_id: ReplicaId = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        """Name this start of the instance: a restart under the same id is another replica."""
        object.__setattr__(self, "replica_id", ReplicaId(self.id, str(self.born)))


@dataclass(slots=True)
class _Held:
    instance: Instance
    revision: int
    barred: bool = False  # another instance answered at its address
    lapsed_at: Millis | None = None  # when it was removed, if that may be a lapse


class Instances:
    """Hold the instances in use, by id and by service; the highest revision of an id wins."""

    def __init__(self, clock: Clock, forget: Callable[[set[ReplicaId]], None]) -> None:
        self._clock = clock
        self._forget = forget
        self._held_by_id: dict[str, _Held] = {}
        self._removed_revision_by_id: dict[str, int] = {}
        self._by_service: dict[str, tuple[Instance, ...]] | None = None
        self._unwell = False
        self._returned_at: Millis | None = None
        self._removals: deque[Millis] = deque()

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
        if held is None or held.lapsed_at is not None:
            return True
        if not held.instance.draining and self._may_be_lapse():
            held.lapsed_at = self._clock.now()
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
        if self._unwell and well:
            self._returned_at = self._clock.now()
        self._unwell = not well

    def expire(self) -> None:
        """Drop lapsed instances that did not come back in time."""
        now = self._clock.now()
        for instance_id, held in list(self._held_by_id.items()):
            if held.lapsed_at is not None and now - held.lapsed_at >= LAPSE_GRACE:
                self._drop(instance_id, self._removed_revision_by_id[instance_id])

    def ids(self) -> set[str]:
        """Return the ids of all instances held and not lapsed."""
        return {one for one, held in self._held_by_id.items() if held.lapsed_at is None}

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

    def _may_be_lapse(self) -> bool:
        """Say whether a removal may come from an outage of the registry, not from an end.

        A peer may have read it, so that this daemon's own view of the registry can't tell for sure.
        """
        now = self._clock.now()
        self._removals.append(now)
        while now - self._removals[0] > MASS_WINDOW:
            self._removals.popleft()
        if len(self._removals) >= max(MASS_LEAST, MASS_SHARE * len(self._held_by_id)):
            return True
        returned = self._returned_at is not None and now - self._returned_at < OUTAGE_MEMORY
        return self._unwell or returned

    def _drop(self, instance_id: str, revision: int) -> None:
        held = self._held_by_id.pop(instance_id)
        self._by_service = None
        self._forget({held.instance.replica_id})
        logger.bind(instance=instance_id, revision=revision).info("instance removed")
