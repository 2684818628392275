"""Bounds the calls of one process to the source."""

from wagtailline.ports import Clock

# A shorter wait may not advance the clock at all.
MIN_WAIT_SECONDS = 0.001


class CallLimiter:
    """Token bucket; ``rate`` in calls a second, ``burst`` in calls."""

    def __init__(self, clock: Clock, rate: float, burst: int) -> None:
        """Begin with a full bucket."""
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._filled = clock.monotonic()

    async def acquire(self) -> None:
        """Wait until a call is allowed, and count it."""
        self._fill()
        while self._tokens < 1:
            lacking = (1 - self._tokens) / self._rate
            await self._clock.sleep(max(MIN_WAIT_SECONDS, lacking))
            self._fill()
        self._tokens -= 1

    def _fill(self) -> None:
        now = self._clock.monotonic()
        gained = (now - self._filled) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled = now
