import pytest
from firtrestle.receive_bounds import (
    FREE_BYTES,
    FREE_PIECES,
    MIN_PIECE_BYTES,
    BodyReader,
    BodyTooFragmented,
    BodyTooLarge,
    MemoryUsedUp,
    ReceiveMemory,
)


def test_a_body_is_collected_up_to_its_bound():
    reader = BodyReader(10)
    reader.add(b"01234")
    reader.add(b"56789")
    assert reader.body() == b"0123456789"
    with pytest.raises(BodyTooLarge):
        reader.add(b"x")


def test_a_body_in_many_small_pieces_is_ended():
    reader = BodyReader(1_000_000)
    with pytest.raises(BodyTooFragmented):
        for _ in range(2 * FREE_PIECES):
            reader.add(b"x")
    assert len(reader.body()) < 2 * FREE_PIECES


def test_a_long_body_may_come_in_pieces_of_usual_size():
    reader = BodyReader(10_000_000)
    for _ in range(4 * FREE_PIECES):
        reader.add(b"x" * MIN_PIECE_BYTES)
    assert len(reader.body()) == 4 * FREE_PIECES * MIN_PIECE_BYTES


def test_unfinished_bodies_share_a_bounded_memory():
    memory = ReceiveMemory(100_000)
    with BodyReader(1_000_000, memory) as first:
        first.add(b"x" * (FREE_BYTES + 90_000))
        with BodyReader(1_000_000, memory) as second, pytest.raises(MemoryUsedUp):
            second.add(b"x" * (FREE_BYTES + 20_000))
        assert memory.used_bytes == 90_000
    assert memory.used_bytes == 0


def test_a_small_body_is_received_although_others_hold_all_the_memory():
    memory = ReceiveMemory(0)
    with BodyReader(1_000_000, memory) as reader:
        reader.add(b"x" * FREE_BYTES)
        assert len(reader.body()) == FREE_BYTES
