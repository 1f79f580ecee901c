"""Send HTTP/1.1 requests over kept-alive connections."""

from __future__ import annotations

import itertools
import json
import select
import socket
import struct
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import h11
import trio

from firtrestle.clocks import MILLIS_PER_SECOND, Millis, move_on_after
from firtrestle.http_events import next_event
from firtrestle.isolations import first_leaf
from firtrestle.receive_bounds import (
    EVENTS_PER_TURN,
    READ_BYTES,
    BodyOverBounds,
    BodyReader,
    ReceiveMemory,
)
from firtrestle.whole_numbers import parse_whole

MAX_HEAD_BYTES = 65_536
MAX_REPLY_BYTES = 4_000_000
MAX_INFORMATIONAL_RESPONSES = 16  # before a reply
RESET_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends RST instead of FIN
MAX_STATUS = 599  # HTTP defines no higher one; the parser refuses those below 100
BODILESS_STATUSES = frozenset({204, 304})  # replies with these statuses have no body
KEEP_ALIVE_MARGIN = Millis(500)  # for a request in transit when the server's timeout ends
DEFAULT_KEEP_ALIVE = Millis(60_000)  # if the server announces no timeout
# Fits into the socket buffers, so that sending doesn't block until the server reads.
MAX_SEND_BEFORE_READ_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Represent one reply; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def is_framed(self) -> bool:
        """Return whether the reply marks its own end, instead of ending with the connection."""
        has_framing = "content-length" in self.headers or "transfer-encoding" in self.headers
        return has_framing or self.status in BODILESS_STATUSES

    def keep_alive(self) -> Millis:
        """Return how long the connection may stay idle, a margin less than the server announced."""
        for part in self.headers.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            seconds = parse_whole(value) if name.lower() == "timeout" else None
            if seconds is not None:
                return Millis(seconds * MILLIS_PER_SECOND - KEEP_ALIVE_MARGIN)
        return DEFAULT_KEEP_ALIVE


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Represent a failed exchange; `sent` states whether any byte may have been sent."""

    sent: bool
    reason: str


@dataclass(frozen=True, slots=True)
class ReplyOverBounds(HttpFailure):
    """Represent an exchange that was ended as the reply has no end, or no end within its bounds."""


@dataclass(frozen=True, slots=True)
class NoFreeConnection(HttpFailure):
    """Represent an exchange that didn't start as all connections allowed here are in use."""


@dataclass(frozen=True, slots=True)
class ConnectionRefused(HttpFailure):
    """Represent a connection that the server's host refused, as nothing listens there."""


class RequestTemplate:
    """Validate the headers of a request once, for copies to many servers.

    Validating a dozen headers takes longer than sending them; a copy validates only the few headers
    that it adds.
    """

    def __init__(self, method: str, target: str, headers: Sequence[tuple[bytes, bytes]]) -> None:
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        checked = self._request.headers
        self._headers_type = type(checked)
        names = (name for name, _ in checked)
        self._checked_items = [
            (raw, name, value)
            for (raw, value), name in zip(checked.raw_items(), names, strict=True)
        ]

    def copy(self, headers: Sequence[tuple[bytes, str]]) -> h11.Request:
        """Return the request with added headers; raise h11.LocalProtocolError on a bad value."""
        added_items = [(name, name.lower(), _header_value(value)) for name, value in headers]
        return h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=self._headers_type(self._checked_items + added_items),
        )


