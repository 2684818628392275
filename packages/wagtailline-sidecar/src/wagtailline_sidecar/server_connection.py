"""Server side of one HTTP/1.1 connection, with pipelined requests."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from wagtailline_sidecar._exchange import Exchange, RequestBody
from wagtailline_sidecar._request_head import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    HEAD_TOO_LARGE,
    IncomingRequest,
    RequestHead,
    check_head,
)
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.model import IngressLimits

__all__ = ('Handler', 'IncomingRequest', 'ServerConnection')

# Requests of one connection that are worked on or wait at once.
MAX_PIPELINED = 16
_REQUEST_TIMEOUT = 408
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Safe requests run before earlier ones on the connection were answered.
_CONCURRENT_METHODS = frozenset(('GET', 'HEAD'))


Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """Parses requests and answers them in their order."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        connections: 'set[ServerConnection]',
        observe_error: Callable[[Exception], None],
    ) -> None:
        """Run the handler in a task for each request.

        ``observe_error`` gets what the handler raised.
        """
        self._observe_error = observe_error
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._waiting: deque[IncomingRequest] = deque()
        self._request: IncomingRequest | None = None
        self._body: RequestBody | None = None
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._is_in_head = False
        self._completed = 0
        self._is_stopped = False
        self._takes_no_more = False
        self._ignores_input = False
        self.is_closing = False

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress or half read."""
        return not (
            self._exchanges
            or self._waiting
            or self._is_in_head
            or self._body is not None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first head."""
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._arm(self._limits().idle_timeout_seconds)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel every request whose client has left."""
        self._connections.discard(self)
        self._is_stopped = True
        self._disarm()
        self._writable.set()
        if self._body is not None:
            self._body.fail()
        for exchange in self._exchanges:
            exchange.cancel()
        self._exchanges.clear()
        self._waiting.clear()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; those behind an error are ignored."""
        if self._is_stopped or self._ignores_input:
            return
        noted, completed = self._head_bytes, self._completed
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(BAD_REQUEST)
        except httptools.HttpParserError:
            if self._takes_no_more:
                # What is behind the last answer counts as not read.
                self._ignores_input = True
                return
            self._refuse(BAD_REQUEST)
        if self._is_in_head and completed == self._completed:
            # The parser keeps an unfinished field to itself.
            parsed = self._head_bytes - noted
            self._unparsed_bytes += max(len(data) - parsed, 0)
        received = self._head_bytes + self._unparsed_bytes
        if self._is_in_head and received > self._limits().head_bytes:
            self._refuse(HEAD_TOO_LARGE)

    def pause_writing(self) -> None:
        """Make writers wait for the client."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def close_when_idle(self) -> None:
        """Answer what was read, and take nothing more."""
        self.is_closing = True
        self._takes_no_more = True
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close the connection after what was written."""
        self._is_stopped = True
        if self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Begin a head, unless the connection takes no more requests."""
        if self._takes_no_more:
            # The parser turns this into an error of the read.
            raise ConnectionAbortedError
        self._url = b''
        self._headers = []
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._is_in_head = True
        if not self._exchanges:
            self._arm(self._limits().head_timeout_seconds)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._url += url
        self._note(len(url))

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header; those behind a body are trailers and dropped."""
        if self._body is None:
            self._headers.append((name.lower(), field))
            self._note(len(name) + len(field))

    def on_headers_complete(self) -> None:
        """Start the request unless its head is not acceptable."""
        self._unparsed_bytes = 0
        self._is_in_head = False
        status = check_head(
            RequestHead(
                self._parser.get_http_version(),
                self._url,
                tuple(self._headers),
                self._head_bytes,
            ),
            self._limits(),
        )
        if status:
            self._refuse(status)
            return
        self._disarm()
        self._body = RequestBody(self._pause_reading, self._resume_reading)
        headers = tuple(self._headers)
        request = IncomingRequest(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            headers,
            self._body,
            asyncio.get_running_loop().time(),
        )
        self._headers = []
        if find_header(headers, b'expect') is not None:
            self._write(_CONTINUE)
        self._waiting.append(request)
        self._start_waiting()

    def on_body(self, content: bytes) -> None:
        """Take a part of a body."""
        if self._body is None:
            return
        self._body.feed(content)
        if self._body.received_bytes > self._limits().body_bytes:
            self._refuse(CONTENT_TOO_LARGE)

    def on_message_complete(self) -> None:
        """End a request's body."""
        self._head_bytes = 0
        self._completed += 1
        if self._body is not None:
            self._body.finish()
        self._body = None
        if len(self._exchanges) + len(self._waiting) >= MAX_PIPELINED:
            self._pause_reading()

    def is_last(self, exchange: Exchange) -> bool:
        """Tell whether no request was read behind this one."""
        is_reading = self._is_in_head or self._body is not None
        return self._exchanges[-1] is exchange and not (
            self._waiting or is_reading
        )

    def finish(self, exchange: Exchange, keeps_open: bool) -> None:
        """Go on after an answer; called by its exchange."""
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)
        if not keeps_open:
            self.close()
            return
        if self._exchanges:
            self._exchanges[0].take_turn()
        self._start_waiting()
        self._resume_reading()
        if self.is_closing and self.is_idle:
            self.close()
        elif self.is_idle:
            self._arm(self._limits().idle_timeout_seconds)

    def report(self, error: Exception) -> None:
        """Report a fault of the handler."""
        self._observe_error(error)

    def abort(self) -> None:
        """Break the connection, so that an answer does not look whole."""
        self._is_stopped = True
        if self._transport is not None:
            self._transport.abort()

    async def write(self, content: bytes) -> None:
        """Write bytes and wait while the client does not read."""
        self._write(content)
        if not self._writable.is_set():
            await self._writable.wait()

    def _start_waiting(self) -> None:
        while self._waiting and not self._is_stopped:
            request = self._waiting[0]
            is_concurrent = request.method in _CONCURRENT_METHODS
            if self._exchanges and not is_concurrent:
                return
            if any(not one.is_concurrent for one in self._exchanges):
                return
            self._waiting.popleft()
            exchange = Exchange(self, request.method, request.body)
            exchange.is_concurrent = is_concurrent
            self._exchanges.append(exchange)
            if len(self._exchanges) == 1:
                exchange.take_turn()
            exchange.run(self._handler(request, exchange))

    def _refuse(self, status: int) -> None:
        """Answer bytes that are no request and close behind the answer."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self._waiting.clear()
        if self._body is not None:
            # The request that these bytes belong to is in progress.
            self._body.fail()
            self.abort()
            return
        exchange = Exchange(self, 'GET', None)
        exchange.keeps_open = False
        self._exchanges.append(exchange)
        if len(self._exchanges) == 1:
            exchange.take_turn()
        exchange.run(exchange.respond(status, (), b''))

    def _note(self, count: int) -> None:
        self._head_bytes += count
        self._unparsed_bytes = 0

    def _write(self, content: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)

    def _pause_reading(self) -> None:
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            if not self._transport.is_reading():
                self._transport.resume_reading()

    def _arm(self, seconds: float) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        if self._is_in_head:
            self._refuse(_REQUEST_TIMEOUT)
        else:
            self.close()
