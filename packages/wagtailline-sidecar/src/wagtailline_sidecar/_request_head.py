"""Validation of request heads."""

from typing import NamedTuple

from wagtailline.calls import Headers
from wagtailline.request_memory import (
    REQUEST_OVERHEAD_BYTES,
    count_header_bytes,
)
from wagtailline_sidecar._exchange import RequestBody
from wagtailline_sidecar.http_messages import CONTENT_LENGTH, find_header
from wagtailline_sidecar.model import IngressLimits

BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
UNAVAILABLE = 503
_UPGRADE = b'upgrade'
_VERSION_NOT_SUPPORTED = 505
_HOST = b'host'


class IncomingRequest(NamedTuple):
    """Request whose head is complete and whose body may still arrive.

    ``arrived_at`` is the time of the event loop, in seconds.
    """

    method: str
    target: str
    headers: Headers
    body: RequestBody
    arrived_at: float


class RequestHead(NamedTuple):
    """Request head as parsed, with its size on the connection."""

    version: str
    target: bytes
    headers: Headers
    size_bytes: int


def check_head(head: RequestHead, limits: IngressLimits) -> int:
    """Return the error status for a head, or 0 if it is acceptable."""
    if head.size_bytes > limits.head_bytes:
        return HEAD_TOO_LARGE
    if head.version != '1.1':
        # HTTP/1.0 has no chunked encoding, so a client couldn't detect a
        # truncated response of unknown length.
        return _VERSION_NOT_SUPPORTED
    names = [name for name, _ in head.headers]
    if names.count(_HOST) != 1 or not head.target.startswith(b'/'):
        return BAD_REQUEST
    if names.count(CONTENT_LENGTH) > 1:
        return BAD_REQUEST
    if find_content_length(head) > limits.body_bytes:
        return CONTENT_TOO_LARGE
    return 0


def encode_without_offer(method: bytes, head: RequestHead) -> bytes:
    """Return a request head without the offer to change the protocol."""
    lines = [b'%b %b HTTP/%b' % (method, head.target, head.version.encode())]
    lines.extend(
        b'%b: %b' % header for header in head.headers if header[0] != _UPGRADE
    )
    return b'\r\n'.join((*lines, b'', b''))


def find_content_length(head: RequestHead) -> int:
    """Return the length of the body in bytes, or 0 if none is named."""
    length = find_header(head.headers, CONTENT_LENGTH) or b''
    return int(length) if length.isdigit() else 0


def count_head_bytes(head: RequestHead) -> int:
    """Return what a request takes in memory besides its body."""
    return (
        REQUEST_OVERHEAD_BYTES
        + len(head.target)
        + count_header_bytes(head.headers)
    )
