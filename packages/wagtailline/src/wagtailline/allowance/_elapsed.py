"""Elapsed time that also counts while a virtual machine is suspended."""

from typing import NamedTuple

from wagtailline.ports import Clock


class Moment(NamedTuple):
    """A reading of both clocks, in seconds."""

    monotonic: float
    wall: float


class Stopwatch:
    """Measures the time since a moment by the faster of two clocks.

    The monotonic clock of a suspended virtual machine may stand still while
    the wall clock is set forward on resuming; a wall clock that is set back
    is ignored.
    """

    def __init__(self, clock: Clock) -> None:
        """Read the given clock."""
        self._clock = clock

    def now(self) -> Moment:
        """Return the present moment."""
        return Moment(self._clock.monotonic(), self._clock.wall())

    def elapsed(self, since: Moment) -> float:
        """Return the seconds that have passed at most since a moment."""
        return max(
            self._clock.monotonic() - since.monotonic,
            self._clock.wall() - since.wall,
        )
