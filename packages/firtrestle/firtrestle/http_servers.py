"""Serve HTTP/1.1 connections, one task each, with bounded sizes and times."""

from __future__ import annotations

import itertools
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11
import trio
from loguru import logger

from firtrestle.clocks import Clock, Millis, move_on_after
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.http_events import next_event
from firtrestle.isolations import faults
from firtrestle.problems import problem_response
from firtrestle.receive_bounds import (
    EVENTS_PER_TURN,
    READ_BYTES,
    BodyReader,
    BodyTooLarge,
    MemoryUsedUp,
    ReceiveMemory,
)
from firtrestle.settings import FrontSettings
from firtrestle.transfers import ResponseWrites, Transfer, prepare_stream

MAX_HEAD_BYTES = 16_384
REQUEST_ID_HEADER = "x-request-id"
STATUS_HEADERS_TOO_LARGE = 431


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Represent one request; header names are lower case."""

    method: str
    path: str
    parameters: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""  # path and query as received
    header_list: tuple[tuple[str, str], ...] = ()  # as received, with lower-case names

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value; the name is given in lower case."""
        return self.headers.get(name, default)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Represent one response; `close` ends the connection after it."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False

    @classmethod
    def from_json(cls, value: Any, status: int = 200, **headers: str) -> HttpResponse:
        """Build a response with a JSON body."""
        return cls(status, json.dumps(value, separators=(",", ":")).encode(), headers=headers)


Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]  # None: close unanswered


@dataclass(frozen=True, slots=True)
class HttpBounds:
    """Limit sizes and times on one connection."""

    max_body_bytes: int = 65_536
    read_timeout: Millis = Millis(5_000)
    idle_timeout: Millis = Millis(60_000)
    max_head_bytes: int = MAX_HEAD_BYTES
    # The bounds in force aren't known yet, so that what exceeds these may be good later.
    are_provisional: bool = False

    @classmethod
    def from_config(cls, front: FrontSettings) -> HttpBounds:
        """Build the bounds of callers' connections from the settings."""
        return cls(
            front.max_body_bytes, Millis(front.read_timeout_ms), Millis(front.idle_timeout_ms)
        )


