"""Refusals as HTTP answers."""

import json
from random import Random

from wagtailline.calls import Refusal

_MILLISECONDS = 1000
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_STATUSES = {
    'key_missing': 401,
    'key_unknown': 401,
    'account_not_admitted': 403,
    'route_missing': 404,
    'idempotency_key_reused': 422,
    'allowance_exhausted': 429,
    'deadline': 504,
    'http_version': 505,
}
_RETRIED = frozenset((429, _UNAVAILABLE))
PROBLEM_TYPE = 'urn:wagtailline:refusal:'


def problem_status(refusal: Refusal) -> int:
    """Return the status of a refusal that came from routing or a gate."""
    default = _UNAVAILABLE if refusal.executed == 'no' else _BAD_GATEWAY
    return _STATUSES.get(refusal.reason, default)


def problem_body(refusal: Refusal, status: int) -> bytes:
    """Return the problem+json document of a refusal."""
    problem = {
        'type': PROBLEM_TYPE + refusal.reason,
        'status': status,
        'reason': refusal.reason,
        'executed': refusal.executed,
    }
    if refusal.limit:
        problem['limit'] = refusal.limit
    return json.dumps(problem).encode()


def problem_headers(
    body: bytes, status: int, retry_after_ms: int, random: Random
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a refusal."""
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', b'%d' % len(body)),
    ]
    if status in _RETRIED:
        seconds = _spread(retry_after_ms, random)
        headers.append((b'retry-after', b'%d' % seconds))
    if status == _BAD_REQUEST:
        # The bytes behind a malformed request can't be trusted to be one.
        headers.append((b'connection', b'close'))
    return headers


def _spread(retry_after_ms: int, random: Random) -> int:
    """Return whole seconds above the given time, spread over its double.

    Callers that were refused together must not return together.
    """
    least = max(1, -(-retry_after_ms // _MILLISECONDS))
    return least + int(random.random() * (least + 1))
