"""One request and its answer on a persistent connection to the upstream.

It uses aiohttp's connections and response parser without its ClientSession,
whose request path takes about half of the CPU time of a call.
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
# Bodies up to this length are read before the answer is returned: it then
# fits into one message, and a truncated one becomes a refusal.
MAX_BUFFERED_BODY_BYTES = 16 * 1024
_CONTENT_LENGTH = 'Content-Length'
_BODILESS_STATUSES = frozenset((204, 304))
_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_MILLISECONDS_PER_SECOND = 1000


class MalformedAnswer(Exception):
    """The upstream sent no HTTP answer, or one without a defined end."""


class UpstreamReset(Exception):
    """The connection ended before an answer was received."""


class Exchange:
    """Request in progress; owns its connection until the answer is read."""

    def __init__(self, connection: Connection, request: CallRequest) -> None:
        """Take ownership of a connection from the pool."""
        self._connection = connection
        self._request = request
        self._write_task: asyncio.Task[None] | None = None
        self._request_truncated = False
        self._ends_at = (
            asyncio.get_running_loop().time()
            + request.timeout_ms / _MILLISECONDS_PER_SECOND
        )
        self.may_have_begun = False

    async def run(self, head: RequestHead, body: Body) -> Answer:
        """Send the request and return the answer.

        Raises BodyTruncated, MalformedAnswer or UpstreamReset. Once
        ``may_have_begun`` is set, the upstream may be running the request.
        """
        try:
            self._send(head, body)
            return await self._receive_answer()
        except HttpProcessingError as error:
            self.close()
            raise MalformedAnswer from error
        except (ClientError, OSError) as error:
            self.close()
            if self._request_truncated:
                raise BodyTruncated from error
            raise UpstreamReset from error
        except BaseException:
            self.close()
            raise

    async def read(self, content: StreamReader) -> bytes:
        """Return the next part of the body of the answer.

        Raises BodyTruncated if the connection ends, or if the body does not
        end within the timeout of the call.
        """
        seconds_left = self._ends_at - asyncio.get_running_loop().time()
        if seconds_left <= 0:
            self.close()
            raise BodyTruncated
        try:
            with Deadline(seconds_left):
                return await content.readany()
        except (ClientError, OSError) as error:
            self.close()
            raise BodyTruncated from error

    def close(self) -> None:
        """Close the connection unless it was returned to the pool."""
        if self._write_task is not None:
            self._write_task.cancel()
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
        self.may_have_begun = True
        if isinstance(body, WholeBody):
            return transport.write(head.encoded + body.content)
        transport.write(head.encoded)
        writer = StreamWriter(protocol, asyncio.get_running_loop())
        writer.length = head.length
        if head.length is None:
            writer.enable_chunking()
        self._write_task = asyncio.ensure_future(self._write_body(writer, body))
        return None

    async def _write_body(self, writer: StreamWriter, body: Body) -> None:
        try:
            async for content in body:
                await writer.write(content)
            if writer.length:
                raise BodyTruncated
            await writer.write_eof()
        except (ClientError, OSError):
            # The upstream may have sent its answer before the connection ended.
            return
        except Exception:
            # Closing the connection shows the upstream that the body was
            # truncated, and ends the wait for the answer.
            self._request_truncated = True
            self._connection.close()

    async def _receive_answer(self) -> Answer:
        protocol = self._connection.protocol
        if protocol is None:
            raise UpstreamReset
        message, content = await protocol.read()
        while message.code < _FIRST_FINAL_STATUS:
            if not _is_interim(message):
                raise MalformedAnswer
            message, content = await protocol.read()
        if message.code not in _STATUSES:
            raise MalformedAnswer
        body = await self._receive_body(message, content)
        return Answer(message.code, message.raw_headers, body)

    async def _receive_body(
        self, message: RawResponseMessage, content: StreamReader
    ) -> Body:
        length = message.headers.get(_CONTENT_LENGTH)
        if self._request.method == 'HEAD' or message.code in _BODILESS_STATUSES:
            self._release_connection()
            return WholeBody()
        if length is None and not message.chunked:
            # Such a body ends with the connection, so a truncated one would
            # look complete.
            raise MalformedAnswer
        if not content.is_eof():
            self._fail_on_connection_loss(content)
        if length is not None and int(length) <= MAX_BUFFERED_BODY_BYTES:
            if content.is_eof():
                full_content = content.read_nowait()
            else:
                full_content = await content.read()
            self._release_connection()
            return WholeBody(full_content)
        content.on_eof(self._release_connection)
        return _AnswerBody(self, content)

    def _fail_on_connection_loss(self, content: StreamReader) -> None:
        """Fail the body if the connection ends first.

        aiohttp closes the connection after a malformed chunk, but leaves the
        reader of the body waiting.
        """

        def fail_body(disconnected: 'asyncio.Future[None]') -> None:
            # Reading the exception keeps asyncio from logging it.
            disconnected.exception()
            if not content.is_eof() and content.exception() is None:
                content.set_exception(ClientPayloadError('connection lost'))

        protocol = self._connection.protocol
        disconnected = protocol.closed if protocol is not None else None
        if disconnected is None:
            content.set_exception(ClientPayloadError('connection lost'))
            return
        disconnected.add_done_callback(fail_body)

        def stop_watching() -> None:
            disconnected.remove_done_callback(fail_body)

        content.on_eof(stop_watching)

    def _release_connection(self) -> None:
        if self._write_task is not None and not self._write_task.done():
            # The upstream answered before it received the whole request.
            self.close()
        else:
            self._connection.release()


def _is_interim(message: RawResponseMessage) -> bool:
    """Return whether a final answer may follow a message that is none.

    One with a length looks like the final answer, so none follows it.
    """
    has_length = message.chunked or _CONTENT_LENGTH in message.headers
    is_known = message.code in _STATUSES
    return is_known and not has_length and message.code != _SWITCHING_PROTOCOLS


class _AnswerBody:
    """Body of an answer; closing it early closes the connection."""

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
        """Close the connection, so that the upstream stops sending."""
        with suppress(Exception):
            self._exchange.close()
