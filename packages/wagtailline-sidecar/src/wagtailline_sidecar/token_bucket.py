"""Token bucket whose rate and capacity may change over time."""

from typing import NamedTuple

# Rounding errors of refills that add up to a whole token.
_ROUNDING_TOKENS = 1e-9


class BucketLimit(NamedTuple):
    """Refill rate in tokens per second, and capacity in tokens."""

    rate: float
    capacity: float


class TokenBucket:
    """Token bucket; times are seconds of one monotonic clock."""

    def __init__(self, now: float, tokens: float = 0) -> None:
        """Set up a bucket that contains the given tokens."""
        self.tokens = tokens
        self.refilled_at = now
        self._returned_tokens = float(0)

    @property
    def whole_tokens(self) -> int:
        """Return the number of whole tokens that can be taken."""
        return int(self.tokens + _ROUNDING_TOKENS)

    def refill(self, now: float, limit: BucketLimit) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_seconds = max(now - self.refilled_at, 0)
        self.refilled_at = now
        refilled = self.tokens + elapsed_seconds * limit.rate
        self.tokens = min(refilled, limit.capacity)
        self._returned_tokens = min(
            self._returned_tokens, max(limit.capacity, 1)
        )

    def take(self, wanted: float = 1) -> bool:
        """Take tokens if there are enough; return whether there were."""
        if self._returned_tokens >= wanted:
            self._returned_tokens -= wanted
            return True
        if self.tokens + _ROUNDING_TOKENS < wanted:
            return False
        self.tokens -= wanted
        return True

    def refund(self, tokens: float) -> None:
        """Put back tokens that were not used.

        They are counted apart from the others, as the capacity may be less
        than one token. The next refill limits them to the capacity, or to
        one token if that is more.
        """
        self._returned_tokens += tokens

    def wait_seconds(self, limit: BucketLimit) -> float:
        """Return the seconds until there is one token."""
        if limit.rate <= 0:
            return float('inf')
        return max(1 - self.tokens, 0) / limit.rate
