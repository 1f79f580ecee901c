"""Gather the replies to a caller's request, by way of a peer where none can be had from here."""

from __future__ import annotations

from dataclasses import replace

from firtrestle.instance_calls import InstanceCall, ignore_reply
from firtrestle.outcomes import SubOutcome
from firtrestle.peers import Cancellable
from firtrestle.relay_messages import RelayResult, RelayTerms
from firtrestle.service_gathers import ServiceGather
from firtrestle.uplinks import UplinkState


class RelayingGather(ServiceGather):
    """Run a request from here, and let a peer run the services that aren't reached from here."""

    _paid_service = ""  # whose repeat has been paid for

    async def collect(self) -> None:
        """Get the services' replies, from here or by way of a peer that reaches the instances.

        Links that may be back or have just returned are spared, unless no peer takes the request.
        """
        uplink, relays = self._tools.uplink, self._tools.relays
        is_down = uplink.state is UplinkState.DOWN
        runs_here = uplink.admits() or not (is_down or relays.has_peers())
        if runs_here:
            await super().collect()
            if not uplink.is_lost and not any(map(self._is_left_to_peers, self._services)):
                return
        may_be_sent_twice = (
            self._route.repeatable and self._route.max_attempts > 1 and not self._is_suspect
        )
        trial = self._send_trial() if may_be_sent_twice and uplink.wants_trial() else None
        try:
            await self._relay_missing()
        except BaseException:  # the caller has left
            if trial is not None:
                trial.cancel()
            raise
        if not (runs_here or self.attempt_summary.relayed_to or is_down):
            self._rules.tried_before = dict(self._tried_by_service)
            self.attempt_summary.reason_by_service.clear()
            await super().collect()

    def _send_trial(self) -> Cancellable | None:
        """Send the request to one service from here as well, to learn whether the links are back.

        It costs a repeat. Its reply is not awaited, so that the caller doesn't depend on it.
        """
        availability = self._tools.availability
        service = self._tools.rng.choice(self._services)
        limit = self._request.table.connection_limit(service)
        ids = [
            id_ for id_ in availability.replica_ids(service, limit) if not availability.wait(id_)
        ]
        if not ids or not self._spend_for(service):
            return None
        taken = availability.take(self._tools.rng.choice(ids), limit)
        if taken is None:
            return None
        instance, connections = taken
        call = InstanceCall(
            self._request.message,
            self._request.deadline,
            ignore_reply,
            fresh=False,
            max_reply_bytes=self._max_reply_bytes,
        )
        self.attempt_summary.sent += 1
        self._tried_by_service[service] = self._reached_by_service[service] = 1
        self._paid_service = service
        return self._tools.pools.start(instance, call, connections)

    async def _relay_missing(self) -> None:
        """Let a peer run the services without a reply, if enough of them may still be run."""
        services = tuple(service for service in self._services if self._may_relay(service))
        needed = self._coverage.least_replies() - len(self.reply_by_service)
        if services and len(services) >= needed:
            terms = RelayTerms(
                services,
                max(0, needed) / len(services),
                {name: tried for name, tried in self._tried_by_service.items() if tried},
                self._is_counted,
            )
            request = replace(self._request, deadline=self._stop_at())
            result = await self._tools.relays.run(request, terms)
            self._tools.uplink.record_heard_by_peer(result.reply_by_service)
            self._merge_result(result)
        for service in self._services:
            if service not in self.reply_by_service:
                reasons = self.attempt_summary.reason_by_service
                reasons.setdefault(service, SubOutcome.UNREACHABLE)

    def _merge_result(self, result: RelayResult) -> None:
        summary, theirs = self.attempt_summary, result.summary
        summary.relayed_to = result.peer_id
        summary.sent += theirs.sent
        summary.hedges += theirs.hedges
        summary.not_run_count += theirs.not_run_count
        summary.last_failure = theirs.last_failure or summary.last_failure
        summary.reason_by_service |= theirs.reason_by_service
        for service, reply in result.reply_by_service.items():
            self.reply_by_service[service] = reply
            summary.reason_by_service.pop(service, None)

    def _is_left_to_peers(self, service: str) -> bool:
        """Return whether no instance of a service was reached from here, and a peer may reach one.

        So it is while connections that are open work, and new ones don't.
        """
        reason = self.attempt_summary.reason_by_service.get(service)
        is_unsent = reason is SubOutcome.NO_REPLICA and not self._tools.uplink.opens
        return (
            (is_unsent or reason is SubOutcome.UNREACHABLE)
            and not self._reached_by_service.get(service)
            and self._tools.relays.may_reach(service)
        )

    def _may_relay(self, service: str) -> bool:
        """Return whether a peer may run a service; if that repeats an attempt, spend a repeat."""
        if service in self.reply_by_service or self._is_given_up:
            return False
        if not self._tools.uplink.is_lost and self._is_counted:
            return self._is_left_to_peers(service)
        if not self._reached_by_service.get(service):
            return True
        runs = self._tried_by_service.get(service, 0)
        if runs and (not self._route.repeatable or self._is_suspect):
            return False
        if runs >= self._route.max_attempts:
            return False
        return service == self._paid_service or self._spend_for(service)

    def _spend_for(self, service: str) -> bool:
        budgets = self._tools.budgets
        return budgets.for_service(service).spend(budgets.slack)
