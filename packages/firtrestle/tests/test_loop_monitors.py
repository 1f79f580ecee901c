import time

import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.loop_monitors import LoopMonitor


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
