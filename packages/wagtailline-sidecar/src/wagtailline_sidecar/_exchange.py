"""One request of a server connection and its answer."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from wagtailline.calls import Body, BodyTruncated, Headers, WholeBody
from wagtailline_sidecar.http_messages import (
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    encode_response,
    has_body,
)

# Above this many bytes that nobody took, the client must wait.
BODY_HIGH_WATER_BYTES = 256 * 1024
_INTERNAL_ERROR = 500


class RequestBody:
    """Body of a request as it arrives; raises BodyTruncated when cut."""

    def __init__(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Pause and resume the reading of the connection."""
        self._pause = pause
        self._resume = resume
        self._chunks: list[bytes] = []
        self._waiting_bytes = 0
        self._arrival: asyncio.Future[None] | None = None
        self._is_failed = False
        self.is_complete = False
        self.received_bytes = 0

    def feed(self, content: bytes) -> None:
        """Take a part."""
        self._chunks.append(content)
        self.received_bytes += len(content)
        self._waiting_bytes += len(content)
        if self._waiting_bytes > BODY_HIGH_WATER_BYTES:
            self._pause()
        self._wake()

    def finish(self) -> None:
        """Note that all of it has arrived."""
        self.is_complete = True
        self._wake()

    def fail(self) -> None:
        """Note that the rest will not come."""
        self._is_failed = not self.is_complete
        self._wake()

    def __aiter__(self) -> 'RequestBody':
        """Return the iterator, which is the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return what has arrived."""
        while not self._chunks:
            if self.is_complete:
                raise StopAsyncIteration
            if self._is_failed:
                raise BodyTruncated
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        content = b''.join(self._chunks)
        self._chunks.clear()
        self._waiting_bytes = 0
        self._resume()
        return content

    def _wake(self) -> None:
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)


class Connection(Protocol):
    """What an exchange needs of its connection."""

    is_closing: bool

    def is_last(self, exchange: 'Exchange') -> bool:
        """Tell whether no request was read behind this one."""

    def finish(self, exchange: 'Exchange', keeps_open: bool) -> None:
        """Go on after the answer."""

    def abort(self) -> None:
        """Break the connection."""

    def report(self, error: Exception) -> None:
        """Report a fault of a handler."""

    async def write(self, content: bytes) -> None:
        """Write bytes and wait while the client does not read."""


class Exchange:
    """Writes the answer of one request when its turn has come."""

    def __init__(
        self, connection: Connection, method: str, body: RequestBody | None
    ) -> None:
        """Wait for the answers before it."""
        self._connection = connection
        self._method = method
        self._body = body
        self._turn = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.is_concurrent = False
        self.keeps_open = True
        self.is_answered = False

    def take_turn(self) -> None:
        """Let the answer be written."""
        self._turn.set()

    def run(self, work: Coroutine[Any, Any, None] | Any) -> None:
        """Run the handler of the request."""
        self._task = asyncio.ensure_future(self._run(work))

    def cancel(self) -> None:
        """Stop the handler, as its client has left."""
        if self._task is not None:
            self._task.cancel()

    async def respond(
        self, status: int, headers: Headers, content: bytes
    ) -> None:
        """Write an answer that is wholly in memory."""
        await self._begin()
        own = [(CONTENT_LENGTH, b'%d' % len(content))]
        head = encode_response(status, self._add_framing(headers, own))
        sent = content if has_body(self._method, status) else b''
        await self._connection.write(head + sent)

    async def stream(self, status: int, headers: Headers, body: Body) -> None:
        """Write an answer as it arrives; break off when it is cut."""
        if isinstance(body, WholeBody):
            await self.respond(status, headers, body.content)
            return
        await self._begin()
        own = [(TRANSFER_ENCODING, b'chunked')]
        head = encode_response(status, self._add_framing(headers, own))
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

    async def _begin(self) -> None:
        await self._turn.wait()
        self.is_answered = True
        if self._connection.is_closing and self._connection.is_last(self):
            # Behind an answer that closes, requests count as not read, but
            # those that were read have started already.
            self.keeps_open = False
        if self._body is not None and not self._body.is_complete:
            # The rest of the request would be taken for the next one.
            self.keeps_open = False

    def _add_framing(
        self, headers: Headers, own: list[tuple[bytes, bytes]]
    ) -> Headers:
        if not self.keeps_open:
            own.append((CONNECTION, b'close'))
        return (*headers, *own)

    async def _run(self, work: Any) -> None:
        try:
            await work
        except asyncio.CancelledError:
            return
        except Exception as error:
            self._connection.report(error)
            if self.is_answered:
                self._connection.abort()
                return
            await self.respond(_INTERNAL_ERROR, (), b'')
        self._connection.finish(self, self.keeps_open)
