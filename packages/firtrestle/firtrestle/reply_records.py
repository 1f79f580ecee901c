"""Record what the replies to one request, and their absence, tell of instances and requests."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from firtrestle.attempts import Attempt
from firtrestle.clocks import Millis
from firtrestle.instance_replies import InstanceReply
from firtrestle.outcomes import SubOutcome
from firtrestle.routed_requests import RoutedRequest
from firtrestle.service_tools import ServiceTools
from firtrestle.snapshots import ReplicaId

# Share of the latency target. An attempt that is older when the gather ends counts as overdue: its
# reply would be of no use to the answer.
MIN_OVERDUE_SHARE = 0.5
# What a failing instance does to a request. Its own failure, with a stamp, may be the request's.
FAILING_OUTCOMES = frozenset({SubOutcome.DIED, SubOutcome.BAD_REPLY, SubOutcome.SHED})
MAX_SILENCE_BEFORE_REPORT = Millis(1_000)  # of all instances; else this daemon's links may be lost


class ReplyRecords:
    """Pass on what becomes of a request's attempts to the daemon's records."""

    def __init__(self, tools: ServiceTools, request: RoutedRequest) -> None:
        self._tools = tools
        self._request = request

    def record_success(self) -> None:
        """Record that an instance has answered the request, which thus doesn't crash it."""
        if not self._tools.crashes.is_empty:
            self._tools.crashes.record_success(self._request.fingerprint)

    def record_reply_time(
        self, replica_id: ReplicaId, latency: Millis, hedge_delay: Millis | None
    ) -> None:
        """Report a reply that came before it would have been hedged."""
        if hedge_delay is None or latency <= hedge_delay:
            self._tools.slow_reports.record_good(replica_id)

    def record_lost_race(self, loser: Attempt, waited: Millis) -> None:
        """Record that a later attempt replied before an earlier one, `loser`."""
        self._tools.slow_reports.record(loser.replica.id)
        if loser.replica.record_lost_race(waited, self._tools.clock.now()):
            self._log_ejection(loser, waited)

    def record_reply(self, attempt: Attempt, reply: InstanceReply, awaited_since: Millis) -> None:
        """Learn from a reply, and report one that broke off, is no answer or is a shed."""
        if not reply.reached:
            return
        now = self._tools.clock.now()
        of_failing = attempt.replica.is_reported_failing(now)
        answered = reply.outcome is SubOutcome.OK
        self._tools.try_shares.record(of_failing, answered, Millis(now - awaited_since))
        if (
            reply.outcome in FAILING_OUTCOMES
            and not reply.given_up
            and self._tools.uplink.has_heard_since(
                Millis(attempt.sent_at - MAX_SILENCE_BEFORE_REPORT)
            )
        ):
            self._tools.failing_reports.record(attempt.replica.id)

    def record_unfinished(self, attempt: Attempt, waited: Millis, has_read_all: bool) -> None:
        """Record an attempt that is still open as its gather ends: as overdue, if it is old enough.

        Nothing is overdue unless the daemon `has_read_all` replies.
        """
        of_failing = attempt.replica.is_reported_failing(self._tools.clock.now())
        if waited < self._request.route.latency_target * MIN_OVERDUE_SHARE:
            self._tools.try_shares.record_cancelled(of_failing, waited)
        elif has_read_all:
            self._tools.try_shares.record(of_failing, False, waited)
            self._record_overdue(attempt, waited)

    def _record_overdue(self, attempt: Attempt, waited: Millis) -> None:
        """Record an attempt as overdue.

        Peers are told, and the load is limited, only if another instance was heard meanwhile, as
        this daemon may have lost its links. The next request is better sent elsewhere either way.
        """
        now = self._tools.clock.now()
        if self._tools.uplink.has_heard_since(attempt.sent_at):
            self._tools.slow_reports.record(attempt.replica.id)
            attempt.replica.record_overdue(waited, now)
        else:
            attempt.replica.record_lost_race(waited, now)

    def record_broken_reply(self, attempt: Attempt, reply: InstanceReply, is_repeat: bool) -> None:
        """Record that a reply broke off, `is_repeat` if not for the first time."""
        crashes, replica_id = self._tools.crashes, attempt.replica.id
        fingerprint = self._request.fingerprint
        if reply.given_up:
            crashes.record_unanswered(fingerprint, [replica_id])
            return
        crashes.record_broken_reply(
            fingerprint, replica_id, self._tools.uplink.has_heard(replica_id)
        )
        if is_repeat:
            crashes.spread_suspicion(fingerprint)

    def record_unanswered(self, replica_ids: Iterable[ReplicaId]) -> None:
        """Record the instances that a request without any reply was sent to.

        They may yet crash by it.
        """
        sent_to = list(replica_ids)
        if sent_to:
            self._tools.crashes.record_unanswered(self._request.fingerprint, sent_to)

    def log_failure(
        self, service: str, attempt: Attempt, reply: InstanceReply, outcome: SubOutcome
    ) -> None:
        """Log one failed attempt."""
        logger.bind(
            request_id=self._request.message.request_id,
            service=service,
            instance=attempt.replica.id.target_id,
            outcome=str(outcome),
            reached=reply.reached,
            reason=reply.reason,
            after_ms=round(self._tools.clock.now() - attempt.sent_at),
        ).debug("attempt failed")

    def _log_ejection(self, loser: Attempt, waited: Millis) -> None:
        logger.bind(
            request_id=self._request.message.request_id,
            instance=loser.replica.id.target_id,
            waited_ms=round(waited),
            for_ms=round(loser.replica.ejected_until - self._tools.clock.now()),
        ).info("slow instance passed over")
