"""Check the rules of traces on real processes under kills, pauses, partitions and bad replies."""

import itertools
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.events import EventKind
from firtrestle.http_clients import HttpReply, fetch
from firtrestle.keys import new_key
from firtrestle.traces import replay
from firtrestle_standins.callers import Callers, Plan, search_plans
from firtrestle_standins.loads import balanced_callers
from firtrestle_standins.rigs import Rig
from firtrestle_standins.shapes import Shape

DESK = Shape("desk", 4, 1, 3, 30, 2.0, shards=4, documents=400)
LEDGER = Shape("ledger", 2, 1, 3, 30, 2.0, shards=2, documents=0)
CATALOGUE = """
entries:
  desk: {owner: o, collection: desk, timeout_ms: 3000, extra_load: 0.1, canary: always}
  ledger: {owner: o, collection: ledger, kind: submit, timeout_ms: 1500}
"""
TIMEOUT = Millis(3_000)
PARTITION_TIMEOUT = Millis(6_000)  # covers failure detection and takeover on both sides
RATE_PER_SECOND = 40.0
SEED = 11


@asynccontextmanager
async def fleet(
    daemons: int = 3, shapes: tuple[Shape, ...] = (DESK,), linked: bool = False, **faults
) -> AsyncIterator[tuple[Rig, Callers]]:
    rig = Rig(seed=SEED)
    try:
        await rig.start_platform()
        for shape in shapes:
            await rig.start_targets(shape, faults)
        await rig.publish_catalogue(CATALOGUE)
        await rig.start_daemons(daemons, data_centres=3, through_links=linked)
        await rig.wait_until_ready()
        async with balanced_callers(rig, SEED) as callers:
            yield rig, callers
    finally:
        rig.close()


async def run_load_with(
    callers: Callers,
    count: int,
    script,
    rig: Rig,
    timeout: Millis = TIMEOUT,
    resend_refused: bool = False,
) -> None:
    plans = search_plans(count, "/collections/desk", "desk", timeout, SEED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(script, rig)
        nursery.start_soon(callers.run, plans, RATE_PER_SECOND, resend_refused)
    await rig.collect_events()


def violations(rig: Rig) -> dict[str, str]:
    assert rig.daemon_errors() == ""
    return {
        name: f"{len(found)}: {found[0].request_id} {found[0].message}"
        for name, found in replay(rig.trace()).items()
        if found
    }


async def test_kills_of_a_target_and_a_daemon_lose_and_duplicate_no_rows():
    async def script(rig: Rig) -> None:
        await sleep(Millis(700))
        rig.kill("desk-1")
        await sleep(Millis(700))
        rig.kill("d2")

    async with fleet() as (rig, callers):
        await run_load_with(callers, 100, script, rig)
        tally = callers.tally_by_group["all"]
        assert tally.answered == 100
        assert violations(rig) == {}


async def test_answers_stay_consistent_under_index_changes_and_bad_replies():
    async def script(rig: Rig) -> None:
        for number, shards in ((2, 4), (3, 7), (4, 3)):
            await sleep(Millis(700))
            await rig.add_version(DESK, DESK.version(number, shards, extra_documents=40 * number))
            await sleep(Millis(300))
            await rig.drop_version(DESK, number - 1)

    garbled = {"cross_share": 0.05, "truncate_share": 0.05, "double_rows_share": 0.1}
    async with fleet(**garbled) as (rig, callers):
        await run_load_with(callers, 140, script, rig)
        tally = callers.tally_by_group["all"]
        assert (tally.answered, dict(tally.refused)) == (140, {})
        assert violations(rig) == {}


async def test_a_draining_target_gets_no_new_work_even_from_a_resumed_daemon():
    async def script(rig: Rig) -> None:
        await sleep(Millis(500))
        rig.freeze("d1")
        await rig.control("desk-0", draining=True)
        await sleep(Millis(4_500))
        rig.thaw("d1")

    async with fleet() as (rig, callers):
        await run_load_with(callers, 260, script, rig)
        assert violations(rig) == {}
        kinds = {event.kind for event in rig.trace()}
        assert {EventKind.PAUSED, EventKind.TARGET_DRAINING} <= kinds


async def test_graceful_stops_during_a_catalogue_change_fail_no_request():
    async def script(rig: Rig) -> None:
        await sleep(Millis(600))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.stop, "d1")
            nursery.start_soon(rig.stop, "d2")
            await rig.publish_catalogue(CATALOGUE + "  more: {owner: o, collection: desk}\n")

    async with fleet(4) as (rig, callers):
        await run_load_with(callers, 160, script, rig)
        tally = callers.tally_by_group["all"]
        assert (tally.answered, dict(tally.refused)) == (160, {})
        assert violations(rig) == {}


