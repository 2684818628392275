"""Parsing of the requests on a server connection, and limits of their parts."""

from collections.abc import Callable
from typing import Protocol

import httptools

from wagtailline.client_limits import ClientLimit
from wagtailline.memory_budget import Holding
from wagtailline.request_memory import RequestMemory
from wagtailline_sidecar._exchange import RequestBody
from wagtailline_sidecar._incoming_head import IncomingHead
from wagtailline_sidecar._request_head import (
    BAD_REQUEST,
    HEAD_TOO_LARGE,
    UNAVAILABLE,
    RequestHead,
    check_head,
    count_head_bytes,
    encode_without_offer,
    find_content_length,
)
from wagtailline_sidecar.model import IngressLimits

# Bytes that are parsed between two checks of the limits.
_SLICE_BYTES = 2048
_CONNECT = b'CONNECT'


class RequestHandler(Protocol):
    """Connection whose input is parsed."""

    def start_request(self, method: str, head: RequestHead) -> RequestBody:
        """Take a request with an acceptable head; return its empty body."""

    def refuse(self, status: int) -> None:
        """Refuse the request whose head is received, and all that follows."""

    def reset(self, limit: ClientLimit) -> None:
        """Reset the connection, as the body that is received is invalid."""


class RequestParser:
    """Parser of the requests of one connection.

    ``body`` is the body that is being received, ``parts`` counts headers and
    parts of bodies. What is held of unfinished heads is counted in a memory.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], IngressLimits],
        memory: RequestMemory,
        discard: Callable[[], None],
    ) -> None:
        """Set up a parser that passes requests on to ``handler``.

        ``discard`` is called when the memory is too short for the unfinished
        input.
        """
        self.head = IncomingHead()
        self.body: RequestBody | None = None
        self.parts = 0
        self._handler = handler
        self._limits = limits
        self._memory = memory
        self._holding = Holding(memory, discard)
        self._held = bytearray()
        self._parser = httptools.HttpRequestParser(self)
        # Head of a request that offers another protocol, without the offer.
        self._offering_head = b''
        self._body_bytes = 0
        self._bytes_without_progress = 0
        self._accepts_requests = True
        self._is_stopped = False

    @property
    def is_reading(self) -> bool:
        """Return whether a part of a request has been received."""
        is_partly_parsed = self.head.is_open or self.body is not None
        return is_partly_parsed or bool(self._held)

    @property
    def is_stopped(self) -> bool:
        """Return whether all further input is ignored."""
        return self._is_stopped

    @property
    def held_bytes(self) -> int:
        """Return the bytes that wait to be parsed."""
        return len(self._held)

    def find_slice_bytes(self) -> int:
        """Return how many bytes to parse before the limits are checked.

        All that is left of a body of known length is parsed at once.
        """
        if self.body is None:
            return _SLICE_BYTES
        left_bytes = self._body_bytes - self.body.received_bytes
        return max(left_bytes, _SLICE_BYTES)

    def parse(self, content: bytes) -> None:
        """Parse a part of the input and check the limits."""
        self.head.begin_input()
        self._bytes_without_progress += len(content)
        self._feed(content)
        self._settle_body()
        if self.body is None and not self._is_stopped:
            self.head.end_input(len(content))
            self._check_incomplete_head()

    def hold(self, content: bytes) -> None:
        """Keep bytes that can't be parsed yet."""
        self._held += content
        self._count_held()

    def take_held(self) -> bytes:
        """Return the bytes that were kept."""
        held, self._held = bytes(self._held), bytearray()
        self._count_held()
        return held

    def reject_requests(self) -> None:
        """Ignore the input from the next request on."""
        self._accepts_requests = False

    def stop(self) -> None:
        """Ignore all further input, and hold nothing of unfinished heads."""
        self._is_stopped = True
        self._held = bytearray()
        self.head.discard()
        self._holding.close()

    def on_message_begin(self) -> None:
        """Start a request head, unless no more requests are taken."""
        if self._is_stopped or not self._accepts_requests:
            # The parser reports this exception as a parser error.
            raise ConnectionAbortedError
        self.head.begin()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.head.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; ignore trailers, which follow the body."""
        self.parts += 1
        if self.body is None:
            self.head.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on a request, or refuse it if its head is not acceptable."""
        head = self.head.complete(self._parser.get_http_version())
        self._count_held()
        method = self._parser.get_method()
        status = check_head(head, self._limits())
        if method == _CONNECT:
            status = BAD_REQUEST
        if not status and count_head_bytes(head) > self._memory.share_bytes:
            status = UNAVAILABLE
        if status:
            self._handler.refuse(status)
        elif self._parser.should_upgrade():
            self._offering_head = encode_without_offer(method, head)
        else:
            self._start(method, head)

    def on_body(self, content: bytes) -> None:
        """Pass on a part of the body."""
        self.parts += 1
        self._bytes_without_progress = 0
        if self.body is not None:
            self.body.feed(content)

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        if self._offering_head:
            return
        self._settle_body()
        self.head.end_message()
        if self.body is not None:
            self.body.finish()
        self.body = None

    def _start(self, method: bytes, head: RequestHead) -> None:
        self._body_bytes = find_content_length(head)
        self._bytes_without_progress = 0
        self.body = self._handler.start_request(method.decode('latin-1'), head)

    def _feed(self, content: bytes) -> None:
        """Feed the parser, again from a head that offers another protocol.

        The parser takes all that follows such a head for the other protocol,
        which is never used, so the head is fed once more without the offer.
        """
        is_fed = False
        while not is_fed:
            is_fed = True
            try:
                self._parser.feed_data(content)
            except httptools.HttpParserUpgrade as upgrade:
                head_end = upgrade.args[0]
                content = self._offering_head + content[head_end:]
                is_fed = not self._offering_head
                self._offering_head = b''
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError:
                self._fail()

    def _fail(self) -> None:
        if self._accepts_requests:
            self._handler.refuse(BAD_REQUEST)
        else:
            # Input after the last accepted request is discarded.
            self.stop()

    def _settle_body(self) -> None:
        """Count what has arrived; end a body or trailers that are too large.

        Bytes without progress are those of trailers and of the extension of a
        chunk, of which the parser may hold some.
        """
        if self.body is None:
            return
        self.body.settle()
        limits = self._limits()
        if self.body.received_bytes > limits.body_bytes:
            self._handler.reset(ClientLimit.BODY_SIZE)
        elif self._bytes_without_progress > limits.head_bytes:
            self._handler.reset(ClientLimit.TRAILER_SIZE)

    def _check_incomplete_head(self) -> None:
        """Refuse a head that is too large before its end."""
        if self.head.size_bytes > self._limits().head_bytes:
            self._handler.refuse(HEAD_TOO_LARGE)
        elif self.head.memory_bytes > self._memory.share_bytes:
            self._handler.refuse(UNAVAILABLE)
        else:
            self._count_held()

    def _count_held(self) -> None:
        if not self._is_stopped:
            self._holding.resize(self.head.memory_bytes + len(self._held))
