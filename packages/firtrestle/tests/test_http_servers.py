import trio
from firtrestle import http_servers
from firtrestle.clocks import Millis
from firtrestle.http_servers import HttpBounds, HttpRequest, HttpResponse, HttpServer
from firtrestle.isolations import faults
from firtrestle.receive_bounds import ReceiveMemory
from trio.testing import memory_stream_pair

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class RecordingHandler:
    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.cancelled = False
        self.never_answer = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        try:
            if self.never_answer:
                await trio.sleep_forever()
        finally:
            self.cancelled = self.never_answer
        return HttpResponse.from_json({"path": request.path})


async def send_and_receive(
    data: bytes,
    handler: RecordingHandler | None = None,
    half_close: bool = False,
    max_body_bytes: int = 100,
    memory: ReceiveMemory | None = None,
) -> bytes:
    handler = handler or RecordingHandler()
    client, server_side = memory_stream_pair()
    bounds = HttpBounds(max_body_bytes, Millis(1_000), Millis(2_000))
    server = HttpServer(handler.handle, bounds, memory=memory)
    received = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, server_side)
        await client.send_all(data)
        if half_close:
            await client.send_eof()
        while chunk := await client.receive_some(65_536):
            received += chunk
    return received


async def test_connection_serves_pipelined_requests_in_turn(autojump_clock):
    handler = RecordingHandler()
    received = await send_and_receive(GET + GET, handler)
    assert received.count(b"HTTP/1.1 200") == 2
    assert len(handler.requests) == 2


async def test_malformed_request_gets_400(autojump_clock):
    assert b"HTTP/1.1 400" in await send_and_receive(b"NONSENSE\r\n\r\n")


async def test_oversized_headers_get_431(autojump_clock):
    head = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"x" * 60_000
    assert b"HTTP/1.1 431" in await send_and_receive(head)


async def test_oversized_body_gets_413(autojump_clock):
    request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + b"x" * 101
    assert b"HTTP/1.1 413" in await send_and_receive(request)


async def test_slow_request_gets_408(autojump_clock):
    assert b"HTTP/1.1 408" in await send_and_receive(b"GET / HTTP/1.1\r\nHost: x\r\n")


async def test_idle_connection_is_closed(autojump_clock):
    assert await send_and_receive(b"") == b""


async def test_disconnected_caller_cancels_its_request(autojump_clock):
    handler = RecordingHandler()
    handler.never_answer = True
    assert await send_and_receive(GET, handler, half_close=True) == b""
    assert handler.cancelled


async def test_close_idle_closes_idle_connections(autojump_clock):
    handler = RecordingHandler()
    client, server_side = memory_stream_pair()
    server = HttpServer(handler.handle, HttpBounds())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, server_side)
        await trio.sleep(0.1)
        server.close_idle()
        assert await client.receive_some(100) == b""
    assert server.open_connections == 0


