"""Track one message to one instance, from its start to its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from firtrestle.clocks import MILLIS_PER_SECOND, Millis
from firtrestle.http_clients import MAX_REPLY_BYTES, HttpFailure
from firtrestle.instance_replies import CallerMessage, InstanceReply, failed_reply

# Several times a usual reply time. Reading the reply to a cancelled call keeps its connection
# usable, which saves opening a new one.
CANCELLED_REPLY_TIMEOUT = Millis(150)

DeliverReply = Callable[[InstanceReply], None]


def ignore_reply(reply: InstanceReply) -> None:
    """Take a reply that nobody waits for."""


@dataclass(slots=True, eq=False)
class InstanceCall:
    """Track one message to one instance; its reply is delivered at most once."""

    message: CallerMessage
    deadline: Millis
    deliver: DeliverReply
    fresh: bool  # needs a new connection, because a message lost on a stale one can't be resent
    max_reply_bytes: int = MAX_REPLY_BYTES
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    finished: bool = False
    sent_at: Millis | None = None  # when its message was written
    opened_connection: bool = False

    def finish(self, reply: InstanceReply) -> None:
        """Deliver the reply, unless the call is finished or cancelled."""
        if not self.finished:
            self._release_receiver()(reply)

    def fail(self, reason: str) -> None:
        """Deliver a failure now, and stop the call."""
        reply = failed_reply(HttpFailure(self.sent_at is not None, reason))
        reply.given_up = True
        self.finish(reply)
        self.scope.cancel()

    def cancel(self) -> None:
        """Cancel the call; if sent, its reply is awaited briefly to keep the connection usable."""
        self._release_receiver()
        if self.sent_at is not None:
            self.scope.deadline = trio.current_time() + CANCELLED_REPLY_TIMEOUT / MILLIS_PER_SECOND
        else:
            self.scope.cancel()

    def abort(self) -> None:
        """Stop a cancelled call at once, which closes its connection."""
        self.scope.cancel()

    def _release_receiver(self) -> DeliverReply:
        """Finish the call, and return what its reply was to be delivered to.

        The gather that waits for the reply holds its calls. Without this release the two hold each
        other, and with them the request's body, until the garbage collector runs.
        """
        self.finished = True
        deliver, self.deliver = self.deliver, ignore_reply
        return deliver
