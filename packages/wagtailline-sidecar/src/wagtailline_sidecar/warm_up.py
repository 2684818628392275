"""Keeps a cold upstream within the rate that it bears."""

from wagtailline.ports import MonotonicClock

# Rate until the configuration is known, in requests per second.
UNKNOWN_RATE = 2.0
# Requests above the rate that may start at once, as a part of a second.
_BURST_SECONDS = 0.5
# Part of the stated rate that is used; the bound lies at one half more.
_USED_RATE = 1.2


class WarmUp:
    """Limits the starts of requests while the upstream is or may be cold.

    It counts as cold until a health answer says that it is warm; a lost
    connection or a registration as cold makes it doubtful again.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        """Start in doubt, with a low rate."""
        self._clock = clock
        self._rate = UNKNOWN_RATE
        self._tokens = float(1)
        self._refilled_at: float | None = None
        self._cold_until = float('-inf')
        self.is_doubtful = True

    @property
    def is_cold(self) -> bool:
        """Tell whether the rate holds now."""
        if not self._rate:
            return False
        return self.is_doubtful or self._clock.monotonic() < self._cold_until

    @property
    def left_seconds(self) -> float:
        """Return how long the warm-up lasts after the last health answer."""
        return max(self._cold_until - self._clock.monotonic(), 0)

    def describe(self) -> str:
        """Return the state and the figures behind it, for the log."""
        if not self.is_cold:
            return 'warm'
        state = 'doubtful' if self.is_doubtful else 'cold'
        tokens = f'{self._tokens:.1f}of{self._rate:g}'
        return f'{state}:{self.left_seconds:.1f}s:{tokens}'

    def limit_rate(self, requests_per_second: float) -> None:
        """Take the rate that a cold upstream bears; 0 means any."""
        self._rate = requests_per_second * _USED_RATE

    def confirm(self, seconds: float) -> None:
        """Take a health answer that says how long it stays cold."""
        self.is_doubtful = False
        self._cold_until = self._clock.monotonic() + seconds

    def doubt(self) -> None:
        """Treat the upstream as cold until it is confirmed warm."""
        self.is_doubtful = True

    def take(self) -> float:
        """Take the right to start a request, or return the wait for it."""
        now = self._clock.monotonic()
        self._refill(now)
        if self.is_cold and self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens = max(self._tokens - 1, 0)
        return 0

    def wait_seconds(self, starts: int) -> float:
        """Return the time until so many more requests may have started."""
        if not self.is_cold:
            return 0
        self._refill(self._clock.monotonic())
        wait = max(starts - self._tokens, 0) / self._rate
        if self.is_doubtful:
            return wait
        return min(wait, self._cold_until - self._clock.monotonic())

    def _refill(self, now: float) -> None:
        refilled_at = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = now
        capacity = max(self._rate * _BURST_SECONDS, 1)
        grown = self._tokens + (now - refilled_at) * self._rate
        self._tokens = min(grown, capacity)