async def test_a_key_runs_at_most_once_under_resends_kills_and_pauses():
    async with fleet(4, (LEDGER,), lose_reply_share=0.2) as (rig, callers):
        rng = random.Random(SEED)
        clock = Clock()

        async def resend(key: str, pauses: list[float]) -> None:
            plan = Plan(
                "/collections/ledger", "ledger", {"n": key}, Millis(1_500), {"Idempotency-Key": key}
            )
            for pause in pauses:
                await callers.send(plan)
                await sleep(Millis(pause))

        async def disturb() -> None:
            await sleep(Millis(500))
            rig.freeze("d2")
            await sleep(Millis(1_500))
            rig.kill("d3")
            rig.thaw("d2")

        # Daemons accept only keys issued at least the clock skew (2 s) after they were established.
        await sleep(Millis(2_500))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(disturb)
            for _ in range(60):
                key = new_key(clock.wall(), rng.getrandbits(74))
                pauses = [rng.uniform(0, 400) for _ in range(4)]
                nursery.start_soon(resend, key, pauses)
                await sleep(Millis(rng.uniform(0, 60)))
        await rig.collect_events()
        ran = [e for e in rig.trace() if e.kind is EventKind.TARGET_RAN]
        assert len(ran) >= 20
        assert violations(rig) == {}


async def test_the_catalogue_never_reverts_and_an_invalid_one_is_never_applied():
    async def revisions(rig: Rig) -> set[int]:
        return {(await rig.status(name) or {}).get("revision") for name in rig.daemons()}

    async def wait_for(rig: Rig, revision: int) -> None:
        with trio.fail_after(20):
            while await revisions(rig) != {revision}:
                await sleep(Millis(100))

    async with fleet() as (rig, _):
        async with trio.open_nursery() as racing:
            racing.start_soon(rig.publish_catalogue, CATALOGUE)
            racing.start_soon(rig.publish_catalogue, CATALOGUE)
        await wait_for(rig, 3)
        await rig.publish_catalogue("entries: {desk: {owner: 1}}", accepted=False)  # revision 4
        await sleep(Millis(1_000))
        assert await revisions(rig) == {3}
        rejected = [(await rig.status(name))["rejected"] for name in rig.daemons()]
        assert all(item[0] == 4 for item in rejected)
        await rig.publish_catalogue(CATALOGUE, revision=2, accepted=False)  # a stale service
        rig.kill("d1")
        rig.start_daemon("d1")
        await sleep(Millis(3_000))
        await wait_for(rig, 3)
        await rig.wait_until_ready()
        await rig.control("platform", down=True)
        rig.kill("d2")
        rig.start_daemon("d2")
        await sleep(Millis(1_500))
        assert (await rig.status("d1"))["ready"]
        await rig.control("platform", down=False)
        await rig.publish_catalogue(CATALOGUE, revision=9)
        await wait_for(rig, 9)
        await rig.collect_events()
        assert violations(rig) == {}


