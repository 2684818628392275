"""Client side of HTTP/1.1 connections, without pipelining."""

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from wagtailline.calls import Body, BodyTruncated, Headers, WholeBody
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
from wagtailline_sidecar._response_limits import ResponseLimits
from wagtailline_sidecar._response_stream import ResponseStream
from wagtailline_sidecar.body_memory import BodyBuffer, make_unlimited_memory
from wagtailline_sidecar.http_messages import (
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    TRANSFER_ENCODING,
    find_header,
    has_body,
    split_tokens,
)

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
_CLOSE = b'close'
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101


class ClientConnection(PacedProtocol):
    """Protocol of one connection, which carries one request at a time.

    A connection that received bytes outside of an expected response is not
    reused. ``opened_at`` is the time at which its pool opened it, and
    ``on_idle_lost`` is called if the server ends it between two requests.
    Bodies of responses are held in ``memory``.
    """

    def __init__(self) -> None:
        """Set up a protocol that is usable once the connection is made."""
        self._parser = httptools.HttpResponseParser(self)
        self._request: ClientRequest | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self.memory = make_unlimited_memory()
        self._buffer = self._make_buffer()
        self._wakeup: asyncio.Future[None] | None = None
        self._response_headers: Headers = ()
        self._status = 0
        self._is_head_complete = False
        self._is_complete = False
        self._is_skipping = False
        self._is_malformed = False
        self._is_lost = False
        self._is_aborted = False
        self._must_close = False
        self._limits = ResponseLimits()
        self._writer = RequestWriter(self.close)
        self._on_data: Callable[[], None] | None = None
        self.on_idle_lost: Callable[[], None] | None = None
        self.keep_alive_timeout_seconds: float | None = None
        self.first_byte_at: float | None = None
        self.opened_at = float('-inf')

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is idle and fit for a request."""
        return not (
            self._is_lost
            or self._is_malformed
            or self._must_close
            or self._request is not None
        )

    @property
    def is_open(self) -> bool:
        """Return whether neither side has ended the connection."""
        return not (self._is_lost or self._must_close)

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
        if self._is_head_complete and not self._has_framing():
            self._is_complete = exc is None and not self._is_aborted
        self._wake()

    def pause_writing(self) -> None:
        """Make the request body wait, as the server reads it too slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Let the request body go on."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if none are expected."""
        if self._request is None:
            self._reject_input()
            return
        if self._on_data is not None:
            self._on_data()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail_malformed()
            return
        self._buffer.settle()
        if self._buffer.is_full:
            self._pause_reading()
        if self._limits.is_exceeded(
            len(data), is_head_complete=self._is_head_complete
        ):
            self._fail_malformed()

    async def exchange(
        self, request: ClientRequest, content: Body
    ) -> ClientResponse:
        """Send a request and return its response.

        Raises AnswerMissing or AnswerMalformed. Closing the connection
        cancels the request.
        """
        self._start_exchange(request)
        if self._is_lost:
            raise AnswerMissing
        send_task = self._writer.send(request, content)
        try:
            while not self._is_head_complete:
                self._raise_if_failed()
                await self._wait()
            body = await self._read_body()
        finally:
            if send_task is not None and not send_task.done():
                # The server responded before it read the whole request.
                self._must_close = True
                send_task.cancel()
        return ClientResponse(self._status, self._response_headers, body)

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
        self._must_close = True
        self._is_aborted = True
        if not self._is_complete:
            self._buffer.clear()
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Close the connection; what it holds of the body is not needed."""
        self._buffer.clear()
        self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; ignore trailers, which follow the body."""
        if not self._is_head_complete:
            self._limits.record_header(name, value)
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Accept a response head; skip a response to another request."""
        self._limits.record_progress()
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        if status == _SWITCHING_PROTOCOLS:
            raise ValueError(
                'unexpected 101 response: no protocol upgrade was requested'
            )
        if self._is_complete or self._request is None:
            raise ValueError(
                'unexpected response after the end of the response'
            )
        self._is_skipping = (
            status < _FIRST_FINAL_STATUS or not self._matches_request(headers)
        )
        if status >= _FIRST_FINAL_STATUS and self._is_skipping:
            self._must_close = True
        if self._is_skipping:
            return
        self._status = status
        self._response_headers = headers
        self._is_head_complete = True
        is_closing = _CLOSE in split_tokens(find_header(headers, CONNECTION))
        if is_closing or self._is_unidentified(headers):
            self._must_close = True
        self._read_keep_alive(find_header(headers, KEEP_ALIVE))
        self._wake()

    def on_body(self, content: bytes) -> None:
        """Buffer a part of the body."""
        self._limits.record_progress()
        if self._is_skipping or self._is_malformed:
            return
        if self._is_complete:
            self._is_malformed = True
            return
        self._buffer.append(content)
        self._wake()

    def on_message_complete(self) -> None:
        """Mark the response as complete unless it is skipped."""
        if self._is_skipping:
            self._is_skipping = False
            return
        self._is_complete = True
        self._wake()

    def _start_exchange(self, request: ClientRequest) -> None:
        self._request = request
        self._buffer = self._make_buffer()
        self._is_head_complete = False
        self._is_complete = False
        self._is_skipping = False
        self._limits = ResponseLimits()

    async def _read_body(self) -> Body:
        request = self._request
        if request is None or not has_body(request.method, self._status):
            self._is_complete = True
            if request is not None and request.method == 'HEAD':
                # The parser takes the next response for the body.
                self._must_close = True
            self._end_exchange()
            return WholeBody()
        if not self._has_framing():
            self._must_close = True
        while not self._is_complete:
            if self._buffer.is_full:
                self._buffer.stream()
                return ResponseStream(self)
            self._raise_if_failed()
            await self._wait()
        body = self._buffer.take_whole()
        self._end_exchange()
        return body

    async def read_streamed(self) -> bytes:
        """Return the next part of a streamed body, or nothing at its end.

        Raises BodyTruncated if the body breaks off.
        """
        while not self._buffer:
            if self._is_complete:
                self._end_exchange()
                return b''
            self._raise_if_truncated()
            await self._wait()
        content = self._buffer.take()
        if not self._buffer.is_full:
            self._resume_reading()
        return content

    def _raise_if_truncated(self) -> None:
        if self._is_malformed or self._is_lost:
            raise BodyTruncated

    def _raise_if_failed(self) -> None:
        if self._is_malformed:
            raise AnswerMalformed
        if self._is_lost:
            raise AnswerMissing

    def _end_exchange(self) -> None:
        self._request = None
        self._buffer.clear()
        if self._must_close or self._is_malformed:
            self.close()
        self._resume_reading()

    def _make_buffer(self) -> BodyBuffer:
        return BodyBuffer(self.memory, MAX_BUFFERED_BYTES, self._cut)

    def _cut(self) -> None:
        """End the response, which must not look complete."""
        self._is_complete = False
        self._fail_malformed()

    def _has_framing(self) -> bool:
        names = {name for name, _ in self._response_headers}
        return CONTENT_LENGTH in names or TRANSFER_ENCODING in names

    def _matches_request(self, headers: Headers) -> bool:
        request = self._request
        if request is None or request.echo_header is None:
            return True
        name, sent_value = request.echo_header
        echoed_value = find_header(headers, name)
        return echoed_value is None or echoed_value == sent_value

    def _is_unidentified(self, headers: Headers) -> bool:
        """Return whether a copy of the response could answer a later request.

        It doesn't name its request, so it can't be told from other responses.
        """
        request = self._request
        return (
            request is not None
            and request.echo_header is not None
            and find_header(headers, request.echo_header[0]) is None
        )

    def _read_keep_alive(self, value: bytes | None) -> None:
        for token in split_tokens(value):
            name, _, seconds = token.partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.keep_alive_timeout_seconds = float(seconds)

    def _reject_input(self) -> None:
        self._is_malformed = True
        self.close()

    def _fail_malformed(self) -> None:
        self._reject_input()
        self._wake()

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
