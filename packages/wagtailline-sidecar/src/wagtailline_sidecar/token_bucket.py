"""Token bucket whose rate and capacity may change."""

from typing import NamedTuple


class BucketLimit(NamedTuple):
    """Tokens per second, and the most that may be there."""

    rate: float
    capacity: float


class TokenBucket:
    """Counts tokens; times are seconds of one monotonic clock."""

    def __init__(self, now: float, tokens: float = 0) -> None:
        """Begin with the given tokens."""
        self.tokens = tokens
        self.refilled_at = now
        self._returned = float(0)

    def refill(self, now: float, limit: BucketLimit) -> None:
        """Add what the time since the last call brings."""
        passed = max(now - self.refilled_at, 0)
        self.refilled_at = now
        grown = self.tokens + passed * limit.rate
        self.tokens = min(grown, limit.capacity)
        self._returned = min(self._returned, max(limit.capacity, 1))

    def take(self, wanted: float = 1) -> bool:
        """Take tokens if there are as many."""
        if self._returned >= wanted:
            self._returned -= wanted
            return True
        if self.tokens < wanted:
            return False
        self.tokens -= wanted
        return True

    def give_back(self, tokens: float) -> None:
        """Return tokens that were not used.

        They go beyond the capacity, which may be below one token, by one
        capacity at most.
        """
        self._returned += tokens

    def wait_seconds(self, limit: BucketLimit) -> float:
        """Return the time until one token is there."""
        if limit.rate <= 0:
            return float('inf')
        return max(1 - self.tokens, 0) / limit.rate
