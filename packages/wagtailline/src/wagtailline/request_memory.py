"""Memory that the requests of one daemon share while they arrive and run."""

import math
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.calls import Headers
from wagtailline.memory_budget import (
    BudgetLimits,
    FrozenClock,
    MemoryBudget,
)
from wagtailline.ports import MonotonicClock

# Bytes of heads and unparsed input that a daemon holds, with what their
# objects take, whatever the number of connections.
LIMIT_BYTES = 8 * 1024 * 1024
# Fraction of the free memory that one request may hold. A head of the largest
# legal size in the shortest lines takes less while nothing else is held.
_SHARE = 0.5
# Requests up to this size are held however little is free.
MIN_REQUEST_BYTES = 8 * 1024
# What the objects of one header take besides its characters.
HEADER_OVERHEAD_BYTES = 160
# What the objects of one request take besides its headers.
REQUEST_OVERHEAD_BYTES = 2048


class RequestCut(NamedTuple):
    """Event: unfinished input was discarded, as the daemon holds too much.

    ``held_bytes`` are those of all requests at that time.
    """

    size_bytes: int
    held_bytes: int


def _ignore_event(event: NamedTuple) -> None:
    """Ignore an event; the default if no observer is set."""


class RequestMemory(MemoryBudget):
    """Bytes of requests that one daemon holds, and the limit of their sum.

    Requests that exceed their share are refused before they run.
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
            BudgetLimits(limit_bytes, MIN_REQUEST_BYTES, _SHARE),
            lambda size, held: observe(RequestCut(size, held)),
        )


def make_unlimited_request_memory() -> RequestMemory:
    """Return a memory that only counts."""
    return RequestMemory(FrozenClock(), math.inf)


def count_header_bytes(headers: Headers) -> int:
    """Return what the headers of a request take in memory."""
    sizes = [len(name) + len(content) for name, content in headers]
    return sum(sizes) + len(sizes) * HEADER_OVERHEAD_BYTES
