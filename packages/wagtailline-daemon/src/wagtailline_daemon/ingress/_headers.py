"""Validation and forwarding of HTTP headers at the ingress."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import Headers

MAX_IDEMPOTENCY_KEY_BYTES = 255
MAX_TIMEOUT_MS = 600_000
MAX_DEPTH = 32
RESERVED_PREFIX = b'wagtailline-'
_KEY_DIGEST_BYTES = 32
# Bounds the memory for arbitrary header names that callers send.
_MAX_CACHED_NAMES = 1024
_AUTHORIZATION = b'authorization'
_TRANSFER_ENCODING = b'transfer-encoding'
_CONNECTION = b'connection'
_DEPTH = b'wagtailline-depth'
_HOST = b'host'
_IDEMPOTENCY_KEY = b'idempotency-key'
_CONTENT_LENGTH = b'content-length'
_TIMEOUT_MS = b'wagtailline-timeout-ms'
_TRACEPARENT = b'traceparent'
_CREDENTIALS = frozenset((_AUTHORIZATION, b'proxy-authorization'))
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        _TRANSFER_ENCODING,
        b'expect',
        b'http2-settings',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'upgrade',
    )
)
# A caller must not have these removed by naming them in Connection.
_END_TO_END = frozenset(
    (_AUTHORIZATION, _CONTENT_LENGTH, _HOST, _IDEMPOTENCY_KEY)
)
_SINGLETON_HEADERS = frozenset(
    (*_END_TO_END, _TRANSFER_ENCODING, _DEPTH, _TIMEOUT_MS)
)


class MalformedHeaders(NamedTuple):
    """Reason why the headers of a request are refused."""

    reason: str


class RequestHeaders(NamedTuple):
    """Parsed headers of a request, and the headers to forward."""

    forwarded: Headers
    api_key: bytes
    idempotency_key: str
    trace: str
    timeout_ms: int
    depth: int
    has_body: bool


class _HeaderRules(NamedTuple):
    """Treatment of the headers with one name.

    ``is_forwarded`` applies to requests, ``is_returned`` to answers.
    """

    is_singleton: bool
    is_forwarded: bool
    is_returned: bool


@lru_cache(_MAX_CACHED_NAMES)
def _find_rules(name: bytes) -> _HeaderRules:
    name = name.lower()
    is_reserved = name in _HOP_BY_HOP or name.startswith(RESERVED_PREFIX)
    # Servers that map headers to CGI variables treat an underscore as a
    # hyphen, so such a name could stand for a reserved or framing header.
    is_dropped = is_reserved or name in _CREDENTIALS or b'_' in name
    return _HeaderRules(
        name in _SINGLETON_HEADERS, not is_dropped, not is_reserved
    )


def read_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[RequestHeaders, MalformedHeaders]:
    """Validate and parse headers whose names are in lower case."""
    singletons: dict[bytes, bytes] = {}
    connection_options: set[bytes] = set()
    forwarded: list[tuple[bytes, bytes]] = []
    for header in headers:
        name, value = header
        if not value.isascii() and not _is_utf8(value):
            return Err(MalformedHeaders('header_not_utf8'))
        rules = _find_rules(name)
        if rules.is_singleton:
            if name in singletons:
                return Err(MalformedHeaders('header_repeated'))
            singletons[name] = value
        if rules.is_forwarded:
            forwarded.append(header)
        elif name == _CONNECTION:
            connection_options.update(_split_tokens(value))
    problem = _find_problem(singletons, connection_options)
    if problem:
        return Err(MalformedHeaders(problem))
    return _parse(singletons, forwarded, connection_options)


def digest_key(key: bytes) -> str:
    """Return the digest under which an API key is published."""
    return blake2b(key, digest_size=_KEY_DIGEST_BYTES).hexdigest()


def filter_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an answer without those of a single hop."""
    kept = tuple(
        header for header in headers if _find_rules(header[0]).is_returned
    )
    if len(kept) == len(headers):
        return kept
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == _CONNECTION:
            connection_options.update(_split_tokens(value))
    return tuple(
        header for header in kept if header[0].lower() not in connection_options
    )


def _is_utf8(value: bytes) -> bool:
    # Servers disagree on the meaning of bytes that are not UTF-8.
    try:
        value.decode()
    except UnicodeDecodeError:
        return False
    return True


def _split_tokens(value: bytes) -> list[bytes]:
    return [token.strip().lower() for token in value.split(b',')]


def _find_problem(
    singletons: dict[bytes, bytes], connection_options: set[bytes]
) -> str:
    transfer_encoding = singletons.get(_TRANSFER_ENCODING)
    if _HOST not in singletons:
        return 'host_missing'
    if (
        transfer_encoding is not None
        and transfer_encoding.lower() != b'chunked'
    ):
        return 'transfer_encoding_unknown'
    if transfer_encoding is not None and _CONTENT_LENGTH in singletons:
        return 'length_and_chunked'
    if not connection_options.isdisjoint(_END_TO_END):
        return 'connection_lists_end_to_end_header'
    if len(singletons.get(_IDEMPOTENCY_KEY, b'')) > MAX_IDEMPOTENCY_KEY_BYTES:
        return 'idempotency_key_too_long'
    return ''


def _parse(
    singletons: dict[bytes, bytes],
    forwarded: list[tuple[bytes, bytes]],
    connection_options: set[bytes],
) -> Result[RequestHeaders, MalformedHeaders]:
    timeout_ms = _parse_number(singletons.get(_TIMEOUT_MS), MAX_TIMEOUT_MS)
    depth = _parse_number(singletons.get(_DEPTH, b'0'), MAX_DEPTH)
    if timeout_ms is None or depth is None:
        return Err(MalformedHeaders('header_out_of_range'))
    api_key = _parse_bearer_token(singletons.get(_AUTHORIZATION, b''))
    kept = tuple(
        [
            header
            for header in forwarded
            if not (api_key and api_key in header[1])
            and header[0] not in connection_options
        ]
    )
    return Ok(
        RequestHeaders(
            kept,
            api_key,
            singletons.get(_IDEMPOTENCY_KEY, b'').decode('latin-1'),
            _find_value(kept, _TRACEPARENT),
            timeout_ms,
            depth,
            _has_body(singletons),
        )
    )


def _find_value(headers: Headers, name: bytes) -> str:
    for header_name, value in headers:
        if header_name == name:
            return value.decode('latin-1')
    return ''


def _has_body(singletons: dict[bytes, bytes]) -> bool:
    return (
        _TRANSFER_ENCODING in singletons
        or singletons.get(_CONTENT_LENGTH, b'0').strip(b'0') != b''
    )


def _parse_bearer_token(value: bytes) -> bytes:
    scheme, _, token = value.partition(b' ')
    return token.strip() if scheme.lower() == b'bearer' else b''


def _parse_number(value: bytes | None, maximum: int) -> int | None:
    """Return a decimal number; without a value, return the maximum.

    Return None if the value is malformed or above the maximum.
    """
    if value is None:
        return maximum
    if not value.isdigit() or len(value) > len(str(maximum)):
        return None
    number = int(value)
    return number if number <= maximum else None
