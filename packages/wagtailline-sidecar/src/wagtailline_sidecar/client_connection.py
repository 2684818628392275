"""Client side of HTTP/1.1 connections, without pipelining."""

import asyncio
from collections.abc import Callable
from typing import cast

from wagtailline.calls import Body, BodyTruncated, WholeBody
from wagtailline.ports import Address
from wagtailline.streams import set_unacknowledged_timeout
from wagtailline_sidecar._client_types import (
    AnswerMalformed,
    AnswerMissing,
    ClientRequest,
    ClientResponse,
    ConnectionFailed,
)
from wagtailline_sidecar._paced_protocol import PacedProtocol
from wagtailline_sidecar._request_writer import RequestWriter
from wagtailline_sidecar._response_reader import ResponseReader
from wagtailline_sidecar._response_stream import ResponseStream
from wagtailline_sidecar.answer_events import (
    RejectionObserver,
    ignore_event,
)
from wagtailline_sidecar.body_memory import BodyBuffer, make_unlimited_memory
from wagtailline_sidecar.http_messages import has_body

__all__ = (
    'AnswerMalformed',
    'AnswerMissing',
    'ClientConnection',
    'ClientRequest',
    'ClientResponse',
    'ConnectionFailed',
    'ResponseStream',
    'open_connection',
)

# Larger response bodies are streamed instead of buffered.
MAX_BUFFERED_BYTES = 1024 * 1024


