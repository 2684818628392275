"""Memory that the bodies of one daemon share."""

import math
import weakref
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.calls import WholeBody
from wagtailline.memory_budget import (
    BudgetLimits,
    FrozenClock,
    Holding,
    MemoryBudget,
)
from wagtailline.ports import MonotonicClock

__all__ = (
    'LIMIT_BYTES',
    'MAX_PART_BYTES',
    'MIN_BODY_BYTES',
    'BodyBuffer',
    'BodyCut',
    'BodyMemory',
    'HeldBody',
    'Holding',
    'make_unlimited_memory',
    'make_whole_body',
)

# Bytes of bodies that a daemon holds, whatever the number of connections.
LIMIT_BYTES = 16 * 1024 * 1024
# Fraction of the free memory that one body may hold.
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


class BodyMemory(MemoryBudget):
    """Bytes of bodies that one daemon holds, and the limit of their sum.

    Bodies that are read wait or are streamed if they exceed their share.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        limit_bytes: float = LIMIT_BYTES,
        observe: Callable[[NamedTuple], None] = _ignore_event,
    ) -> None:
        """Create an empty memory; events are passed to ``observe``."""
        super().__init__(
            clock,
            BudgetLimits(limit_bytes, MIN_BODY_BYTES, _SHARE),
            lambda size, held: observe(BodyCut(size, held)),
        )


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


def make_unlimited_memory() -> BodyMemory:
    """Return a memory that only counts."""
    return BodyMemory(FrozenClock(), math.inf)
