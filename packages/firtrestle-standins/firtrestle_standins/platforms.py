"""Stand-in for the platform: the configuration service and the VM list."""

from __future__ import annotations

import json
import sys
from collections import deque
from pathlib import Path
from typing import Any

import trio
from firtrestle.clocks import Clock, Millis, move_on_after
from firtrestle.events import EventKind
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer

from firtrestle_standins.records import EventFile

DOCUMENTS_PREFIX = "/v1/documents/"
MAX_CALL_TIMES = 200_000


class Platform:
    """Serve versioned documents that clients read or watch; a rig changes them by /control."""

    def __init__(self, event_file: EventFile) -> None:
        self._event_file = event_file
        self._clock = Clock()
        self._text_by_name: dict[str, str] = {}
        self._revision_by_name: dict[str, int] = {}
        self._down = False
        self._changed = trio.Event()
        self._call_times: deque[Millis] = deque(maxlen=MAX_CALL_TIMES)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Route one request and return its response."""
        if request.path == "/control":
            return self._control(json.loads(request.body))
        if request.path == "/calls":
            return HttpResponse.from_json({"calls": list(self._call_times)})
        if not request.path.startswith(DOCUMENTS_PREFIX) or request.method != "GET":
            return HttpResponse.from_json({"error": "not found or not writable"}, 404)
        self._call_times.append(self._clock.wall())
        if self._down:
            return HttpResponse.from_json({"error": "down"}, 503)
        name = request.path.removeprefix(DOCUMENTS_PREFIX)
        after = int(request.parameters.get("after", "0"))
        wait = Millis(float(request.parameters.get("wait_ms", "0")))
        return await self._read(name, after, wait)

    async def _read(self, name: str, after: int, wait: Millis) -> HttpResponse:
        with move_on_after(wait):
            while self._revision_by_name.get(name, 0) in (0, after) and not self._down:
                await self._changed.wait()
        if self._down:
            return HttpResponse.from_json({"error": "down"}, 503)
        revision = self._revision_by_name.get(name, 0)
        if revision in (0, after):
            return HttpResponse(204)
        return HttpResponse.from_json({"revision": revision, "text": self._text_by_name[name]})

    def _control(self, changes: dict[str, Any]) -> HttpResponse:
        """Store a document, or simulate an outage.

        An explicit revision may be older than the current one, to simulate a stale service.
        """
        self._down = bool(changes.get("down", self._down))
        name = changes.get("name")
        if name is not None:
            revision = changes.get("revision") or self._revision_by_name.get(name, 0) + 1
            self._text_by_name[name] = changes["text"]
            self._revision_by_name[name] = revision
            if changes.get("accepted", True):
                self._event_file.add(EventKind.CHANGE_ACCEPTED, name=name, revision=revision)
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return HttpResponse.from_json({"revisions": self._revision_by_name})


async def serve(host: str, port: int, event_path: Path) -> None:
    """Serve requests until cancelled."""
    platform = Platform(EventFile("platform", event_path))
    bounds = HttpBounds(max_body_bytes=16_000_000, idle_timeout=Millis(3_600_000))
    server = HttpServer(platform.handle, bounds, max_connections=100_000)
    listeners = await trio.open_tcp_listeners(port, host=host)
    await trio.serve_listeners(server.serve, listeners)


def main() -> None:
    """Run with a host, a port and the path of the event file as arguments."""
    host, port, event_path = sys.argv[1:4]
    trio.run(serve, host, int(port), Path(event_path))


if __name__ == "__main__":
    main()
