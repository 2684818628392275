"""Headers of a request as the ingress takes and passes them on."""

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
# Bounds the memory for names that callers make up.
_KNOWN_NAMES = 1024
_AUTHORIZATION = b'authorization'
_CODING = b'transfer-encoding'
_CONNECTION = b'connection'
_DEPTH = b'wagtailline-depth'
_HOST = b'host'
_IDEMPOTENCY_KEY = b'idempotency-key'
_LENGTH = b'content-length'
_TIMEOUT = b'wagtailline-timeout-ms'
_TRACE = b'traceparent'
_CREDENTIALS = frozenset((_AUTHORIZATION, b'proxy-authorization'))
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        _CODING,
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
# A caller must not use Connection to remove these on the way.
_END_TO_END = frozenset((_AUTHORIZATION, _LENGTH, _HOST, _IDEMPOTENCY_KEY))
_SINGLE = frozenset((*_END_TO_END, _CODING, _DEPTH, _TIMEOUT))


class MalformedHeaders(NamedTuple):
    """Headers that the ingress does not pass on."""

    reason: str


class RequestHeaders(NamedTuple):
    """What the ingress reads from headers, and what it passes on."""

    passed: Headers
    key: bytes
    idempotency_key: str
    trace: str
    timeout_ms: int
    depth: int
    has_body: bool


class _Use(NamedTuple):
    """What the ingress does with the headers of a name."""

    is_single: bool
    is_passed: bool
    is_answered: bool


@lru_cache(_KNOWN_NAMES)
def _use_of(name: bytes) -> _Use:
    name = name.lower()
    is_reserved = name in _HOP_BY_HOP or name.startswith(RESERVED_PREFIX)
    # Servers with CGI variables read an underscore as a hyphen, so such a
    # name could stand for a reserved or framing header.
    is_dropped = is_reserved or name in _CREDENTIALS or b'_' in name
    return _Use(name in _SINGLE, not is_dropped, not is_reserved)


def read_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[RequestHeaders, MalformedHeaders]:
    """Check headers with lower-case names and take them apart."""
    singles: dict[bytes, bytes] = {}
    listed: set[bytes] = set()
    passed: list[tuple[bytes, bytes]] = []
    for header in headers:
        name, field = header
        if not field.isascii() and not _is_utf8(field):
            return Err(MalformedHeaders('header_not_utf8'))
        use = _use_of(name)
        if use.is_single:
            if name in singles:
                return Err(MalformedHeaders('header_repeated'))
            singles[name] = field
        if use.is_passed:
            passed.append(header)
        elif name == _CONNECTION:
            listed.update(_split_list(field))
    problem = _check(singles, listed)
    if problem:
        return Err(MalformedHeaders(problem))
    return _read(singles, passed, listed)


def digest_key(key: bytes) -> str:
    """Return the digest by which a key is published."""
    return blake2b(key, digest_size=_KEY_DIGEST_BYTES).hexdigest()


def pass_answer_headers(headers: Headers) -> Headers:
    """Drop what holds only between the upstream and its gate."""
    kept = tuple(one for one in headers if _use_of(one[0]).is_answered)
    if len(kept) == len(headers):
        return kept
    listed: set[bytes] = set()
    for name, field in headers:
        if name.lower() == _CONNECTION:
            listed.update(_split_list(field))
    return tuple(one for one in kept if one[0].lower() not in listed)


def _is_utf8(field: bytes) -> bool:
    # Other bytes have no meaning that all servers agree on.
    try:
        field.decode()
    except UnicodeDecodeError:
        return False
    return True


def _split_list(field: bytes) -> list[bytes]:
    return [token.strip().lower() for token in field.split(b',')]


def _check(singles: dict[bytes, bytes], listed: set[bytes]) -> str:
    coding = singles.get(_CODING)
    if _HOST not in singles:
        return 'host_missing'
    if coding is not None and coding.lower() != b'chunked':
        return 'transfer_encoding_unknown'
    if coding is not None and _LENGTH in singles:
        return 'length_and_chunked'
    if not listed.isdisjoint(_END_TO_END):
        return 'connection_lists_end_to_end_header'
    if len(singles.get(_IDEMPOTENCY_KEY, b'')) > MAX_IDEMPOTENCY_KEY_BYTES:
        return 'idempotency_key_too_long'
    return ''


def _read(
    singles: dict[bytes, bytes],
    passed: list[tuple[bytes, bytes]],
    listed: set[bytes],
) -> Result[RequestHeaders, MalformedHeaders]:
    timeout_ms = _parse_number(singles.get(_TIMEOUT), MAX_TIMEOUT_MS)
    depth = _parse_number(singles.get(_DEPTH, b'0'), MAX_DEPTH)
    if timeout_ms is None or depth is None:
        return Err(MalformedHeaders('header_out_of_range'))
    key = _parse_key(singles.get(_AUTHORIZATION, b''))
    kept = tuple(
        [
            header
            for header in passed
            if not (key and key in header[1]) and header[0] not in listed
        ]
    )
    return Ok(
        RequestHeaders(
            kept,
            key,
            singles.get(_IDEMPOTENCY_KEY, b'').decode('latin-1'),
            _find(kept, _TRACE),
            timeout_ms,
            depth,
            _has_body(singles),
        )
    )


def _find(headers: Headers, name: bytes) -> str:
    for found, field in headers:
        if found == name:
            return field.decode('latin-1')
    return ''


def _has_body(singles: dict[bytes, bytes]) -> bool:
    return _CODING in singles or singles.get(_LENGTH, b'0').strip(b'0') != b''


def _parse_key(field: bytes) -> bytes:
    scheme, _, key = field.partition(b' ')
    return key.strip() if scheme.lower() == b'bearer' else b''


def _parse_number(field: bytes | None, highest: int) -> int | None:
    """Return a decimal number; the highest one when there is no field."""
    if field is None:
        return highest
    if not field.isdigit() or len(field) > len(str(highest)):
        return None
    number = int(field)
    return number if number <= highest else None
