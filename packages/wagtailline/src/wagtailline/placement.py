"""Rendezvous hashing over named positions."""

from collections.abc import Iterable
from hashlib import blake2b

_SCORE_BYTES = 8


def score(key: str, position: str) -> int:
    """Return the weight of a position for a key, the same everywhere."""
    digest = blake2b(
        position.encode(), key=key.encode()[:64], digest_size=_SCORE_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')


def rank(key: str, positions: Iterable[str]) -> list[str]:
    """Return the positions from the highest weight to the lowest."""
    return sorted(
        positions,
        key=lambda position: (score(key, position), position),
        reverse=True,
    )


def owner(key: str, positions: Iterable[str]) -> str | None:
    """Return the position with the highest weight, None without any."""
    return max(
        positions,
        key=lambda position: (score(key, position), position),
        default=None,
    )