# Guards against targets that raise while they are parsed, which ended the whole daemon.
async def test_a_malformed_target_gets_400_and_the_server_serves_on(autojump_clock):
    for target in (b"//[", b"//host/a", b"http://[x/", b"http:///a", b"a", b"?a", b"[::1"):
        received = await send_and_receive(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 400"), target
    assert (await send_and_receive(GET)).startswith(b"HTTP/1.1 200")


async def test_a_target_in_absolute_form_is_routed_by_its_path(autojump_clock):
    handler = RecordingHandler()
    await send_and_receive(b"GET http://x/a/b?c=1 HTTP/1.1\r\nHost: x\r\n\r\n", handler)
    assert (handler.requests[0].path, handler.requests[0].parameters) == ("/a/b", {"c": "1"})


# Guards against exceptions that leave one connection and cancel all others of the daemon.
async def test_an_unexpected_exception_ends_one_connection_only(autojump_clock, monkeypatch):
    counted = faults.count_by_task["HTTP connection"]
    handler = RecordingHandler()
    with monkeypatch.context() as patch:
        patch.setattr(http_servers, "_build_request", None)
        assert await send_and_receive(GET, handler) == b""
    assert faults.count_by_task["HTTP connection"] == counted + 1
    assert (await send_and_receive(GET, handler)).startswith(b"HTTP/1.1 200")


async def test_cancellation_passes_through_a_connection_and_is_no_fault(autojump_clock):
    counted = faults.count_by_task["HTTP connection"]
    client, server_side = memory_stream_pair()
    server = HttpServer(RecordingHandler().handle, HttpBounds())
    with trio.move_on_after(0.01) as scope:
        await server.serve(server_side)
    assert scope.cancelled_caught
    assert faults.count_by_task["HTTP connection"] == counted


async def test_an_exception_in_a_handler_is_answered_and_counted(autojump_clock):
    counted = faults.count_by_task["HTTP handler"]
    handler = RecordingHandler()
    handler.requests = None  # so that the handler raises
    assert (await send_and_receive(GET, handler, half_close=True)).startswith(b"HTTP/1.1 500")
    assert faults.count_by_task["HTTP handler"] == counted + 1


async def test_a_request_body_in_one_byte_chunks_without_end_is_refused(autojump_clock):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    received = await send_and_receive(head + b"1\r\nx\r\n" * 3_000, max_body_bytes=2_500)
    assert b"HTTP/1.1 413" in received


# Guards against proper bodies that are refused as they come in short chunks (DENIED).
async def test_a_request_body_in_many_short_chunks_is_read(autojump_clock):
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    for size, count in ((31, 2_500), (1, 20_000)):
        handler = RecordingHandler()
        chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
        body = head + chunk * count + b"0\r\n\r\n"
        assert b"HTTP/1.1 200" in await send_and_receive(body, handler, max_body_bytes=100_000)
        assert handler.requests[0].body == b"x" * size * count


# Guards against a starting daemon that denies what the desired state allows, once it is known.
async def test_what_exceeds_provisional_bounds_may_come_again(autojump_clock, nursery):
    head = b"POST / HTTP/1.1\r\nHost: x\r\n"
    for request in (
        head + b"Content-Length: 200\r\n\r\n" + b"x" * 200,
        head + b"X-Long: " + b"x" * 60_000 + b"\r\n\r\n",
    ):
        bounds = HttpBounds(100, Millis(1_000), Millis(2_000), are_provisional=True)
        client, server_side = memory_stream_pair()
        server = HttpServer(RecordingHandler().handle, bounds)
        nursery.start_soon(server.serve, server_side)
        await client.send_all(request)
        received = await client.receive_some(65_536)
        assert received.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in received


async def test_a_request_body_beyond_the_memory_for_requests_is_refused(autojump_clock):
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"
    memory = ReceiveMemory(10_000)
    received = await send_and_receive(
        head + b"x" * 100_000, max_body_bytes=1_000_000, memory=memory
    )
    assert b"HTTP/1.1 503" in received
    assert memory.used_bytes == 0


async def receive_response(client: trio.abc.ReceiveStream) -> bytes:
    received = b""
    while b"}" not in received:
        chunk = await client.receive_some(65_536)
        assert chunk, received
        received += chunk
    return received


# Guards against a connection keeping the bounds of an older desired state (DENIED).
async def test_kept_connections_use_the_bounds_in_force(autojump_clock, nursery):
    small = HttpBounds(100, Millis(1_000), Millis(2_000), max_head_bytes=200)
    server = HttpServer(RecordingHandler().handle, small)
    client, server_side = memory_stream_pair()
    nursery.start_soon(server.serve, server_side)
    await client.send_all(GET)
    assert b"HTTP/1.1 200" in await receive_response(client)
    server.bounds = HttpBounds(300, Millis(1_000), Millis(2_000), max_head_bytes=1_000)
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nX-Long: " + b"x" * 500 + b"\r\nContent-Length: 200"
    await client.send_all(head + b"\r\n\r\n" + b"x" * 200)
    assert b"HTTP/1.1 200" in await receive_response(client)
    server.bounds = small
    await client.send_all(head.replace(b"x" * 500, b"") + b"\r\n\r\n" + b"x" * 200)
    assert b"HTTP/1.1 413" in await receive_response(client)


async def test_pipelined_requests_survive_a_change_of_the_bounds(autojump_clock, nursery):
    handler = RecordingHandler()
    server = HttpServer(handler.handle, HttpBounds(100, Millis(1_000), Millis(2_000)))
    client, server_side = memory_stream_pair()
    nursery.start_soon(server.serve, server_side)
    await client.send_all(GET)
    await receive_response(client)
    server.bounds = HttpBounds(300, Millis(1_000), Millis(2_000))
    await client.send_all(GET + GET)
    received = b""
    while received.count(b"HTTP/1.1 200") < 2:
        received += await receive_response(client)
    assert len(handler.requests) == 3


async def test_a_raised_idle_timeout_holds_for_a_connection_that_is_idle(autojump_clock, nursery):
    server = HttpServer(RecordingHandler().handle, HttpBounds(100, Millis(1_000), Millis(2_000)))
    client, server_side = memory_stream_pair()
    nursery.start_soon(server.serve, server_side)
    await client.send_all(GET)
    await receive_response(client)
    await trio.sleep(1)
    server.bounds = HttpBounds(100, Millis(1_000), Millis(10_000))
    await trio.sleep(7)
    await client.send_all(GET)
    assert b"HTTP/1.1 200" in await receive_response(client)
    await trio.sleep(11)
    assert await client.receive_some(10) == b""
