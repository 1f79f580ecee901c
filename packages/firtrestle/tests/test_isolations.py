import pytest
import trio
from firtrestle.isolations import FaultRecorder, faults, run_isolated
from loguru import logger


async def fail(error):
    raise error


async def test_an_exception_is_counted_and_does_not_end_the_nursery():
    counted = faults.count_by_task["test"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_isolated, "test", fail, ValueError("one"))
        nursery.start_soon(run_isolated, "test", fail, ExceptionGroup("", [KeyError("two")]))
    assert faults.count_by_task["test"] == counted + 2


async def test_cancellation_and_the_end_of_the_process_pass():
    with trio.CancelScope() as scope:
        scope.cancel()
        await run_isolated("test", trio.sleep_forever)
    assert scope.cancelled_caught
    with pytest.raises(KeyboardInterrupt):
        await run_isolated("test", fail, KeyboardInterrupt())


def test_each_kind_of_fault_is_logged_once_with_its_trace():
    lines = []
    handler = logger.add(lambda message: lines.append(str(message)), level="ERROR")
    recorder = FaultRecorder()
    try:
        for _ in range(3):
            try:
                raise ValueError("bad number")
            except ValueError as error:
                recorder.record("reading", error)
    finally:
        logger.remove(handler)
    assert recorder.count_by_task["reading"] == 3
    assert len(lines) == 1
    assert "bad number" in lines[0]
