"""Since when this position owns a key."""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from wagtailline.executions._types import Instant
from wagtailline.placement import owner

_MAX_CHANGES = 64
_PENDING = Instant(math.inf, math.inf)


class _Change(NamedTuple):
    since: Instant
    positions: tuple[str, ...]


class Ownership:
    """Position sets of the service, as this gate has seen them in force."""

    def __init__(self, position: str) -> None:
        """Own nothing before the first set is in force."""
        self._position = position
        self._changes: deque[_Change] = deque(maxlen=_MAX_CHANGES)

    @property
    def is_pending(self) -> bool:
        """Tell whether a set was announced and is not yet settled."""
        return any(change.since == _PENDING for change in self._changes)

    def announce(self, positions: Iterable[str]) -> None:
        """Give up the keys that a new set moves away, and gain none yet.

        Former owners may still run keys that the set moves here. They count
        as unknown until :meth:`settle` tells since when they do not.
        """
        self.update(positions, _PENDING)

    def settle(self, now: Instant) -> None:
        """Gain the keys of announced sets from this moment on."""
        self._changes = deque(
            (
                change._replace(since=now)
                if change.since == _PENDING
                else change
                for change in self._changes
            ),
            maxlen=_MAX_CHANGES,
        )

    def update(self, positions: Iterable[str], now: Instant) -> None:
        """Put the positions that are in service into force."""
        named = tuple(sorted(positions))
        if not self._changes or self._changes[-1].positions != named:
            self._changes.append(_Change(now, named))

    def owned_since(self, placed: str) -> Instant | None:
        """Return when the present ownership of a placement key began.

        None when another position owns it. Only keys that moved here get a
        new time: a change elsewhere leaves the records of others valid.
        """
        since: Instant | None = None
        for change in reversed(self._changes):
            if owner(placed, change.positions) != self._position:
                return since
            since = change.since
        return since
