import trio
from firtrestle.clocks import Clock, Millis
from firtrestle.events import EventKind, EventLog
from firtrestle.pauses import REFRESH_TIMEOUT, PauseGuard


class JumpingClock(Clock):
    jumped = 0.0

    def now(self) -> Millis:
        return Millis(super().now() + self.jumped)


def new_guard(refresh):
    clock = JumpingClock()
    events = EventLog("d1", 1, clock, 10)
    return clock, events, PauseGuard(clock, events, Millis(1_000), refresh)


async def test_work_after_a_pause_waits_for_one_refresh_from_peers(autojump_clock):
    refreshed: list[float] = []

    async def refresh() -> bool:
        await trio.sleep(0.2)
        refreshed.append(trio.current_time())
        return True

    clock, events, guard = new_guard(refresh)
    await guard.wait_until_refreshed()
    assert refreshed == []
    clock.jumped = 5_000.0
    assert guard.was_paused()
    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(guard.wait_until_refreshed)
    assert len(refreshed) == 1
    assert not guard.was_paused()
    assert [event.kind for event in events.after(0)] == [EventKind.PAUSED]


async def test_unresponsive_peers_delay_work_only_until_the_refresh_times_out(autojump_clock):
    clock, _, guard = new_guard(trio.sleep_forever)
    clock.jumped = 5_000.0
    before = trio.current_time()
    await guard.wait_until_refreshed()
    assert (trio.current_time() - before) * 1_000 <= REFRESH_TIMEOUT + 1
