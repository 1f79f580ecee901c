"""Hold back registrations of a restored registry that contradict what was known before it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from firtrestle.clocks import Clock, Millis

if TYPE_CHECKING:
    from firtrestle.instances import Instance

CHECK_INS_UNTIL_EXPIRY = 3  # without them, a registry drops a registration
RETURN_TIME = Millis(2_000)  # from a registry's return until live instances have registered again
END_RETENTION = Millis(60_000)  # copies are some seconds old


@dataclass(frozen=True, slots=True)
class _End:
    """Record the last lifetime of an instance that was removed."""

    born: int
    at: Millis


@dataclass(frozen=True, slots=True)
class HeldRegistration:
    """Represent a registration that is not used yet."""

    instance: Instance
    revision: int


class HeldRegistrations:
    """Decide which registrations of a new era are held back, and until when.

    A copy may hold a lifetime that has ended or begun to drain since. The registry drops or
    corrects its registration within the hold time; what is still there afterwards is true.
    """

    def __init__(self, clock: Clock, check_in_interval: Millis) -> None:
        self._clock = clock
        self._hold_time = Millis(CHECK_INS_UNTIL_EXPIRY * check_in_interval + RETURN_TIME)
        self._era_began_at: Millis | None = None
        self._end_by_id: dict[str, _End] = {}
        self._held_by_id: dict[str, HeldRegistration] = {}

    def begin_era(self) -> None:
        """Doubt registrations from now on, and forget those held in the era before."""
        self._era_began_at = self._clock.now()
        self._held_by_id.clear()

    def record_end(self, instance: Instance) -> None:
        """Record that an instance was removed."""
        self._end_by_id[instance.id] = _End(instance.born, self._clock.now())

    def hold(
        self, instance: Instance, revision: int, known: Instance | None, had_lapsed: bool = False
    ) -> bool:
        """Hold a registration if it contradicts what was known; return whether it does.

        `known` is the registration of the id in an earlier era, None if there is none; with
        `had_lapsed` it had been removed there, which may have been a lapse.
        """
        reason = self._contradiction(instance, known, had_lapsed)
        if reason is None:
            self._held_by_id.pop(instance.id, None)
            return False
        self._held_by_id[instance.id] = HeldRegistration(instance, revision)
        logger.bind(
            instance=instance.id,
            born=instance.born,
            revision=revision,
            reason=reason,
            for_ms=round(self._time_left()),
        ).info("registration of a restored registry held back")
        return True

    def discard(self, instance_id: str) -> None:
        """Forget the held registration of an id, as a later change of it is known."""
        self._held_by_id.pop(instance_id, None)

    def revision(self, instance_id: str) -> int:
        """Return the revision of the held registration of an id, 0 if there is none."""
        held = self._held_by_id.get(instance_id)
        return held.revision if held is not None else 0

    def take_due(self) -> list[HeldRegistration]:
        """Return the registrations that are held no longer, and forget old ends."""
        oldest = self._clock.now() - END_RETENTION
        for instance_id in [id_ for id_, end in self._end_by_id.items() if end.at < oldest]:
            del self._end_by_id[instance_id]
        if not self._held_by_id or self._time_left() > 0:
            return []
        due, self._held_by_id = list(self._held_by_id.values()), {}
        return due

    def _time_left(self) -> float:
        if self._era_began_at is None:
            return 0.0
        return self._era_began_at + self._hold_time - self._clock.now()

    def _contradiction(
        self, instance: Instance, known: Instance | None, had_lapsed: bool
    ) -> str | None:
        if self._time_left() <= 0:
            return None
        if known is not None and instance.born < known.born:
            return "a later lifetime was known"
        if known is not None and instance.born == known.born:
            if had_lapsed:
                return "the instance was removed, which may have been a lapse"
            is_undone = known.draining and not instance.draining
            return "the instance was draining" if is_undone else None
        end = self._end_by_id.get(instance.id)
        has_ended = end is not None and end.at <= self._era_began_at and instance.born <= end.born
        return "the instance was removed" if known is None and has_ended else None
