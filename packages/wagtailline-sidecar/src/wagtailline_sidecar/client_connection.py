"""Client side of HTTP/1.1 connections: one request at a time on each."""

import asyncio
from collections.abc import AsyncIterator
from typing import cast

import httptools

from wagtailline.calls import Body, BodyTruncated, Headers, WholeBody
from wagtailline.ports import Address
from wagtailline.streams import limit_silence
from wagtailline_sidecar._client_types import (
    AnswerMalformed,
    AnswerMissing,
    ClientAnswer,
    ClientRequest,
    ConnectionFailed,
)
from wagtailline_sidecar.http_messages import (
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    TRANSFER_ENCODING,
    encode_request,
    find_header,
    frame_by_length,
    has_body,
    split_tokens,
)

__all__ = (
    'AnswerMalformed',
    'AnswerMissing',
    'ClientAnswer',
    'ClientConnection',
    'ClientRequest',
    'ConnectionFailed',
    'open_connection',
)

# An answer that grows beyond this is passed on while it arrives.
MAX_WHOLE_BYTES = 1024 * 1024
_CLOSE = b'close'
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_READ_HIGH_WATER_BYTES = 512 * 1024


class ClientConnection(asyncio.Protocol):
    """One connection to a server.

    It is reusable only while every byte that arrived belonged to an answer
    that was asked for.
    """

    def __init__(self) -> None:
        """Be unusable until the connection is made."""
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._request: ClientRequest | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._chunk_bytes = 0
        self._event: asyncio.Future[None] | None = None
        self._answer_headers: Headers = ()
        self._status = 0
        self._is_head_complete = False
        self._is_complete = False
        self._is_skipping = False
        self._is_faulty = False
        self._is_lost = False
        self._lost_cleanly = False
        self._must_close = False
        self.idle_limit_seconds: float | None = None

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent."""
        return not (
            self._is_lost
            or self._is_faulty
            or self._must_close
            or self._request is not None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an open connection."""
        self._transport = cast(asyncio.Transport, transport)
        endpoint = transport.get_extra_info('socket')
        if endpoint is not None:
            limit_silence(endpoint)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is in progress."""
        self._is_lost = True
        self._lost_cleanly = exc is None
        if self._is_head_complete and not self._has_framing():
            self._is_complete = exc is None
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; bytes that nobody asked for end the connection."""
        if self._request is None:
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_faulty = True
            self._wake()

    async def exchange(
        self, request: ClientRequest, content: Body
    ) -> ClientAnswer:
        """Send a request and return its answer.

        Raises AnswerMissing or AnswerMalformed; closing the connection
        cancels the request.
        """
        self._begin(request)
        sender = await self._send(request, content)
        try:
            while not self._is_head_complete:
                self._check()
                await self._wait()
            body = await self._read_body()
        finally:
            if sender is not None and not sender.done():
                # The server answered before it read the whole request.
                self._must_close = True
                sender.cancel()
        return ClientAnswer(self._status, self._answer_headers, body)

    def close(self) -> None:
        """Close the connection, which cancels its request."""
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header."""
        if not self._is_head_complete:
            self._headers.append((name.lower(), field))

    def on_headers_complete(self) -> None:
        """Take a head, or skip an answer of another request."""
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        if status == _SWITCHING_PROTOCOLS:
            raise ValueError('protocol switch was not asked for')
        if self._is_complete or self._request is None:
            raise ValueError('answer behind the answer')
        self._is_skipping = status < _FIRST_FINAL_STATUS or not self._is_own(
            headers
        )
        if status >= _FIRST_FINAL_STATUS and self._is_skipping:
            self._must_close = True
        if self._is_skipping:
            return
        self._status = status
        self._answer_headers = headers
        self._is_head_complete = True
        if _CLOSE in split_tokens(find_header(headers, CONNECTION)):
            self._must_close = True
        self._read_keep_alive(find_header(headers, KEEP_ALIVE))
        self._wake()

    def on_body(self, content: bytes) -> None:
        """Take a part of the body."""
        if self._is_skipping:
            return
        if self._is_complete:
            self._is_faulty = True
            return
        self._chunks.append(content)
        self._chunk_bytes += len(content)
        if self._chunk_bytes > _READ_HIGH_WATER_BYTES + MAX_WHOLE_BYTES:
            if self._transport is not None:
                self._transport.pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._is_skipping:
            self._is_skipping = False
            return
        self._is_complete = True
        self._wake()

    def _begin(self, request: ClientRequest) -> None:
        self._request = request
        self._chunks = []
        self._chunk_bytes = 0
        self._is_head_complete = False
        self._is_complete = False
        self._is_skipping = False

    async def _send(
        self, request: ClientRequest, content: Body
    ) -> 'asyncio.Task[None] | None':
        if self._is_lost or self._transport is None:
            raise AnswerMissing
        if isinstance(content, WholeBody):
            framing = frame_by_length(request.method, content.content)
            head = encode_request(
                request.method, request.target, (*request.headers, *framing)
            )
            self._transport.write(head + content.content)
            return None
        framing = ((TRANSFER_ENCODING, b'chunked'),)
        head = encode_request(
            request.method, request.target, (*request.headers, *framing)
        )
        self._transport.write(head)
        return asyncio.ensure_future(self._send_chunks(content))

    async def _send_chunks(self, content: Body) -> None:
        try:
            async for chunk in content:
                if self._transport is not None:
                    self._transport.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
        except BodyTruncated:
            # The server must not take the body for a whole one.
            self.close()
            return
        if self._transport is not None:
            self._transport.write(b'0\r\n\r\n')

    async def _read_body(self) -> Body:
        request = self._request
        if request is None or not has_body(request.method, self._status):
            self._is_complete = True
            self._release()
            return WholeBody()
        if not self._has_framing():
            self._must_close = True
        while not self._is_complete:
            if self._chunk_bytes > MAX_WHOLE_BYTES:
                return self._stream()
            self._check()
            await self._wait()
        content = b''.join(self._chunks)
        self._release()
        return WholeBody(content)

    async def _stream(self) -> AsyncIterator[bytes]:
        try:
            while True:
                if self._chunks:
                    content = b''.join(self._chunks)
                    self._chunks = []
                    self._chunk_bytes = 0
                    if self._transport is not None:
                        self._transport.resume_reading()
                    yield content
                elif self._is_complete:
                    self._release()
                    return
                else:
                    self._check_stream()
                    await self._wait()
        finally:
            if self._request is not None:
                self.close()

    def _check_stream(self) -> None:
        if self._is_faulty or self._is_lost:
            raise BodyTruncated

    def _check(self) -> None:
        if self._is_faulty:
            raise AnswerMalformed
        if self._is_lost:
            raise AnswerMissing

    def _release(self) -> None:
        self._request = None
        self._chunks = []
        if self._must_close or self._is_faulty:
            self.close()

    def _has_framing(self) -> bool:
        names = {name for name, _ in self._answer_headers}
        return CONTENT_LENGTH in names or TRANSFER_ENCODING in names

    def _is_own(self, headers: Headers) -> bool:
        request = self._request
        if request is None or request.identity is None:
            return True
        name, sent = request.identity
        echoed = find_header(headers, name)
        return echoed is None or echoed == sent

    def _read_keep_alive(self, field: bytes | None) -> None:
        for token in split_tokens(field):
            name, _, seconds = token.partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.idle_limit_seconds = float(seconds)

    def _spoil(self) -> None:
        self._is_faulty = True
        self.close()

    async def _wait(self) -> None:
        self._event = asyncio.get_running_loop().create_future()
        await self._event

    def _wake(self) -> None:
        if self._event is not None and not self._event.done():
            self._event.set_result(None)


async def open_connection(
    address: Address, timeout_seconds: float
) -> ClientConnection:
    """Open a connection; raise ConnectionFailed when none can be made."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(
                ClientConnection, address.host, address.port
            )
    except OSError as problem:
        raise ConnectionFailed(str(problem)) from problem
    return connection
