import trio
from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpConnection, HttpFailure, HttpReply
from trio.testing import lockstep_stream_pair, memory_stream_pair

HEAD = [("Host", "h")]
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def exchange(script, body=b""):
    """Send one request to a server that runs a script; return the reply and the connection."""
    client, server = memory_stream_pair()
    connection = HttpConnection(client, "h")
    replies = []

    async def ask():
        headers = HEAD + ([("Content-Length", str(len(body)))] if body else [])
        replies.append(await connection.exchange("GET", "/", headers, body))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await server.receive_some(65_536)
        await script(server)
    return replies[0], connection


def sends(data, close=False):
    async def script(server):
        await server.send_all(data)
        if close:
            await server.aclose()

    return script


async def test_a_whole_reply_leaves_the_connection_usable():
    reply, connection = await exchange(sends(REPLY))
    assert (reply.status, reply.body, connection.usable) == (200, b"ok", True)


async def test_a_connection_with_bytes_after_its_reply_is_spent():
    reply, connection = await exchange(sends(REPLY + REPLY))
    assert reply.body == b"ok"
    assert not connection.usable


async def test_a_reply_without_length_ends_with_its_connection():
    reply, connection = await exchange(sends(b"HTTP/1.1 200 OK\r\n\r\nok", close=True))
    assert (reply.body, connection.usable) == (b"ok", False)


async def test_a_connection_that_the_server_will_close_is_spent():
    closing = REPLY.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    reply, connection = await exchange(sends(closing))
    assert (reply.body, connection.usable) == (b"ok", False)


async def test_a_reply_that_is_cut_short_is_no_reply():
    reply, _ = await exchange(sends(REPLY[:-1], close=True))
    assert isinstance(reply, HttpFailure)
    assert reply.sent


async def test_bytes_that_are_no_reply_are_a_failure():
    reply, connection = await exchange(sends(b"\x00\x01garbage\r\n\r\n"))
    assert isinstance(reply, HttpFailure)
    assert not connection.usable


async def test_a_reply_before_the_body_was_read_is_delivered_and_the_connection_spent():
    """The server answers early and never reads on: the sender must not wait for it."""
    blocked = lockstep_stream_pair()
    connection = HttpConnection(blocked[0], "h")
    body = b"x" * 50_000
    replies = []

    async def ask():
        headers = [*HEAD, ("Content-Length", str(len(body)))]
        replies.append(await connection.exchange("POST", "/", headers, body))

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await blocked[1].receive_some(100)
            await blocked[1].send_all(REPLY)
    assert isinstance(replies[0], HttpReply)
    assert not connection.usable


def test_the_time_a_server_keeps_a_connection_is_taken_with_a_margin():
    assert HttpReply(200, {"keep-alive": "timeout=5, max=9"}, b"").keep_alive() == Millis(4_500)
    assert HttpReply(200, {"keep-alive": "timeout=x"}, b"").keep_alive() > Millis(10_000)
