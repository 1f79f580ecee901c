"""Test transfers whose speed the other side sets, and the memory of responses not yet read."""

import pytest
import trio
from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.http_servers import HttpBounds, HttpResponse, HttpServer
from firtrestle.transfers import ResponseWrites, Transfer
from loguru import logger
from trio.testing import memory_stream_pair

PAUSE = Millis(3_000)
BODY = b"x" * 200_000
GET = b"GET /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n"


async def move(piece_bytes, interval, pieces):
    """Return after how many pieces a transfer is ended, None if it isn't."""
    transfer = Transfer(Clock(), PAUSE)
    for number in range(pieces):
        await sleep(Millis(interval))
        if Clock().now() > transfer.deadline():
            return number
        transfer.record(piece_bytes)
    return None


# Guards against a time limit for the whole of a message, whatever its length (review case 9).
async def test_a_transfer_that_moves_steadily_may_take_any_time(autojump_clock):
    assert await move(1_250, 100, 10_000) is None
    assert await move(3_000, 2_900, 1_000) is None


async def test_a_transfer_that_pauses_or_trickles_is_ended(autojump_clock):
    assert await move(100_000, 3_100, 5) == 0
    assert await move(1, 1_000, 100) == 3
    assert await move(100, 500, 100) < 20


class SlowStream(trio.abc.HalfCloseableStream):
    """Take a piece from the writer each interval, for ever with an infinite one."""

    def __init__(self, interval):
        self.interval = Millis(interval)
        self.written = 0

    async def send_all(self, data):
        await sleep(self.interval)
        self.written += len(data)

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.sleep_forever()

    async def send_eof(self):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        await trio.lowlevel.checkpoint()


async def write(writes, stream, size, outcomes, name):
    try:
        await writes.write(stream, b"x" * size, PAUSE, name)
        outcomes[name] = "whole"
    except trio.BrokenResourceError as error:
        outcomes[name] = str(error)


# Guards against clients that don't read and fill the memory of a daemon.
async def test_beyond_the_memory_the_costliest_responses_are_ended(autojump_clock):
    writes, outcomes = ResponseWrites(300_000), {}
    async with trio.open_nursery() as nursery:
        for name, size, interval in (
            ("small and old", 20_000, 2_900),
            ("large and old", 200_000, 2_900),
            ("large and quick", 60_000, 10),
        ):
            nursery.start_soon(write, writes, SlowStream(interval), size, outcomes, name)
            await sleep(Millis(500))
        nursery.start_soon(write, writes, SlowStream(100), 150_000, outcomes, "new")
    assert outcomes.pop("large and old") == "a response was ended: memory"
    assert set(outcomes.values()) == {"whole"}
    assert writes.cut_by_reason == {"memory": 1}
    assert writes.used_bytes == 0


async def test_one_response_may_be_longer_than_the_memory(autojump_clock):
    writes, outcomes = ResponseWrites(1_000), {}
    await write(writes, SlowStream(10), 100_000, outcomes, "only")
    assert outcomes == {"only": "whole"}


async def test_a_response_that_is_not_read_is_ended_logged_and_counted(autojump_clock):
    records = []
    handler = logger.add(lambda message: records.append(message.record), level="INFO")
    writes, outcomes = ResponseWrites(), {}
    await write(writes, SlowStream(3_600_000), 10, outcomes, "r1")
    logger.remove(handler)
    assert outcomes == {"r1": "a response was ended: not read"}
    (line,) = [record["extra"] for record in records if "ended before" in record["message"]]
    assert (line["request_id"], line["reason"], line["left_bytes"]) == ("r1", "not read", 10)
    assert writes.cut_by_reason == {"not read": 1}


async def serve(nursery, bounds):
    async def handle(request):
        return HttpResponse(200, BODY if request.path == "/a" else request.body[-5:])

    server = HttpServer(handle, bounds)
    client, server_side = memory_stream_pair()
    nursery.start_soon(server.serve, server_side)
    return client


async def test_a_body_that_arrives_steadily_is_read_whole(autojump_clock, nursery):
    client = await serve(nursery, HttpBounds(300_000, Millis(1_000), Millis(2_000)))
    await client.send_all(b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
    for _ in range(200):
        await sleep(Millis(200))
        await client.send_all(b"y" * 1_000)
    assert (await client.receive_some(65_536)).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(("piece", "interval"), [(b"y", 500), (b"y" * 1_000, 2_500)])
async def test_a_body_that_trickles_or_stops_is_refused(piece, interval, autojump_clock, nursery):
    client = await serve(nursery, HttpBounds(300_000, Millis(1_000), Millis(2_000)))
    received = b""

    async def receive():
        nonlocal received
        received = await client.receive_some(65_536)

    nursery.start_soon(receive)
    await client.send_all(b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
    for _ in range(20):
        await sleep(Millis(interval))
        if received:
            break
        await client.send_all(piece)
    assert received.startswith(b"HTTP/1.1 408")


# Guards against the cut of an answer that a client on a slow line reads steadily (review case 9).
async def test_a_client_that_reads_slowly_gets_its_whole_answer(nursery):
    async def handle(request):
        return HttpResponse(200, BODY)

    server = HttpServer(handle, HttpBounds(read_timeout=Millis(300), idle_timeout=Millis(600)))
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, server.serve, [listener])
    client = trio.socket.socket()
    client.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4_096)
    await client.connect(("127.0.0.1", listener.socket.getsockname()[1]))
    for _ in range(2):
        await client.send(GET)
        received = b""
        while not received.endswith(BODY):
            piece = await client.recv(2_500)
            assert piece, f"cut after {len(received)} bytes"
            received += piece
            await sleep(Millis(20))
    client.close()
