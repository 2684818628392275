"""Memory of requests that crashed the upstreams which ran them."""

from typing import NamedTuple

from wagtailline.ports import MonotonicClock

# Without another crash, a request is forgotten after this time.
CRASH_MEMORY_SECONDS = 900.0
MAX_REQUESTS = 4096


class _Crashes(NamedTuple):
    number: int
    counted_at: float


class CrashHistory:
    """Crashes of each request since an upstream last answered an equal one.

    A request that crashes its upstreams never gets an answer. One that was
    only at work where an upstream was killed gets one at the next. Crashes
    that overlap count once, as many equal requests are at work when an
    upstream or a whole rack is lost.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        """Set up an empty history."""
        self._clock = clock
        self._crashes: dict[bytes, _Crashes] = {}

    def record(self, digest: bytes, ran_seconds: float) -> int:
        """Record that a request crashed after it had run for some time.

        Return the number of crashes that count.
        """
        now = self._clock.monotonic()
        count = self.count(digest)
        previous = self._crashes.pop(digest, None)
        if previous is None or now - ran_seconds > previous.counted_at:
            previous = _Crashes(count + 1, now)
        # A request that crashed again is the last one to be dropped.
        self._crashes[digest] = previous
        if len(self._crashes) > MAX_REQUESTS:
            self._crashes.pop(next(iter(self._crashes)))
        return previous.number

    def count(self, digest: bytes) -> int:
        """Return the number of crashes of a request that count."""
        crashes = self._crashes.get(digest)
        if crashes is None:
            return 0
        if self._clock.monotonic() - crashes.counted_at > CRASH_MEMORY_SECONDS:
            self._crashes.pop(digest)
            return 0
        return crashes.number

    @property
    def is_empty(self) -> bool:
        """Return whether no request has crashed an upstream lately."""
        self._drop_oldest()
        return not self._crashes

    def forget(self, digest: bytes) -> None:
        """Forget a request that an upstream has answered."""
        self._crashes.pop(digest, None)

    def _drop_oldest(self) -> None:
        """Drop requests whose time is over, in the order of their crashes."""
        oldest = next(iter(self._crashes), None)
        while oldest is not None and not self.count(oldest):
            oldest = next(iter(self._crashes), None)
