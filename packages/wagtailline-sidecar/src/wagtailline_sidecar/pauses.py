"""Times in which the process did not run, as on a VM that was frozen."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.supervision import SupervisedTask

_TICK_SECONDS = 0.25
# A tick that is less late is delayed by other work of the process.
_MIN_PAUSE_SECONDS = 0.25
_REMEMBERED_PAUSES = 32


class Pause(NamedTuple):
    """Time since boot at which the process was to run, and when it did."""

    began_at: float
    ended_at: float


class PauseEnded(NamedTuple):
    """Event: the process, or its event loop, did not run for a while."""

    paused_seconds: float


class PauseMeter:
    """Service that measures for how long the process did not run.

    A frozen VM, a stopped process and an event loop that is held up all look
    the same to the process: its timers are late.
    """

    def __init__(
        self, clock: BootClock, observe: Callable[[NamedTuple], None]
    ) -> None:
        """Set up a meter; it measures nothing until ``start`` is called."""
        self._clock = clock
        self._observe = observe
        self._pauses: deque[Pause] = deque(maxlen=_REMEMBERED_PAUSES)
        self._next_tick_at = math.inf
        self._task = SupervisedTask('pause_meter', self._run, observe)

    async def start(self) -> None:
        """Start measuring."""
        self._task.start()

    async def stop(self) -> None:
        """Stop measuring."""
        self._task.stop()

    def measure_since(self, moment: float) -> float:
        """Return the seconds of all pauses since a time since boot.

        A pause that has just ended counts even if no timer has run since.
        """
        pauses = (*self._pauses, *self._find_latest())
        return sum(
            max(pause.ended_at - max(pause.began_at, moment), 0)
            for pause in pauses
        )

    async def _run(self) -> None:
        while True:
            self._next_tick_at = self._clock.boot() + _TICK_SECONDS
            await asyncio.sleep(_TICK_SECONDS)
            for pause in self._find_latest():
                self._pauses.append(pause)
                seconds = pause.ended_at - pause.began_at
                self._observe(PauseEnded(round(seconds, 3)))

    def _find_latest(self) -> tuple[Pause, ...]:
        """Return the pause that delays the next tick, if there is one."""
        now = self._clock.boot()
        if now - self._next_tick_at < _MIN_PAUSE_SECONDS:
            return ()
        return (Pause(self._next_tick_at, now),)
