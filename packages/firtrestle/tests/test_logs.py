import os

from firtrestle.logs import ALWAYS_KEPT, MAX_WAITING_BYTES, LineSink

INFO = 20


def pipe_sink(rate: int) -> tuple[LineSink, int]:
    read, write = os.pipe()
    return LineSink(os.fdopen(write, "w"), rate, lambda: 0.0), read


def test_lines_over_the_rate_are_dropped_and_counted_but_warnings_pass():
    sink, read = pipe_sink(5)
    for number in range(50):
        sink.write(f"line {number}\n", INFO)
    sink.write("warning\n", ALWAYS_KEPT)
    lines = os.read(read, 65_536).decode().splitlines()
    kept = [one for one in lines if one.startswith("line")]
    assert len(kept) == 5
    assert lines[-1] == "warning"
    assert lines[-2] == f'{{"message": "dropped", "lines": {50 - len(kept)}}}'


def test_a_reader_that_stands_still_blocks_nothing_and_bounds_the_memory():
    sink, _ = pipe_sink(1_000_000)
    for _ in range(10_000):
        sink.write("x" * 100, INFO)
    assert sink.dropped > 0
    assert len(sink._waiting) <= MAX_WAITING_BYTES


def test_a_reader_that_is_gone_is_no_fault():
    sink, read = pipe_sink(100)
    os.close(read)
    sink.write("line\n", INFO)
