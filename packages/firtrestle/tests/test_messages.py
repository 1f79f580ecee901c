import msgpack
import pytest
from firtrestle.frames import unpack
from firtrestle.messages import (
    BadFrame,
    Ping,
    SubReply,
    decode,
    encode,
    message_by_tag,
    new_unpacker,
)
from hypothesis import given, settings
from hypothesis import strategies as st


def test_a_message_survives_encoding_and_decoding():
    reply = SubReply("ok", "r1", 2, "c", 3, 4, [{"id": "a"}], 5)
    assert decode(msgpack.unpackb(encode(7, reply))) == (7, reply)


def test_an_unknown_field_of_a_newer_daemon_is_ignored():
    raw = msgpack.unpackb(encode(1, Ping("d1")))
    raw["b"]["invented_later"] = 1
    assert decode(raw) == (1, Ping("d1"))


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {"v": 2, "c": 1, "t": "ping", "b": {}},
        {"v": 1, "c": 1, "t": "nonsense", "b": {}},
        {"v": 1, "c": "x", "t": "ping", "b": {"sender": "a"}},
        {"v": 1, "c": 1, "t": "ping", "b": {}},
    ],
)
def test_a_bad_frame_is_refused(raw):
    with pytest.raises(BadFrame):
        decode(raw)


@settings(max_examples=300, derandomize=True)
@given(st.binary(max_size=200))
def test_random_bytes_raise_nothing_but_bad_frame(data: bytes):
    try:
        for call_id, value in unpack(new_unpacker(), data):
            assert isinstance(call_id, int)
            assert type(value) in message_by_tag.values()
    except BadFrame:
        pass
