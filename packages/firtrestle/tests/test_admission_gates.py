"""Simulate loads on daemons whose processor is too slow for them, without a network."""

import random
import subprocess
import sys
from collections import Counter
from dataclasses import replace

import pytest
import trio
from admission_fakes import Daemon, simulate
from firtrestle import signals
from firtrestle.admission_gates import CERTAIN_READ_SHARE
from firtrestle.clocks import Millis, sleep
from firtrestle.errors import ErrorKind, Ran
from firtrestle.instance_replies import CallerMessage
from firtrestle.routed_requests import RoutedRequest
from firtrestle.routes import RouteTable
from firtrestle.work_estimates import MAX_AGE
from loguru import logger
from route_fakes import scatter_route

URGENT = scatter_route(
    36, name="teller", latency_target=Millis(97), timeout=Millis(1_224), priority=0
)
PATIENT = scatter_route(
    36, name="audit", latency_target=Millis(1_505), timeout=Millis(15_054), priority=2
)
TABLE = RouteTable.from_routes(1, [URGENT, PATIENT], {}, RouteTable().limits)
WORK = 18.0  # of one gather, in ms


async def send(daemon, nursery, route, count, interval=0.0):
    """Send requests at an interval, or all at once."""
    for _ in range(count):
        nursery.start_soon(daemon.ask, route)
        if interval:
            await sleep(Millis(interval))


def share(results, predicate):
    return sum(map(predicate, results)) / len(results)


def late_share(results):
    return share(results, lambda result: result.is_late)


def request_at(now):
    message = CallerMessage("r", "GET", "/x", "h", (), b"")
    return RoutedRequest(message, URGENT, TABLE, now, Millis(now + 1_000))


@pytest.mark.parametrize("has_gate", [True, False])
def test_a_burst_of_a_patient_class_does_not_delay_the_urgent_one(has_gate):
    """60 audits of 18 ms with 15 s to go arrive at once, on a daemon with urgent callers."""

    async def main():
        daemon = Daemon(TABLE, has_gate)
        await daemon.teach(URGENT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, daemon, nursery, PATIENT, 60)
            await send(daemon, nursery, URGENT, 30, 60)
        assert len(daemon.of(PATIENT, "answered")) == 60
        if has_gate:
            assert late_share(daemon.of(URGENT)) <= 0.1
            assert late_share(daemon.of(PATIENT)) <= 0.35
        else:
            assert late_share(daemon.of(URGENT)) >= 0.5

    simulate(main)


@pytest.mark.parametrize("has_gate", [True, False])
def test_of_a_burst_of_urgent_requests_as_many_as_possible_are_answered(has_gate):
    """100 urgent gathers at once are 1.8 s of work, for a timeout of 1.2 s."""

    async def main():
        daemon = Daemon(TABLE, has_gate)
        await daemon.teach(URGENT)
        sent_before = daemon.sent
        async with trio.open_nursery() as nursery:
            await send(daemon, nursery, URGENT, 100)
        answered = daemon.of(URGENT, "answered")
        if not has_gate:
            assert len(answered) == 0
            return
        refused = daemon.of(URGENT, "refused")
        assert len(answered) >= 0.85 * 1_224 / WORK
        assert len(answered) + len(refused) == 100
        assert share(refused, lambda result: result.took <= 30) >= 0.9
        assert daemon.sent - sent_before == 36 * len(answered)  # a refused one has not run
        for result in refused:
            assert (result.refused.kind, result.refused.ran) == (ErrorKind.OVERLOADED, Ran.FALSE)
            assert 20 <= result.refused.retry_after <= 1_224 / 3
        assert len({round(result.refused.retry_after) for result in refused}) > len(refused) / 3

    simulate(main)


def test_callers_that_leave_free_the_queue_for_those_that_stay():
    """Half of the callers of a burst give up after 40 ms; their requests must not run."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        sent_before = daemon.sent
        scopes = []

        async def ask_and_leave():
            with trio.CancelScope() as scope:
                scopes.append(scope)
                await daemon.ask(URGENT)

        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(ask_and_leave)
            await send(daemon, nursery, URGENT, 30)
            await sleep(Millis(40))
            assert daemon.gate.waiting > 30
            for scope in scopes:
                scope.cancel()
            await sleep(Millis(1))
            assert daemon.gate.waiting <= 30
        answered = daemon.of(URGENT, "answered")
        assert len(answered) >= 30
        assert daemon.gate.waiting == 0
        assert daemon.sent - sent_before <= 36 * (30 + 4)

    simulate(main)


def test_callers_that_retry_at_once_take_no_work_from_those_admitted():
    """120 callers send again right after each answer or refusal, whatever Retry-After says."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        end = daemon.clock.now() + 3_000

        async def call():
            while daemon.clock.now() < end:
                await daemon.ask(URGENT)
                await sleep(Millis(2))

        async with trio.open_nursery() as nursery:
            for _ in range(120):
                nursery.start_soon(call)
        answered = daemon.of(URGENT, "answered")
        assert len(answered) * WORK >= 0.9 * 3_000
        assert not daemon.of(URGENT, "failed")
        assert late_share(answered) <= 0.4

    simulate(main)


