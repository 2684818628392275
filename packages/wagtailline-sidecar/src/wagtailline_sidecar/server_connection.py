"""Server side of one HTTP/1.1 connection with pipelining."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

from wagtailline.calls import Headers
from wagtailline.client_limits import ClientLimit
from wagtailline.connection_table import ConnectionTable
from wagtailline.memory_budget import Holding
from wagtailline_sidecar._exchange import (
    BODY_HIGH_WATER_BYTES,
    Exchange,
    RequestBody,
)
from wagtailline_sidecar._lingering_close import LingeringClose
from wagtailline_sidecar._paced_protocol import PacedProtocol
from wagtailline_sidecar._request_head import (
    CONTENT_TOO_LARGE,
    HEAD_TOO_LARGE,
    UNAVAILABLE,
    IncomingRequest,
    RequestHead,
    count_head_bytes,
)
from wagtailline_sidecar._request_parser import RequestParser
from wagtailline_sidecar._request_pipeline import (
    MAX_PIPELINED,
    Handler,
    RequestPipeline,
)
from wagtailline_sidecar._response_writer import ResponseWriter
from wagtailline_sidecar.body_memory import BodyBuffer
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.listener_resources import ListenerResources
from wagtailline_sidecar.model import IngressLimits
from wagtailline_sidecar.turns import Turns

__all__ = (
    'MAX_PIPELINED',
    'ConnectionServices',
    'Handler',
    'IncomingRequest',
    'ServerConnection',
)

# Bytes up to this limit are held behind requests that wait, so that the end of
# the stream is seen.
MAX_HELD_BYTES = 64 * 1024
# Bytes that are read at once.
MAX_READ_BYTES = 16 * 1024
_REQUEST_TIMEOUT = 408
_RETRY_HEADERS: Headers = ((b'retry-after', b'1'),)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_LIMITS_BY_STATUS = {
    CONTENT_TOO_LARGE: ClientLimit.BODY_SIZE,
    HEAD_TOO_LARGE: ClientLimit.HEAD_SIZE,
    _REQUEST_TIMEOUT: ClientLimit.HEAD_TIME,
    UNAVAILABLE: ClientLimit.REQUEST_MEMORY,
}


class ConnectionServices(NamedTuple):
    """What the connections of one listener share.

    ``on_open`` is called with each connection when it opens, and ``on_error``
    with exceptions that the handler raises. The handlers of all connections
    take ``turns``.
    """

    handler: Handler
    on_open: 'Callable[[ServerConnection], None]'
    limits: Callable[[], IngressLimits]
    connections: 'ConnectionTable[ServerConnection]'
    on_error: Callable[[Exception], None]
    turns: Turns
    resources: ListenerResources


class ServerConnection(PacedProtocol):
    """Protocol that takes requests and sends the responses in order."""

    max_read_bytes = MAX_READ_BYTES

    def __init__(self, services: ConnectionServices) -> None:
        """Set up a connection that runs the handler in a task per request.

        The connection is in the table of the listener while it is open.
        """
        self._services = services
        self._resources = services.resources
        self.read_turns = self._resources.read_turns
        self._limits = services.limits
        self._writer = ResponseWriter(
            self._resources.body_memory,
            self.abort,
            lambda: self._limits().idle_timeout_seconds,
            self._abort_unread,
        )
        memory = self._resources.request_memory
        self._parser = RequestParser(
            self, services.limits, memory, self._discard_input
        )
        self._pipeline = RequestPipeline(self, self._handle, memory)
        self._timer: asyncio.TimerHandle | None = None
        self._is_head_timed = False
        self._lingering: LingeringClose | None = None
        self._peer = ''
        self.is_closing = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress, queued or partly read."""
        return not (self._pipeline or self._parser.is_reading)

    @property
    def is_lingering(self) -> bool:
        """Return whether responses may be on their way to the client."""
        return self._lingering is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        super().connection_made(transport)
        self._peer = _format_address(transport.get_extra_info('peername'))
        if not self._services.connections.add(self):
            self._report(ClientLimit.CONNECTIONS)
            self.abort()
            return
        self._writer.open(cast(asyncio.Transport, transport))
        self._start_timer(self._limits().idle_timeout_seconds)
        self._services.on_open(self)

    def eof_received(self) -> None:
        """Cancel every request, as the client has left; close."""
        self._end_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel every request of the connection."""
        self._services.connections.discard(self)
        if self._lingering is not None:
            self._lingering.stop()
        self._end_requests()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in slices; hold what has to wait."""
        if self._has_ended_reading:
            return
        parser = self._parser
        parts_before = parser.parts
        start = 0
        while start < len(data) and not parser.is_stopped:
            if self._is_full and parser.body is None:
                self._hold(data[start:])
                break
            end = start + parser.find_slice_bytes()
            parser.parse(data[start:end])
            start = end
        self.read_parts += parser.parts - parts_before
        self._follow_head()

    def pause_writing(self) -> None:
        """Make writers wait until the transport has drained."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Wake the writers that wait for the transport."""
        self._writer.resume()

    def end_reading(self) -> None:
        """Read nothing more, and start no request that waits for others."""
        super().end_reading()
        self._pipeline.discard_queued()

    def close_when_idle(self) -> None:
        """Reject new requests and close after the pending responses."""
        self.is_closing = True
        self.reject_new_requests()
        if self.is_idle:
            self.close()

    def reject_new_requests(self) -> None:
        """Discard what the client sends behind the last request."""
        self._parser.reject_requests()

    def evict(self) -> None:
        """Close the connection, without a request in progress, for another."""
        self._report(ClientLimit.CONNECTIONS)
        self.abort()

    def close(self) -> None:
        """Close the connection once the client has all responses."""
        self._parser.stop()
        self._cancel_timer()
        self._resume_reading()
        if self._transport is not None and self._lingering is None:
            self._services.connections.note_idle(self)
            self._lingering = LingeringClose(
                self._transport, self._limits().idle_timeout_seconds
            )
            self._lingering.start()

    def start_request(self, method: str, head: RequestHead) -> RequestBody:
        """Queue a request, start it if it may run, and return its body."""
        self._services.connections.note_busy(self)
        self._cancel_timer()
        self._is_head_timed = False
        buffer = BodyBuffer(
            self._resources.body_memory, BODY_HIGH_WATER_BYTES, self.abort
        )
        body = RequestBody(self._pause_reading, self._resume_reading, buffer)
        if find_header(head.headers, b'expect') is not None:
            self._writer.write(_CONTINUE)
        request = IncomingRequest(
            method,
            head.target.decode('latin-1'),
            head.headers,
            body,
            asyncio.get_running_loop().time(),
        )
        self._pipeline.add(request, count_head_bytes(head))
        return body

    def refuse(self, status: int) -> None:
        """Send an error response to invalid input, then close.

        Nothing is sent after the end of reading, when the process ends.
        """
        if self._parser.is_stopped or self._has_ended_reading:
            return
        limit = _LIMITS_BY_STATUS.get(status, ClientLimit.MALFORMED)
        if self._parser.body is not None:
            # The request with this body is already running.
            self.reset(limit)
            return
        self._report(limit)
        self._parser.stop()
        self._pipeline.discard_queued()
        exchange = Exchange(self, 'GET', None)
        exchange.keep_alive = False
        headers = _RETRY_HEADERS if status == UNAVAILABLE else ()
        self._pipeline.run(exchange, exchange.respond(status, headers, b''))

    def reset(self, limit: ClientLimit) -> None:
        """Reset the connection, as a body that is received is invalid."""
        if self._parser.is_stopped:
            return
        self._report(limit)
        self._parser.stop()
        if self._parser.body is not None:
            self._parser.body.fail()
        self.abort()

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no later request was read, even in part."""
        is_reading = self._parser.is_reading
        return self._pipeline.is_last(exchange) and not is_reading

    def finish(self, exchange: Exchange, keep_alive: bool) -> None:
        """Remove an exchange that has ended and continue with the next.

        Called by the exchange after its response is written.
        """
        self._pipeline.remove(exchange)
        if not keep_alive:
            self.close()
            return
        if self._transport is None or self._transport.is_closing():
            return
        self._pipeline.start_queued()
        self._resume_reading()
        if self._parser.held_bytes and not self._is_full:
            self.data_received(self._parser.take_held())
        self._follow_last_request()

    def hold_answer(self, size_bytes: int) -> Holding:
        """Count the bytes of a response that waits for earlier ones."""
        holding = Holding(self._resources.body_memory, self.abort)
        holding.resize(size_bytes)
        return holding

    def report_error(self, error: Exception) -> None:
        """Report an exception that the handler raised."""
        self._services.on_error(error)

    def abort(self) -> None:
        """Reset the connection, so that a cut response looks incomplete."""
        self._parser.stop()
        if self._transport is not None:
            self._transport.abort()

    async def write(self, content: bytes) -> None:
        """Write bytes and wait while the write buffer is full."""
        self._writer.write(content)
        await self._writer.drain()

    @property
    def _is_full(self) -> bool:
        """Return whether no more requests should be parsed for now."""
        memories = self._resources.request_memory, self._resources.body_memory
        is_short = any(memory.is_short for memory in memories)
        max_requests = 1 if is_short else MAX_PIPELINED
        return len(self._pipeline) >= max_requests

    def _hold(self, content: bytes) -> None:
        """Keep bytes until there is room for the requests in them."""
        self._parser.hold(content)
        share_bytes = self._resources.request_memory.share_bytes
        if self._parser.held_bytes > min(MAX_HELD_BYTES, share_bytes):
            self._pause_reading()

    def _follow_head(self) -> None:
        """Limit the time of a head that has begun, after earlier requests."""
        is_timed = self._is_head_timed or bool(self._pipeline)
        if self._parser.head.is_awaited and not is_timed:
            self._is_head_timed = True
            self._start_timer(self._limits().head_timeout_seconds)

    def _follow_last_request(self) -> None:
        """Wait for the next request if none is in progress, or close."""
        if self.is_closing and self.is_idle:
            self.close()
        elif not self._pipeline:
            self._services.connections.note_idle(self)
            self._start_timer(self._limits().idle_timeout_seconds)
            self._follow_head()

    def _discard_input(self) -> None:
        """Discard unfinished requests, as the memory is short.

        Clients treat what they sent behind the last response as not processed.
        """
        if not self._pipeline:
            self.refuse(UNAVAILABLE)
            return
        self._report(ClientLimit.REQUEST_MEMORY)
        self._parser.stop()
        self.is_closing = True

    async def _handle(
        self, request: IncomingRequest, exchange: Exchange
    ) -> None:
        """Run the handler unless the client leaves before its turn."""
        await self._services.turns.wait(len(request.headers))
        await self._services.handler(request, exchange)

    def _end_requests(self) -> None:
        self._parser.stop()
        self._cancel_timer()
        self._writer.resume()
        if self._parser.body is not None:
            self._parser.body.fail()
        self._pipeline.cancel()

    def _abort_unread(self) -> None:
        self._report(ClientLimit.UNREAD_ANSWER)
        self.abort()

    def _report(self, limit: ClientLimit) -> None:
        self._resources.client_limits.record(limit, self._peer)

    def _start_timer(self, seconds: float) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._parser.head.is_awaited:
            self.refuse(_REQUEST_TIMEOUT)
        else:
            self.close()


def _format_address(address: tuple[str, int] | None) -> str:
    return f'{address[0]}:{address[1]}' if address else ''
