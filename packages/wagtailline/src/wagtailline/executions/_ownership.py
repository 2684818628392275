"""History of the position sets of a service, and so of key ownership."""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from wagtailline.executions._types import Instant
from wagtailline.placement import find_owner

# The oldest position sets are discarded beyond this number.
_MAX_POSITION_SETS = 64
# Start of a set that is pending and not yet confirmed: never.
_PENDING = Instant(math.inf, math.inf)


class _PositionSet(NamedTuple):
    since: Instant
    positions: tuple[str, ...]


class Ownership:
    """The position sets of a service that this gate has seen, in order.

    Rendezvous hashing over the positions of a set gives each key one owner.
    """

    def __init__(self, position: str) -> None:
        """Create the history of a position, which owns no key yet."""
        self._position = position
        self._history: deque[_PositionSet] = deque(maxlen=_MAX_POSITION_SETS)

    @property
    def is_pending(self) -> bool:
        """Return whether a pending set is not confirmed yet."""
        return any(
            position_set.since == _PENDING for position_set in self._history
        )

    def add_pending(self, positions: Iterable[str]) -> None:
        """Release the keys that a new set moves away, without gaining any.

        Former owners may still run keys that the set moves here. The outcome
        of these keys counts as unknown until :meth:`confirm_pending` sets the
        time from which this position owns them.
        """
        self.replace_positions(positions, _PENDING)

    def confirm_pending(self, now: Instant) -> None:
        """Own the keys that pending sets moved here from this moment on."""
        self._history = deque(
            (
                position_set._replace(since=now)
                if position_set.since == _PENDING
                else position_set
                for position_set in self._history
            ),
            maxlen=_MAX_POSITION_SETS,
        )

    def replace_positions(self, positions: Iterable[str], now: Instant) -> None:
        """Make the positions in service the current set, if they changed."""
        ordered = tuple(sorted(positions))
        if not self._history or self._history[-1].positions != ordered:
            self._history.append(_PositionSet(now, ordered))

    def owned_since(self, placement: str) -> Instant | None:
        """Return since when this position has owned a placement key.

        Return None when another position owns it. A change of the set gives
        a new time only to the keys that it moves here, so the records of
        all other keys stay valid.
        """
        since: Instant | None = None
        for position_set in reversed(self._history):
            if find_owner(placement, position_set.positions) != self._position:
                return since
            since = position_set.since
        return since
