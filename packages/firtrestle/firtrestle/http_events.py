"""Read the events of an HTTP connection."""

from __future__ import annotations

from typing import Any

import h11


def next_event(http: h11.Connection) -> Any:
    """Return the next event; raise h11.RemoteProtocolError on bytes that break the protocol."""
    try:
        return http.next_event()
    except h11.RemoteProtocolError as error:
        # It comes from a frame that refers to it. With the traceback, each would keep the other and
        # the frames of all callers, with their messages, until the garbage collector runs.
        raise error.with_traceback(None) from None
