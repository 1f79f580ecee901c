import uuid

from firtrestle.clocks import Millis
from firtrestle.keys import issue_time, new_key
from hypothesis import given, settings
from hypothesis import strategies as st


@settings(max_examples=100, derandomize=True)
@given(st.integers(0, (1 << 48) - 1), st.integers(0, (1 << 74) - 1))
def test_key_contains_its_creation_time(at, bits):
    key = new_key(Millis(at), bits)
    assert uuid.UUID(key).version == 7
    assert issue_time(key) == at


def test_key_other_than_uuid7_has_no_creation_time():
    assert issue_time("x") is None
    assert issue_time(str(uuid.UUID(int=0, version=4))) is None
