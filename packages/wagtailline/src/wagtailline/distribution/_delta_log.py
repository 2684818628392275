"""Log of the deltas that led to the version in force."""

from collections import deque
from collections.abc import Iterable

from wagtailline.release import (
    MAX_INLINE_DELTA_BYTES,
    BucketSet,
    Delta,
    VersionChange,
    encoded_delta_size,
    pack_object,
)

# Enough for peers that are minutes behind; peers further behind fetch buckets.
MAX_LOG_BYTES = 64 * 1024


class DeltaLog:
    """Contiguous chain of verified deltas, limited in bytes."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self._deltas: deque[tuple[Delta, int]] = deque()
        self._size_bytes = 0

    def extend(self, deltas: Iterable[Delta]) -> None:
        """Append deltas that follow the last one.

        The oldest are dropped while the log is above its size limit.
        """
        for delta in deltas:
            size_bytes = encoded_delta_size(delta)
            self._deltas.append((delta, size_bytes))
            self._size_bytes += size_bytes
        while self._size_bytes > MAX_LOG_BYTES:
            self._size_bytes -= self._deltas.popleft()[1]

    def append_change(self, base: BucketSet, change: VersionChange) -> None:
        """Append the difference from the base to a version fetched as buckets.

        A difference that is too large clears the log instead.
        """
        objects = change.buckets.objects
        delta = Delta(
            base.digest,
            change.buckets.version,
            change.buckets.digest,
            tuple(
                pack_object(identity, objects[identity])
                for identity in sorted(change.changed)
                if identity in objects
            ),
            tuple(
                identity
                for identity in sorted(change.changed)
                if identity not in objects
            ),
        )
        if encoded_delta_size(delta) > MAX_INLINE_DELTA_BYTES:
            self._deltas.clear()
            self._size_bytes = 0
        else:
            self.extend((delta,))

    def since(self, digest: bytes) -> tuple[Delta, ...]:
        """Return the deltas that follow the version with the digest.

        The result is empty if the log does not reach back to it.
        """
        following: list[Delta] = []
        for delta, _ in reversed(self._deltas):
            following.append(delta)
            if delta.parent_digest == digest:
                return tuple(reversed(following))
        return ()
