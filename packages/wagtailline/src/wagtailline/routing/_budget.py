"""Retry budget over a sliding time window."""

import math
from collections import deque
from typing import NamedTuple

from wagtailline.ports import MonotonicClock

WINDOW_SECONDS = 10
RETRY_RATIO = 0.1
MIN_RETRIES_PER_SECOND = 1
MAX_ATTEMPTS = 3
# A retry arrives at its upstream within this time, after queues and links.
_ARRIVAL_SECONDS = 1.0
_BUCKET_SECONDS = 0.5


class BudgetUse(NamedTuple):
    """Retries of the last window: how many were spent and may be in total."""

    spent: float
    allowed: float


class RetryBudget:
    """Limits the retries of one service to a share of its recent calls.

    Within the window it allows ``ratio`` retries for each call plus a constant
    rate of retries, which serves services with little traffic. That holds for
    any window, wherever it begins. ``min_retries`` is that constant part, in
    retries per window; the owner may change it.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        ratio: float = RETRY_RATIO,
        min_retries_per_second: float = MIN_RETRIES_PER_SECOND,
        window_seconds: float = WINDOW_SECONDS,
    ) -> None:
        """Create a budget with no recorded calls."""
        self._clock = clock
        self._ratio = ratio
        self.min_retries = min_retries_per_second * window_seconds
        self._calls = _SlidingSum(window_seconds - _BUCKET_SECONDS)
        self._retries = _SlidingSum(window_seconds + _ARRIVAL_SECONDS)

    def record_call(self) -> None:
        """Count the first attempt of a call; retries are not counted here."""
        self._calls.add(self._clock.monotonic(), 1)

    def use(self) -> BudgetUse:
        """Return the use of the budget in the window that ends now."""
        now = self._clock.monotonic()
        return BudgetUse(
            self._retries.find(now),
            self._calls.find(now) * self._ratio + self.min_retries,
        )

    def try_acquire(self) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        if not self.has_room(1):
            return False
        self.spend(1)
        return True

    def has_room(self, retries: float) -> bool:
        """Return whether so many more retries are within the budget."""
        spent, allowed = self.use()
        return spent + retries <= allowed

    def spend(self, retries: float) -> None:
        """Count retries; a fraction is the probability of one."""
        self._retries.add(self._clock.monotonic(), retries)


class _Bucket(NamedTuple):
    number: int
    amount: float


class _SlidingSum:
    """Sum of the amounts of the last ``seconds``.

    An amount counts for up to the length of a bucket longer.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._buckets: deque[_Bucket] = deque()
        self._total = float(0)

    def add(self, now: float, amount: float) -> None:
        number = math.floor(now / _BUCKET_SECONDS)
        if self._buckets and self._buckets[-1].number == number:
            amount_before = self._buckets.pop().amount
            self._buckets.append(_Bucket(number, amount_before + amount))
        else:
            self._buckets.append(_Bucket(number, amount))
        self._total += amount

    def find(self, now: float) -> float:
        ended_by = math.floor((now - self._seconds) / _BUCKET_SECONDS)
        while self._buckets and self._buckets[0].number < ended_by:
            self._total -= self._buckets.popleft().amount
        if not self._buckets:
            self._total = float(0)
        return self._total
