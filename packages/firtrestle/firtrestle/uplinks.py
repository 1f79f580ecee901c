"""Judge whether this daemon reaches the instances, by whether it hears from any of them."""

from __future__ import annotations

import itertools
import math
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import StrEnum

from loguru import logger

from firtrestle.clocks import Clock, Millis
from firtrestle.instances import Instance
from firtrestle.snapshots import ReplicaId

MAX_SILENCE = Millis(300)  # a healthy instance's pause is shorter
# While instances accept connections. Overloaded ones may all be silent for shorter times.
MAX_SILENCE_IF_CONNECTABLE = Millis(2_000)
MIN_DOUBTFUL_INSTANCES = 2  # that fail: reason enough for probes, which tell links from instances
# Fewer silent instances, or those of one service, may be at fault themselves.
MIN_SILENT_INSTANCES = 4
MIN_SILENT_SERVICES = 2
TRIAL_INTERVAL = Millis(300)  # between requests that try links that may be back
# From when whole requests are tried, if no request came of which a part could be sent twice.
MAX_TRIAL_TIME = Millis(3_000)
RECENTLY_HEARD = 64  # instances that have replied last
RETURN_TIME = Millis(1_000)  # over which the share of requests sent over a restored link grows


class UplinkState(StrEnum):
    """Define what this daemon believes of its links to the instances."""

    UP = "up"
    SUSPECT = "suspect"  # all instances asked are silent; to be confirmed
    DOWN = "down"
    TRIAL = "trial"  # an instance accepts connections again


