"""HTTP/1.1 server protocol of the ingress.

It prevents faults of uvicorn's own protocol: unbounded heads, trailers added
to the headers, bytes after an upgrade request parsed as another request, an
error response written into an answer, and calls that continue after their
caller has disconnected.
"""

import asyncio
from typing import Any, cast

import httptools
from uvicorn._types import ASGI3Application
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from wagtailline.calls import Executed, Refusal
from wagtailline_daemon.ingress._refusals import problem_body

MAX_HEAD_BYTES = 64 * 1024
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_REFUSAL_HEAD = (
    b'HTTP/1.1 %d Refused\r\n'
    b'content-type: application/problem+json\r\n'
    b'content-length: %d\r\n'
    b'connection: close\r\n\r\n%b'
)


class IngressProtocol(HttpToolsProtocol):
    """Protocol class for ``uvicorn.Config(http=IngressProtocol)``."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Pass all arguments on to uvicorn's protocol."""
        super().__init__(*args, **kwargs)
        self._request_task: asyncio.Task[None] | None = None
        self._input_closed = False
        self._in_head = True
        self._head_bytes = 0
        self._unparsed_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes; ignore those after an upgrade request or an error."""
        if self._input_closed:
            return
        self._unparsed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._input_closed = True
        except httptools.HttpParserError:
            self._refuse('malformed_request', _BAD_REQUEST)
        if max(self._unparsed_bytes, self._head_bytes) > MAX_HEAD_BYTES:
            self._refuse('head_too_large', _HEAD_TOO_LARGE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Apply the keep-alive timeout to the first head as well."""
        super().connection_made(cast(asyncio.Transport, transport))
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call of a caller that has disconnected."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self.pipeline.clear()
        if self._request_task is not None:
            self._request_task.cancel()

    def on_message_begin(self) -> None:
        """Start counting the bytes of a head."""
        self._in_head = True
        self._head_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._count_head_bytes(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; discard trailers."""
        if self._in_head:
            self._count_head_bytes(name + value)
            super().on_header(name, value)
        else:
            self._unparsed_bytes = 0

    def on_headers_complete(self) -> None:
        """Validate the framing of the request and start it."""
        self._in_head = False
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._unset_keepalive_if_required()
        if not self.url.startswith((b'/', b'*')):
            # The parser wraps this in an HttpParserError.
            raise ValueError('target is not in origin form')
        if self.parser.should_upgrade() and self._has_body():
            # The parser would treat the body as data of the new protocol.
            raise ValueError('upgrade request with a body')
        super().on_headers_complete()
        if self.parser.should_upgrade():
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._unparsed_bytes = 0
        super().on_body(body)

    def _has_body(self) -> bool:
        return any(name in _FRAMING_HEADERS for name, _ in self.headers)

    def _count_head_bytes(self, parsed: bytes) -> None:
        self._head_bytes += len(parsed)
        self._unparsed_bytes = 0

    def _start_asgi_task(
        self, cycle: RequestResponseCycle, app: ASGI3Application
    ) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self.tasks.discard)
        self.tasks.add(task)
        self._request_task = task

    def _refuse(self, reason: str, status: int) -> None:
        """Refuse malformed input without corrupting an earlier answer."""
        if self._input_closed:
            return
        self._input_closed = True
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            self._write_refusal(reason, status, call_started=False)
        elif cycle.response_started and cycle.more_body:
            # Truncates the answer so that it does not look complete.
            self.transport.abort()
        elif cycle.more_body and not self.pipeline:
            cycle.disconnected = True
            self._write_refusal(reason, status, call_started=True)
        else:
            # The request before the malformed one still needs its answer.
            self.pipeline.clear()
            cycle.keep_alive = False

    def _write_refusal(
        self, reason: str, status: int, call_started: bool
    ) -> None:
        executed: Executed = 'unknown' if call_started else 'no'
        body = problem_body(Refusal(reason, executed), status)
        self.transport.write(_REFUSAL_HEAD % (status, len(body), body))
        self.transport.close()
