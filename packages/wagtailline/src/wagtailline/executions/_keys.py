"""Creation time and placement of idempotency keys."""

import re
from hashlib import blake2b

# RFC 9562: version 7 in the third group, variant 10 in the fourth.
_UUID7 = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
    re.IGNORECASE,
)
_HIGH_DIGITS = 8
_LOW_DIGITS = slice(9, 13)
_HEX = 16
_MILLISECONDS = 1000
_PLACEMENT_BYTES = 16


def parse_key_time(key: str) -> float | None:
    """Return the Unix time in a UUID version 7, None for other keys."""
    if _UUID7.fullmatch(key) is None:
        return None
    milliseconds = int(key[:_HIGH_DIGITS] + key[_LOW_DIGITS], _HEX)
    return milliseconds / _MILLISECONDS


def placement_key(client_account: str, key: str) -> str:
    """Return what rendezvous hashing places for an account's key."""
    digest = blake2b(digest_size=_PLACEMENT_BYTES)
    digest.update(len(client_account).to_bytes(2, 'big'))
    digest.update(client_account.encode())
    digest.update(key.encode())
    return digest.hexdigest()
