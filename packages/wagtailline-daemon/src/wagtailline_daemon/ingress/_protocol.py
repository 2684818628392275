"""HTTP/1.1 server protocol of the ingress.

It closes what uvicorn's own protocol leaves open: unbounded heads, trailers
among the headers, bytes behind an upgrade request, an error message written
into an answer, and calls that run on after their caller has left.
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
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))
_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_HEAD = (
    b'HTTP/1.1 %d Refused\r\n'
    b'content-type: application/problem+json\r\n'
    b'content-length: %d\r\n'
    b'connection: close\r\n\r\n%b'
)


class IngressProtocol(HttpToolsProtocol):
    """Protocol class for ``uvicorn.Config(http=IngressProtocol)``."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Take uvicorn's arguments."""
        super().__init__(*args, **kwargs)
        self._running: asyncio.Task[None] | None = None
        self._stopped = False
        self._in_head = True
        self._head_bytes = 0
        self._unparsed_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes; those behind an upgrade or an error are ignored."""
        if self._stopped:
            return
        self._unparsed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._stopped = True
        except httptools.HttpParserError:
            self._refuse('malformed_request', _BAD_REQUEST)
        if max(self._unparsed_bytes, self._head_bytes) > MAX_HEAD_BYTES:
            self._refuse('head_too_large', _HEAD_TOO_LARGE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Give the caller as long for its first head as between calls."""
        super().connection_made(cast(asyncio.Transport, transport))
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call whose caller has left."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self.pipeline.clear()
        if self._running is not None:
            self._running.cancel()

    def on_message_begin(self) -> None:
        """Begin a head."""
        self._in_head = True
        self._head_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._note(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; those behind the body are no headers."""
        if self._in_head:
            self._note(name + value)
            super().on_header(name, value)
        else:
            self._unparsed_bytes = 0

    def on_headers_complete(self) -> None:
        """Start the request."""
        self._in_head = False
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._unset_keepalive_if_required()
        if not self.url.startswith((b'/', b'*')):
            # The parser wraps this into a HttpParserError.
            raise ValueError('target is not in origin form')
        if self.parser.should_upgrade() and self._has_body():
            # The parser takes the body for bytes of the other protocol.
            raise ValueError('upgrade request with a body')
        super().on_headers_complete()
        if self.parser.should_upgrade():
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._unparsed_bytes = 0
        super().on_body(body)

    def _has_body(self) -> bool:
        return any(name in _FRAMING for name, _ in self.headers)

    def _note(self, parsed: bytes) -> None:
        self._head_bytes += len(parsed)
        self._unparsed_bytes = 0

    def _start_asgi_task(
        self, cycle: RequestResponseCycle, app: ASGI3Application
    ) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self.tasks.discard)
        self.tasks.add(task)
        self._running = task

    def _refuse(self, reason: str, status: int) -> None:
        """Answer bytes that are no request, where an answer is due."""
        if self._stopped:
            return
        self._stopped = True
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            self._write_refusal(reason, status, started=False)
        elif cycle.response_started and cycle.more_body:
            # The answer is cut so that it does not look whole.
            self.transport.abort()
        elif cycle.more_body and not self.pipeline:
            cycle.disconnected = True
            self._write_refusal(reason, status, started=True)
        else:
            # The answer to the request before the malformed one is due.
            self.pipeline.clear()
            cycle.keep_alive = False

    def _write_refusal(self, reason: str, status: int, started: bool) -> None:
        executed: Executed = 'unknown' if started else 'no'
        body = problem_body(Refusal(reason, executed), status)
        self.transport.write(_HEAD % (status, len(body), body))
        self.transport.close()
