"""Digests over statements, kept up to date with each change."""

from hashlib import blake2b

import msgpack

PRINT_BYTES = 6


class Digests:
    """Sum of the fingerprints of each data centre, and the fingerprints."""

    def __init__(self) -> None:
        """Begin without statements."""
        self._held: dict[str, tuple[str, bytes]] = {}
        self._totals: dict[str, int] = {}

    def hold(
        self, endpoint: str, data_centre: str, statement: tuple[object, ...]
    ) -> None:
        """Count the statement of an endpoint that has none."""
        fingerprint = fingerprint_of(statement)
        self._held[endpoint] = (data_centre, fingerprint)
        self._flip(data_centre, fingerprint)

    def forget(self, endpoint: str) -> None:
        """Count the statement of an endpoint no longer."""
        held = self._held.pop(endpoint, None)
        if held is not None:
            self._flip(*held)

    def copy(self) -> 'Digests':
        """Return an independent object with the same statements."""
        copied = Digests()
        copied._held = dict(self._held)
        copied._totals = dict(self._totals)
        return copied

    def total(self, data_centre: str) -> int:
        """Return the digest of a data centre, zero without statements."""
        return self._totals.get(data_centre, 0)

    def prints(self, data_centre: str) -> dict[bytes, str]:
        """Return the endpoints of a data centre by fingerprint."""
        return {
            fingerprint: endpoint
            for endpoint, (name, fingerprint) in self._held.items()
            if name == data_centre
        }

    def _flip(self, data_centre: str, fingerprint: bytes) -> None:
        # Exclusive or is its own inverse, so a change costs one operation.
        self._totals[data_centre] = self.total(data_centre) ^ int.from_bytes(
            fingerprint, 'big'
        )


def fingerprint_of(statement: tuple[object, ...]) -> bytes:
    """Return the fingerprint of a statement."""
    return blake2b(msgpack.packb(statement), digest_size=PRINT_BYTES).digest()


def split_prints(packed: bytes) -> set[bytes]:
    """Return the fingerprints of a message."""
    return {
        packed[start : start + PRINT_BYTES]
        for start in range(0, len(packed), PRINT_BYTES)
    }
