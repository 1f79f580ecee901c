import json
import os

from firtrestle.logs import (
    MAX_BUFFER_BYTES,
    MAX_LOGGED_ID_CHARS,
    WARNING_LEVEL,
    LineSink,
    _as_json,
)
from loguru import logger

INFO = 20


def pipe_sink(rate: int) -> tuple[LineSink, int]:
    read, write = os.pipe()
    return LineSink(os.fdopen(write, "w"), rate, lambda: 0.0), read


def test_lines_over_the_rate_limit_are_dropped_and_counted_but_warnings_are_kept():
    sink, read = pipe_sink(5)
    for number in range(50):
        sink.write(f"line {number}\n", INFO)
    sink.write("warning\n", WARNING_LEVEL)
    lines = os.read(read, 65_536).decode().splitlines()
    kept = [line for line in lines if line.startswith("line")]
    assert len(kept) == 5
    assert lines[-1] == "warning"
    assert lines[-2] == f'{{"message": "dropped", "lines": {50 - len(kept)}}}'


def test_a_stalled_reader_neither_blocks_the_writer_nor_grows_the_buffer_beyond_its_limit():
    sink, _ = pipe_sink(1_000_000)
    for _ in range(10_000):
        sink.write("x" * 100, INFO)
    assert sink.dropped > 0
    assert len(sink._buffer) <= MAX_BUFFER_BYTES


def test_writing_after_the_reader_closed_raises_nothing():
    sink, read = pipe_sink(100)
    os.close(read)
    sink.write("line\n", INFO)


# Guards against lines as long as the ids that callers choose.
def test_a_long_request_id_is_cut_in_a_line():
    lines = []
    handler = logger.add(lambda message: lines.append(_as_json(message)), level="INFO")
    logger.bind(request_id="r" * 5_000, daemon="d", data_centre="dc").info("answered")
    logger.remove(handler)
    assert json.loads(lines[0])["request_id"] == "r" * MAX_LOGGED_ID_CHARS + "..."
