"""HTTP/1.1 server protocol of the ingress.

It prevents faults of uvicorn's own protocol: unbounded heads, trailers added
to the headers, bodies skipped behind an offer to change the protocol, an error
response written into an answer, and calls that continue after their caller has
disconnected. It bounds what all connections hold together, and
lets connections that receive much take turns.
"""

import asyncio
from collections import deque
from typing import Any, cast

import httptools
from uvicorn._types import ASGI3Application
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from wagtailline.calls import Executed, Refusal
from wagtailline.client_limits import ClientLimit
from wagtailline.memory_budget import Holding
from wagtailline.request_memory import REQUEST_OVERHEAD_BYTES
from wagtailline_daemon.ingress._flow import IngressFlow
from wagtailline_daemon.ingress._head_size import HeadSize
from wagtailline_daemon.ingress._offers import (
    encode_without_offer,
    make_parser,
)
from wagtailline_daemon.ingress._refusals import problem_body
from wagtailline_daemon.ingress._resources import (
    IngressResources,
    make_unlimited_resources,
)

MAX_HEAD_BYTES = 64 * 1024
# Requests of a connection that wait behind the one in progress.
MAX_PIPELINED = 16
# Bytes that a connection parses before others are read, and between two
# checks of the limits.
MAX_READ_BYTES = 16 * 1024
_SLICE_BYTES = 2048
# Time for a client to read a refusal before its connection is closed.
LINGER_SECONDS = 1.0
_CONNECT = b'CONNECT'
_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_UNAVAILABLE = 503
_LIMITS_BY_STATUS = {
    _BAD_REQUEST: ClientLimit.MALFORMED,
    _HEAD_TOO_LARGE: ClientLimit.HEAD_SIZE,
    _UNAVAILABLE: ClientLimit.REQUEST_MEMORY,
}
_REFUSAL_HEAD = (
    b'HTTP/1.1 %d Refused\r\n'
    b'content-type: application/problem+json\r\n'
    b'content-length: %d\r\n'
    b'%b'
    b'connection: close\r\n\r\n%b'
)
_RETRY_LINE = b'retry-after: 1\r\n'


