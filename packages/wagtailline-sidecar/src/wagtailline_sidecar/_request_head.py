"""Checks of the head of a request."""

from typing import NamedTuple

from wagtailline.calls import Headers
from wagtailline_sidecar._exchange import RequestBody
from wagtailline_sidecar.http_messages import CONTENT_LENGTH, find_header
from wagtailline_sidecar.model import IngressLimits

BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
_VERSION_NOT_SUPPORTED = 505
_HOST = b'host'


class IncomingRequest(NamedTuple):
    """A request whose head was read; ``arrived_at`` is loop time."""

    method: str
    target: str
    headers: Headers
    body: RequestBody
    arrived_at: float


class RequestHead(NamedTuple):
    """What the parser found; ``size`` is in bytes without separators."""

    version: str
    target: bytes
    headers: Headers
    size: int


def check_head(head: RequestHead, limits: IngressLimits) -> int:
    """Return the status that refuses a head, or 0 for a sound one."""
    if head.size > limits.head_bytes:
        return HEAD_TOO_LARGE
    if head.version != '1.1':
        # An answer of HTTP/1.0 can't show that it was cut.
        return _VERSION_NOT_SUPPORTED
    names = [name for name, _ in head.headers]
    if names.count(_HOST) != 1 or not head.target.startswith(b'/'):
        return BAD_REQUEST
    if names.count(CONTENT_LENGTH) > 1:
        return BAD_REQUEST
    length = find_header(head.headers, CONTENT_LENGTH)
    if length and length.isdigit() and int(length) > limits.body_bytes:
        return CONTENT_TOO_LARGE
    return 0
