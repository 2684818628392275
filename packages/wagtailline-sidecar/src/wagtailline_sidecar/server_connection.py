"""Server side of one HTTP/1.1 connection with pipelining."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from wagtailline_sidecar._exchange import (
    BODY_HIGH_WATER_BYTES,
    Exchange,
    RequestBody,
)
from wagtailline_sidecar._incoming_head import IncomingHead
from wagtailline_sidecar._lingering_close import LingeringClose
from wagtailline_sidecar._paced_protocol import PacedProtocol
from wagtailline_sidecar._request_head import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    HEAD_TOO_LARGE,
    IncomingRequest,
    check_head,
)
from wagtailline_sidecar._response_writer import ResponseWriter
from wagtailline_sidecar.body_memory import BodyBuffer, BodyMemory
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.model import IngressLimits
from wagtailline_sidecar.turns import Turns

__all__ = ('Handler', 'IncomingRequest', 'ServerConnection')

# No more requests are parsed while this many of a connection run or are
# queued. Bytes up to the limit are held, so that the end of the stream is seen.
MAX_PIPELINED = 16
MAX_HELD_BYTES = 64 * 1024
_REQUEST_TIMEOUT = 408
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Requests with these methods run concurrently with earlier pipelined ones.
_CONCURRENT_METHODS = frozenset(('GET', 'HEAD'))


Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]


class ServerConnection(PacedProtocol):
    """Protocol that parses requests and sends the responses in order."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        connections: 'set[ServerConnection]',
        on_error: Callable[[Exception], None],
        turns: Turns,
        memory: BodyMemory,
    ) -> None:
        """Set up a connection that runs ``handler`` in a task per request.

        The connection adds itself to ``connections`` while it is open.
        ``on_error`` is called with exceptions that the handler raises. The
        handlers of all connections take ``turns``. Bodies of requests, and
        what the client is slow to read, are held in ``memory``.
        """
        self._memory = memory
        self._writer = ResponseWriter(memory, self.abort)
        self._turns = turns
        self._on_error = on_error
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[Exchange] = deque()
        self._queued_requests: deque[IncomingRequest] = deque()
        self._request: IncomingRequest | None = None
        self._body: RequestBody | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._head = IncomingHead()
        self._held_input = b''
        self._is_stopped = False
        self._lingering: LingeringClose | None = None
        self._rejects_new_requests = False
        self._ignores_input = False
        self.is_closing = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress, queued or partly read."""
        return not (
            self._exchanges or self._queued_requests or self._is_reading
        )

    @property
    def _is_reading(self) -> bool:
        """Return whether a part of a request has been received."""
        is_partly_parsed = self._head.is_open or self._body is not None
        return is_partly_parsed or bool(self._held_input)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        super().connection_made(transport)
        self._writer.open(cast(asyncio.Transport, transport))
        self._connections.add(self)
        self._start_timer(self._limits().idle_timeout_seconds)

    @property
    def is_lingering(self) -> bool:
        """Return whether responses may be on their way to the client."""
        return self._lingering is not None

    def eof_received(self) -> None:
        """Cancel every request, as the client has left; close."""
        self._end_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel every request of the connection."""
        self._connections.discard(self)
        if self._lingering is not None:
            self._lingering.stop()
        self._end_requests()

    def _end_requests(self) -> None:
        self._is_stopped = True
        self._cancel_timer()
        self._writer.resume()
        if self._body is not None:
            self._body.fail()
        for exchange in self._exchanges:
            exchange.cancel()
        self._exchanges.clear()
        self._queued_requests.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; ignore what follows an error."""
        if self._is_stopped or self._ignores_input:
            return
        if self._is_full and self._body is None:
            self._hold(data)
            return
        self._head.begin_input()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(BAD_REQUEST)
        except httptools.HttpParserError:
            if self._rejects_new_requests:
                # Input after the last accepted request is discarded.
                self._ignores_input = True
                return
            self._refuse(BAD_REQUEST)
        self._settle_body()
        self._head.end_input(len(data))
        max_bytes = self._limits().head_bytes
        if self._head.is_open and self._head.size_bytes > max_bytes:
            self._refuse(HEAD_TOO_LARGE)

    @property
    def _is_full(self) -> bool:
        """Return whether no more requests should be parsed for now."""
        return len(self._exchanges) + len(self._queued_requests) >= (
            MAX_PIPELINED
        )

    def _hold(self, data: bytes) -> None:
        """Keep bytes until there is room for the requests in them."""
        self._held_input += data
        if len(self._held_input) > MAX_HELD_BYTES:
            self._pause_reading()

    def _release_held(self) -> None:
        """Parse the bytes that were held if there is room now."""
        if self._held_input and not self._is_full:
            held, self._held_input = self._held_input, b''
            self.data_received(held)

    def pause_writing(self) -> None:
        """Make writers wait until the transport has drained."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Wake the writers that wait for the transport."""
        self._writer.resume()

    def close_when_idle(self) -> None:
        """Reject new requests and close after the pending responses."""
        self.is_closing = True
        self.reject_new_requests()
        if self.is_idle:
            self.close()

    def reject_new_requests(self) -> None:
        """Discard what the client sends behind the last request."""
        self._rejects_new_requests = True

    def close(self) -> None:
        """Close the connection once the client has all responses."""
        self._is_stopped = True
        self._cancel_timer()
        self._resume_reading()
        if self._transport is not None and self._lingering is None:
            self._lingering = LingeringClose(
                self._transport, self._limits().idle_timeout_seconds
            )
            self._lingering.start()

    def on_message_begin(self) -> None:
        """Start a request head, unless new requests are rejected."""
        if self._rejects_new_requests:
            # The parser reports this exception as a parser error.
            raise ConnectionAbortedError
        self._head.begin()
        if not self._exchanges:
            self._start_timer(self._limits().head_timeout_seconds)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._head.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; ignore trailers, which follow the body."""
        if self._body is None:
            self._head.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Queue the request, or refuse it if its head is not acceptable."""
        head = self._head.complete(self._parser.get_http_version())
        status = check_head(head, self._limits())
        if status:
            self._refuse(status)
            return
        self._cancel_timer()
        buffer = BodyBuffer(self._memory, BODY_HIGH_WATER_BYTES, self.abort)
        self._body = RequestBody(
            self._pause_reading, self._resume_reading, buffer
        )
        request = IncomingRequest(
            self._parser.get_method().decode('latin-1'),
            head.target.decode('latin-1'),
            head.headers,
            self._body,
            asyncio.get_running_loop().time(),
        )
        if find_header(head.headers, b'expect') is not None:
            self._writer.write(_CONTINUE)
        self._queued_requests.append(request)
        self._start_queued_requests()

    def on_body(self, content: bytes) -> None:
        """Pass on a part of the body."""
        if self._body is not None:
            self._body.feed(content)

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        self._settle_body()
        self._head.end_message()
        if self._body is not None:
            self._body.finish()
        self._body = None

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no later request was read, even in part."""
        return self._exchanges[-1] is exchange and not (
            self._queued_requests or self._is_reading
        )

    def finish(self, exchange: Exchange, keep_alive: bool) -> None:
        """Remove an exchange that has ended and continue with the next.

        Called by the exchange after its response is written.
        """
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)
        if not keep_alive:
            self.close()
            return
        if self._exchanges:
            self._exchanges[0].allow_writing()
        self._start_queued_requests()
        self._resume_reading()
        self._release_held()
        if self.is_closing and self.is_idle:
            self.close()
        elif self.is_idle:
            self._start_timer(self._limits().idle_timeout_seconds)

    def report_error(self, error: Exception) -> None:
        """Report an exception that the handler raised."""
        self._on_error(error)

    def abort(self) -> None:
        """Reset the connection, so that a cut response looks incomplete."""
        self._is_stopped = True
        if self._transport is not None:
            self._transport.abort()

    async def write(self, content: bytes) -> None:
        """Write bytes and wait while the write buffer is full."""
        self._writer.write(content)
        await self._writer.drain()

    def _start_queued_requests(self) -> None:
        while self._queued_requests and not self._is_stopped:
            request = self._queued_requests[0]
            is_concurrent = request.method in _CONCURRENT_METHODS
            if self._exchanges and not is_concurrent:
                return
            if any(not running.is_concurrent for running in self._exchanges):
                return
            self._queued_requests.popleft()
            exchange = Exchange(self, request.method, request.body)
            exchange.is_concurrent = is_concurrent
            self._exchanges.append(exchange)
            if len(self._exchanges) == 1:
                exchange.allow_writing()
            exchange.run(self._handle(request, exchange))

    async def _handle(
        self, request: IncomingRequest, exchange: Exchange
    ) -> None:
        """Run the handler unless the client leaves before its turn."""
        await self._turns.wait()
        await self._handler(request, exchange)

    def _settle_body(self) -> None:
        """Count what has arrived; refuse a body above the limit."""
        if self._body is None:
            return
        self._body.settle()
        if self._body.received_bytes > self._limits().body_bytes:
            self._refuse(CONTENT_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        """Send an error response to invalid input, then close."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self._queued_requests.clear()
        if self._body is not None:
            # The request with this body is already running.
            self._body.fail()
            self.abort()
            return
        exchange = Exchange(self, 'GET', None)
        exchange.keep_alive = False
        self._exchanges.append(exchange)
        if len(self._exchanges) == 1:
            exchange.allow_writing()
        exchange.run(exchange.respond(status, (), b''))

    def _start_timer(self, seconds: float) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._head.is_open:
            self._refuse(_REQUEST_TIMEOUT)
        else:
            self.close()
