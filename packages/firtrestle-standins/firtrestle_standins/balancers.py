"""Stand in for the platform's balancer: offer the daemons that say that they are ready."""

from __future__ import annotations

from collections.abc import Callable

import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.http_clients import HttpReply, fetch

CHECK_PAUSE = Millis(100)
CHECK_TIMEOUT = Millis(1_000)
FAILED_CHECKS_ALLOWED = 2  # without an answer; a daemon that says not ready is out at once

Addresses = Callable[[], dict[str, str]]


class Balancer:
    """Check each daemon's readiness again and again."""

    def __init__(self, addresses: Addresses) -> None:
        self._addresses = addresses
        self._failed_by_name: dict[str, int] = {}

    def ready(self) -> dict[str, str]:
        """Return the addresses of the daemons to send to, all where none is ready."""
        found = self._addresses()
        fit = {
            n: a for n, a in found.items() if self._failed_by_name.get(n, 0) < FAILED_CHECKS_ALLOWED
        }
        return fit or found

    async def run(self) -> None:
        """Check for ever."""
        while True:
            async with trio.open_nursery() as nursery:
                for name, address in self._addresses().items():
                    nursery.start_soon(self._check, name, address)
            await sleep(CHECK_PAUSE)

    async def _check(self, name: str, address: str) -> None:
        reply = await fetch(address, "GET", "/-/ready", CHECK_TIMEOUT)
        if isinstance(reply, HttpReply):
            self._failed_by_name[name] = 0 if reply.status == 200 else FAILED_CHECKS_ALLOWED
        else:
            self._failed_by_name[name] = self._failed_by_name.get(name, 0) + 1

    def _is_fit(self, name: str) -> bool:
        return self._failed_by_name.get(name, 0) < FAILED_CHECKS_ALLOWED
