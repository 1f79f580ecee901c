import trio
from firtrestle.clocks import Millis
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer
from trio.testing import memory_stream_pair

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Served:
    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.cancelled = False
        self.hold = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        try:
            if self.hold:
                await trio.sleep_forever()
        finally:
            self.cancelled = self.hold
        return HttpResponse.from_json({"path": request.path})


async def exchange(sent: bytes, served: Served | None = None, half_close: bool = False) -> bytes:
    served = served or Served()
    client, server_side = memory_stream_pair()
    bounds = HttpBounds(max_body_bytes=100, read_timeout=Millis(1_000), idle_timeout=Millis(2_000))
    server = HttpServer(served.handle, bounds)
    received = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, server_side)
        await client.send_all(sent)
        if half_close:
            await client.send_eof()
        while chunk := await client.receive_some(65_536):
            received += chunk
    return received


async def test_a_connection_takes_one_request_after_another(autojump_clock):
    served = Served()
    received = await exchange(GET + GET, served)
    assert received.count(b"HTTP/1.1 200") == 2
    assert len(served.requests) == 2


async def test_a_malformed_request_gets_400(autojump_clock):
    assert b"HTTP/1.1 400" in await exchange(b"NONSENSE\r\n\r\n")


async def test_oversized_headers_are_refused_within_bounds(autojump_clock):
    head = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"x" * 60_000
    assert b"HTTP/1.1 431" in await exchange(head)


async def test_an_oversized_body_gets_413(autojump_clock):
    request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + b"x" * 101
    assert b"HTTP/1.1 413" in await exchange(request)


async def test_a_slow_request_gets_408(autojump_clock):
    assert b"HTTP/1.1 408" in await exchange(b"GET / HTTP/1.1\r\nHost: x\r\n")


async def test_an_idle_connection_is_closed(autojump_clock):
    assert await exchange(b"") == b""


async def test_a_caller_that_leaves_cancels_its_request(autojump_clock):
    served = Served()
    served.hold = True
    assert await exchange(GET, served, half_close=True) == b""
    assert served.cancelled


async def test_a_closing_server_ends_each_connection_after_its_answer(autojump_clock):
    served = Served()
    client, server_side = memory_stream_pair()
    server = HttpServer(served.handle, HttpBounds())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, server_side)
        await trio.sleep(0.1)
        server.close_idle()
        assert await client.receive_some(100) == b""
    assert server.open_connections == 0
