"""Send two requests that crash their searchers, and send them again a minute later."""

from __future__ import annotations

import asyncio

from rig import TROUBLE, Client, Rig, route, run_case

SEARCHERS_BY_SERVICE = {"a": 5, "b": 2}
CRASHES = 3  # from the third on, a request is to be held off
STABLE_S = 4.0  # stableMs
MAX_RETRIES = 3  # that may still reach searchers
FIRST_TRIES, LATER_TRIES = 5, 8
GAP_S = 2.6
PAUSE_S = 61.0  # in which the clients don't send them


async def case(rig: Rig) -> list[str]:
    """Return a violation for each request that reaches searchers too often."""
    rig.services = list(SEARCHERS_BY_SERVICE)
    rig.routes = [route(f"r-{name}", f"/{name}/", name) for name in rig.services]
    rig.publish()
    for service, count in SEARCHERS_BY_SERVICE.items():
        for searcher in await rig.add_searchers(service, count):
            if TROUBLE:
                searcher.crashing_paths.add(f"/{service}/poison")
    await rig.start_daemons()
    clients = [Client(rig, daemon) for daemon in rig.daemons]
    for number in range(FIRST_TRIES + LATER_TRIES):
        if number == FIRST_TRIES:
            await asyncio.sleep(PAUSE_S)
        for service in rig.services:
            await clients[number % len(clients)].send(f"/{service}/poison")
            for client in clients:
                await client.send(f"/{service}/good")
        await asyncio.sleep(GAP_S)
    return [text for service in rig.services for text in _violations(rig, f"/{service}/poison")]


def _violations(rig: Rig, path: str) -> list[str]:
    runs = [arrival for arrival in rig.arrivals if arrival.path == path]
    crashes = [arrival for arrival in runs if TROUBLE]  # each run of it ends in a crash
    if len(crashes) < CRASHES:
        return []
    third = crashes[CRASHES - 1].at
    late = sorted({arrival.request_id for arrival in runs if arrival.at > third + STABLE_S})
    rig.record.add(f"{path}: third crash at {third:.1f}; later retries that ran: {late}")
    if len(late) <= MAX_RETRIES:
        return []
    return [f"BUDGET: {len(late)} retries of {path} reached searchers, {MAX_RETRIES} may"]


run_case(case)
