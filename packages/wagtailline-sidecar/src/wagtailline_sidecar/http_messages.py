"""Encoding and header rules of HTTP messages, independent of connections."""

from collections.abc import Iterable
from http import HTTPStatus

from wagtailline.calls import Headers

CONNECTION = b'connection'
CONTENT_LENGTH = b'content-length'
KEEP_ALIVE = b'keep-alive'
TRANSFER_ENCODING = b'transfer-encoding'
_LINE_END = b'\r\n'
# Hop-by-hop headers, and headers of message framing, which is chosen anew for
# each connection.
_HOP_BY_HOP = frozenset(
    (
        CONNECTION,
        CONTENT_LENGTH,
        KEEP_ALIVE,
        TRANSFER_ENCODING,
        b'expect',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'upgrade',
    )
)
_BODILESS_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is lower-case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def split_tokens(value: bytes | None) -> frozenset[bytes]:
    """Return the tokens of a comma-separated header value in lower case."""
    if not value:
        return frozenset()
    return frozenset(token.strip().lower() for token in value.split(b','))


def drop_headers(headers: Headers, names: Iterable[bytes]) -> Headers:
    """Return the headers without those with the given lower-case names."""
    dropped = frozenset(names)
    return tuple(header for header in headers if header[0] not in dropped)


def drop_hop_by_hop(
    headers: Headers, extra_names: Iterable[bytes] = ()
) -> Headers:
    """Return the end-to-end headers.

    ``extra_names`` are lower-case names of further headers to drop.
    """
    connection_options = split_tokens(find_header(headers, CONNECTION))
    return drop_headers(
        headers, _HOP_BY_HOP | connection_options | frozenset(extra_names)
    )


def has_body(method: str, status: int) -> bool:
    """Return whether a response with this request method has a body."""
    return (
        method != 'HEAD'
        and status >= _FIRST_FINAL_STATUS
        and status not in _BODILESS_STATUSES
    )


def encode_request(method: str, target: str, headers: Headers) -> bytes:
    """Return the encoded head of a request."""
    start_line = f'{method} {target} HTTP/1.1'.encode('latin-1')
    return _encode_head(start_line, headers)


def encode_response(status: int, headers: Headers) -> bytes:
    """Return the encoded head of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return _encode_head(f'HTTP/1.1 {status} {phrase}'.encode(), headers)


def make_length_headers(method: str, content: bytes) -> Headers:
    """Return the framing headers of a request body of known length."""
    if not content and method in _BODILESS_METHODS:
        return ()
    return ((CONTENT_LENGTH, b'%d' % len(content)),)


def _encode_head(start_line: bytes, headers: Headers) -> bytes:
    header_lines = [b'%b: %b' % header for header in headers]
    return _LINE_END.join((start_line, *header_lines, b'', b''))