def test_a_machine_that_turns_five_times_slower_refuses_instead_of_failing():
    """20 requests a second fit at 18 ms each, and do not at 90 ms."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        async with trio.open_nursery() as nursery:
            await send(daemon, nursery, URGENT, 40, 50)
            assert not daemon.of(URGENT, "refused")
            assert late_share(daemon.of(URGENT)) == 0
            daemon.cost = 2.5
            await send(daemon, nursery, URGENT, 20, 50)
            assert daemon.work.processor_time() == pytest.approx(2.5, rel=0.2)
            known_at = daemon.clock.now()
            await send(daemon, nursery, URGENT, 100, 50)
        later = [result for result in daemon.of(URGENT) if result.arrived_at >= known_at]
        answered = [result for result in later if result.outcome == "answered"]
        assert len(answered) * 5 * WORK >= 0.8 * 5_000
        assert {result.outcome for result in later} == {"answered", "refused"}

    simulate(main)


def test_91_daemons_with_one_request_a_second_each_delay_and_refuse_nothing():
    """A daemon that sees few requests must not take their chance meetings for a shortage."""

    async def main():
        rng = random.Random(1)
        daemons = [Daemon(TABLE) for _ in range(91)]

        async def load(daemon):
            for _ in range(20):
                await sleep(Millis(rng.expovariate(1) * 1_000))
                nursery.start_soon(daemon.ask, rng.choice((URGENT, PATIENT)))

        async with trio.open_nursery() as nursery:
            for daemon in daemons:
                nursery.start_soon(load, daemon)
        results = [result for daemon in daemons for result in daemon.results]
        assert len(results) == 91 * 20
        assert {result.outcome for result in results} == {"answered"}
        assert late_share(results) == 0

    simulate(main)


def test_a_flood_of_urgent_requests_leaves_a_quarter_of_the_starts_to_patient_ones():
    """Urgent requests at twice the capacity; without a share audits would wait until they fail."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, daemon, nursery, PATIENT, 100, 50)
            nursery.start_soon(send, daemon, nursery, URGENT, 550, 9)
            await sleep(Millis(5_000))
            starts = len(daemon.results) - len(
                [result for result in daemon.results if result.outcome == "refused"]
            )
            patient = len(daemon.of(PATIENT, "answered"))
            assert patient >= 0.24 * starts
            nursery.cancel_scope.cancel()

    simulate(main)


def test_a_flood_of_patient_requests_does_not_starve_urgent_ones():
    """Patient requests at twice the capacity, whose deadlines are 15 s away."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, daemon, nursery, PATIENT, 550, 9)
            await send(daemon, nursery, URGENT, 50, 100)
            assert late_share(daemon.of(URGENT)) <= 0.1
        answered = daemon.of(PATIENT, "answered")
        assert len(answered) >= 0.8 * 550  # as there is time for all of them, if late

    simulate(main)


@pytest.mark.parametrize("pause", [None, MAX_AGE + 100])
def test_nothing_waits_or_is_refused_while_estimates_are_missing_or_old(pause):
    async def main():
        daemon = Daemon(TABLE)
        if pause is not None:
            await daemon.teach(URGENT)
            await sleep(Millis(pause))
        async with trio.open_nursery() as nursery:
            await send(daemon, nursery, URGENT, 50)
            await sleep(Millis(0.1))
            assert daemon.gate.waiting == 0
            assert daemon.sent >= 50 * 36
        assert not daemon.of(URGENT, "refused")

    simulate(main)


def test_a_suspended_process_drops_its_estimates_and_starts_what_waits():
    """A process is stopped for 2 s during a burst; the costs of before say nothing any more."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        async with trio.open_nursery() as nursery:
            await send(daemon, nursery, URGENT, 40)
            await sleep(Millis(50))
            assert daemon.gate.waiting > 20
            daemon.processor.suspensions += 1
            await sleep(Millis(11))
            assert daemon.gate.waiting == 0
        assert not daemon.of(URGENT, "refused")

    simulate(main)


