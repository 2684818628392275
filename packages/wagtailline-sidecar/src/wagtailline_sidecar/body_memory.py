"""Memory that the bodies of one daemon share."""

import math
import weakref
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.calls import WholeBody
from wagtailline.ports import MonotonicClock

# Bytes of bodies that a daemon holds, whatever the number of connections.
LIMIT_BYTES = 16 * 1024 * 1024
# Fraction of the free memory that one body may hold. So no body takes it all,
# and each gets less the more there are.
_SHARE = 0.125
# Bodies up to this size are held however little is free.
MIN_BODY_BYTES = 16 * 1024
# Largest part that is taken from a buffer at once.
MAX_PART_BYTES = 64 * 1024


class BodyCut(NamedTuple):
    """Event: a body was cut, because the daemon holds too many bytes.

    ``held_bytes`` are those of all bodies at that time.
    """

    size_bytes: int
    held_bytes: int


def _ignore_event(event: NamedTuple) -> None:
    """Ignore an event; the default if no observer is set."""


class BodyMemory:
    """Bytes of bodies that one daemon holds, and the limit of their sum.

    Bodies that are read ask for their share and then wait or are streamed.
    If more than the limit is held all the same, the bodies that hold most for
    longest are cut.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        limit_bytes: float = LIMIT_BYTES,
        observe: Callable[[NamedTuple], None] = _ignore_event,
    ) -> None:
        """Create an empty memory; events are passed to ``observe``."""
        self.held_bytes = 0
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._observe = observe
        self._cuttable: set[Holding] = set()

    @property
    def share_bytes(self) -> float:
        """Return the bytes that one body may hold now."""
        free_bytes = self._limit_bytes - self.held_bytes
        return max(free_bytes * _SHARE, MIN_BODY_BYTES)

    def record_change(self, holding: 'Holding', change_bytes: int) -> None:
        """Count bytes that a holding has gained or lost."""
        self.held_bytes += change_bytes
        if holding.cut is not None:
            if holding.size_bytes:
                self._cuttable.add(holding)
            else:
                self._cuttable.discard(holding)
        if change_bytes > 0:
            self._cut_largest()

    def now(self) -> float:
        """Return the time from which the age of a holding is counted."""
        return self._clock.monotonic()

    def _cut_largest(self) -> None:
        """Cut bodies until the sum is within the limit, if that can be.

        Small ones are never cut, and none is if the others exceed the limit.
        """
        while self.held_bytes > self._limit_bytes:
            large = [
                holding
                for holding in self._cuttable
                if holding.size_bytes > MIN_BODY_BYTES
            ]
            large_bytes = sum(holding.size_bytes for holding in large)
            if not large or self.held_bytes - large_bytes > self._limit_bytes:
                return
            self._cut(max(large, key=_weigh))

    def _cut(self, holding: 'Holding') -> None:
        self._observe(BodyCut(holding.size_bytes, self.held_bytes))
        holding.close()
        if holding.cut is not None:
            holding.cut()


class Holding:
    """Bytes that one body holds of the memory of its daemon."""

    def __init__(
        self, memory: BodyMemory, cut: Callable[[], None] | None = None
    ) -> None:
        """Hold nothing yet.

        ``cut`` ends the body when the memory is short. Without it, the bytes
        are never taken away, so they have to be within the share.
        """
        self.cut = cut
        self.size_bytes = 0
        self._memory = memory
        self._held_since = math.inf

    def resize(self, size_bytes: int) -> None:
        """Hold this many bytes from now on."""
        change_bytes = size_bytes - self.size_bytes
        if not self.size_bytes:
            self._held_since = self._memory.now()
        self.size_bytes = size_bytes
        if change_bytes:
            self._memory.record_change(self, change_bytes)

    def close(self) -> None:
        """Hold nothing any more."""
        self.resize(0)

    @property
    def age_seconds(self) -> float:
        """Return for how long some bytes have been held."""
        return self._memory.now() - self._held_since


def _weigh(holding: Holding) -> tuple[float, int]:
    """Return the rank of a holding for being cut."""
    return holding.size_bytes * holding.age_seconds, holding.size_bytes


class HeldBody(WholeBody):
    """Whole body whose bytes are counted as long as it is referenced."""

    def __init__(self, content: bytes, memory: BodyMemory) -> None:
        """Count the content."""
        super().__init__(content)
        holding = Holding(memory)
        holding.resize(len(content))
        weakref.finalize(self, holding.close)


def make_whole_body(content: bytes, memory: BodyMemory) -> WholeBody:
    """Return a whole body, which is counted unless it is small."""
    if len(content) <= MIN_BODY_BYTES:
        return WholeBody(content)
    return HeldBody(content, memory)


class BodyBuffer:
    """Bytes of one body that have arrived and were not taken yet.

    ``is_full`` is set when they exceed the limit or the share of the memory,
    until they are taken or discarded.
    """

    def __init__(
        self, memory: BodyMemory, max_bytes: int, cut: Callable[[], None]
    ) -> None:
        """Create an empty buffer; ``cut`` ends its body."""
        self._memory = memory
        self._max_bytes = max_bytes
        self._content = bytearray()
        self._taken_bytes = 0
        self._holding = Holding(memory, cut)
        self.is_full = False

    def __len__(self) -> int:
        """Return the number of bytes in the buffer."""
        return len(self._content)

    def append(self, content: bytes) -> None:
        """Add bytes that have arrived; ``settle`` counts them."""
        self._content += content

    def settle(self) -> None:
        """Count the bytes that have arrived since the last call."""
        size_bytes = len(self._content)
        if size_bytes > min(self._max_bytes, self._memory.share_bytes):
            self.is_full = True
        self._holding.resize(size_bytes + self._taken_bytes)

    def stream(self) -> None:
        """Hold no more than a part from now on, as the body is passed on."""
        self._max_bytes = MAX_PART_BYTES

    def take(self) -> bytes:
        """Return the next part, which counts as held until the next call."""
        content = bytes(self._content[:MAX_PART_BYTES])
        self._holding.resize(len(self._content))
        del self._content[:MAX_PART_BYTES]
        self._taken_bytes = len(content)
        if not self._content:
            self.is_full = False
        return content

    def take_whole(self) -> WholeBody:
        """Return all bytes as a body, and discard them here."""
        content = bytes(self._content)
        self.clear()
        return make_whole_body(content, self._memory)

    def clear(self) -> None:
        """Discard all bytes."""
        self._content = bytearray()
        self._taken_bytes = 0
        self.is_full = False
        self._holding.close()


class _FrozenClock:
    """Clock of a memory without limit, in which no age matters."""

    def monotonic(self) -> float:
        """Return the same time always."""
        return 0


def make_unlimited_memory() -> BodyMemory:
    """Return a memory that only counts."""
    return BodyMemory(_FrozenClock(), math.inf)
