from contextlib import suppress

import pytest
import trio
from firtrestle.clocks import Millis, sleep
from firtrestle.messages import (
    MAX_FRAME_BYTES,
    AreYouThere,
    Done,
    Ping,
    Pong,
    SubReply,
    SubRequest,
    encode,
)
from firtrestle.peer_servers import PeerServer
from firtrestle.peers import CHUNK_BYTES, PeerAddress, PeerClient, PeerFailure

SUB = SubRequest("r", 1, "t", "s", "c", 1, 0, "search", {}, 1_000)


class PendingCall:
    """Represent a sub-request that doesn't finish by itself."""

    finished = False

    def __init__(self, deliver) -> None:
        self.cancelled = trio.Event()
        self.deliver = deliver

    def cancel(self) -> None:
        self.cancelled.set()


class Peer:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.pending: list[PendingCall] = []
        self.streams = 0
        self.server = PeerServer(self.serve, self.start_sub_request)

    async def serve(self, value):
        return Done() if isinstance(value, AreYouThere) else Pong()

    def start_sub_request(self, sub, deliver):
        if sub.shard == 1:
            deliver(SubReply("ok"))
        self.pending.append(PendingCall(deliver))
        return self.pending[-1]

    async def accept(self, stream: trio.SocketStream) -> None:
        self.streams += 1
        await self.server.serve(stream)
        self.streams -= 1

    async def listen(self, idle: Millis = Millis(5_000)) -> PeerClient:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.nursery.start_soon(trio.serve_listeners, self.accept, [listener])
        address = PeerAddress("127.0.0.1", listener.socket.getsockname()[1])
        return PeerClient(address, self.nursery, idle)


async def test_calls_share_one_stream_and_get_their_own_answers():
    async with trio.open_nursery() as nursery:
        peer = Peer(nursery)
        client = await peer.listen()
        answers: list = []
        async with trio.open_nursery() as calls:
            for _ in range(20):
                calls.start_soon(ask, client, Ping("d1"), answers)
        assert answers == [Pong()] * 20
        assert peer.streams == 1
        nursery.cancel_scope.cancel()


async def ask(client: PeerClient, value, answers: list) -> None:
    answers.append(await client.call(value, Millis(5_000)))


async def test_cancelling_a_call_cancels_it_at_the_peer():
    async with trio.open_nursery() as nursery:
        peer = Peer(nursery)
        client = await peer.listen()
        replies: list = []
        call = client.start(SUB, replies.append)
        with trio.fail_after(10):
            while not peer.pending:
                await sleep(Millis(5))
            call.cancel()
            await peer.pending[0].cancelled.wait()
        assert replies == []
        nursery.cancel_scope.cancel()


async def test_a_lost_stream_fails_its_calls_as_sent_and_cancels_them_at_the_peer():
    replies: list = []
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as serving:
            peer = Peer(serving)
            client = await peer.listen()
            client._nursery = nursery
            client.start(SUB, replies.append)
            with trio.fail_after(10):
                while not peer.pending:
                    await sleep(Millis(5))
            serving.cancel_scope.cancel()
        with trio.fail_after(10):
            await peer.pending[0].cancelled.wait()
            while not replies:
                await sleep(Millis(5))
        assert replies[0].sent
        nursery.cancel_scope.cancel()


async def test_a_call_to_an_unreachable_peer_fails_as_not_sent():
    async with trio.open_nursery() as nursery:
        client = PeerClient(PeerAddress("127.0.0.1", 1), nursery)
        failure = await client.call(Ping("d1"), Millis(5_000))
        assert isinstance(failure, PeerFailure)
        assert not failure.sent


async def test_an_idle_stream_is_closed_and_opened_again_when_needed():
    async with trio.open_nursery() as nursery:
        peer = Peer(nursery)
        client = await peer.listen(idle=Millis(20))
        for _ in range(2):
            assert await client.call(Ping("d1"), Millis(5_000)) == Pong()
            with trio.fail_after(10):
                while peer.streams:
                    await sleep(Millis(5))
        nursery.cancel_scope.cancel()


class SilentPeer:
    """Answer the handshake, and nothing after it."""

    def __init__(self) -> None:
        self.received = trio.Event()

    async def accept(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(100)
        await stream.send_all(encode(0, Done()))
        await stream.receive_some(1_000)
        self.received.set()
        await trio.sleep_forever()


async def listen(nursery: trio.Nursery, accept) -> PeerClient:
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, accept, [listener])
    return PeerClient(PeerAddress("127.0.0.1", listener.socket.getsockname()[1]), nursery)


