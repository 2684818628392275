"""One request and its answer on a kept connection to the upstream.

It uses aiohttp's connections and response parser without its ClientSession,
whose request path was measured to take about half of the CPU time of a call.
"""

import asyncio
from contextlib import suppress

from aiohttp import ClientError, ClientPayloadError, StreamReader
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage, StreamWriter
from aiohttp.http_exceptions import HttpProcessingError

from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    CallRequest,
    Deadline,
    WholeBody,
)
from wagtailline_daemon.upstream._request import RequestHead

MAX_HEADER_BYTES = 32 * 1024
READ_AHEAD_BYTES = 64 * 1024
# Bodies up to this length are read before the answer is passed on: it then
# goes into one message, and a cut one becomes a refusal.
WHOLE_ANSWER_BYTES = 16 * 1024
_LENGTH = 'Content-Length'
_BODILESS_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_SWITCHING = 101
_MILLISECONDS = 1000


class MalformedAnswer(Exception):
    """The upstream sent no answer whose end can be known."""


class UpstreamReset(Exception):
    """The connection ended before the answer."""


class Exchange:
    """Owns the connection until the answer has been read."""

    def __init__(self, connection: Connection, request: CallRequest) -> None:
        """Take over a connection from the pool."""
        self._connection = connection
        self._request = request
        self._writer: asyncio.Task[None] | None = None
        self._truncated = False
        self._stall_seconds = request.timeout_ms / _MILLISECONDS
        self.began = False

    async def run(self, head: RequestHead, body: Body) -> Answer:
        """Send the request and return the answer.

        Raises BodyTruncated, MalformedAnswer or UpstreamReset. Once
        ``began`` is set, the upstream may have begun the request.
        """
        try:
            self._send(head, body)
            return await self._receive()
        except HttpProcessingError as problem:
            self.close()
            raise MalformedAnswer from problem
        except (ClientError, OSError) as problem:
            self.close()
            if self._truncated:
                raise BodyTruncated from problem
            raise UpstreamReset from problem
        except BaseException:
            self.close()
            raise

    async def read(self, content: StreamReader) -> bytes:
        """Return the next part of the body of the answer.

        An upstream that sends nothing for the timeout of the call cuts it.
        """
        try:
            with Deadline(self._stall_seconds):
                return await content.readany()
        except (ClientError, OSError) as problem:
            self.close()
            raise BodyTruncated from problem

    def close(self) -> None:
        """End the connection unless it went back to the pool."""
        if self._writer is not None:
            self._writer.cancel()
        self._connection.close()

    def _send(self, head: RequestHead, body: Body) -> None:
        transport = self._connection.transport
        protocol = self._connection.protocol
        if transport is None or protocol is None or transport.is_closing():
            raise UpstreamReset
        protocol.set_response_params(
            skip_payload=self._request.method == 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_AHEAD_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self.began = True
        if isinstance(body, WholeBody):
            return transport.write(head.encoded + body.content)
        transport.write(head.encoded)
        writer = StreamWriter(protocol, asyncio.get_running_loop())
        writer.length = head.length
        if head.length is None:
            writer.enable_chunking()
        self._writer = asyncio.ensure_future(self._write(writer, body))
        return None

    async def _write(self, writer: StreamWriter, body: Body) -> None:
        try:
            async for content in body:
                await writer.write(content)
            if writer.length:
                raise BodyTruncated
            await writer.write_eof()
        except (ClientError, OSError):
            # The answer may have been sent before the connection ended.
            return
        except Exception:
            # The end of the connection shows the upstream that the body was
            # cut, and ends the wait for the answer.
            self._truncated = True
            self._connection.close()

    async def _receive(self) -> Answer:
        protocol = self._connection.protocol
        if protocol is None:
            raise UpstreamReset
        message, content = await protocol.read()
        while message.code < _FIRST_FINAL_STATUS:
            if message.code == _SWITCHING:
                raise MalformedAnswer
            message, content = await protocol.read()
        body = await self._body(message, content)
        return Answer(message.code, message.raw_headers, body)

    async def _body(
        self, message: RawResponseMessage, content: StreamReader
    ) -> Body:
        length = message.headers.get(_LENGTH)
        if self._request.method == 'HEAD' or message.code in _BODILESS_STATUSES:
            self._finish()
            return WholeBody()
        if length is None and not message.chunked:
            # Its end is the end of the connection, so a cut would look whole.
            raise MalformedAnswer
        if not content.is_eof():
            self._watch(content)
        if length is not None and int(length) <= WHOLE_ANSWER_BYTES:
            if content.is_eof():
                whole = content.read_nowait()
            else:
                whole = await content.read()
            self._finish()
            return WholeBody(whole)
        content.on_eof(self._finish)
        return _AnswerBody(self, content)

    def _watch(self, content: StreamReader) -> None:
        """Fail the body when the connection ends before it.

        aiohttp closes the connection at a malformed chunk, but leaves the
        reader of the body waiting.
        """

        def fail(lost: 'asyncio.Future[None]') -> None:
            # Reading the exception keeps asyncio from logging it.
            lost.exception()
            if not content.is_eof() and content.exception() is None:
                content.set_exception(ClientPayloadError('connection lost'))

        protocol = self._connection.protocol
        lost = protocol.closed if protocol is not None else None
        if lost is None:
            content.set_exception(ClientPayloadError('connection lost'))
            return
        lost.add_done_callback(fail)

        def forget() -> None:
            lost.remove_done_callback(fail)

        content.on_eof(forget)

    def _finish(self) -> None:
        if self._writer is not None and not self._writer.done():
            # The upstream answered without reading the whole request.
            self.close()
        else:
            self._connection.release()


class _AnswerBody:
    """Body of a running answer; closing it early ends the connection."""

    def __init__(self, exchange: Exchange, content: StreamReader) -> None:
        self._exchange = exchange
        self._content = content

    def __aiter__(self) -> '_AnswerBody':
        return self

    async def __anext__(self) -> bytes:
        content = await self._exchange.read(self._content)
        if not content:
            raise StopAsyncIteration
        return content

    async def aclose(self) -> None:
        """Let the upstream see that the rest is not wanted."""
        with suppress(Exception):
            self._exchange.close()