class HttpConnection:
    """Send one request at a time to one server."""

    def __init__(
        self, stream: trio.abc.Stream, host: str, memory: ReceiveMemory | None = None
    ) -> None:
        self._stream = stream
        self._host = host
        self._memory = memory
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.usable = True
        self.on_received: Callable[[int], None] | None = None  # gets the size of what arrived
        self._awaits_reply = False

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        timeout: Millis,
        memory: ReceiveMemory | None = None,
        source: str = "",
    ) -> HttpConnection | HttpFailure:
        """Connect within the timeout, or return the failure.

        `source` is the local IP address to connect from, empty for the system's choice.
        """
        try:
            with move_on_after(timeout):
                return cls(await _connect(host, port, source), f"{host}:{port}", memory)
        except ConnectionRefusedError as error:
            return ConnectionRefused(False, f"connecting to {host}:{port} failed: {error}")
        except OSError as error:
            return HttpFailure(False, f"connecting to {host}:{port} failed: {error}")
        return HttpFailure(False, f"connecting to {host}:{port} took too long")

    async def request(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> HttpReply | HttpFailure:
        """Send one request and read its reply; cancellation makes the connection unusable."""
        all_headers = [
            ("Host", self._host),
            ("Content-Length", str(len(body))),
            *(headers or {}).items(),
        ]
        return await self.exchange(method, path, all_headers, body)

    async def exchange(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes = b""
    ) -> HttpReply | HttpFailure:
        """Send one request with exactly these headers and read its reply."""
        try:
            request = h11.Request(method=method, target=target, headers=list(headers))
        except h11.LocalProtocolError as error:
            self.usable = False
            return HttpFailure(False, f"the protocol was broken: {error}")
        return await self.send_prepared(request, body)

    async def send_prepared(
        self, request: h11.Request, body: bytes = b"", max_reply_bytes: int = MAX_REPLY_BYTES
    ) -> HttpReply | HttpFailure:
        """Send a request unchanged and read its reply.

        The connection is not usable afterwards if the reply came before the whole request was sent
        or if bytes follow the reply.
        """
        is_reusable = False
        sent = False
        outcome: HttpReply | HttpFailure
        try:
            data = self._http.send(request)
            if body:
                data += self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
            sent = self._awaits_reply = True
            if len(data) <= MAX_SEND_BEFORE_READ_BYTES:
                await self._stream.send_all(data)
                reply = await self._read_reply(max_reply_bytes)
                is_sent = True
            else:
                reply, is_sent = await self._send_while_reading(data, max_reply_bytes)
            has_framing = isinstance(reply, HttpReply) and reply.is_framed()
            self._awaits_reply = not (isinstance(reply, HttpReply) and is_sent)
            is_reusable = has_framing and is_sent and self._start_next_cycle()
            outcome = reply
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as errors:
            outcome = HttpFailure(sent, f"the connection broke: {first_leaf(errors)}")
        except* h11.ProtocolError as errors:
            outcome = HttpFailure(sent, f"the protocol was broken: {first_leaf(errors)}")
        finally:
            self.usable = is_reusable
        return outcome

    async def _send_while_reading(
        self, data: bytes, max_reply_bytes: int
    ) -> tuple[HttpReply | HttpFailure, bool]:
        """Return the reply, and whether all bytes had been sent when it arrived."""
        is_sent = False
        reply: HttpReply | HttpFailure = HttpFailure(True, "no reply came")

        async def send() -> None:
            nonlocal is_sent
            await self._stream.send_all(data)
            is_sent = True

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            reply = await self._read_reply(max_reply_bytes)
            nursery.cancel_scope.cancel()
        return reply, is_sent

    def has_no_pending_input(self) -> bool:
        """Return whether the server has neither sent bytes nor closed since the last reply."""
        if self._http.trailing_data[0]:
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def close(self) -> None:
        """Close the connection at once, without a graceful shutdown.

        It is reset if a reply is awaited: on a link that is cut, the request would otherwise be
        delivered, and run, when the link is back.
        """
        self.usable = False
        if self._awaits_reply and isinstance(self._stream, trio.SocketStream):
            with suppress(OSError):  # already closed
                self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        await trio.aclose_forcefully(self._stream)

    async def _read_reply(self, max_bytes: int) -> HttpReply | HttpFailure:
        try:
            with BodyReader(max_bytes, self._memory) as reader:
                return await self._read_events(reader)
        except BodyOverBounds as error:
            return ReplyOverBounds(True, str(error))

    async def _read_events(self, reader: BodyReader) -> HttpReply | HttpFailure:
        status = 0
        headers: dict[str, str] = {}
        informational = 0
        event: Any = h11.NEED_DATA  # nothing of the reply has been received yet
        for number in itertools.count(1):
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(READ_BYTES)
                self._http.receive_data(data)
                if self.on_received is not None:
                    self.on_received(len(data))
            elif isinstance(event, h11.Response):
                status = event.status_code
                if status > MAX_STATUS:
                    return HttpFailure(True, f"the protocol was broken: status {status}")
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                reader.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return HttpReply(status, headers, reader.body())
            elif isinstance(event, h11.ConnectionClosed):
                return HttpFailure(True, "the server closed the connection")
            elif isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_RESPONSES:
                    reason = f"over {MAX_INFORMATIONAL_RESPONSES} informational responses"
                    return ReplyOverBounds(True, reason)
            if number % EVENTS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
            event = next_event(self._http)
        raise AssertionError("unreachable")

    def _start_next_cycle(self) -> bool:
        if self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True


@lru_cache(maxsize=8_192)
def _header_value(text: str) -> bytes:
    """Validate and encode a header value; cached, because instance names and times recur."""
    if not (text and text.isascii() and text.isprintable() and text == text.strip()):
        raise h11.LocalProtocolError(f"illegal header value {text!r}")
    return text.encode()


async def _connect(host: str, port: int, source: str) -> trio.SocketStream:
    """Connect; IPv4 addresses, as registries list them, skip name resolution."""
    if not host.replace(".", "").isdigit():
        return await trio.open_tcp_stream(
            host, port, happy_eyeballs_delay=None, local_address=source or None
        )
    connection = trio.socket.socket()
    try:
        if source:
            await connection.bind((source, 0))
        await connection.connect((host, port))
    except BaseException:
        connection.close()
        raise
    return trio.SocketStream(connection)


async def fetch(
    address: str, method: str, path: str, timeout: Millis, body: bytes = b"", **headers: str
) -> HttpReply | HttpFailure:
    """Send one request to "host:port" over a connection of its own."""
    host, _, port = address.rpartition(":")
    connection = await HttpConnection.open(host, int(port), timeout)
    if isinstance(connection, HttpFailure):
        return connection
    try:
        with move_on_after(timeout):
            all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
            return await connection.request(method, path, body, all_headers)
        return HttpFailure(True, f"{address} took too long to answer")
    finally:
        with trio.CancelScope(shield=True):
            await connection.close()
