"""Limits that clients of a listener meet, and reports of them."""

import enum
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock

# One line is logged in this time for each limit, however many meet it.
REPORT_PERIOD_SECONDS = 1.0


class ClientLimit(enum.StrEnum):
    """Limit that a client has met, as it is named in logs and metrics."""

    CONNECTIONS = 'connections'
    HEAD_SIZE = 'head_size'
    HEAD_TIME = 'head_time'
    BODY_SIZE = 'body_size'
    TRAILER_SIZE = 'trailer_size'
    REQUEST_MEMORY = 'request_memory'
    MALFORMED = 'malformed'
    UNREAD_ANSWER = 'unread_answer'


class ClientLimited(NamedTuple):
    """Event: clients have met a limit.

    ``peer`` is the address of the latest one, and ``times`` tells how often any
    has met the limit since the event before.
    """

    limit: ClientLimit
    peer: str
    times: int


def _ignore_limit(limit: ClientLimit) -> None:
    """Ignore a limit; the default if no counter is set."""


def _ignore_event(event: NamedTuple) -> None:
    """Ignore an event; the default if no observer is set."""


class ClientLimits:
    """Reports of the limits that clients meet, at a bounded rate."""

    def __init__(
        self,
        clock: MonotonicClock,
        count: Callable[[ClientLimit], None] = _ignore_limit,
        observe: Callable[[NamedTuple], None] = _ignore_event,
    ) -> None:
        """Call ``count`` each time, and ``observe`` with some events."""
        self._clock = clock
        self._count = count
        self._observe = observe
        self._unreported: Counter[ClientLimit] = Counter()
        self._reported_at: dict[ClientLimit, float] = {}

    def record(self, limit: ClientLimit, peer: str) -> None:
        """Report that the client at an address has met a limit."""
        self._count(limit)
        self._unreported[limit] += 1
        now = self._clock.monotonic()
        reported_at = self._reported_at.get(limit, float('-inf'))
        if now - reported_at < REPORT_PERIOD_SECONDS:
            return
        self._reported_at[limit] = now
        self._observe(ClientLimited(limit, peer, self._unreported.pop(limit)))
