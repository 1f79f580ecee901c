"""Let searchers fail requests that they have run with a 503 of their own."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Answer,
    Deployment,
    Request,
    desired_state,
    run_case,
)

REQUESTS = 60
FAILING_SHARE = 0.4  # of the requests, as the bench's default for srv_grey says
PROMISES = (408, 421, 429, 503)  # "not run, and never will be"
HOST = "hufi27.example"


async def case(deployment: Deployment, is_troubled: bool) -> int:
    """Send requests that may run once, and compare the answers with the runs."""
    await deployment.start_store()
    searchers = await deployment.add_searchers("registry")
    route = {
        "name": "r-file",
        "hostname": HOST,
        "prefix": "/file/",
        "kind": "non_idempotent",
        "timeoutMs": 1_500,
        "targetLatencyMs": 277,
        "priority": 2,
        "service": "registry",
        "maxAttempts": 2,
    }
    deployment.store.put("op/config", desired_state(7, [route], ["registry"]))
    if not await deployment.start_daemons():
        return NOT_RUN
    await asyncio.sleep(4.5)  # all machines are in touch
    rng = random.Random(6)
    failing = {f"id{index:04d}" for index in range(REQUESTS) if rng.random() < FAILING_SHARE}

    def fail_some(request: Request) -> Answer | None:
        return Answer(503, {}, b"the register is locked") if request.id in failing else None

    if is_troubled:
        for searcher in searchers:
            searcher.replace_answer = fail_some
    promised = []
    for index in range(REQUESTS):
        request_id = f"id{index:04d}"
        daemon = deployment.daemons[index % len(deployment.daemons)]
        answer = await deployment.ask(daemon, HOST, f"/file/{index}", request_id, "POST", b"lodge")
        if answer.status in PROMISES:
            promised.append(request_id)
    await asyncio.sleep(1.0)
    ran = deployment.ran()
    lied = [request_id for request_id in promised if ran.get(request_id)]
    deployment.record.add("end", promised=len(promised), promised_and_run=lied)
    print(f"{len(ran)} requests ran; {len(lied)} of these were answered with a promise not to run")
    return BROKEN if lied else HELD


run_case(FOLDER, case)
