"""Encoding of requests to the upstream."""

from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import CallRequest

_CONTENT_LENGTH = b'content-length'
_LINE_END = b'\r\n'
_RESERVED_HEADERS = frozenset((b'connection', b'transfer-encoding', b'upgrade'))
_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
# Lines of a head that are not headers: the request line and the empty line
# at its end.
_OTHER_LINE_ENDS = 2
_REQUEST_LINE_SPACES = 2


class MalformedCall(NamedTuple):
    """Reason why the fields of a call do not encode to exactly one request."""

    problem: str


class RequestHead(NamedTuple):
    """Encoded head of a request; if ``length`` is None, its body is chunked."""

    encoded: bytes
    length: int | None


def encode_head(
    request: CallRequest, content_length: int | None
) -> Result[RequestHead, MalformedCall]:
    """Return the encoded head of a request.

    ``content_length`` is the length of the body if it is known; otherwise
    the caller's content-length header is used.
    """
    fields = [
        (b'wagtailline-timeout-ms', b'%d' % request.timeout_ms),
        (b'wagtailline-depth', b'%d' % (request.depth + 1)),
    ]
    if request.client_account:
        account = request.client_account.encode()
        fields.append((b'wagtailline-client-account', account))
    length = content_length
    for name, field in request.headers:
        if name == _CONTENT_LENGTH:
            if length is None and field.isdigit():
                length = int(field)
        elif name in _RESERVED_HEADERS:
            return Err(MalformedCall('reserved header'))
        else:
            fields.append((name, field))
    fields.extend(_framing_headers(request, length))
    return _encode(request, fields, length)


def _framing_headers(
    request: CallRequest, length: int | None
) -> list[tuple[bytes, bytes]]:
    if length is None:
        return [(b'transfer-encoding', b'chunked')]
    if length == 0 and request.method in _BODILESS_METHODS:
        return []
    return [(_CONTENT_LENGTH, b'%d' % length)]


def _encode(
    request: CallRequest,
    fields: list[tuple[bytes, bytes]],
    length: int | None,
) -> Result[RequestHead, MalformedCall]:
    request_line = f'{request.method} {request.target} HTTP/1.1'.encode(
        'latin-1'
    )
    lines = [b'%b: %b' % field for field in fields]
    encoded = _LINE_END.join((request_line, *lines, b'', b''))
    expected_line_ends = len(fields) + _OTHER_LINE_ENDS
    # Only a peer that violates the protocol sends fields that fail this check.
    # They must not be able to form another request.
    if (
        encoded.count(b'\n') != expected_line_ends
        or encoded.count(b'\r') != expected_line_ends
        or b'\0' in encoded
        or request_line.count(b' ') != _REQUEST_LINE_SPACES
    ):
        return Err(MalformedCall('control character or space'))
    return Ok(RequestHead(encoded, length))
