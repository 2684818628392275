"""Refusals as HTTP answers."""

from random import Random
from typing import NamedTuple

import msgspec

from wagtailline.calls import Headers, Refusal

PROBLEM_TYPE = 'urn:wagtailline:refusal:'
NO_RETRY = frozenset((400, 401, 404, 413))
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_STATUSES = {
    'key_missing': 401,
    'key_unknown': 401,
    'route_missing': 404,
    'malformed_headers': 400,
    'quota_exhausted': 429,
}
# A refused client comes back no sooner than this, in seconds: an overload
# lasts longer than the queue that is seen at one moment.
LEAST_RETRY_SECONDS = 0.25
# Clients that were refused together come back spread over this part.
_SPREAD = 1.0
_MILLISECONDS = 1000


class Problem(NamedTuple):
    """An answer that the daemon makes itself."""

    status: int
    headers: Headers
    content: bytes


def refusal_status(refusal: Refusal) -> int:
    """Return the status; 429 and 503 promise that nothing ran."""
    if refusal.executed == 'no':
        return _STATUSES.get(refusal.reason, _UNAVAILABLE)
    if refusal.reason == 'deadline':
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def make_problem(
    refusal: Refusal, retry_after: bytes, random: Random
) -> Problem:
    """Return the answer for a refusal.

    ``retry_after`` is the name of the header that tells when to return.
    """
    status = refusal_status(refusal)
    content = msgspec.json.encode(
        {
            'type': PROBLEM_TYPE + refusal.reason,
            'status': status,
            'reason': refusal.reason,
            'executed': refusal.executed,
        }
    )
    headers = [(b'content-type', b'application/problem+json')]
    if refusal.executed == 'no' and status not in NO_RETRY:
        seconds = _spread(refusal.retry_after_ms / _MILLISECONDS, random)
        headers.append((retry_after, b'%.3f' % seconds))
    return Problem(status, tuple(headers), content)


def _spread(seconds: float, random: Random) -> float:
    least = max(seconds, LEAST_RETRY_SECONDS)
    return least * (1 + _SPREAD * random.random())
