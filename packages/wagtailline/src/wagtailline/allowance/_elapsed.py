"""Elapsed time that also counts while a virtual machine is suspended."""

from typing import NamedTuple

from wagtailline.ports import Clock


class ClockReading(NamedTuple):
    """Readings of the monotonic and the wall clock, in seconds."""

    monotonic: float
    wall: float


class Stopwatch:
    """Measures elapsed time by whichever of two clocks has advanced more.

    While a virtual machine is suspended, its monotonic clock may stop; the
    wall clock is then set forward on resumption. If the wall clock is set
    back, the monotonic clock decides.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a stopwatch that reads the given clock."""
        self._clock = clock

    def now(self) -> ClockReading:
        """Return the current reading of both clocks."""
        return ClockReading(self._clock.monotonic(), self._clock.wall())

    def elapsed(self, since: ClockReading) -> float:
        """Return the seconds since a reading, by the clock that gives more."""
        return max(
            self._clock.monotonic() - since.monotonic,
            self._clock.wall() - since.wall,
        )
