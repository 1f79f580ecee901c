"""Let the store come back from a copy, and add a service and a route to it afterwards."""

from __future__ import annotations

import asyncio

from rig import TROUBLE, Client, Rig, route, run_case

STORM_VERSIONS = 10  # a change each 0.33 s, as in the days of the site file
STORM_GAP_S = 0.33
AWAY_S = 0.5  # "for a moment"
STABLE_S = 4.0  # stableMs
ROUNDS = 20


async def case(rig: Rig) -> list[str]:
    """Return a violation if a route that was added later is served too seldom."""
    rig.services = ["a"]
    rig.routes = [route("r-a", "/a/", "a")]
    rig.publish()
    await rig.add_searchers("a", 3)
    await rig.start_daemons()
    copy = rig.store.copy()
    for number in range(STORM_VERSIONS):
        rig.routes[0]["timeoutMs"] = 2000 + 10 * (number % 2)
        rig.publish()
        await asyncio.sleep(STORM_GAP_S)
    if TROUBLE:
        rig.store.go_away()
    searchers = [asyncio.ensure_future(rig.add_searchers("d", 3))]
    await asyncio.sleep(AWAY_S)
    if TROUBLE:
        rig.store.come_back(copy)
        rig.write_state()
        for searcher in rig.searchers.values():
            searcher.check_in()
    await asyncio.sleep(STABLE_S + 2)
    await searchers[0]
    rig.services.append("d")
    rig.routes.append(route("r-d", "/d/", "d"))
    rig.publish()
    await asyncio.sleep(STABLE_S)
    served = {"/a/x": 0, "/d/x": 0}
    clients = [Client(rig, daemon) for daemon in rig.daemons]
    for _ in range(ROUNDS):
        for client in clients:
            for path in served:
                served[path] += (await client.send(path)).status == 200
        await asyncio.sleep(0.3)
    asked = ROUNDS * len(clients)
    rig.record.add(f"served of {asked} each: {served}")
    if served["/d/x"] < served["/a/x"] / 4:
        return [f"CONFIG: of {asked} each, {served} were served; /d/ was added later"]
    return []


run_case(case, daemons=9)