class IngressProtocol(HttpToolsProtocol):
    """Protocol class for ``uvicorn.Config(http=IngressProtocol)``."""

    def __init__(
        self,
        *args: Any,
        resources: IngressResources | None = None,
        **kwargs: Any,
    ) -> None:
        """Pass all arguments but the shared resources on to uvicorn."""
        super().__init__(*args, **kwargs)
        self._resources = resources or make_unlimited_resources()
        self._request_task: asyncio.Task[None] | None = None
        self._input_closed = False
        self._in_head = True
        self._head = HeadSize()
        self._held = bytearray()
        self._holding = Holding(self._resources.memory, self._discard_input)
        # What each request in progress or queued takes, in their order.
        self._request_bytes: deque[int] = deque()
        self._is_giving_way = False
        self._is_parsing = False
        # Head of a request that offers another protocol, without the offer.
        self._offering_head = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Apply the keep-alive timeout to the first head as well."""
        connection = cast(asyncio.Transport, transport)
        super().connection_made(connection)
        if not self._resources.connections.add(self):
            self._report(ClientLimit.CONNECTIONS)
            connection.abort()
            return
        self.flow = IngressFlow(
            connection,
            self._resources.memory,
            self._has_input,
            self._continue_soon,
            self._abort_unread,
            self.timeout_keep_alive,
        )
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call of a caller that has disconnected."""
        super().connection_lost(exc)
        self._resources.connections.discard(self)
        self._unset_keepalive_if_required()
        self.pipeline.clear()
        self._close_input()
        self._request_bytes.clear()
        self._holding.close()
        if self._request_task is not None:
            self._request_task.cancel()

    def evict(self) -> None:
        """Close the connection, without a request in progress, for another."""
        self._report(ClientLimit.CONNECTIONS)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; ignore those after an error."""
        if not self._input_closed:
            self._held += data
            self._parse_held()

    def end_wait(self) -> None:
        """Read on after others."""
        self._is_giving_way = False
        self._continue()

    def on_message_begin(self) -> None:
        """Start counting the bytes of a head."""
        if self._input_closed:
            # The parser wraps this in an HttpParserError.
            raise ConnectionAbortedError
        self._in_head = True
        self._head.begin()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._head.add_target(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; discard trailers."""
        self._head.add_header(name, value)
        if self._in_head and not self._input_closed:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Validate the framing of the request and start it."""
        self._in_head = False
        size_bytes = REQUEST_OVERHEAD_BYTES + self._head.memory_bytes
        self._head.begin()
        self._unset_keepalive_if_required()
        if not self.url.startswith((b'/', b'*')):
            # The parser wraps this in an HttpParserError.
            raise ValueError('target is not in origin form')
        if self.parser.get_method() == _CONNECT:
            raise ValueError('tunnels are not supported')
        if self.parser.should_upgrade():
            self._offering_head = self._encode_without_offer()
            return
        self._holding.resize(sum(self._request_bytes))
        if size_bytes > self._resources.memory.share_bytes:
            self._refuse('request_memory', _UNAVAILABLE)
            return
        self._request_bytes.append(size_bytes)
        self._resources.connections.note_busy(self)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._head.begin()
        if not self._input_closed:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body."""
        self._head.begin()
        if not (self._input_closed or self._offering_head):
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the next request, or wait for it."""
        if self._request_bytes:
            self._request_bytes.popleft()
        super().on_response_complete()
        self._count_held()
        if not self.pipeline:
            self._resources.connections.note_idle(self)

    @property
    def _is_full(self) -> bool:
        """Return whether what is held has to wait for earlier requests."""
        cycle = self.cycle
        if cycle is not None and len(cycle.body) > HIGH_WATER_LIMIT:
            return True
        max_queued = 0 if self._resources.memory.is_short else MAX_PIPELINED
        is_in_body = cycle is not None and cycle.more_body
        return len(self.pipeline) > max_queued and not is_in_body

    def _parse_held(self) -> None:
        """Parse what was received, up to what one turn allows."""
        if self._is_parsing or self._is_giving_way:
            return
        self._is_parsing = True
        left_bytes = MAX_READ_BYTES
        while self._held and left_bytes and not self._is_full:
            part = bytes(self._held[:_SLICE_BYTES])
            del self._held[:_SLICE_BYTES]
            left_bytes = max(left_bytes - len(part), 0)
            self._parse(part)
        self._is_parsing = False
        if self._held:
            self.flow.pause_reading()
        if not left_bytes and not self._input_closed:
            self._is_giving_way = True
            self.flow.pause_reading()
            self._resources.read_turns.add(self)
        self._count_held()

    def _parse(self, part: bytes) -> None:
        self._head.receive(len(part))
        self._feed(part)
        if self._head.size_bytes > MAX_HEAD_BYTES:
            reason = 'head_too_large' if self._in_head else 'trailers_too_large'
            self._refuse(reason, _HEAD_TOO_LARGE)
        elif self._head.memory_bytes > self._resources.memory.share_bytes:
            self._refuse('request_memory', _UNAVAILABLE)

    def _feed(self, part: bytes) -> None:
        """Feed the parser, again from a head that offers another protocol.

        The parser takes all that follows such a head for the other protocol,
        which is never used, so the head is fed once more without the offer.
        """
        is_fed = False
        while not is_fed:
            is_fed = True
            try:
                self.parser.feed_data(part)
            except httptools.HttpParserUpgrade as upgrade:
                is_fed = False
                head_end = upgrade.args[0]
                part = self._offering_head + part[head_end:]
                self._offering_head = b''
                self.parser = make_parser(self)
            except httptools.HttpParserError:
                self._refuse('malformed_request', _BAD_REQUEST)

    def _encode_without_offer(self) -> bytes:
        return encode_without_offer(
            self.parser.get_method(),
            self.url,
            self.parser.get_http_version(),
            self.headers,
        )

    def _has_input(self) -> bool:
        """Return whether received bytes wait, or the connection its turn."""
        return bool(self._held) or self._is_giving_way or self._input_closed

    def _continue_soon(self) -> None:
        """Parse what is held in the next iteration, or in its turn."""
        if self._held and not self._is_giving_way:
            self.loop.call_soon(self._continue)

    def _continue(self) -> None:
        """Parse what is held; read on if nothing is left."""
        self._parse_held()
        is_waiting = self._has_input() or self._is_full
        if not (is_waiting or self.transport.is_closing()):
            self.flow.resume_reading()

    def _count_held(self) -> None:
        """Count what this connection holds of requests."""
        body_bytes = 0 if self.cycle is None else len(self.cycle.body)
        if self.transport.is_closing():
            return
        self._holding.resize(
            sum(self._request_bytes)
            + self._head.memory_bytes
            + len(self._held)
            + body_bytes
        )

    def _close_input(self) -> None:
        """Ignore all further input, and hold nothing of an unfinished head."""
        self._input_closed = True
        self._held = bytearray()
        self._head.begin()
        has_started = self.cycle is not None and self.cycle.scope is self.scope
        if self.headers and not has_started:
            self.headers.clear()

    def _start_asgi_task(
        self, cycle: RequestResponseCycle, app: ASGI3Application
    ) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self.tasks.discard)
        self.tasks.add(task)
        self._request_task = task

    def _discard_input(self) -> None:
        """Refuse what is not complete, as the memory is short."""
        self._refuse('request_memory', _UNAVAILABLE)

    def _abort_unread(self) -> None:
        self._report(ClientLimit.UNREAD_ANSWER)
        self.transport.abort()

    def _refuse(self, reason: str, status: int) -> None:
        """Refuse malformed input without corrupting an earlier answer."""
        if self._input_closed:
            return
        self._report(_LIMITS_BY_STATUS[status])
        self._close_input()
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
        if call_started and status == _UNAVAILABLE:
            # This status would say that the request has not run.
            self.transport.abort()
            return
        body = problem_body(Refusal(reason, executed), status)
        retry_line = _RETRY_LINE if status == _UNAVAILABLE else b''
        self.transport.write(
            _REFUSAL_HEAD % (status, len(body), retry_line, body)
        )
        self._linger()

    def _linger(self) -> None:
        """Close the connection once the client has had time to read.

        Closing it at once would reset it if the client goes on sending, and
        the refusal would be lost. What it sends is not read any more.
        """
        self.flow.pause_reading()
        self.transport.write_eof()
        self.loop.call_later(LINGER_SECONDS, self.transport.close)

    def _report(self, limit: ClientLimit) -> None:
        peer = f'{self.client[0]}:{self.client[1]}' if self.client else ''
        self._resources.client_limits.record(limit, peer)