class Uplink:
    """Keep the belief whether this daemon, rather than its instances, is cut off.

    A single instance's silence tells nothing of the daemon's own links. That of a few may be their
    own fault, or all that shows of lost links while requests need no others: probes tell. When all
    instances that were asked are silent, and several services among them, the common cause is most
    likely here. Any reply proves the opposite. An instance that can't be reached while others can
    is dead, and tells nothing of the links.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[UplinkState], None] = lambda before: None,
    ) -> None:
        self.state = UplinkState.UP
        self.opens = True  # whether instances accept new connections of this daemon
        self.heard_at = clock.now()  # the last reply of any instance
        self.losses = 0
        self.opening_losses = 0
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._changed_at = self._silent_since = self.heard_at
        self._silent_services: set[str] = set()  # of enough instances for a doubt
        self._service_by_failed_id: dict[ReplicaId, str] = {}  # failed since an instance was heard
        self._service_by_unopened_id: dict[ReplicaId, str] = {}  # since a new connection has worked
        self._silent_ids: set[ReplicaId] = set()
        self._dead_ids: set[ReplicaId] = set()  # not reached while others were
        self._heard_ids: OrderedDict[ReplicaId, None] = OrderedDict()  # the last at the end
        self._failing_since = Millis(0)
        self._unanswered_since = Millis(math.inf)  # by instances that are silent or failed
        self._next_trial_at = Millis(0)
        self._next_comparison_at = Millis(0)

    @property
    def is_lost(self) -> bool:
        """Return whether no instance is believed to be reachable."""
        return self.state in (UplinkState.DOWN, UplinkState.TRIAL)

    @property
    def is_settled(self) -> bool:
        """Return whether the instances are believed to be reachable, and have been for some time.

        A mere suspicion doesn't count: it is not told to peers, who would all probe for it.
        """
        return self.opens and not self.is_lost and self._return_share() >= 1.0

    @property
    def is_in_doubt(self) -> bool:
        """Return whether probes are to tell lost links from instances at fault."""
        return self.is_unheard or self.is_opening_in_doubt

    @property
    def is_unheard(self) -> bool:
        """Return whether enough instances for a doubt are silent, and none was heard meanwhile."""
        return self.state is UplinkState.SUSPECT or bool(self._silent_services)

    @property
    def is_opening_in_doubt(self) -> bool:
        """Return whether new connections failed at so many instances that the cause may be here."""
        return self.opens and len(self._service_by_unopened_id) >= MIN_DOUBTFUL_INSTANCES

    @property
    def failing_ids(self) -> set[ReplicaId]:
        """Return the instances that are silent or failed, unless they are known to be dead."""
        return (
            self._silent_ids
            | self._service_by_failed_id.keys()
            | self._service_by_unopened_id.keys()
        )

    def recently_heard_ids(self) -> set[ReplicaId]:
        """Return the instances that have replied last."""
        return set(itertools.islice(reversed(self._heard_ids), RECENTLY_HEARD))

    def has_heard(self, replica_id: ReplicaId) -> bool:
        """Return whether an instance has ever replied."""
        return replica_id in self._heard_ids

    def has_heard_since(self, at: Millis) -> bool:
        """Return whether any instance has replied since a time."""
        return self.heard_at > at

    def admits(self) -> bool:
        """Return whether a new request is to be sent to instances from here.

        The share of admitted requests grows over the first second of restored links.
        """
        if self.state is UplinkState.DOWN:
            return False
        if self.state is UplinkState.TRIAL:
            is_overdue = self._clock.now() - self._changed_at > MAX_TRIAL_TIME
            return is_overdue and self.wants_trial()
        if self._wants_comparison():
            return False
        return self._rng.random() < self._return_share()

    def wants_trial(self) -> bool:
        """Return whether a request is to try the links now, one in each TRIAL_INTERVAL."""
        now = self._clock.now()
        if self.state is not UplinkState.TRIAL or now < self._next_trial_at:
            return False
        self._next_trial_at = Millis(now + TRIAL_INTERVAL)
        return True

    def _wants_comparison(self) -> bool:
        """Return whether a peer is to run the next request, one in each TRIAL_INTERVAL.

        While silent instances accept connections, only a peer's requests can tell what is at fault.
        """
        now = self._clock.now()
        if not self._is_long_unanswered() or now < self._next_comparison_at:
            return False
        self._next_comparison_at = Millis(now + TRIAL_INTERVAL)
        return True

    def record_heard(self, is_new: bool = False, instance: Instance | None = None) -> None:
        """Record a reply, which proves that the links work, also new ones if it is the first."""
        if is_new:
            self._record_opened()
        if instance is not None:
            self._record_alive(instance.replica_id)
        self.heard_at = self._clock.now()
        self._start_silence()
        if self.state is not UplinkState.UP:
            self._change(UplinkState.UP, "a reply")

    def record_failure(self, instance: Instance, is_new: bool = False) -> None:
        """Record that a connection to an instance failed; a new one, before its first reply."""
        is_dead = instance.replica_id in self._dead_ids
        if is_new and not is_dead and self.state is not UplinkState.DOWN:
            self._service_by_unopened_id[instance.replica_id] = instance.service
        self._add_failed(instance, self._clock.now())

    def record_unanswered(self, instance: Instance, sent_at: Millis) -> None:
        """Record that a call was given up; it tells nothing if an instance was heard meanwhile."""
        is_long = self._clock.now() - sent_at >= MAX_SILENCE
        if is_long and sent_at >= max(self.heard_at, self._changed_at):
            self._add_failed(instance, sent_at)

    def _add_failed(self, instance: Instance, since: Millis) -> None:
        if self.state is UplinkState.DOWN or instance.replica_id in self._dead_ids:
            return
        if not self._service_by_failed_id:
            self._failing_since = since
        self._service_by_failed_id[instance.replica_id] = instance.service

    def record_pause(self) -> None:
        """Start the silence anew after a pause of this process, during which nothing was read."""
        self._start_silence()

    def record_heard_by_peer(self, services: Iterable[str]) -> None:
        """Record replies to a peer: services that have long been silent here are not at fault."""
        if self._is_long_unanswered() and not self._silent_services.isdisjoint(services):
            self._change(UplinkState.DOWN, "a reply to a peer")

    def check(self, silent: Iterable[Instance]) -> None:
        """Update the belief; `silent` have not replied to a request within MAX_SILENCE."""
        if self.state is UplinkState.DOWN:
            return
        now = self._clock.now()
        service_by_id = {
            instance.replica_id: instance.service
            for instance in silent
            if instance.replica_id not in self._dead_ids
        }
        self._silent_ids = set(service_by_id)
        if now - self._failing_since >= MAX_SILENCE:
            service_by_id |= self._service_by_failed_id
        if self.state is UplinkState.TRIAL:
            if service_by_id:
                self._change(UplinkState.DOWN, "no reply", len(service_by_id))
            return
        if self.silence() < MAX_SILENCE:
            service_by_id.clear()
        is_doubtful = len(service_by_id) >= MIN_DOUBTFUL_INSTANCES
        self._silent_services = set(service_by_id.values()) if is_doubtful else set()
        if not service_by_id:
            self._unanswered_since = Millis(math.inf)
        elif self._unanswered_since > now:
            self._unanswered_since = Millis(now - MAX_SILENCE)
        if not _are_many(service_by_id):
            if self.state is UplinkState.SUSPECT:
                self._change(UplinkState.UP, "no request", len(service_by_id))
            return
        if self.state is UplinkState.UP:
            self._change(UplinkState.SUSPECT, "no reply", len(service_by_id))
        elif self._is_long_unanswered():
            self._change(UplinkState.DOWN, "no reply", len(service_by_id))

    def record_probes(self, connected: bool, dead: Iterable[Instance] = ()) -> None:
        """Record whether one of the instances probed accepted a connection.

        A reply that came while they were probed counts more. `dead` are those that accepted none
        while others did.
        """
        for instance in dead:
            self._record_dead(instance)
        if connected:
            self._record_opened()
        elif self.is_opening_in_doubt:
            self._change_opens(False)
        is_silent = self.silence() >= MAX_SILENCE
        if self.state in (UplinkState.UP, UplinkState.SUSPECT) and not connected and is_silent:
            self._change(UplinkState.DOWN, "probes")
        elif self.state is UplinkState.DOWN and connected:
            self._next_trial_at = self._clock.now()
            self._change(UplinkState.TRIAL, "probes")

    def _record_dead(self, instance: Instance) -> None:
        replica_id = instance.replica_id
        if replica_id not in self._dead_ids:
            logger.bind(instance=instance.id, service=instance.service, born=instance.born).info(
                "instance unreachable while others are reached"
            )
        self._dead_ids.add(replica_id)
        self._silent_ids.discard(replica_id)
        self._service_by_failed_id.pop(replica_id, None)
        self._service_by_unopened_id.pop(replica_id, None)

    def _record_alive(self, replica_id: ReplicaId) -> None:
        self._dead_ids.discard(replica_id)
        self._heard_ids[replica_id] = None
        self._heard_ids.move_to_end(replica_id)

    def forget(self, replica_ids: set[ReplicaId]) -> None:
        """Forget instances that are gone."""
        self._dead_ids -= replica_ids
        self._silent_ids -= replica_ids
        for replica_id in replica_ids:
            self._heard_ids.pop(replica_id, None)
            self._service_by_failed_id.pop(replica_id, None)
            self._service_by_unopened_id.pop(replica_id, None)

    def silence(self) -> Millis:
        """Return the time in which a reply could have been read and none came."""
        return Millis(self._clock.now() - self._silent_since)

    def unheard_for(self) -> Millis:
        """Return the time since the last reply of any instance."""
        return Millis(self._clock.now() - self.heard_at)

    def _start_silence(self) -> None:
        """Forget failures and silent instances: what was asked so far proves nothing any more."""
        self._silent_since = self._clock.now()
        self._unanswered_since = Millis(math.inf)
        self._service_by_failed_id.clear()
        self._silent_services = set()
        self._silent_ids.clear()

    def _is_long_unanswered(self) -> bool:
        """Return whether instances in doubt have been silent for long, though they may accept."""
        unanswered = self._clock.now() - self._unanswered_since
        return self.is_unheard and unanswered >= MAX_SILENCE_IF_CONNECTABLE

    def _record_opened(self) -> None:
        self._service_by_unopened_id.clear()
        if not self.opens:
            self._change_opens(True)

    def _change_opens(self, opens: bool) -> None:
        self.opens = opens
        self.opening_losses += not opens
        logger.bind(
            opens=opens,
            failed_instances=len(self._service_by_unopened_id),
            unheard_ms=round(self.unheard_for()),
        ).log("INFO" if opens else "WARNING", "new connections to the instances")
        self._on_change(self.state)

    def _return_share(self) -> float:
        if not self.losses:
            return 1.0
        return min(1.0, (self._clock.now() - self._changed_at) / RETURN_TIME)

    def _change(self, state: UplinkState, evidence: str, silent: int = 0) -> None:
        before, self.state = self.state, state
        now = self._clock.now()
        is_loss = state is UplinkState.DOWN and before is not UplinkState.TRIAL
        self.losses += is_loss
        logger.bind(
            before=str(before),
            after=str(state),
            evidence=evidence,
            silent_instances=silent,
            failed_instances=len(self._service_by_failed_id),
            unheard_ms=round(self.unheard_for()),
            held_ms=round(now - self._changed_at),
        ).log("WARNING" if is_loss else "INFO", "links to the instances")
        # A suspicion that was not confirmed must not start another gradual return.
        if UplinkState.SUSPECT not in (before, state) or is_loss:
            self._changed_at = now
        if state is UplinkState.DOWN:
            self._silent_services = set()
            self._silent_ids.clear()
            self._dead_ids.clear()
            self._service_by_failed_id.clear()
            self._service_by_unopened_id.clear()
        self._on_change(before)


def _are_many(service_by_id: dict[ReplicaId, str]) -> bool:
    """Return whether failures of these instances rather have a common cause than causes there."""
    services = set(service_by_id.values())
    return len(service_by_id) >= MIN_SILENT_INSTANCES and len(services) >= MIN_SILENT_SERVICES
