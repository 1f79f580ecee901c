"""Let searchers fail requests that they have run with a 503 of their own."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
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

    runs_by_path: Counter[str] = Counter()

    def fail_some(request: Request) -> Answer | None:
        runs_by_path[request.path] += 1
        is_failure = is_troubled and request.id in failing
        return Answer(503, {}, b"the register is locked") if is_failure else None

    for searcher in searchers:
        searcher.replace_answer = fail_some
    promised = []
    for index in range(REQUESTS):
        # A client may send such a request again only after a promise, with an id of its own.
        for request_id in (f"id{index:04d}", f"id{index:04d}again"):
            daemon = deployment.daemons[index % len(deployment.daemons)]
            path = f"/file/{index}"
            answer = await deployment.ask(daemon, HOST, path, request_id, "POST", b"lodge")
            if answer.status not in PROMISES:
                break
            promised.append(request_id)
    await asyncio.sleep(1.0)
    ran = deployment.ran()
    lied = [request_id for request_id in promised if ran.get(request_id)]
    twice = [path for path, runs in runs_by_path.items() if runs > 1]
    deployment.record.add("end", promised=len(promised), promised_and_run=lied, ran_twice=twice)
    print(
        f"{len(ran)} requests ran; {len(lied)} of these were answered with a promise not to run; "
        f"{len(twice)} of {REQUESTS} records were lodged twice"
    )
    return BROKEN if lied else HELD


run_case(FOLDER / "record.txt", case)
