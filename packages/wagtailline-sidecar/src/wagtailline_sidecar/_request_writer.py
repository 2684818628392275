"""Writes requests to the transport of a client connection."""

import asyncio
from collections.abc import Callable

from wagtailline.calls import Body, WholeBody
from wagtailline_sidecar._client_types import ClientRequest
from wagtailline_sidecar.http_messages import (
    TRANSFER_ENCODING,
    encode_request,
    make_length_headers,
)


class RequestWriter:
    """Writer that waits while the server reads a streamed body too slowly."""

    def __init__(self, close: Callable[[], None]) -> None:
        """Set up a writer without transport.

        ``close`` ends the connection after a body that broke off.
        """
        self._close = close
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()

    def open(self, transport: asyncio.Transport) -> None:
        """Write to this transport from now on."""
        self._transport = transport
        self._writable.set()

    def pause(self) -> None:
        """Write no more of a body until the transport has drained."""
        self._writable.clear()

    def resume(self) -> None:
        """Go on with the body."""
        self._writable.set()

    def end(self) -> None:
        """Write nothing more, as the connection is lost."""
        self._transport = None
        self._writable.set()

    def send(
        self, request: ClientRequest, content: Body
    ) -> 'asyncio.Task[None] | None':
        """Write a request; return the task that writes a streamed body."""
        if isinstance(content, WholeBody):
            framing = make_length_headers(request.method, content.content)
            self._write(_encode_head(request, framing) + content.content)
            return None
        framing = ((TRANSFER_ENCODING, b'chunked'),)
        self._write(_encode_head(request, framing))
        return asyncio.ensure_future(self._send_chunks(content))

    async def _send_chunks(self, content: Body) -> None:
        try:
            async for chunk in content:
                self._write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
                await self._writable.wait()
        except Exception:
            # The server must not treat the truncated body as complete.
            self._close()
            return
        self._write(b'0\r\n\r\n')

    def _write(self, content: bytes) -> None:
        if self._transport is not None:
            self._transport.write(content)


def _encode_head(
    request: ClientRequest, framing: tuple[tuple[bytes, bytes], ...]
) -> bytes:
    headers = (*request.headers, *framing)
    return encode_request(request.method, request.target, headers)
