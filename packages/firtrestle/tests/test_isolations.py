from firtrestle.isolations import FaultRecorder, first_leaf
from loguru import logger


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


def test_the_first_exception_of_nested_groups_is_reported():
    inner = ExceptionGroup("inner", [KeyError("a"), ValueError("b")])
    assert str(first_leaf(ExceptionGroup("outer", [inner]))) == "'a'"
