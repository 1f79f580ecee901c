import trio
from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpConnection, HttpFailure, HttpReply
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