class ClientConnection(PacedProtocol):
    """Protocol of one connection, which carries one request at a time.

    A connection that received bytes outside of an expected response is not
    reused. ``opened_at`` is the time at which its pool opened it,
    ``on_idle_lost`` is called if the server ends it between two requests, and
    ``observe_rejection`` with each event about bytes that are rejected. Bodies
    of responses are held in ``memory``.
    """

    def __init__(self) -> None:
        """Set up a protocol that is usable once the connection is made."""
        self._reader = ResponseReader(
            self._take_body, lambda event: self.observe_rejection(event)
        )
        self.memory = make_unlimited_memory()
        self._buffer = self._make_buffer()
        self._wakeup: asyncio.Future[None] | None = None
        self._is_lost = False
        self._is_closed = False
        self._writer = RequestWriter(self.close)
        self._on_data: Callable[[], None] | None = None
        self.on_idle_lost: Callable[[], None] | None = None
        self.observe_rejection: RejectionObserver = ignore_event
        self.first_byte_at: float | None = None
        self.opened_at = float('-inf')

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is idle and fit for a request."""
        return self.is_open and self._reader.request is None

    @property
    def is_open(self) -> bool:
        """Return whether neither side has ended the connection."""
        return not (self._is_lost or self._is_closed or self._must_close)

    @property
    def keep_alive_timeout_seconds(self) -> float | None:
        """Return how long the server keeps the idle connection, if known."""
        return self._reader.keep_alive_timeout_seconds

    def has_sent(self, request_id: bytes) -> bool:
        """Return whether one of the latest requests had this id."""
        return self._reader.has_carried(request_id)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and configure its socket."""
        super().connection_made(transport)
        self._writer.open(cast(asyncio.Transport, transport))
        client_socket = transport.get_extra_info('socket')
        if client_socket is not None:
            set_unacknowledged_timeout(client_socket)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the waiting exchange.

        A clean end of the connection completes a body without framing
        headers.
        """
        is_unexpected = self.is_reusable
        self._is_lost = True
        self._writer.end()
        if is_unexpected and self.on_idle_lost is not None:
            self.on_idle_lost()
        reader = self._reader
        if reader.is_head_complete and not reader.has_framing:
            is_ended_here = self._is_closed or reader.is_failed
            reader.is_complete = exc is None and not is_ended_here
        self._wake()

    def pause_writing(self) -> None:
        """Make the request body wait, as the server reads it too slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Let the request body go on."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if none are expected."""
        if self._on_data is not None and self._reader.request is not None:
            self._on_data()
        self._reader.feed(data)
        self._buffer.settle()
        if self._buffer.is_full:
            self._pause_reading()
        if self._reader.is_failed:
            self.close()
        self._wake()

    async def exchange(
        self, request: ClientRequest, content: Body
    ) -> ClientResponse:
        """Send a request and return its response.

        Raises AnswerMissing or AnswerMalformed. Closing the connection
        cancels the request.
        """
        self._reader.start(request)
        self._buffer = self._make_buffer()
        if self._is_lost:
            raise AnswerMissing
        send_task = self._writer.send(request, content)
        try:
            while not self._reader.is_head_complete:
                self._raise_if_failed()
                await self._wait()
            body = await self._read_body(request)
        finally:
            if send_task is not None and not send_task.done():
                # The server responded before it read the whole request.
                self._reader.must_close = True
                send_task.cancel()
                if self._reader.request is None:
                    # Nobody else closes a connection that is not reused.
                    self.close()
        return ClientResponse(self._reader.status, self._reader.headers, body)

    async def exchange_while_flowing(
        self, request: ClientRequest, content: Body, silence_seconds: float
    ) -> ClientResponse:
        """Send a request and return its response, however long that takes.

        Raises TimeoutError when nothing arrives for ``silence_seconds``, as
        well as the errors of ``exchange``. ``first_byte_at`` then is the loop
        time at which the response began to arrive.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(silence_seconds) as timeout:

            def extend() -> None:
                if self.first_byte_at is None:
                    self.first_byte_at = loop.time()
                if not timeout.expired():
                    timeout.reschedule(loop.time() + silence_seconds)

            self.first_byte_at = None
            self._on_data = extend
            try:
                return await self.exchange(request, content)
            finally:
                self._on_data = None

    def close(self) -> None:
        """Abort the connection, which cancels its request."""
        self._is_closed = True
        if not self._reader.is_complete:
            self._buffer.clear()
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Close the connection; what it holds of the body is not needed."""
        self._buffer.clear()
        self.close()

    async def read_streamed(self) -> bytes:
        """Return the next part of a streamed body, or nothing at its end.

        Raises BodyTruncated if the body breaks off.
        """
        while not self._buffer:
            if self._reader.is_complete:
                self._end_exchange()
                return b''
            if self._reader.is_failed or self._is_lost:
                raise BodyTruncated
            await self._wait()
        content = self._buffer.take()
        if not self._buffer.is_full:
            self._resume_reading()
        return content

    async def _read_body(self, request: ClientRequest) -> Body:
        reader = self._reader
        if not has_body(request.method, reader.status):
            reader.is_complete = True
            if request.method == 'HEAD':
                # The parser takes the next response for the body.
                reader.must_close = True
            self._end_exchange()
            return WholeBody()
        if not reader.has_framing:
            reader.must_close = True
        while not reader.is_complete:
            if self._buffer.is_full:
                self._buffer.stream()
                return ResponseStream(self)
            self._raise_if_failed()
            await self._wait()
        body = self._buffer.take_whole()
        self._end_exchange()
        return body

    def _take_body(self, content: bytes) -> None:
        self._buffer.append(content)

    def _make_buffer(self) -> BodyBuffer:
        return BodyBuffer(self.memory, MAX_BUFFERED_BYTES, self._cut)

    def _cut(self) -> None:
        """End the response, which must not look complete."""
        self._reader.cut()
        self.close()
        self._wake()

    def _raise_if_failed(self) -> None:
        if self._reader.is_failed:
            raise AnswerMalformed
        if self._is_lost:
            raise AnswerMissing

    def _end_exchange(self) -> None:
        self._reader.end()
        self._buffer.clear()
        if self._must_close:
            self.close()
        self._resume_reading()

    @property
    def _must_close(self) -> bool:
        return self._reader.must_close or self._reader.is_failed

    async def _wait(self) -> None:
        self._wakeup = asyncio.get_running_loop().create_future()
        await self._wakeup

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


async def open_connection(
    address: Address, timeout_seconds: float
) -> ClientConnection:
    """Return a new connection; raise ConnectionFailed if it can't open."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(
                ClientConnection, address.host, address.port
            )
    except OSError as error:
        raise ConnectionFailed(str(error)) from error
    return connection
