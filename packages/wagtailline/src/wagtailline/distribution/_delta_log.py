"""The deltas that led to the version in force."""

from collections import deque
from collections.abc import Iterable

from wagtailline.release import (
    MAX_INLINE_DELTA_BYTES,
    BucketSet,
    Change,
    Delta,
    pack_object,
    size_of_delta,
)

# Enough for peers that are minutes behind; older ones fetch buckets.
MAX_LOG_BYTES = 64 * 1024


class DeltaLog:
    """A contiguous chain of verified deltas, bounded in bytes."""

    def __init__(self) -> None:
        """Begin empty."""
        self._deltas: deque[tuple[Delta, int]] = deque()
        self._size = 0

    def extend(self, deltas: Iterable[Delta]) -> None:
        """Add deltas that follow the last one."""
        for delta in deltas:
            size = size_of_delta(delta)
            self._deltas.append((delta, size))
            self._size += size
        while self._size > MAX_LOG_BYTES:
            self._size -= self._deltas.popleft()[1]

    def append_change(self, base: BucketSet, change: Change) -> None:
        """Add the difference to a version that came as buckets."""
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
            tuple(one for one in sorted(change.changed) if one not in objects),
        )
        if size_of_delta(delta) > MAX_INLINE_DELTA_BYTES:
            self._deltas.clear()
            self._size = 0
        else:
            self.extend((delta,))

    def since(self, digest: bytes) -> tuple[Delta, ...]:
        """Return the deltas that follow a digest, none if unknown."""
        found: list[Delta] = []
        for delta, _ in reversed(self._deltas):
            found.append(delta)
            if delta.parent_digest == digest:
                return tuple(reversed(found))
        return ()
