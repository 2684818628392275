"""Creation times and placement keys of idempotency keys."""

import re
from hashlib import blake2b

# RFC 9562: the third group starts with version 7, the fourth with the
# variant bits 10.
_UUID7 = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
    re.IGNORECASE,
)
_TIME_HIGH_DIGITS = 8
_TIME_LOW_DIGITS = slice(9, 13)
_HEX_BASE = 16
_MILLISECONDS_PER_SECOND = 1000
_DIGEST_BYTES = 16


def parse_key_time(key: str) -> float | None:
    """Return the Unix time in a UUID of version 7, None for other keys."""
    if _UUID7.fullmatch(key) is None:
        return None
    milliseconds = int(
        key[:_TIME_HIGH_DIGITS] + key[_TIME_LOW_DIGITS], _HEX_BASE
    )
    return milliseconds / _MILLISECONDS_PER_SECOND


def placement_key(client_account: str, key: str) -> str:
    """Return the key that rendezvous hashing assigns to a position.

    It is a digest of the account name, with its length, and the key, so
    that equal keys of two accounts differ.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    digest.update(len(client_account).to_bytes(2, 'big'))
    digest.update(client_account.encode())
    digest.update(key.encode())
    return digest.hexdigest()
