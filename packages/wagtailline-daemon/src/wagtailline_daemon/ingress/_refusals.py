"""Conversion of refusals to HTTP responses."""

import json
from random import Random

from wagtailline.calls import Refusal

_MILLISECONDS_PER_SECOND = 1000
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_STATUS_BY_REASON = {
    'key_missing': 401,
    'key_unknown': 401,
    'account_not_admitted': 403,
    'route_missing': 404,
    'idempotency_key_reused': 422,
    'allowance_exhausted': 429,
    'deadline': 504,
    'http_version': 505,
}
_RETRYABLE_STATUSES = frozenset((429, _UNAVAILABLE))
PROBLEM_TYPE_PREFIX = 'urn:wagtailline:refusal:'


def problem_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    default_status = _UNAVAILABLE if refusal.executed == 'no' else _BAD_GATEWAY
    return _STATUS_BY_REASON.get(refusal.reason, default_status)


def problem_body(refusal: Refusal, status: int) -> bytes:
    """Return the ``application/problem+json`` document of a refusal."""
    problem = {
        'type': PROBLEM_TYPE_PREFIX + refusal.reason,
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
    """Return the headers of a refusal with the given body."""
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', b'%d' % len(body)),
    ]
    if status in _RETRYABLE_STATUSES:
        seconds = _jitter_retry_after(retry_after_ms, random)
        headers.append((b'retry-after', b'%d' % seconds))
    if status == _BAD_REQUEST:
        # After a malformed request, the start of the next one is unknown.
        headers.append((b'connection', b'close'))
    return headers


def _jitter_retry_after(retry_after_ms: int, random: Random) -> int:
    """Return a random delay in whole seconds.

    It lies between the given time and its double, so that callers that were
    refused together do not retry together.
    """
    min_seconds = max(1, -(-retry_after_ms // _MILLISECONDS_PER_SECOND))
    return min_seconds + int(random.random() * (min_seconds + 1))
