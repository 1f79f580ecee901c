import time

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.loop_monitors import LoopMonitor
from manual_clocks import ManualClock


def test_time_in_tasks_counts_as_busy_and_waiting_does_not():
    async def main():
        monitor = LoopMonitor(Clock())
        trio.lowlevel.add_instrument(monitor)
        await sleep(Millis(60))
        waited = monitor.busy_time()
        time.sleep(0.06)
        await sleep(Millis(0))
        return waited, monitor.busy_time()

    waited, worked = trio.run(main)
    assert waited < 50
    assert worked - waited >= 60


# Guards against a loop that the system preempts during a poll being taken for an idle one.
def test_a_poll_of_a_loop_with_work_left_is_no_wait_however_long_it_takes():
    clock = ManualClock(1_000.0)
    monitor = LoopMonitor(clock)
    for timeout, waited, was_idle in ((5.0, 20, True), (0.0, 20, False), (5.0, 0.1, False)):
        monitor.before_io_wait(timeout)
        clock.at += waited
        monitor.after_io_wait(timeout)
        assert monitor.was_idle is was_idle
    assert monitor.busy_time() == 20


# Guards against the time of a stopped process being taken for the cost of its requests.
def test_a_process_that_stands_still_in_a_wait_or_between_waits_is_counted_as_suspended():
    clock = ManualClock(1_000.0)
    monitor = LoopMonitor(clock)
    for waited, worked, suspensions in ((60, 900, 0), (5_000, 0, 1), (20, 5_000, 2)):
        monitor.before_io_wait(0.05)
        clock.at += waited
        monitor.after_io_wait(0.05)
        clock.at += worked
        monitor.before_io_wait(0.05)
        assert monitor.suspensions == suspensions
        monitor.after_io_wait(0.05)
