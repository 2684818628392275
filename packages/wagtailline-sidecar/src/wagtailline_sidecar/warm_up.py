"""Rate limit for an upstream that is or may be cold."""

from wagtailline.ports import MonotonicClock

# Limit in requests per second until the configuration is known.
INITIAL_RATE = 2.0
# Bucket size, as the time in which the rate refills it.
_BURST_SECONDS = 0.5
# Multiple of the configured rate that is used; a cold upstream must never
# get more than 1.5 times the configured rate.
_RATE_FACTOR = 1.2


class WarmUp:
    """Token bucket that limits request starts while the upstream is cold.

    The state of the upstream is in doubt until a health check confirms it, and
    again after a lost connection or a registration as cold. As long as it is
    in doubt, the upstream counts as cold.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        """Set up a low rate and an upstream whose state is in doubt."""
        self._clock = clock
        self._rate = INITIAL_RATE
        self._tokens = float(1)
        self._refilled_at: float | None = None
        self._cold_until = float('-inf')
        self.is_doubtful = True

    @property
    def is_cold(self) -> bool:
        """Return whether the rate limit applies now."""
        if not self._rate:
            return False
        return self.is_doubtful or self._clock.monotonic() < self._cold_until

    @property
    def remaining_seconds(self) -> float:
        """Return the seconds left of the last reported warm-up."""
        return max(self._cold_until - self._clock.monotonic(), 0)

    def describe(self) -> str:
        """Return the state and the bucket level as text for a log event."""
        if not self.is_cold:
            return 'warm'
        state = 'doubtful' if self.is_doubtful else 'cold'
        tokens = f'{self._tokens:.1f}of{self._rate:g}'
        return f'{state}:{self.remaining_seconds:.1f}s:{tokens}'

    def limit_rate(self, requests_per_second: float) -> None:
        """Set the requests per second that a cold upstream can handle.

        A rate of 0 means that it needs no limit.
        """
        self._rate = requests_per_second * _RATE_FACTOR

    def confirm(self, warm_up_seconds: float) -> None:
        """Record the seconds of warm-up that a health check reported."""
        self.is_doubtful = False
        self._cold_until = self._clock.monotonic() + warm_up_seconds

    def mark_doubtful(self) -> None:
        """Treat the upstream as cold until the next ``confirm``."""
        self.is_doubtful = True

    def take_token(self) -> float:
        """Take a token to start a request.

        Return 0, or the seconds until there is a token if none was taken.
        """
        now = self._clock.monotonic()
        self._refill(now)
        if self.is_cold and self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens = max(self._tokens - 1, 0)
        return 0

    def wait_seconds(self, starts: int) -> float:
        """Return the seconds until ``starts`` more requests may start."""
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
        refilled = self._tokens + (now - refilled_at) * self._rate
        self._tokens = min(refilled, capacity)
