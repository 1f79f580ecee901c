"""Send HTTP/1.1 requests over kept connections."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import h11
import trio

from firtrestle.clocks import Millis, move_on_after

CHUNK_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_REPLY_BYTES = 16_000_000


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Hold one reply; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body read as JSON, or None where it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Hold a failed exchange; `sent` says whether a byte may have left."""

    sent: bool
    reason: str


class HttpConnection:
    """Carry one request at a time to one server."""

    def __init__(self, stream: trio.abc.Stream, host: str) -> None:
        self._stream = stream
        self._host = host
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.usable = True

    @classmethod
    async def open(cls, host: str, port: int, timeout: Millis) -> HttpConnection | HttpFailure:
        """Connect, or say why not."""
        try:
            with move_on_after(timeout):
                stream = await trio.open_tcp_stream(host, port, happy_eyeballs_delay=None)
                return cls(stream, f"{host}:{port}")
        except OSError as error:
            return HttpFailure(False, f"connecting to {host}:{port} failed: {error}")
        return HttpFailure(False, f"connecting to {host}:{port} took too long")

    async def request(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> HttpReply | HttpFailure:
        """Send one request and read its reply; on cancellation the connection is spent."""
        head = h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", self._host),
                ("Content-Length", str(len(body))),
                *(headers or {}).items(),
            ],
        )
        finished = False
        sent = False
        try:
            data = self._http.send(head) + self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
            sent = True
            await self._stream.send_all(data)
            reply = await self._read_reply()
            finished = isinstance(reply, HttpReply) and self._start_next()
            return reply
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return HttpFailure(sent, f"the connection broke: {error}")
        except h11.ProtocolError as error:
            return HttpFailure(sent, f"the server broke the protocol: {error}")
        finally:
            self.usable = finished

    async def close(self) -> None:
        """Close the connection."""
        self.usable = False
        await trio.aclose_forcefully(self._stream)

    async def _read_reply(self) -> HttpReply | HttpFailure:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_REPLY_BYTES:
                    return HttpFailure(True, "the reply is too large")
            elif isinstance(event, h11.EndOfMessage):
                return HttpReply(status, headers, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                return HttpFailure(True, "the server closed the connection")

    def _start_next(self) -> bool:
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True


async def fetch(
    address: str, method: str, path: str, timeout: Millis, body: bytes = b"", **headers: str
) -> HttpReply | HttpFailure:
    """Open a connection to "host:port", send one request and close."""
    host, _, port = address.rpartition(":")
    connection = await HttpConnection.open(host, int(port), timeout)
    if isinstance(connection, HttpFailure):
        return connection
    try:
        with move_on_after(timeout):
            named = {name.replace("_", "-"): value for name, value in headers.items()}
            return await connection.request(method, path, body, named)
        return HttpFailure(True, f"{address} took too long to answer")
    finally:
        with trio.CancelScope(shield=True):
            await connection.close()
