"""Keeps a cold upstream within the rate that it bears."""

from typing import Protocol

# An upstream that served nothing for this long may have become cold.
IDLE_SECONDS = 2.0
# Requests above the rate that may start at once, as a part of a second.
_BURST_SECONDS = 0.5


class Clock(Protocol):
    """Monotonic time in seconds."""

    def monotonic(self) -> float:
        """Return the time of the running loop."""


class WarmUp:
    """Limits the starts of requests while the upstream is or may be cold.

    It counts as cold until a health answer or its registration says that it
    is warm; a lost connection makes it doubtful again.
    """

    def __init__(self, clock: Clock) -> None:
        """Start in doubt and without a limit."""
        self._clock = clock
        self._rate = float(0)
        self._tokens = float(1)
        self._refilled_at = float('-inf')
        self._cold_until = float('-inf')
        self._started_at = float('-inf')
        self.is_doubtful = True

    @property
    def is_cold(self) -> bool:
        """Tell whether the rate holds now."""
        if not self._rate:
            return False
        return self.is_doubtful or self._clock.monotonic() < self._cold_until

    def set_rate(self, requests_per_second: float) -> None:
        """Take the rate that a cold upstream bears; 0 means any."""
        self._rate = requests_per_second

    def note_cold(self, seconds: float) -> None:
        """Note how long the upstream stays cold."""
        until = self._clock.monotonic() + seconds
        self._cold_until = max(self._cold_until, until)

    def confirm(self, seconds: float) -> None:
        """Take a health answer that says how long it stays cold."""
        self.is_doubtful = False
        self._cold_until = self._clock.monotonic() + seconds

    def doubt(self) -> None:
        """Treat the upstream as cold until it is confirmed warm."""
        self.is_doubtful = True

    def doubt_after_idleness(self) -> None:
        """Doubt an upstream that has served nothing for a while."""
        if self._clock.monotonic() - self._started_at > IDLE_SECONDS:
            self.is_doubtful = True

    def take(self) -> float:
        """Take the right to start a request, or return the wait for it."""
        now = self._clock.monotonic()
        self._refill(now)
        if self.is_cold and self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens = max(self._tokens - 1, 0)
        self._started_at = now
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
        passed = now - self._refilled_at
        self._refilled_at = now
        capacity = max(self._rate * _BURST_SECONDS, 1)
        if passed * self._rate >= capacity:
            self._tokens = capacity
        else:
            self._tokens = min(self._tokens + passed * self._rate, capacity)
