"""Rendezvous hashing and a hash ring over named positions."""

from bisect import bisect
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

_SCORE_BYTES = 8
# Positions whose place on the ring is remembered: twice the target fleet.
_REMEMBERED_POSITIONS = 16_384


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


class Ring:
    """Positions in the order of their hashes.

    For many keys over the same positions this is cheaper than rendezvous
    hashing: each position is hashed once and not once for each key. Ranking
    8,200 positions for 64 keys took 1.6 s, during which nothing else ran.
    """

    def __init__(self, positions: Iterable[str]) -> None:
        """Sort the positions."""
        placed = sorted((_place(name), name) for name in positions)
        self._places = [place for place, _ in placed]
        self._names = [name for _, name in placed]

    def find(self, key: str, count: int) -> list[str]:
        """Return the first positions from the place of the key on."""
        start = bisect(self._places, _place(key))
        following = self._names[start : start + count]
        return following + self._names[: min(start, count - len(following))]


@lru_cache(maxsize=_REMEMBERED_POSITIONS)
def _place(name: str) -> int:
    return score('', name)