async def test_calls_to_a_silent_peer_fail_and_calls_to_a_slow_one_do_not():
    async with trio.open_nursery() as nursery:
        failed: list = []
        slow: list = []
        (await listen(nursery, SilentPeer().accept)).start(SUB, failed.append)
        peer = Peer(nursery)
        (await peer.listen()).start(SUB, slow.append)  # answers keep-alives, not the call
        with trio.fail_after(10):
            while not failed:
                await sleep(Millis(20))
        assert failed[0].sent
        await sleep(Millis(500))
        assert slow == []
        nursery.cancel_scope.cancel()


async def test_a_peer_that_does_not_answer_the_handshake_gets_no_call():
    async with trio.open_nursery() as nursery:
        client = await listen(nursery, lambda stream: trio.sleep_forever())
        failure = await client.call(Ping("d1"), Millis(5_000))
        assert isinstance(failure, PeerFailure)
        assert not failure.sent
        nursery.cancel_scope.cancel()


async def test_a_released_stream_is_closed_once_no_call_is_open():
    async with trio.open_nursery() as nursery:
        peer = Peer(nursery)
        client = await peer.listen(idle=Millis(60_000))
        answers: list = []
        client.start(SUB, answers.append)
        assert await client.call(Ping("d1"), Millis(5_000)) == Pong()
        client.release()
        await sleep(Millis(700))
        assert peer.streams == 1
        peer.pending[0].deliver(SubReply("ok"))
        with trio.fail_after(10):
            while peer.streams:
                await sleep(Millis(5))
        assert answers == [SubReply("ok")]
        nursery.cancel_scope.cancel()


async def test_invalid_bytes_close_only_their_own_stream():
    async with trio.open_nursery() as nursery:
        peer = Peer(nursery)
        client = await peer.listen()
        raw = await trio.open_tcp_stream("127.0.0.1", client.address.port)
        await raw.send_all(b"GET / HTTP/1.1\r\n\r\n")
        with trio.fail_after(10):
            assert await raw.receive_some(100) == b""
        assert peer.server.frames_refused == 1
        assert await client.call(Ping("d1"), Millis(5_000)) == Pong()
        nursery.cancel_scope.cancel()


async def test_an_exception_at_the_peer_is_answered_as_a_failure():
    async with trio.open_nursery() as nursery:
        client = await listen(nursery, PeerServer(fail, None).serve)
        answer = await client.call(Ping("d1"), Millis(5_000))
        assert answer == Done(False, "failed")
        nursery.cancel_scope.cancel()


async def fail(value):
    raise RuntimeError("raised by the test")


async def test_an_answer_to_the_handshake_may_arrive_in_pieces():
    """Guards against taking an answer split over several reads for a protocol error."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1_000)
        answer = encode(0, Done())
        await stream.send_all(answer[:7])
        await sleep(Millis(50))
        await stream.send_all(answer[7:] + encode(1, Pong())[:5])
        await sleep(Millis(50))
        await stream.send_all(encode(1, Pong())[5:])
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = PeerAddress("127.0.0.1", listener.socket.getsockname()[1])
        client = PeerClient(address, nursery)
        assert await client.call(Ping("d1"), Millis(2_000)) == Pong()
        nursery.cancel_scope.cancel()


# Guards against a daemon that keeps all the bytes of a peer whose answer has no end.
@pytest.mark.parametrize("handshakes", [False, True])
async def test_an_answer_without_end_fails_its_call(handshakes):
    endless_text = b"\xdb\xff\xff\xff\xff" + b"x" * 65_536  # says that it has 4 GB

    async def answer(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(1_000)
            if handshakes:
                await stream.send_all(encode(0, Done()))
            while True:
                await stream.send_all(endless_text)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, answer, [listener])
        address = PeerAddress("127.0.0.1", listener.socket.getsockname()[1])
        client = PeerClient(address, nursery)
        with trio.fail_after(10):
            assert isinstance(await client.call(Ping("d1"), Millis(5_000)), PeerFailure)
        assert client.bytes_received <= MAX_FRAME_BYTES + CHUNK_BYTES
        nursery.cancel_scope.cancel()
