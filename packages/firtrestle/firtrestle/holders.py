"""Hold the targets assigned to this daemon, and send sub-requests to other targets' holders."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, move_on_after, sleep
from firtrestle.events import EventKind, EventLog
from firtrestle.gossip_maps import GossipMap, Item
from firtrestle.http_clients import HttpFailure, HttpReply, NoFreeConnection
from firtrestle.lease_keepers import LeaseKeeper
from firtrestle.leases import TargetLease
from firtrestle.manifests import Manifests
from firtrestle.members import Members
from firtrestle.messages import SubReply, SubRequest
from firtrestle.outcomes import SubOutcome
from firtrestle.peers import FINISHED, Cancellable, Deliver, PeerFailure
from firtrestle.rendezvous import owner
from firtrestle.settings import TargetSettings
from firtrestle.target_pools import TargetPool, keep_idle_connections
from firtrestle.target_reports import (
    REPORT_PREFIX,
    TargetReport,
    TargetState,
    read_report,
    read_status,
)
from firtrestle.vm_lists import Vm, VmList, VmState

FAILURES_UNTIL_DOWN = 2  # failed probes and connects since the last successful probe
MEMBERSHIP_POLL_INTERVAL = Millis(100)
DRAIN_POLL_INTERVAL = Millis(20)


@dataclass(slots=True)
class _HeldTarget:
    """Track the pool and the probes of a target held by this daemon."""

    pool: TargetPool
    scope: trio.CancelScope
    failures_since_success: int = 0
    probe_now: trio.Event = field(default_factory=trio.Event)


class Holders:
    """Map each target to its holder, and act as the holder of this daemon's targets."""

    def __init__(
        self,
        members: Members,
        items: GossipMap,
        settings: TargetSettings,
        lease_keeper: LeaseKeeper,
        clock: Clock,
        events: EventLog,
        nursery: trio.Nursery,
        rng: random.Random,
    ) -> None:
        self.report_by_target: dict[str, TargetReport] = {}
        self.reports_change_count = 0
        self.manifests = Manifests(items)
        self.vm_by_id: dict[str, Vm] = {}
        self._members = members
        self._items = items
        self._settings = settings
        self._lease_keeper = lease_keeper
        self._clock = clock
        self._events = events
        self._nursery = nursery
        self._rng = rng
        self._held_by_id: dict[str, _HeldTarget] = {}
        self._draining_by_id: dict[str, TargetPool] = {}
        self._holder_by_target: dict[str, str | None] = {}
        self._holder_version = (-1, -1)
        self._list_version = 0
        items.add_validator(REPORT_PREFIX, _is_valid_report)
        items.add_listener(REPORT_PREFIX, self._on_report)

    def held_targets(self) -> dict[str, TargetPool]:
        """Return the pools of the targets held here, by target id."""
        return {target_id: held.pool for target_id, held in self._held_by_id.items()}

    def apply_vm_list(self, vms: VmList) -> None:
        """Replace the list of targets and forget the reports of unlisted ones."""
        self.vm_by_id = vms.targets()
        self._list_version += 1
        self.reports_change_count += 1
        for target_id in list(self.report_by_target):
            if target_id not in self.vm_by_id:
                del self.report_by_target[target_id]
                self._items.remove(REPORT_PREFIX + target_id)
        self._update_held_targets()

    def reports(self) -> list[TargetReport]:
        """Return all target reports, with unlisted targets as down and leaving ones as draining."""
        return [self._with_vm_state(report) for report in self.report_by_target.values()]

    def holder_of(self, target_id: str) -> str | None:
        """Return the id of the daemon that holds a target according to this daemon's membership."""
        version = (self._members.version, self._list_version)
        if version != self._holder_version:
            self._holder_by_target.clear()
            self._holder_version = version
        if target_id not in self._holder_by_target:
            self._holder_by_target[target_id] = self._compute_holder(target_id)
        return self._holder_by_target[target_id]

    async def send(self, sub: SubRequest) -> SubReply:
        """Run a sub-request and wait for its reply, within its budget."""
        replies: list[SubReply] = []
        replied = trio.Event()

        def deliver(reply: SubReply) -> None:
            replies.append(reply)
            replied.set()

        call = self.start(sub, deliver)
        try:
            with move_on_after(Millis(sub.budget_ms)):
                await replied.wait()
        finally:
            if not replies:
                call.cancel()
        return replies[0] if replies else SubReply(SubOutcome.DEADLINE, sent=True)

    def start(self, sub: SubRequest, deliver: Deliver) -> Cancellable:
        """Start a sub-request here or through its target's holder; `deliver` gets the reply."""
        holder_id = self.holder_of(sub.target_id)
        if holder_id == self._members.me.id:
            return self.start_locally(sub, deliver)
        holder = self._members.by_id.get(holder_id or "")
        if holder is None:
            deliver(SubReply(SubOutcome.UNREACHABLE, reason="no holder is known"))
            return FINISHED

        def on_answer(answer: SubReply | PeerFailure) -> None:
            deliver(_to_sub_reply(answer))

        return self._members.start_call(holder, sub, on_answer)

    def start_locally(self, sub: SubRequest, deliver: Deliver) -> Cancellable:
        """Start a sub-request of any daemon on a target held here, or refuse it."""
        held = self._held_by_id.get(sub.target_id)
        if held is None:
            deliver(SubReply(SubOutcome.NOT_HOLDER, reason="the target is held elsewhere"))
            return FINISHED
        vm = self.vm_by_id.get(sub.target_id)
        if vm is None or vm.state is VmState.LEAVING:
            deliver(SubReply(SubOutcome.DRAINING, reason="the target is leaving"))
            return FINISHED

        def on_reply(reply: SubReply) -> None:
            if reply.outcome != SubOutcome.OK:
                self._handle_failure(held, SubOutcome(reply.outcome))
            deliver(reply)

        return held.pool.start(sub, on_reply)

    async def run(self) -> None:
        """Update the held targets after membership and list changes, until cancelled."""
        applied = (-1, -1)
        while True:
            current = (self._members.version, self._list_version)
            if current != applied:
                applied = current
                self._update_held_targets()
            await sleep(MEMBERSHIP_POLL_INTERVAL)

    def _compute_holder(self, target_id: str) -> str | None:
        vm = self.vm_by_id.get(target_id)
        return owner(target_id, self._members.live_ids(vm.data_centre if vm else None))

    def _update_held_targets(self) -> None:
        me = self._members.me.id
        own_targets = {target_id for target_id in self.vm_by_id if self.holder_of(target_id) == me}
        for target_id in set(self._held_by_id) - own_targets:
            held = self._held_by_id.pop(target_id)
            held.scope.cancel()
            self._stop_holding(target_id, held.pool)
        for target_id in own_targets - set(self._held_by_id):
            self._start_holding(self.vm_by_id[target_id])

    def _start_holding(self, vm: Vm) -> None:
        pool = self._draining_by_id.pop(vm.id, None)
        if pool is None:
            pool = TargetPool(vm, TargetLease(), self._settings, self._clock, self._nursery)
            self._lease_keeper.hold(vm.id, pool.lease, pool.on_lease_change)
        else:
            pool.reopen()
        report = self.report_by_target.get(vm.id)
        if report is not None and report.state is not TargetState.DOWN:
            pool.report = report
        held = _HeldTarget(pool, trio.CancelScope())
        self._held_by_id[vm.id] = held
        self._nursery.start_soon(self._watch, held)

    def _stop_holding(self, target_id: str, pool: TargetPool) -> None:
        pool.close()
        self._draining_by_id[target_id] = pool
        self._nursery.start_soon(self._return_leases_when_idle, target_id, pool)

    async def _return_leases_when_idle(self, target_id: str, pool: TargetPool) -> None:
        """Return the leases once nothing runs under them, unless the target is held again."""
        while pool.in_flight:
            await sleep(DRAIN_POLL_INTERVAL)
        if self._draining_by_id.get(target_id) is pool:
            del self._draining_by_id[target_id]
            self._lease_keeper.drop(target_id)

    async def _watch(self, held: _HeldTarget) -> None:
        """Probe a held target regularly, and keep connections to it open, while it is held here."""
        with held.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    keep_idle_connections, held.pool, Millis(self._settings.probe_ms)
                )
                while True:
                    self._apply_probe_result(held, await held.pool.probe())
                    with move_on_after(
                        Millis(self._settings.probe_ms * self._rng.uniform(0.8, 1.2))
                    ):
                        await held.probe_now.wait()
                    held.probe_now = trio.Event()

    def _apply_probe_result(self, held: _HeldTarget, reply: HttpReply | HttpFailure) -> None:
        if isinstance(reply, NoFreeConnection):
            return  # it says nothing about the target
        report = None
        if isinstance(reply, HttpReply) and reply.status == 200:
            status = read_status(held.pool.vm.id, reply.json())
            if isinstance(status, str):
                logger.warning(
                    "target {} sent an invalid status, counted as a failed probe: {}",
                    held.pool.vm.id,
                    status,
                )
            else:
                report = status.report
                for version, documents in status.documents_by_version.items():
                    self.manifests.publish(report.collection, version, documents)
        if report is None:
            held.failures_since_success += 1
            if held.failures_since_success >= FAILURES_UNTIL_DOWN:
                self._report_state(held, TargetState.DOWN)
            return
        held.failures_since_success = 0
        held.pool.report = report
        self._publish(report)

    def _handle_failure(self, held: _HeldTarget, outcome: SubOutcome) -> None:
        if outcome is SubOutcome.SNAPSHOT_GONE:
            held.probe_now.set()
        elif outcome is SubOutcome.DRAINING:
            self._report_state(held, TargetState.DRAINING)
        elif outcome is SubOutcome.UNREACHABLE:
            held.failures_since_success += 1
            if held.failures_since_success >= FAILURES_UNTIL_DOWN:
                self._report_state(held, TargetState.DOWN)
        elif outcome is SubOutcome.DIED:
            self._events.add(EventKind.TARGET_DIED, target=held.pool.vm.id)
            held.probe_now.set()

    def _report_state(self, held: _HeldTarget, state: TargetState) -> None:
        report = self.report_by_target.get(held.pool.vm.id)
        if report is not None and report.state is not state:
            self._publish(replace(report, state=state))

    def _publish(self, report: TargetReport) -> None:
        """Gossip a report if it differs from the last one."""
        if self.report_by_target.get(report.target_id) == report:
            return
        stamp = round(self._clock.wall())
        previous = self._items.by_key.get(REPORT_PREFIX + report.target_id)
        if previous is not None:
            stamp = max(stamp, previous.stamp + 1)
        self._items.put(REPORT_PREFIX + report.target_id, stamp, report.to_value())

    def _on_report(self, key: str, item: Item) -> None:
        target_id = key.removeprefix(REPORT_PREFIX)
        report = read_report(target_id, item.value)
        if isinstance(report, str):
            return
        previous = self.report_by_target.get(target_id)
        self.report_by_target[target_id] = report
        self.reports_change_count += 1
        if report.state is TargetState.DRAINING and (
            previous is None or previous.state != report.state
        ):
            self._events.add(EventKind.TARGET_LEAVING, target=target_id)
        held = self._held_by_id.get(target_id)
        if held is not None and held.pool.report is None and report.state is not TargetState.DOWN:
            held.pool.report = report

    def _with_vm_state(self, report: TargetReport) -> TargetReport:
        vm = self.vm_by_id.get(report.target_id)
        if vm is None:
            return replace(report, state=TargetState.DOWN)
        if vm.state is VmState.LEAVING and report.state is not TargetState.DOWN:
            return replace(report, state=TargetState.DRAINING)
        return report


def _to_sub_reply(answer: SubReply | PeerFailure) -> SubReply:
    if isinstance(answer, SubReply):
        return answer
    if isinstance(answer, PeerFailure) and not answer.sent:
        return SubReply(SubOutcome.UNREACHABLE, reason=answer.reason)
    return SubReply(SubOutcome.HOLDER_LOST, sent=True, reason="the holder was lost")


def _is_valid_report(key: str, stamp: int, value: object) -> bool:
    return not isinstance(read_report(key.removeprefix(REPORT_PREFIX), value), str)
