"""Incremental digests of the statements of each data centre."""

from hashlib import blake2b

import msgpack

FINGERPRINT_BYTES = 6


class Digests:
    """Fingerprint of each statement, and their exclusive or by data centre."""

    def __init__(self) -> None:
        """Start without statements."""
        self._fingerprints: dict[str, tuple[str, bytes]] = {}
        self._digests: dict[str, int] = {}

    def add(
        self, endpoint: str, data_centre: str, statement: tuple[object, ...]
    ) -> None:
        """Add the statement of an endpoint that has none yet."""
        fingerprint = fingerprint_of(statement)
        self._fingerprints[endpoint] = (data_centre, fingerprint)
        self._toggle(data_centre, fingerprint)

    def remove(self, endpoint: str) -> None:
        """Remove the statement of an endpoint, if there is one."""
        removed = self._fingerprints.pop(endpoint, None)
        if removed is not None:
            self._toggle(*removed)

    def copy(self) -> 'Digests':
        """Return an independent copy."""
        copied = Digests()
        copied._fingerprints = dict(self._fingerprints)
        copied._digests = dict(self._digests)
        return copied

    def digest(self, data_centre: str) -> int:
        """Return the digest of a data centre; it is zero without statements."""
        return self._digests.get(data_centre, 0)

    def fingerprints(self, data_centre: str) -> dict[bytes, str]:
        """Return the endpoints of a data centre by fingerprint."""
        return {
            fingerprint: endpoint
            for endpoint, (name, fingerprint) in self._fingerprints.items()
            if name == data_centre
        }

    def _toggle(self, data_centre: str, fingerprint: bytes) -> None:
        # Exclusive or is its own inverse: the same operation adds and removes.
        self._digests[data_centre] = self.digest(data_centre) ^ int.from_bytes(
            fingerprint, 'big'
        )


def fingerprint_of(statement: tuple[object, ...]) -> bytes:
    """Return the fingerprint of a statement."""
    return blake2b(
        msgpack.packb(statement), digest_size=FINGERPRINT_BYTES
    ).digest()


def split_fingerprints(packed: bytes) -> set[bytes]:
    """Return the set of concatenated fingerprints in a message."""
    return {
        packed[start : start + FINGERPRINT_BYTES]
        for start in range(0, len(packed), FINGERPRINT_BYTES)
    }
