"""Stand-in for the platform's load balancer: selects daemons by health checks."""

from __future__ import annotations

from collections.abc import Callable

import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.http_clients import HttpReply, fetch

CHECK_INTERVAL = Millis(100)
CHECK_TIMEOUT = Millis(1_000)
# Consecutive checks without an answer until a daemon is taken out of service. A daemon that answers
# that it is not ready is taken out at once.
UNHEALTHY_THRESHOLD = 2

AddressLookup = Callable[[], dict[str, str]]


class Balancer:
    """Check the readiness of all daemons at a fixed interval."""

    def __init__(self, addresses: AddressLookup) -> None:
        self._lookup_addresses = addresses
        self._failures_by_name: dict[str, int] = {}

    def healthy_addresses(self) -> dict[str, str]:
        """Return the addresses of the healthy daemons by name, or of all if none is healthy."""
        addresses = self._lookup_addresses()
        healthy = {
            n: a
            for n, a in addresses.items()
            if self._failures_by_name.get(n, 0) < UNHEALTHY_THRESHOLD
        }
        return healthy or addresses

    async def run(self) -> None:
        """Run health checks until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for name, address in self._lookup_addresses().items():
                    nursery.start_soon(self._check_readiness, name, address)
            await sleep(CHECK_INTERVAL)

    async def _check_readiness(self, name: str, address: str) -> None:
        reply = await fetch(address, "GET", "/-/ready", CHECK_TIMEOUT)
        if isinstance(reply, HttpReply):
            self._failures_by_name[name] = 0 if reply.status == 200 else UNHEALTHY_THRESHOLD
        else:
            self._failures_by_name[name] = self._failures_by_name.get(name, 0) + 1
