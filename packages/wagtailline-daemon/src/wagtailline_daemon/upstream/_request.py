"""Requests as bytes for the upstream."""

from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import CallRequest

_LENGTH = b'content-length'
_LINE_END = b'\r\n'
_RESERVED = frozenset((b'connection', b'transfer-encoding', b'upgrade'))
_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
# Line ends of a head besides those of its headers: behind the request line
# and behind the last header.
_OTHER_LINE_ENDS = 2
_REQUEST_LINE_BLANKS = 2


class MalformedCall(NamedTuple):
    """A call whose fields would not make one request."""

    problem: str


class RequestHead(NamedTuple):
    """Head of a request; without a length its body is chunked."""

    encoded: bytes
    length: int | None


def encode_head(
    request: CallRequest, content_length: int | None
) -> Result[RequestHead, MalformedCall]:
    """Return the head of a request.

    ``content_length`` is the length of the body if it is known; the header
    of the caller counts otherwise.
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
        if name == _LENGTH:
            if length is None and field.isdigit():
                length = int(field)
        elif name in _RESERVED:
            return Err(MalformedCall('reserved header'))
        else:
            fields.append((name, field))
    fields.extend(_framing(request, length))
    return _join(request, fields, length)


def _framing(
    request: CallRequest, length: int | None
) -> list[tuple[bytes, bytes]]:
    if length is None:
        return [(b'transfer-encoding', b'chunked')]
    if length == 0 and request.method in _BODILESS_METHODS:
        return []
    return [(_LENGTH, b'%d' % length)]


def _join(
    request: CallRequest,
    fields: list[tuple[bytes, bytes]],
    length: int | None,
) -> Result[RequestHead, MalformedCall]:
    line = f'{request.method} {request.target} HTTP/1.1'.encode('latin-1')
    lines = [b'%b: %b' % field for field in fields]
    encoded = _LINE_END.join((line, *lines, b'', b''))
    expected = len(fields) + _OTHER_LINE_ENDS
    # Only a peer that does not follow the protocol sends such fields; they
    # must not become another request.
    if (
        encoded.count(b'\n') != expected
        or encoded.count(b'\r') != expected
        or b'\0' in encoded
        or line.count(b' ') != _REQUEST_LINE_BLANKS
    ):
        return Err(MalformedCall('control character or blank'))
    return Ok(RequestHead(encoded, length))
