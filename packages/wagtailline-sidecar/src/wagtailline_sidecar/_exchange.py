"""Body and response of one request on a server connection."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from wagtailline.calls import (
    Body,
    BodyTruncated,
    Headers,
    WholeBody,
    close_body,
)
from wagtailline_sidecar.body_memory import (
    MAX_PART_BYTES,
    BodyBuffer,
    Holding,
    make_unlimited_memory,
)
from wagtailline_sidecar.http_messages import (
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    encode_response,
    has_body,
)

# Reading from the client pauses while more than this is buffered per body.
BODY_HIGH_WATER_BYTES = 256 * 1024
_INTERNAL_ERROR = 500


class RequestBody:
    """Asynchronous iterator over a request body as it arrives.

    Raises BodyTruncated if the rest of the body will not arrive.
    """

    def __init__(
        self,
        pause: Callable[[], None],
        resume: Callable[[], None],
        buffer: BodyBuffer | None = None,
    ) -> None:
        """Create an empty body.

        ``pause`` and ``resume`` control reading from the connection. Parts
        that have arrived are held in ``buffer``.
        """
        self._pause = pause
        self._resume = resume
        # An empty buffer is falsy.
        if buffer is None:
            buffer = BodyBuffer(
                make_unlimited_memory(), BODY_HIGH_WATER_BYTES, self.fail
            )
        self._buffer = buffer
        self._wakeup: asyncio.Future[None] | None = None
        self._is_truncated = False
        self.is_complete = False
        self.received_bytes = 0

    def feed(self, content: bytes) -> None:
        """Buffer a part; ``settle`` counts it."""
        self.received_bytes += len(content)
        self._buffer.append(content)
        self._wake()

    def settle(self) -> None:
        """Count the bytes that have arrived; pause reading if they are many."""
        self._buffer.settle()
        if self._buffer.is_full:
            self._pause()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._wake()

    def fail(self) -> None:
        """Mark the body as truncated unless it is complete."""
        self._is_truncated = not self.is_complete
        self._wake()

    def __aiter__(self) -> 'RequestBody':
        """Return the body, which is its own iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next buffered bytes; wait if there are none."""
        while not self._buffer:
            if self.is_complete:
                self.discard()
                raise StopAsyncIteration
            if self._is_truncated:
                raise BodyTruncated
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup
        content = self._buffer.take()
        if not self._buffer.is_full:
            self._resume()
        return content

    def discard(self) -> None:
        """Hold nothing more, as the request has ended."""
        self._buffer.clear()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


class Connection(Protocol):
    """Interface of a connection as its exchanges use it."""

    is_closing: bool

    def is_last(self, exchange: 'Exchange') -> bool:
        """Return whether no later request was read, even in part."""

    def reject_new_requests(self) -> None:
        """Discard what the client sends behind the last request."""

    def finish(self, exchange: 'Exchange', keep_alive: bool) -> None:
        """Continue with the next request after the response."""

    def hold_answer(self, size_bytes: int) -> Holding:
        """Count the bytes of a response that waits for earlier ones."""

    def abort(self) -> None:
        """Reset the connection."""

    def report_error(self, error: Exception) -> None:
        """Report an exception that a handler raised."""

    async def write(self, content: bytes) -> None:
        """Write bytes and wait while the write buffer is full."""


class Exchange:
    """One request and the writing of its response.

    Nothing is written before the responses to earlier requests are complete.
    """

    def __init__(
        self, connection: Connection, method: str, body: RequestBody | None
    ) -> None:
        """Create an exchange that may not write yet."""
        self._connection = connection
        self._method = method
        self._body = body
        self._may_write = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.is_concurrent = False
        self.keep_alive = True
        self.is_response_started = False

    def allow_writing(self) -> None:
        """Allow the response to be written."""
        self._may_write.set()

    def run(self, handler_call: Coroutine[Any, Any, None] | Any) -> None:
        """Run the handler of the request in a task."""
        self._task = asyncio.ensure_future(self._run_handler(handler_call))

    def cancel(self) -> None:
        """Cancel the handler because the connection was lost."""
        if self._task is not None:
            self._task.cancel()

    async def respond(
        self, status: int, headers: Headers, content: bytes
    ) -> None:
        """Write a response whose whole body is in memory."""
        await self._wait_for_earlier(len(content))
        self._start_response()
        framing = [(CONTENT_LENGTH, b'%d' % len(content))]
        head = encode_response(status, self._add_framing(headers, framing))
        payload = content if has_body(self._method, status) else b''
        await self._connection.write(head + payload[:MAX_PART_BYTES])
        for start in range(MAX_PART_BYTES, len(payload), MAX_PART_BYTES):
            part = payload[start : start + MAX_PART_BYTES]
            await self._connection.write(part)

    async def stream(self, status: int, headers: Headers, body: Body) -> None:
        """Write a response as its body arrives, and close the body.

        Resets the connection if the body is truncated.
        """
        if isinstance(body, WholeBody):
            await self.respond(status, headers, body.content)
            return
        try:
            await self._stream(status, headers, body)
        finally:
            # The upstream works on while nobody tells it that the client left.
            await close_body(body)

    async def _stream(self, status: int, headers: Headers, body: Body) -> None:
        await self._may_write.wait()
        self._start_response()
        framing = [(TRANSFER_ENCODING, b'chunked')]
        head = encode_response(status, self._add_framing(headers, framing))
        await self._connection.write(head)
        try:
            async for content in body:
                await self._connection.write(
                    b'%x\r\n%b\r\n' % (len(content), content)
                )
        except BodyTruncated:
            self._connection.abort()
            return
        await self._connection.write(b'0\r\n\r\n')

    async def _wait_for_earlier(self, size_bytes: int) -> None:
        """Wait for the earlier responses, which the client may not read."""
        if self._may_write.is_set():
            return
        holding = self._connection.hold_answer(size_bytes)
        try:
            await self._may_write.wait()
        finally:
            holding.close()

    def _start_response(self) -> None:
        self.is_response_started = True
        if self._connection.is_closing and self._connection.is_last(self):
            # Clients treat requests behind a closing response as not
            # processed, but all requests that were read will be. So only
            # the response to the last one closes the connection.
            self.keep_alive = False
        if self._body is not None and not self._body.is_complete:
            # The rest of the body would be parsed as the next request.
            self.keep_alive = False
        if not self.keep_alive:
            self._connection.reject_new_requests()

    def _add_framing(
        self, headers: Headers, framing: list[tuple[bytes, bytes]]
    ) -> Headers:
        if not self.keep_alive:
            framing.append((CONNECTION, b'close'))
        return (*headers, *framing)

    async def _handle(self, handler_call: Any) -> None:
        try:
            await handler_call
        finally:
            if self._body is not None:
                self._body.discard()

    async def _run_handler(self, handler_call: Any) -> None:
        try:
            await self._handle(handler_call)
        except asyncio.CancelledError:
            return
        except Exception as error:
            self._connection.report_error(error)
            if self.is_response_started:
                self._connection.abort()
                return
            await self.respond(_INTERNAL_ERROR, (), b'')
        self._connection.finish(self, self.keep_alive)