async def test_a_poison_query_resent_through_all_daemons_crashes_at_most_two_targets():
    async with fleet(3, (DESK,), poison="boom") as (rig, callers):
        body = {"modulus": 3, "remainder": 1, "poison": "boom"}
        plan = Plan("/collections/desk", "desk", body, TIMEOUT, group="poison")
        harmless_plans = search_plans(60, "/collections/desk", "desk", TIMEOUT, SEED)

        async def resend() -> None:
            for _ in range(5):
                await callers.send(plan)  # immediately, through a random daemon

        async with trio.open_nursery() as nursery:
            nursery.start_soon(resend)
            nursery.start_soon(callers.run, harmless_plans, RATE_PER_SECOND)
        await rig.collect_events()
        crashed = {e.process for e in rig.trace() if e.kind is EventKind.TARGET_CRASHED}
        assert 1 <= len(crashed) <= 2
        refused = callers.tally_by_group["poison"].refused
        assert refused["quarantined"] >= 4
        assert "quarantined" not in callers.tally_by_group["all"].refused
        assert violations(rig) == {}


async def run_during_partition(rig: Rig, callers: Callers) -> None:
    """Partition five daemons for six seconds under searches and submits, then heal the links."""

    async def script(rig: Rig) -> None:
        await sleep(Millis(500))
        await rig.split({"d1": 0, "d2": 1, "d3": 0, "d4": 1, "d5": 0})
        await sleep(Millis(6_000))
        await rig.split({})

    async def submit_to_both_sides() -> None:
        rng, clock = random.Random(SEED), Clock()
        for _ in range(25):
            key = new_key(clock.wall(), rng.getrandbits(74))
            headers = {"Idempotency-Key": key}
            path = "/collections/ledger"
            plan = Plan(path, "ledger", {"n": key}, Millis(1_500), headers, "keys")
            async with trio.open_nursery() as resending:
                for _ in range(4):
                    resending.start_soon(callers.send, plan)
            await sleep(Millis(200))

    await sleep(Millis(2_500))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_to_both_sides)
        await run_load_with(callers, 300, script, rig, PARTITION_TIMEOUT, resend_refused=True)


async def test_both_sides_of_a_partition_serve_and_reconverge_after_it():
    async with fleet(5, (DESK, LEDGER), linked=True) as (rig, callers):
        await run_during_partition(rig, callers)
        tally = callers.tally_by_group["all"]
        # While the slots of lost holders are held back, more queries may gather than the rest of a
        # side's slots can serve in time; each must be told when to come back, and be served then.
        assert tally.answered == 300
        assert tally.refused.keys() <= {"overloaded"}
        assert tally.without_answer == 0
        refused = [e for e in rig.trace() if e.kind is EventKind.CALLER_REFUSED]
        assert all(e.fields["retry_after"] for e in refused if e.fields["refusal"] == "overloaded")
        with trio.fail_after(10):
            while not all([await all_alive(rig, name) for name in rig.daemons()]):
                await sleep(Millis(100))
        await rig.collect_events()
        ran = [e for e in rig.trace() if e.kind is EventKind.TARGET_RAN]
        assert ran
        found = violations(rig)
        found.pop("within-limits", None)  # checked by the next test
        assert found == {}


async def test_slots_are_not_exceeded_in_a_partition():
    async with fleet(5, (DESK, LEDGER), linked=True) as (rig, callers):
        await run_during_partition(rig, callers)
        assert violations(rig) == {}


async def all_alive(rig: Rig, name: str) -> bool:
    status = await rig.status(name)
    alive = {member["id"] for member in status["members"] if member["status"] == "alive"}
    return alive == set(rig.daemons())


async def test_a_rolling_restart_of_all_daemons_fails_no_query():
    async def script(rig: Rig) -> None:
        for name in ("d1", "d2", "d3"):
            await rig.stop(name)
            rig.start_daemon(name)
            await rig.wait_until_ready()

    async with fleet() as (rig, callers):
        await run_load_with(callers, 500, script, rig)
        tally = callers.tally_by_group["all"]
        assert (tally.answered, dict(tally.refused)) == (500, {})
        assert violations(rig) == {}


