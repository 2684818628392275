"""Budget of retries."""

from collections import deque

from wagtailline.ports import MonotonicClock

WINDOW_SECONDS = 10
RETRY_RATIO = 0.1
RETRIES_PER_SECOND = 1
MAX_ATTEMPTS = 3


class RetryBudget:
    """Allows retries up to a part of the recent calls of one service.

    In any window of 10 s it allows a part of the calls in the window plus a
    constant rate of retries.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        ratio: float = RETRY_RATIO,
        retries_per_second: float = RETRIES_PER_SECOND,
    ) -> None:
        """Begin without calls."""
        self._clock = clock
        self._ratio = ratio
        self._constant = retries_per_second * WINDOW_SECONDS
        # Second, calls and retries in it, from the oldest second on.
        self._seconds: deque[list[int]] = deque()
        self._calls = 0
        self._retries = 0

    def note_call(self) -> None:
        """Count a call; its retries don't count here."""
        self._current()[1] += 1
        self._calls += 1

    def take(self) -> bool:
        """Take one retry; return False when the budget is used up."""
        current = self._current()
        allowed = self._calls * self._ratio + self._constant
        if self._retries + 1 > allowed:
            return False
        current[2] += 1
        self._retries += 1
        return True

    def _current(self) -> list[int]:
        now = int(self._clock.monotonic())
        seconds = self._seconds
        if seconds and seconds[-1][0] == now:
            return seconds[-1]
        while seconds and seconds[0][0] <= now - WINDOW_SECONDS:
            _, calls, retries = seconds.popleft()
            self._calls -= calls
            self._retries -= retries
        seconds.append([now, 0, 0])
        return seconds[-1]
