"""Limit of the request rate that the local upstream names.

It holds for the requests of all daemons together, and all of them pass the
gate beside the upstream, which enforces it.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.token_bucket import BucketLimit, TokenBucket
from wagtailline_sidecar.upstream_events import (
    RateLimitEnded,
    RateLimitIgnored,
    RateLimitStarted,
)
from wagtailline_sidecar.upstream_notices import (
    RateLimitAbsent,
    RateLimitField,
    RateLimitNamed,
    RateLimitUnreadable,
    UpstreamNotice,
)

ORIGIN_RESPONSE = 'response'
ORIGIN_SENDER = 'sender'
# Lower limits count as this rate in requests per second: without any request,
# the end of a limit would go unnoticed.
MIN_RATE = 0.1
# Bucket size, as the time in which the rate refills it.
_BURST_SECONDS = 1.0
# Time constant of the average of arriving requests.
_DEMAND_SECONDS = 1.0
# With more demand than this part of the limit, the queueing delay is taken to
# be that of this part, as no queue is stable there.
_MAX_UTILISATION = 0.9


def _ignore_event(event: NamedTuple) -> None:
    """Ignore an event; the default if no observer is set."""


class RateLimit:
    """Token bucket of the limit that one instance of the upstream names.

    Until the instance has responded, a limit that a sender knows of it holds.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        observe: Callable[[NamedTuple], None] = _ignore_event,
    ) -> None:
        """Set up without a limit; ``observe`` gets an event for each change."""
        self._clock = clock
        self._observe = observe
        self._instance = ''
        self._has_responded = False
        self._rate: float | None = None
        self._bucket: TokenBucket | None = None
        self._demand = _DemandAverage()

    def describe(self) -> str:
        """Return limit and bucket level as text for a log event."""
        if self._rate is None:
            return ''
        return f'{self._refill().tokens:.1f}of{self._rate:g}'

    def apply(self, notice: UpstreamNotice) -> None:
        """Apply what a response says of the limit."""
        self.follow(notice.instance)
        self._has_responded = True
        self._apply_field(notice.limit, ORIGIN_RESPONSE)

    def adopt(self, instance: str, field: RateLimitField) -> None:
        """Apply what a sender knows, unless the instance has responded.

        A gate that has just started learns so of the limit before it has sent
        more requests than that.
        """
        if instance == self._instance and self._has_responded:
            return
        if isinstance(field, RateLimitNamed):
            self.follow(instance)
            self._apply_field(field, ORIGIN_SENDER)

    def follow(self, instance: str) -> None:
        """Forget the limit unless it is of this instance."""
        if instance != self._instance:
            self.forget()
            self._instance = instance

    def forget(self) -> None:
        """Forget the limit, because the upstream has been replaced."""
        self._end()
        self._instance = ''
        self._has_responded = False

    def record_arrival(self) -> None:
        """Count a request that asks for a start, whether it gets one or not."""
        self._demand.record(self._clock.monotonic())

    def take_token(self) -> None:
        """Count a request that starts."""
        if self._rate is not None:
            self._refill().take()

    def wait_seconds(self, starts: int) -> float:
        """Return the seconds until ``starts`` more requests may start."""
        if self._rate is None:
            return 0
        missing_tokens = max(starts - self._refill().tokens, 0)
        return missing_tokens / self._limit.rate

    def crowding_seconds(self) -> float:
        """Return the average delay that the present demand will cause.

        It is that of a queue with random arrivals and a constant rate. It
        rises long before requests have to wait, so that senders turn to other
        endpoints in time.
        """
        if self._rate is None:
            return 0
        rate = self._limit.rate
        demand = self._demand.per_second(self._clock.monotonic())
        utilisation = min(demand / rate, _MAX_UTILISATION)
        return utilisation / (2 * rate * (1 - utilisation))

    @property
    def _limit(self) -> BucketLimit:
        rate = max(self._rate or 0, MIN_RATE)
        return BucketLimit(rate, max(rate * _BURST_SECONDS, 1))

    def _apply_field(self, field: RateLimitField, origin: str) -> None:
        match field:
            case RateLimitNamed(rate=rate):
                self._start(rate, origin)
            case RateLimitAbsent():
                self._end()
            case RateLimitUnreadable(field=text):
                self._observe(RateLimitIgnored(self._instance, text))

    def _start(self, rate: float, origin: str) -> None:
        if rate == self._rate:
            return
        self._observe(RateLimitStarted(self._instance, rate, origin))
        # What the bucket gained before the change, it gained at the old rate.
        if self._rate is not None:
            self._refill()
        self._rate = rate

    def _end(self) -> None:
        if self._rate is not None:
            self._observe(RateLimitEnded(self._instance, self._rate))
        self._rate = None
        self._bucket = None

    def _refill(self) -> TokenBucket:
        now = self._clock.monotonic()
        if self._bucket is None:
            # Requests that started before the limit was known have used it.
            self._bucket = TokenBucket(now)
        self._bucket.refill(now, self._limit)
        return self._bucket


class _DemandAverage:
    """Exponentially decaying average of requests per second."""

    def __init__(self) -> None:
        self._requests = float(0)
        self._updated_at = float('-inf')

    def record(self, now: float) -> None:
        self._requests = self._decayed(now) + 1
        self._updated_at = now

    def per_second(self, now: float) -> float:
        return self._decayed(now) / _DEMAND_SECONDS

    def _decayed(self, now: float) -> float:
        elapsed_seconds = now - self._updated_at
        return self._requests * math.exp(-elapsed_seconds / _DEMAND_SECONDS)
