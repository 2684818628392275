"""Heads and bodies of HTTP messages, apart from any connection."""

from collections.abc import Iterable
from http import HTTPStatus

from wagtailline.calls import Headers

CONNECTION = b'connection'
CONTENT_LENGTH = b'content-length'
KEEP_ALIVE = b'keep-alive'
TRANSFER_ENCODING = b'transfer-encoding'
_LINE_END = b'\r\n'
# Headers that concern only one connection, and framing, which each
# connection decides for itself.
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
    """Return the first value of a header with a lower-case name."""
    for found, field in headers:
        if found == name:
            return field
    return None


def split_tokens(field: bytes | None) -> frozenset[bytes]:
    """Return the lower-case tokens of a comma-separated header."""
    if not field:
        return frozenset()
    return frozenset(token.strip().lower() for token in field.split(b','))


def drop_hop_by_hop(headers: Headers, further: Iterable[bytes] = ()) -> Headers:
    """Return the headers that concern both ends.

    ``further`` are lower-case names to drop as well.
    """
    listed = split_tokens(find_header(headers, CONNECTION))
    dropped = _HOP_BY_HOP | listed | frozenset(further)
    return tuple(one for one in headers if one[0] not in dropped)


def has_body(method: str, status: int) -> bool:
    """Tell whether an answer of this status has a body."""
    return (
        method != 'HEAD'
        and status >= _FIRST_FINAL_STATUS
        and status not in _BODILESS_STATUSES
    )


def encode_request(method: str, target: str, headers: Headers) -> bytes:
    """Return the head of a request."""
    line = f'{method} {target} HTTP/1.1'.encode('latin-1')
    return _encode(line, headers)


def encode_response(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return _encode(f'HTTP/1.1 {status} {phrase}'.encode(), headers)


def frame_by_length(method: str, content: bytes) -> Headers:
    """Return the framing of a request body that is wholly known."""
    if not content and method in _BODILESS_METHODS:
        return ()
    return ((CONTENT_LENGTH, b'%d' % len(content)),)


def _encode(line: bytes, headers: Headers) -> bytes:
    lines = [b'%b: %b' % header for header in headers]
    return _LINE_END.join((line, *lines, b'', b''))
