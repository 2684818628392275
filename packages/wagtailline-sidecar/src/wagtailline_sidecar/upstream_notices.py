"""What an upstream says of its own state in the headers of its responses."""

import math
from typing import NamedTuple

from wagtailline.calls import Headers
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import find_header

_LEAVING = b'1'


class RateLimitNamed(NamedTuple):
    """The upstream takes ``rate`` requests per second from all daemons."""

    rate: float


class RateLimitAbsent(NamedTuple):
    """The upstream names no limit; one that it named before has ended."""


class RateLimitUnreadable(NamedTuple):
    """The upstream names a limit that is not a decimal number."""

    field: str


RateLimitField = RateLimitNamed | RateLimitAbsent | RateLimitUnreadable


class UpstreamNotice(NamedTuple):
    """What one response says of the upstream with the identity ``instance``.

    A leaving upstream soon takes no more requests.
    """

    instance: str
    limit: RateLimitField
    is_leaving: bool


def read_notice(
    headers: Headers, names: HeaderNames, instance: str
) -> UpstreamNotice:
    """Return what the headers of a response of ``instance`` say of it."""
    return UpstreamNotice(
        instance,
        parse_rate_limit(find_header(headers, names.rate_limit)),
        find_header(headers, names.leaving) == _LEAVING,
    )


def parse_rate_limit(field: bytes | None) -> RateLimitField:
    """Return the limit in a header field; None stands for a missing field."""
    if field is None:
        return RateLimitAbsent()
    try:
        rate = float(field)
    except ValueError:
        return _unreadable(field)
    if not math.isfinite(rate) or rate < 0:
        return _unreadable(field)
    return RateLimitNamed(rate)


def _unreadable(field: bytes) -> RateLimitUnreadable:
    return RateLimitUnreadable(field.decode('latin-1'))
