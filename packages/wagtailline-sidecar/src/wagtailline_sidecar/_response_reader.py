"""Parsing of the responses on a client connection, and whose they are."""

from collections import deque
from collections.abc import Callable

import httptools

from wagtailline.calls import Headers
from wagtailline_sidecar._client_types import ClientRequest
from wagtailline_sidecar._embedded_heads import (
    HeadSearch,
    contains_status_line,
)
from wagtailline_sidecar._response_limits import ResponseLimits
from wagtailline_sidecar.answer_events import (
    AnswerRejected,
    RejectionObserver,
    RejectionReason,
)
from wagtailline_sidecar.http_messages import (
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    TRANSFER_ENCODING,
    find_header,
    has_body,
    split_tokens,
)

_CLOSE = b'close'
_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
# Latest requests of a connection whose copies are expected.
_REMEMBERED_REQUESTS = 64


class ResponseRejected(Exception):
    """The received bytes can't be the response to the waiting request."""


class ResponseReader:
    """Reader of one response at a time, which skips those to other requests.

    ``is_failed`` is set once the bytes that follow have no meaning, and
    ``must_close`` if the connection is not fit for another request.
    """

    def __init__(
        self, take_body: Callable[[bytes], None], observe: RejectionObserver
    ) -> None:
        """Create a reader that passes on each part of an expected body.

        ``observe`` is called with each event about bytes that are rejected.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._take_body = take_body
        self._observe = observe
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_skipping = False
        self._limits = ResponseLimits()
        self._rejection_reason = RejectionReason.MALFORMED
        self._sent_ids: deque[bytes] = deque(maxlen=_REMEMBERED_REQUESTS)
        self._search: HeadSearch | None = None
        self._unsearched: list[bytes] = []
        self._phrase = b''
        self.request: ClientRequest | None = None
        self.exchanges = 0
        self.status = 0
        self.headers: Headers = ()
        self.is_head_complete = False
        self.is_complete = False
        self.is_failed = False
        self.must_close = False
        self.keep_alive_timeout_seconds: float | None = None

    @property
    def has_framing(self) -> bool:
        """Return whether the end of the body doesn't need the connection's."""
        return _has_framing(self.headers)

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether one of the latest requests had this id."""
        return request_id in self._sent_ids

    def start(self, request: ClientRequest) -> None:
        """Expect the response to a request."""
        self.request = request
        self.exchanges += 1
        self.is_head_complete = False
        self.is_complete = False
        self._is_skipping = False
        self._limits = ResponseLimits()
        self._search = None
        self._unsearched = []
        if request.echo_header is not None:
            name, sent_value = request.echo_header
            self._sent_ids.append(sent_value)
            self._search = HeadSearch(name, self._sent_ids)

    def end(self) -> None:
        """Expect nothing until the next request."""
        self.request = None

    def cut(self) -> None:
        """Fail the response, which must not look complete."""
        self.is_complete = False
        self.is_failed = True

    def feed(self, content: bytes) -> None:
        """Parse received bytes."""
        if self.request is None:
            self._fail(RejectionReason.UNEXPECTED)
            return
        try:
            self._parser.feed_data(content)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail_parsing()
        if self.is_failed and not self.is_complete:
            return
        if self._limits.is_exceeded(
            len(content), is_head_complete=self.is_head_complete
        ):
            self._fail(RejectionReason.MALFORMED)
        elif self._has_embedded_head(content):
            self.is_complete = False
            self._fail(RejectionReason.SWALLOWED)

    def on_message_begin(self) -> None:
        """Use the connection no more if bytes follow a whole response.

        Their rest would be joined to the next response.
        """
        if self.is_complete:
            self.must_close = True
            self._report(RejectionReason.SURPLUS)

    def on_status(self, phrase: bytes) -> None:
        """Collect the phrase, which may come in parts."""
        self._phrase += phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; ignore trailers, which follow the body."""
        self._reject_torn(value)
        if not self.is_head_complete:
            self._limits.record_header(name, value)
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Accept a response head; skip a response to another request."""
        self._limits.record_progress()
        phrase, self._phrase = self._phrase, b''
        self._reject_torn(phrase)
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        if status not in _STATUSES or status == _SWITCHING_PROTOCOLS:
            raise self._reject(RejectionReason.MALFORMED)
        if self.is_complete or self.request is None:
            raise self._reject(RejectionReason.SURPLUS)
        self._is_skipping = status < _FIRST_FINAL_STATUS
        if self._is_skipping:
            self._reject_final(headers)
            return
        if self._is_foreign(headers):
            self._skip_foreign(
                has_end=_has_framing(headers) or not has_body('GET', status)
            )
            return
        self.status = status
        self.headers = headers
        self.is_head_complete = True
        self._read_connection_options(headers)

    def on_body(self, content: bytes) -> None:
        """Pass on a part of the body unless it is skipped."""
        self._limits.record_progress()
        if self.is_complete:
            return
        if self._search is not None:
            self._unsearched.append(content)
        if not self._is_skipping:
            self._take_body(content)

    def on_message_complete(self) -> None:
        """Mark the response as complete unless it is skipped."""
        if self._is_skipping:
            self._is_skipping = False
            return
        self.is_complete = True

    def _reject_torn(self, field: bytes) -> None:
        """Reject a field that a status line continues.

        The head has broken off there, and that of another response follows.
        """
        if contains_status_line(field):
            raise self._reject(RejectionReason.TORN)

    def _reject_final(self, headers: Headers) -> None:
        """Reject an interim response that looks like the final one.

        None that is final follows it, so the request would wait in vain.
        """
        echo_header = self.request.echo_header if self.request else None
        names_request = (
            echo_header is not None
            and find_header(headers, echo_header[0]) is not None
        )
        if names_request or _has_framing(headers):
            raise self._reject(RejectionReason.MALFORMED)

    def _skip_foreign(self, *, has_end: bool) -> None:
        self._is_skipping = True
        self.must_close = True
        if not has_end:
            # It ends with the connection, so no other response can follow.
            raise self._reject(RejectionReason.UNFRAMED)
        self._report(RejectionReason.OTHER_REQUEST)

    def _has_embedded_head(self, received: bytes) -> bool:
        """Return whether the parts of a body that arrived contain a response.

        What the body is then is unknown: its own end is missing, and it has
        taken bytes of other responses.
        """
        if self._search is None or not self._unsearched:
            return False
        content = b''.join(self._unsearched)
        self._unsearched = []
        if self._search.find(content):
            return True
        _, _, surplus = received.partition(content)
        return self.is_complete and self._search.crosses(surplus)

    def _read_connection_options(self, headers: Headers) -> None:
        is_closing = _CLOSE in split_tokens(find_header(headers, CONNECTION))
        if is_closing:
            self.must_close = True
        for token in split_tokens(find_header(headers, KEEP_ALIVE)):
            name, _, seconds = token.partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.keep_alive_timeout_seconds = float(seconds)

    def _is_foreign(self, headers: Headers) -> bool:
        """Return whether a response names another request.

        A response without a name may belong to any request that the connection
        has carried, so only the first one is accepted.
        """
        request = self.request
        if request is None or request.echo_header is None:
            return False
        name, sent_value = request.echo_header
        echoed_values = {
            value for header_name, value in headers if header_name == name
        }
        if not echoed_values:
            # A copy of it can't be told from the response to a later request.
            self.must_close = True
            if self.exchanges > 1:
                raise self._reject(RejectionReason.UNNAMED)
            return False
        if len(echoed_values) > 1:
            raise self._reject(RejectionReason.MALFORMED)
        return sent_value not in echoed_values

    def _reject(self, reason: RejectionReason) -> ResponseRejected:
        """Return an error to raise, which fails the reader for a reason."""
        self._rejection_reason = reason
        return ResponseRejected(reason)

    def _fail_parsing(self) -> None:
        """Fail; what follows a whole response has been reported."""
        self.is_failed = True
        if not self.is_complete:
            self._report(self._rejection_reason)

    def _fail(self, reason: RejectionReason) -> None:
        self.is_failed = True
        self._report(reason)

    def _report(self, reason: RejectionReason) -> None:
        request = self.request
        request_id = b''
        if request is not None and request.echo_header is not None:
            request_id = request.echo_header[1]
        self._observe(
            AnswerRejected(reason, request_id.decode('latin-1'), self.exchanges)
        )


def _has_framing(headers: Headers) -> bool:
    names = {name for name, _ in headers}
    return CONTENT_LENGTH in names or TRANSFER_ENCODING in names
