"""Rate limiter for the calls of one process to the source."""

from wagtailline.ports import Clock

# A shorter sleep might not advance the clock at all.
MIN_WAIT_SECONDS = 0.001


class CallLimiter:
    """Token bucket; ``rate`` is in calls per second, ``burst`` in calls."""

    def __init__(self, clock: Clock, rate: float, burst: int) -> None:
        """Start with a full bucket."""
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = clock.monotonic()

    async def acquire(self) -> None:
        """Wait for a token and take it."""
        self._refill()
        while self._tokens < 1:
            wait_seconds = (1 - self._tokens) / self._rate
            await self._clock.sleep(max(MIN_WAIT_SECONDS, wait_seconds))
            self._refill()
        self._tokens -= 1

    def _refill(self) -> None:
        now = self._clock.monotonic()
        added_tokens = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + added_tokens)
        self._refilled_at = now