class HttpServer:
    """Serve the connections of one listener.

    Heads are read within the read timeout; bodies and responses may take as long as they move. A
    connection beyond `max_connections` is closed at once. With `watch_callers`, a caller that
    disconnects cancels the handler of its request.
    """

    def __init__(
        self,
        handler: Handler,
        bounds: HttpBounds,
        max_connections: int = 1_000,
        watch_callers: bool = True,
        memory: ReceiveMemory | None = None,
        writes: ResponseWrites | None = None,
    ) -> None:
        self.handler = handler
        self.bounds = bounds
        self.max_connections = max_connections
        self.watch_callers = watch_callers
        self.memory = memory
        self.writes = writes or ResponseWrites()
        self.open_connections = 0
        self.closing = False
        self.idle_allowed = True
        self._idle_scopes: set[trio.CancelScope] = set()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends; no fault in it is raised."""
        if self.open_connections >= self.max_connections:
            await trio.aclose_forcefully(stream)
            return
        self.open_connections += 1
        try:
            await _Connection(self, stream).run()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        except* Exception as errors:
            faults.record("HTTP connection", errors)
        finally:
            self.open_connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def close_after_answers(self) -> None:
        """Close each connection after its next response, so that callers move to other daemons."""
        self.closing = True

    def close_idle(self) -> None:
        """Close idle connections now and the others after their next response."""
        self.closing = True
        self.idle_allowed = False
        for scope in list(self._idle_scopes):
            scope.cancel()


class _Connection:
    def __init__(self, server: HttpServer, stream: trio.abc.Stream) -> None:
        self._server = server
        self._bounds = server.bounds
        self._stream = stream
        self._clock = Clock()
        self._method = ""
        self._http = self._build_parser()

    async def run(self) -> None:
        prepare_stream(self._stream)
        while await self._serve_request():
            self._http.start_next_cycle()

    def _build_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._bounds.max_head_bytes)

    def _use_bounds_in_force(self) -> None:
        """Bound the request that begins by the server's bounds of this moment."""
        if self._bounds == self._server.bounds:
            return
        self._bounds = self._server.bounds
        unread, _ = self._http.trailing_data
        self._http = self._build_parser()  # the size of a head is fixed in a parser
        if unread:
            self._http.receive_data(unread)

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection can be reused."""
        if not await self._wait_for_first_byte():
            return False
        self._use_bounds_in_force()
        try:
            with move_on_after(self._bounds.read_timeout) as scope:
                request = await self._read_bounded_request(scope)
            if scope.cancelled_caught:
                request = Refused.not_run(ErrorKind.TOO_SLOW)
        except h11.RemoteProtocolError as error:
            return await self._refuse_malformed(error)
        if request is None:
            return False
        if isinstance(request, Refused):
            await self._send(problem_response(request, ""), is_last=True)
            return False
        request_id = request.header(REQUEST_ID_HEADER)
        response = await self._handle(request)
        if response is None:
            return False
        is_last = response.close or self._server.closing
        data = self._encode(response, is_last)
        # A client may take long to read the response; until then, only its bytes are kept.
        del request, response
        await self._write(data, request_id)
        return (
            not is_last and self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )

    async def _wait_for_first_byte(self) -> bool:
        if self._http.trailing_data[0]:
            return True
        if not self._server.idle_allowed:
            return False
        data = await self._receive_while_idle()
        if not data:
            return False
        self._http.receive_data(data)
        return True

    async def _receive_while_idle(self) -> bytes | None:
        """Return the next bytes, or None if there are none within the idle timeout in force."""
        waited = Millis(0)
        while self._server.idle_allowed and waited < self._server.bounds.idle_timeout:
            wait = Millis(self._server.bounds.idle_timeout - waited)
            with move_on_after(wait) as scope:
                self._server._idle_scopes.add(scope)
                try:
                    return await self._stream.receive_some(READ_BYTES)
                finally:
                    self._server._idle_scopes.discard(scope)
            waited = Millis(waited + wait)
        return None

    async def _read_bounded_request(self, scope: trio.CancelScope) -> HttpRequest | Refused | None:
        """Read one request, or refuse one whose body exceeds a bound."""
        limit = self._bounds.max_body_bytes
        try:
            # Callers may send bodies in chunks of any size.
            with BodyReader(limit, self._server.memory, bounds_pieces=False) as reader:
                return await self._read_request(scope, reader)
        except BodyTooLarge:
            kind = ErrorKind.NOT_READY if self._bounds.are_provisional else ErrorKind.TOO_LARGE
            return Refused.not_run(kind, detail=f"the limit is {limit} bytes")
        except MemoryUsedUp as error:
            logger.bind(reason=str(error)).warning("request refused: no memory for its body")
            return Refused.not_run(ErrorKind.OVERLOADED, detail=str(error))

    async def _read_request(
        self, scope: trio.CancelScope, reader: BodyReader
    ) -> HttpRequest | Refused | None:
        """Read one request; with its head, the deadline of a transfer begins for the body."""
        head: h11.Request | None = None
        transfer: Transfer | None = None
        for number in itertools.count(1):
            if number % EVENTS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
            event = next_event(self._http)
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(status_code=100, headers=[])
                    await self._stream.send_all(self._http.send(continue_response))
                data = await self._stream.receive_some(READ_BYTES)
                self._http.receive_data(data)
                if transfer is not None:
                    transfer.record(len(data))
                    transfer.limit(scope)
            elif isinstance(event, h11.Request):
                head = event
                self._method = event.method.decode()
                transfer = Transfer(self._clock, self._bounds.idle_timeout)
                transfer.limit(scope)
            elif isinstance(event, h11.Data):
                reader.add(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _build_request(head, reader.body())
            else:
                return None
        raise AssertionError("unreachable")

    async def _handle(self, request: HttpRequest) -> HttpResponse | None:
        """Run the handler; return None if the caller disconnected first."""
        if not self._server.watch_callers:
            return await self._call_handler(request)
        response: HttpResponse | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_disconnect, nursery.cancel_scope)
            response = await self._call_handler(request)
            nursery.cancel_scope.cancel()
        return response

    async def _call_handler(self, request: HttpRequest) -> HttpResponse | None:
        try:
            return await self._server.handler(request)
        except Exception as error:
            faults.record("HTTP handler", error)
            return problem_response(Refused(ErrorKind.INTERNAL, Ran.UNKNOWN), "")

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if data:
            self._http.receive_data(data)
        else:
            scope.cancel()

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> bool:
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            is_too_large = error.error_status_hint == STATUS_HEADERS_TOO_LARGE
            kind, status = ErrorKind.BAD_REQUEST, STATUS_HEADERS_TOO_LARGE if is_too_large else None
            if is_too_large and self._bounds.are_provisional:
                kind, status = ErrorKind.NOT_READY, None
            refused = Refused.not_run(kind, detail=str(error))
            await self._send(problem_response(refused, "", status=status), is_last=True)
        return False

    def _is_head_request(self) -> bool:
        return self._method == "HEAD"

    async def _send(self, response: HttpResponse, is_last: bool) -> None:
        await self._write(self._encode(response, is_last))

    def _encode(self, response: HttpResponse, is_last: bool) -> bytes:
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers.items(),
        ]
        if is_last:
            headers.append(("Connection", "close"))
        encoded = [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
        head = h11.Response(status_code=response.status, headers=encoded)
        data = self._http.send(head)
        if not self._is_head_request():
            data += self._http.send(h11.Data(data=response.body))
        return data + self._http.send(h11.EndOfMessage())

    async def _write(self, data: bytes, request_id: str = "") -> None:
        await self._server.writes.write(self._stream, data, self._bounds.idle_timeout, request_id)


def _build_request(head: h11.Request, body: bytes) -> HttpRequest | Refused:
    """Build a request, or refuse one whose target is malformed."""
    target = head.target.decode("latin-1")
    parts = _split_target(target)
    if parts is None:
        return Refused.not_run(ErrorKind.BAD_REQUEST, detail="the request target is malformed")
    path, query = parts
    headers = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
    return HttpRequest(
        head.method.decode(), path, dict(parse_qsl(query)), dict(headers), body, target, headers
    )


def _split_target(target: str) -> tuple[str, str] | None:
    """Return the path and query of a request target, None if it is malformed.

    A path that begins with two slashes is refused, as other programs read a host name in it.
    """
    if target.startswith(("http://", "https://")):
        try:
            parts = urlsplit(target)
        except ValueError:
            return None
        return (parts.path or "/", parts.query) if parts.netloc else None
    path, _, query = target.partition("?")
    if target != "*" and (not path.startswith("/") or path.startswith("//")):
        return None
    return path, query