@pytest.mark.parametrize("instance_time", [400, 1_100])
def test_slow_instances_are_no_shortage_of_processor_time(instance_time):
    """Instances take far longer than usual, so that many gathers are open on an idle daemon."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        daemon.instance_time = instance_time
        async with trio.open_nursery() as nursery:
            await send(daemon, nursery, URGENT, 100, 30)
        assert len(daemon.of(URGENT, "answered")) == 100
        longest = max(result.took for result in daemon.results)
        assert longest <= instance_time + 4 * WORK

    simulate(main)


def test_an_idle_daemon_starts_a_request_without_a_task_switch():
    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        request = request_at(daemon.clock.now())
        with daemon.gate.admission(request, 36) as admission, pytest.raises(StopIteration):
            admission.wait().send(None)  # a task switch would yield to the event loop

    simulate(main)


@pytest.mark.parametrize("waits", [True, False])
def test_a_running_gather_is_ended_only_if_it_is_certain_to_miss_its_deadline(waits):
    """Instances reply shortly before the deadline, when 29 replies can't be read any more."""

    async def main():
        daemon = Daemon(TABLE, cost=2.5)
        await daemon.teach(URGENT)
        async with trio.open_nursery() as nursery:
            daemon.instance_time = 1_160
            nursery.start_soon(daemon.ask, URGENT)
            await sleep(Millis(60))
            daemon.instance_time = 10
            if waits:
                await send(daemon, nursery, PATIENT, 20)
            await sleep(Millis(1_200))
            (urgent,) = daemon.of(URGENT)
            assert urgent.outcome == ("ended" if waits else "failed")
            if waits:
                certain = 29 * 2.5 * CERTAIN_READ_SHARE
                assert 1_224 - 1.2 * certain <= urgent.took < 1_224
                assert urgent.refused.kind is ErrorKind.OUTCOME_UNKNOWN
            nursery.cancel_scope.cancel()

    simulate(main)


def test_a_request_with_little_time_is_not_refused_once_the_processor_is_free():
    """It has arrived behind another one, and the margin for others that may come is not needed."""

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        hasty = replace(URGENT, name="hasty", timeout=Millis(42))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.ask, URGENT)
            await sleep(Millis(1))
            await daemon.ask(hasty)
        assert {result.outcome for result in daemon.results} == {"answered"}

    simulate(main)


def test_refusals_and_starts_out_of_order_are_logged_with_their_inputs_and_counted():
    lines = []
    counted = Counter()

    def count(route_name, priority, waited="refused"):
        counted[priority, "refused" if waited == "refused" else waited is not None] += 1

    async def main():
        daemon = Daemon(TABLE)
        await daemon.teach(URGENT)
        async with trio.open_nursery() as nursery:
            await send(daemon, nursery, PATIENT, 5)
            await send(daemon, nursery, URGENT, 100)

    sink = logger.add(lambda line: lines.append(line.record))
    signals.request_admitted.connect(count)
    signals.admission_refused.connect(count)
    try:
        simulate(main)
    finally:
        logger.remove(sink)
        signals.request_admitted.disconnect(count)
        signals.admission_refused.disconnect(count)
    by_message = {line["message"]: line["extra"] for line in lines}
    counts = Counter(line["message"] for line in lines)
    refused = by_message["request refused for lack of processor time"]
    assert counts["request refused for lack of processor time"] == counted[0, "refused"]
    assert {"request_id", "priority", "time_left_ms", "work_ms", "backlog_ms", "reason"} <= set(
        refused
    )
    assert {"cost_ms", "cost_age_ms", "cost_spread_ms", "reply_ms", "reply_age_ms"} <= set(refused)
    assert by_message["request started out of order"]["overtaken"] >= 1
    assert counted[2, True] + counted[2, False] == 5
    assert counted[0, True] + counted[0, False] + counted[0, "refused"] == 103
    assert 3 <= counted[0, False] <= 6  # those of before the load and its first ones


# Loads the metrics in a process of its own: in this one, pytest may hide the standard library's
# module `platform`, which they need, behind the folder of that name.
EXPORT = """
from firtrestle import metrics, signals
from firtrestle.plugins.metrics import register

register(None)
signals.request_admitted.send("r", priority=7, waited=None)
signals.request_admitted.send("r", priority=7, waited=30.0)
signals.admission_refused.send("r", priority=7)
print(metrics.exposition().decode())
"""


def test_admissions_are_exported_by_priority_with_the_time_that_they_waited(tmp_path):
    command = [sys.executable, "-c", EXPORT]
    text = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=True).stdout
    for outcome in ("admitted", "delayed", "refused"):
        assert f'firtrestle_admissions_total{{outcome="{outcome}",priority="7"}} 1.0' in text
    assert 'firtrestle_admission_wait_seconds_count{priority="7"} 1.0' in text
