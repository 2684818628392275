"""Rate limit for an upstream that is or may be cold."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.token_bucket import BucketLimit, TokenBucket

# Limit in requests per second until the configuration is known.
INITIAL_RATE = 2.0
# Bucket size, as the time in which the rate refills it.
_BURST_SECONDS = 0.5
# Fraction of the tolerated excess over the configured rate that is used
# continuously.
_OVERAGE_FRACTION = 0.4
# Fraction of the tolerated requests in one second that is used, because
# requests may reach the upstream closer together than they were sent.
_TOLERANCE_FRACTION = 0.9
# Time for which requests in an upstream count for the tolerance.
_TOLERANCE_SECONDS = 1.0
# Fraction of the usable requests of one second after which a warm upstream is
# asked whether it still is. Some more may start until it has answered.
_UNCONFIRMED_FRACTION = 0.75
# The limit never falls below this fraction of the configured rate.
_MIN_RATE_FRACTION = 0.1


def _ignore_excess() -> None:
    """Ignore an excess; the default if no observer is set."""


class WarmUpTolerance(NamedTuple):
    """Requests that a cold upstream may get in any second.

    They are ``overage`` times the rate that it can handle, plus ``slack``.
    """

    overage: float = 1
    slack: float = 0

    def max_requests(self, rate: float) -> float:
        """Return the requests in one second that ``rate`` tolerates."""
        return self.overage * rate + self.slack

    def usable_requests(self, rate: float) -> float:
        """Return how many of them are used."""
        return self.max_requests(rate) * _TOLERANCE_FRACTION

    def limit_for(self, rate: float) -> BucketLimit:
        """Return a limit that stays within the tolerance in any second.

        In one second, a bucket lets through its rate and its capacity.
        """
        usable = self.usable_requests(rate)
        wanted_rate = rate * (1 + (self.overage - 1) * _OVERAGE_FRACTION)
        limited_rate = max(
            min(wanted_rate, usable - 1), rate * _MIN_RATE_FRACTION
        )
        capacity = min(limited_rate * _BURST_SECONDS, usable - limited_rate)
        return BucketLimit(limited_rate, max(capacity, 1))


class WarmUp:
    """Token bucket that limits request starts while the upstream is cold.

    The state of the upstream is in doubt until a health check confirms it, and
    again after a lost connection or a registration as cold. As long as it is
    in doubt, the upstream counts as cold. ``on_excess`` is called at starts
    that would soon be too many if the upstream had become cold.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        tolerance: Callable[[], WarmUpTolerance] = WarmUpTolerance,
    ) -> None:
        """Set up a low rate and an upstream whose state is in doubt."""
        self._clock = clock
        self._tolerance = tolerance
        self._limit = BucketLimit(INITIAL_RATE, 1)
        self._bucket: TokenBucket | None = None
        self._cold_until = float('-inf')
        self._usable_requests = float(0)
        # Times of the starts of the last second since the upstream was known
        # to be warm.
        self._unconfirmed_starts: deque[float] = deque()
        self.is_doubtful = True
        self.on_excess: Callable[[], None] = _ignore_excess

    @property
    def is_cold(self) -> bool:
        """Return whether the rate limit applies now."""
        if not self._limit.rate:
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
        tokens = f'{self._refill().tokens:.1f}of{self._limit.rate:g}'
        return f'{state}:{self.remaining_seconds:.1f}s:{tokens}'

    def limit_rate(self, requests_per_second: float) -> None:
        """Set the requests per second that a cold upstream can handle.

        A rate of 0 means that it needs no limit.
        """
        if requests_per_second > 0:
            tolerance = self._tolerance()
            self._limit = tolerance.limit_for(requests_per_second)
            self._usable_requests = tolerance.usable_requests(
                requests_per_second
            )
        else:
            self._limit = BucketLimit(0, 0)

    def confirm(self, warm_up_seconds: float) -> None:
        """Record the seconds of warm-up that a health check reported.

        An upstream that has become cold got the latest requests without limit,
        so it gets fewer for a moment.
        """
        was_cold = self.is_cold
        self.is_doubtful = False
        self._cold_until = self._clock.monotonic() + warm_up_seconds
        if self.is_cold and not was_cold:
            self._charge_unconfirmed_starts()
        self._unconfirmed_starts.clear()

    def settle(self) -> None:
        """End a doubt that proved wrong; the last ``confirm`` holds again."""
        self.is_doubtful = False

    def mark_doubtful(self) -> None:
        """Treat the upstream as cold until the next ``confirm``."""
        self.is_doubtful = True

    def take_token(self) -> float:
        """Take a token to start a request.

        Return 0, or the seconds until there is a token if none was taken.
        """
        bucket = self._refill()
        has_taken = bucket.take()
        if not self.is_cold:
            if self._limit.rate:
                self._count_unconfirmed_start()
            return 0
        return 0 if has_taken else bucket.wait_seconds(self._limit)

    def _count_unconfirmed_start(self) -> None:
        starts = self._unconfirmed_starts
        starts.append(self._clock.monotonic())
        self._drop_old_starts()
        if len(starts) >= self._usable_requests * _UNCONFIRMED_FRACTION:
            self.on_excess()

    def _drop_old_starts(self) -> None:
        earliest = self._clock.monotonic() - _TOLERANCE_SECONDS
        starts = self._unconfirmed_starts
        while starts and starts[0] < earliest:
            starts.popleft()

    def _charge_unconfirmed_starts(self) -> None:
        """Leave no more tokens than the last second has left."""
        self._drop_old_starts()
        left = self._usable_requests - len(self._unconfirmed_starts)
        bucket = self._refill()
        # At the worst, nothing starts for the time that the tolerance counts.
        least = -self._limit.rate * _TOLERANCE_SECONDS
        bucket.tokens = max(min(bucket.tokens, left - self._limit.rate), least)

    def wait_seconds(self, starts: int) -> float:
        """Return the seconds until ``starts`` more requests may start."""
        if not self.is_cold:
            return 0
        missing_tokens = max(starts - self._refill().tokens, 0)
        wait = missing_tokens / self._limit.rate
        if self.is_doubtful:
            return wait
        return min(wait, self._cold_until - self._clock.monotonic())

    def _refill(self) -> TokenBucket:
        now = self._clock.monotonic()
        if self._bucket is None:
            self._bucket = TokenBucket(now, 1)
        self._bucket.refill(now, self._limit)
        return self._bucket
