import socket
import struct

import h11
import pytest
import trio
from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpConnection, HttpFailure, HttpReply
from firtrestle.receive_bounds import ReceiveMemory
from trio.testing import lockstep_stream_pair, memory_stream_pair

HEADERS = [("Host", "h")]
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def exchange(serve, body=b""):
    """Send one request to a scripted server; return the reply and the connection."""
    client, server = memory_stream_pair()
    connection = HttpConnection(client, "h")
    replies = []

    async def send():
        headers = HEADERS + ([("Content-Length", str(len(body)))] if body else [])
        replies.append(await connection.exchange("GET", "/", headers, body))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await server.receive_some(65_536)
        await serve(server)
    return replies[0], connection


def serve_bytes(data, close=False):
    async def serve(server):
        await server.send_all(data)
        if close:
            await server.aclose()

    return serve


async def test_complete_reply_leaves_the_connection_usable():
    reply, connection = await exchange(serve_bytes(REPLY))
    assert (reply.status, reply.body, connection.usable) == (200, b"ok", True)


CHUNKED_REPLY = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n\r\n"
)
# Without a length, what comes before the end of the connection is the body.
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n"


# Guards against a reply that ends in its head, or in its body, passing for a whole one (MIXED).
@pytest.mark.parametrize("reply", [REPLY, CHUNKED_REPLY, UNFRAMED_HEAD])
async def test_a_reply_that_ends_early_at_any_byte_is_a_failure(reply):
    for length in range(len(reply)):
        got, connection = await exchange(serve_bytes(reply[:length], close=True))
        assert isinstance(got, HttpFailure), reply[:length]
        assert got.sent
        assert not connection.usable


# Guards against a status that HTTP does not define, such as 000, being passed on as an answer.
@pytest.mark.parametrize("status", ["000", "099", "0200", "20", "600", "999"])
async def test_a_reply_with_an_undefined_status_is_a_failure(status):
    data = f"HTTP/1.1 {status} X\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
    reply, connection = await exchange(serve_bytes(data.encode(), close=True))
    assert isinstance(reply, HttpFailure)
    assert reply.sent
    assert not connection.usable


async def test_bytes_after_the_reply_make_the_connection_unusable():
    reply, connection = await exchange(serve_bytes(REPLY + REPLY))
    assert reply.body == b"ok"
    assert not connection.usable


async def test_reply_without_length_makes_the_connection_unusable():
    reply, connection = await exchange(serve_bytes(b"HTTP/1.1 200 OK\r\n\r\nok", close=True))
    assert (reply.body, connection.usable) == (b"ok", False)


async def test_connection_close_header_makes_the_connection_unusable():
    closing = REPLY.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    reply, connection = await exchange(serve_bytes(closing))
    assert (reply.body, connection.usable) == (b"ok", False)


async def test_truncated_reply_is_a_failure_after_sending():
    reply, _ = await exchange(serve_bytes(REPLY[:-1], close=True))
    assert isinstance(reply, HttpFailure)
    assert reply.sent


async def test_malformed_reply_is_a_failure():
    reply, connection = await exchange(serve_bytes(b"\x00\x01garbage\r\n\r\n"))
    assert isinstance(reply, HttpFailure)
    assert not connection.usable


async def test_reply_before_the_body_was_read_is_returned_and_the_connection_unusable():
    """The sender must not block on a server that replies early and reads no further.

    The lockstep stream has no buffer, so that the rest of the body is never accepted.
    """
    blocked = lockstep_stream_pair()
    connection = HttpConnection(blocked[0], "h")
    body = b"x" * 50_000
    replies = []

    async def send():
        headers = [*HEADERS, ("Content-Length", str(len(body)))]
        replies.append(await connection.exchange("POST", "/", headers, body))

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await blocked[1].receive_some(100)
            await blocked[1].send_all(REPLY)
    assert isinstance(replies[0], HttpReply)
    assert not connection.usable


def test_keep_alive_timeout_is_reduced_by_a_margin():
    assert HttpReply(200, {"keep-alive": "timeout=5, max=9"}, b"").keep_alive() == Millis(4_500)
    assert HttpReply(200, {"keep-alive": "timeout=x"}, b"").keep_alive() > Millis(10_000)


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "head": (HEAD, b"X-A: b\r\n"),
    "header line": (HEAD + b"X-A: ", b"b" * 1_000),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk size": (CHUNKED, b"0" * 1_000),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "large chunks": (CHUNKED, b"1000\r\n" + b"x" * 4_096 + b"\r\n"),
    "chunk extension": (CHUNKED + b"1;a=", b"b" * 1_000),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    "body without length": (HEAD + b"\r\n", b"x" * 4_096),
    "body longer than it may be": (HEAD + b"Content-Length: 1000000000\r\n\r\n", b"x" * 4_096),
}
MAX_READ_BYTES = 400_000  # of a reply without end whose body is bound to 100,000 bytes


@pytest.mark.parametrize("part", ENDLESS)
async def test_a_reply_without_end_is_ended_within_its_bounds(part):
    start, repeated = ENDLESS[part]
    client, server = memory_stream_pair()
    memory = ReceiveMemory(50_000)
    connection = HttpConnection(client, "h", memory)
    request = h11.Request(method="GET", target="/", headers=HEADERS)
    sent = 0

    async def serve():
        nonlocal sent
        await server.receive_some(65_536)
        await server.send_all(start)
        while True:
            await server.send_all(repeated * (4_096 // len(repeated) + 1))
            sent += len(repeated) * (4_096 // len(repeated) + 1)
            await trio.lowlevel.checkpoint()

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            failure = await connection.send_prepared(request, b"", 100_000)
            nursery.cancel_scope.cancel()
    assert isinstance(failure, HttpFailure)
    assert failure.sent
    assert not connection.usable
    assert sent < MAX_READ_BYTES
    assert memory.used_bytes == 0


async def test_a_reply_without_a_length_whose_connection_is_reset_is_a_failure():
    async def reset_midway(stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await trio.sleep(0.05)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, reset_midway, listeners)
        port = listeners[0].socket.getsockname()[1]
        connection = await HttpConnection.open("127.0.0.1", port, Millis(1_000))
        reply = await connection.exchange("GET", "/", HEADERS)
        assert isinstance(reply, HttpFailure)
        assert reply.sent
        nursery.cancel_scope.cancel()
