"""Use of the slots by rank, averaged over the last seconds."""

import math
from typing import NamedTuple

from wagtailline.ports import MonotonicClock

# Time constant of the averages.
AVERAGING_SECONDS = 1.0


class Rank(NamedTuple):
    """Sort key of the queue; lower goes first.

    Nested requests go first: when one fails, the work of the request that
    sent it, which already holds a slot, is wasted as well. Among equally
    urgent requests, those that can no longer meet their target go last.
    """

    is_new: bool
    priority: int
    is_late: bool = False


class _Average(NamedTuple):
    busy_seconds: float
    updated_at: float


class RankLoad:
    """Exponentially decaying average of the slots that each rank uses."""

    def __init__(self, clock: MonotonicClock) -> None:
        """Set up averages without any use."""
        self._clock = clock
        self._averages: dict[Rank, _Average] = {}

    def record(self, rank: Rank, busy_seconds: float) -> None:
        """Count the time for which a request of a rank held a slot."""
        now = self._clock.monotonic()
        average = self._averages.get(rank, _Average(0, now))
        self._averages[rank] = _Average(
            _decay(average, now) + busy_seconds, now
        )

    def slots_before(self, rank: Rank) -> float:
        """Return the average number of slots that more urgent ranks use."""
        now = self._clock.monotonic()
        busy_seconds = sum(
            _decay(average, now)
            for other_rank, average in self._averages.items()
            if other_rank < rank
        )
        return busy_seconds / AVERAGING_SECONDS


def _decay(average: _Average, now: float) -> float:
    elapsed_seconds = now - average.updated_at
    return average.busy_seconds * math.exp(-elapsed_seconds / AVERAGING_SECONDS)
