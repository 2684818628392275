"""Headers of a request as the ingress takes and passes them on."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import Headers

MAX_IDEMPOTENCY_KEY_BYTES = 255
MAX_TIMEOUT_MS = 600_000
MAX_DEPTH = 32
RESERVED_PREFIX = b'wagtailline-'
_KEY_DIGEST_BYTES = 32
_CONNECTION = b'connection'
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'http2-settings',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_CREDENTIALS = frozenset((b'authorization', b'proxy-authorization'))
# A caller must not use Connection to remove these on the way.
_END_TO_END = frozenset(
    (
        b'authorization',
        b'content-length',
        b'host',
        b'idempotency-key',
    )
)
_SINGLE = frozenset(
    (
        b'authorization',
        b'content-length',
        b'host',
        b'idempotency-key',
        b'transfer-encoding',
        b'wagtailline-depth',
        b'wagtailline-timeout-ms',
    )
)


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


def read_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[RequestHeaders, MalformedHeaders]:
    """Check headers with lower-case names and take them apart."""
    singles: dict[bytes, bytes] = {}
    listed: set[bytes] = set()
    passed: list[tuple[bytes, bytes]] = []
    for name, field in headers:
        if name in _SINGLE:
            if name in singles:
                return Err(MalformedHeaders('header_repeated'))
            singles[name] = field
        if not _is_text(field):
            return Err(MalformedHeaders('header_not_utf8'))
        if name == _CONNECTION:
            listed.update(_split_list(field))
        elif _is_passed(name):
            passed.append((name, field))
    problem = _check(singles, listed)
    if problem:
        return Err(MalformedHeaders(problem))
    return _read(singles, passed, listed)


def digest_key(key: bytes) -> str:
    """Return the digest by which a key is published."""
    return blake2b(key, digest_size=_KEY_DIGEST_BYTES).hexdigest()


def pass_answer_headers(headers: Headers) -> Headers:
    """Drop what holds only between the upstream and its gate."""
    listed: set[bytes] = set()
    passed = [(name.lower(), field) for name, field in headers]
    for name, field in passed:
        if name == _CONNECTION:
            listed.update(_split_list(field))
    return tuple(
        header
        for header in passed
        if _is_answered(header[0]) and header[0] not in listed
    )


def _is_passed(name: bytes) -> bool:
    # Servers with CGI variables read an underscore as a hyphen, so such a
    # name could stand for a reserved or framing header.
    return (
        name not in _HOP_BY_HOP
        and name not in _CREDENTIALS
        and not name.startswith(RESERVED_PREFIX)
        and b'_' not in name
    )


def _is_answered(name: bytes) -> bool:
    return name not in _HOP_BY_HOP and not name.startswith(RESERVED_PREFIX)


def _is_text(field: bytes) -> bool:
    # aiohttp writes headers as UTF-8 and would alter other bytes.
    if field.isascii():
        return True
    try:
        field.decode()
    except UnicodeDecodeError:
        return False
    return True


def _split_list(field: bytes) -> list[bytes]:
    return [token.strip().lower() for token in field.split(b',')]


def _check(singles: dict[bytes, bytes], listed: set[bytes]) -> str:
    coding = singles.get(b'transfer-encoding')
    if b'host' not in singles:
        return 'host_missing'
    if coding is not None and coding.lower() != b'chunked':
        return 'transfer_encoding_unknown'
    if coding is not None and b'content-length' in singles:
        return 'length_and_chunked'
    if not listed.isdisjoint(_END_TO_END):
        return 'connection_lists_end_to_end_header'
    if len(singles.get(b'idempotency-key', b'')) > MAX_IDEMPOTENCY_KEY_BYTES:
        return 'idempotency_key_too_long'
    return ''


def _read(
    singles: dict[bytes, bytes],
    passed: list[tuple[bytes, bytes]],
    listed: set[bytes],
) -> Result[RequestHeaders, MalformedHeaders]:
    timeout_ms = _parse_number(
        singles.get(b'wagtailline-timeout-ms'), MAX_TIMEOUT_MS
    )
    depth = _parse_number(singles.get(b'wagtailline-depth', b'0'), MAX_DEPTH)
    if timeout_ms is None or depth is None:
        return Err(MalformedHeaders('header_out_of_range'))
    key = _parse_key(singles.get(b'authorization', b''))
    kept = tuple(
        header
        for header in passed
        if header[0] not in listed and not (key and key in header[1])
    )
    trace = next((field for name, field in kept if name == b'traceparent'), b'')
    return Ok(
        RequestHeaders(
            passed=kept,
            key=key,
            idempotency_key=singles.get(b'idempotency-key', b'').decode(
                'latin-1'
            ),
            trace=trace.decode('latin-1'),
            timeout_ms=timeout_ms,
            depth=depth,
            has_body=_has_body(singles),
        )
    )


def _has_body(singles: dict[bytes, bytes]) -> bool:
    return (
        b'transfer-encoding' in singles
        or singles.get(b'content-length', b'0').strip(b'0') != b''
    )


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