async def test_a_daemon_started_without_its_platform_is_live_but_not_ready():
    rig = Rig(seed=SEED)
    try:
        await rig.start_platform()
        await rig.start_targets(DESK)
        await rig.publish_catalogue(CATALOGUE)
        await rig.control("platform", down=True)
        rig._write_settings("d1", "dc1")
        rig.start_daemon("d1")
        address = rig.by_name["d1"].address
        await rig._wait_until_answering("d1", "/-/live")
        assert (await fetch(address, "GET", "/-/ready", TIMEOUT)).status == 503
        refused = await fetch(address, "POST", "/collections/desk", TIMEOUT)
        assert isinstance(refused, HttpReply)
        assert refused.json()["kind"] == "not-ready"
        assert "retry-after" in refused.headers
        await rig.control("platform", down=False)
        await rig.publish_vms()
        await rig.wait_until_ready()
        answer = await fetch(address, "POST", "/collections/desk", TIMEOUT, b'{"modulus": 7}')
        assert answer.json()["coverage"]["fraction"] == 1.0
    finally:
        rig.close()


async def test_a_daemon_whose_port_is_in_use_logs_it_and_exits():
    rig = Rig(seed=SEED)
    try:
        await rig.start_platform()
        await rig.start_daemons(1)
        process = rig.by_name["d1"]
        second = rig.spawn("again", process.address, process.command)
        assert second.handle.wait(timeout=30) == 3
        assert "cannot listen" in second.log.read_text()
    finally:
        rig.close()


def test_plans_are_the_same_for_the_same_seed():
    plans = (search_plans(20, "/p", "c", TIMEOUT, 5) for _ in itertools.repeat(None, 2))
    assert next(plans) == next(plans)


LEGACY = Shape("legacy", 2, 1, 3, 30, 2.0, shards=3, documents=400, rows_of="desk")
RETIRING = """
entries:
  desk:
    owner: o
    collection: desk
    paths: [/old/desk]
    timeout_ms: 3000
    replaces: {entry: legacy, compare_share: 0.5, least_compared: 40}
  legacy: {owner: o, collection: legacy}
"""
RETIRED = "entries: {desk: {owner: o, collection: desk, paths: [/old/desk], timeout_ms: 3000}}"


async def test_an_entry_may_be_removed_only_after_its_answers_were_compared():
    async def revisions(rig: Rig) -> set[int]:
        return {(await rig.status(name) or {}).get("revision") for name in rig.daemons()}

    async def compared(rig: Rig, name: str) -> int:
        (comparison,) = (await rig.status(name))["comparisons"]
        return comparison["same"] + comparison["differing"]

    async with fleet(3, (DESK, LEGACY)) as (rig, callers):
        await rig.publish_catalogue(RETIRING)  # revision 2
        with trio.fail_after(20):
            while await revisions(rig) != {2}:
                await sleep(Millis(100))
        await rig.publish_catalogue(RETIRED)  # revision 3, too early
        plans = search_plans(160, "/old/desk", "desk", TIMEOUT, SEED)
        await callers.run(plans, RATE_PER_SECOND)
        assert callers.tally_by_group["all"].whole == 160
        assert await revisions(rig) == {2}
        status = await rig.status("d1")
        assert status["rejected"][0] == 3
        assert "entries.legacy: may not retire yet" in status["rejected"][1][0]
        with trio.fail_after(20):
            while min([await compared(rig, name) for name in rig.daemons()]) < 40:
                await sleep(Millis(200))
        assert {c["differing"] for c in (await rig.status("d1"))["comparisons"]} == {0}
        await rig.publish_catalogue(RETIRED)  # revision 4
        with trio.fail_after(20):
            while await revisions(rig) != {4}:
                await sleep(Millis(100))
        await callers.run(
            search_plans(10, "/old/desk", "desk", TIMEOUT, SEED, "after"), RATE_PER_SECOND
        )
        assert callers.tally_by_group["after"].whole == 10
        await rig.collect_events()
        assert violations(rig) == {}


async def test_concurrent_collectors_store_each_event_once():
    """Two collectors could fetch the same page, so that a revision appeared to be applied twice."""
    async with fleet() as (rig, _):
        await rig.publish_catalogue(CATALOGUE)
        async with trio.open_nursery() as collecting:
            for _ in range(5):
                collecting.start_soon(rig.collect_events)
        event_ids = [(event.process, event.incarnation, event.seq) for event in rig.events]
        assert len(event_ids) == len(set(event_ids))
