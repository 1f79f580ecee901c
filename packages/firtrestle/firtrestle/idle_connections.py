"""Hold connections to instances that no call uses."""

from __future__ import annotations

from dataclasses import dataclass

from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpConnection


@dataclass(slots=True)
class IdleConnection:
    """Represent an open connection, and until when it may be used."""

    connection: HttpConnection
    idle_since: Millis
    max_idle: Millis

    def is_usable(self, now: Millis) -> bool:
        """Return whether it has neither expired nor been closed or written to by the instance."""
        return now - self.idle_since < self.max_idle and self.connection.has_no_pending_input()
