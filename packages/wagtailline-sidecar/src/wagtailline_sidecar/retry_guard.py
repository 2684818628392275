"""Withholds retries of requests that crash their upstreams."""

from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.crash_history import CRASH_MEMORY_SECONDS
from wagtailline_sidecar.crash_keepers import CrashKeepers

# A request that crashed so many upstreams, with no answer in between, is sent
# to one upstream each time that it comes.
MAX_CRASHES = 3
DIGEST_BYTES = 16
# Requests whose next answer is reported to the keepers of their history.
MAX_WATCHED = 1024


class FailedAttempt(NamedTuple):
    """Attempt whose request may have run.

    With ``is_crash``, the upstream ended its connection before the answer was
    complete, ``ran_seconds`` after the request had been sent.
    """

    request_id: str
    ran_seconds: float
    is_crash: bool


class RetryWithheld(NamedTuple):
    """Event: a request that crashes its upstreams was not sent to another.

    ``digest`` is equal for equal requests, and ``crashes`` counts those since
    the last answer to one of them, over all daemons.
    """

    request: str
    digest: str
    crashes: int


class _Watched(NamedTuple):
    crashes: int
    until: float


class RetryGuard:
    """Decides whether a request whose attempt failed may be sent again."""

    def __init__(
        self,
        keepers: CrashKeepers,
        clock: MonotonicClock,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up a guard that watches no request."""
        self._keepers = keepers
        self._clock = clock
        self._observe = observe
        self._watched: dict[bytes, _Watched] = {}

    @property
    def is_watching(self) -> bool:
        """Return whether the answer to some request is of interest."""
        return bool(self._watched)

    async def permits(self, digest: bytes, attempt: FailedAttempt) -> bool:
        """Report a failed attempt; return whether the request may be retried.

        It may unless it has crashed too many upstreams of the whole system.
        """
        crashes = await self._keepers.report(
            digest, attempt.ran_seconds, is_crash=attempt.is_crash
        )
        if crashes:
            self._watch(digest, crashes)
        return self._decide(digest, attempt.request_id, crashes)

    def record_crash(self, digest: bytes, attempt: FailedAttempt) -> None:
        """Record the crash of a request that can't be retried anyway.

        A later copy of it may have a retry left.
        """
        crashes = self._keepers.tell(digest, attempt.ran_seconds)
        self._watch(digest, max(crashes, self._find_crashes(digest)))

    async def permits_again(self, digest: bytes, request_id: str) -> bool:
        """Return whether a request that crashed nothing now may be retried.

        It may have crashed upstreams before, which the whole system has to
        know.
        """
        crashes = self._find_crashes(digest)
        if crashes < MAX_CRASHES:
            counted = await self._keepers.count(digest)
            if counted > crashes:
                crashes = counted
                self._watch(digest, crashes)
        return self._decide(digest, request_id, crashes)

    def permits_known(self, digest: bytes, request_id: str) -> bool:
        """Return whether this daemon knows nothing that forbids a retry."""
        crashes = self._find_crashes(digest)
        return self._decide(digest, request_id, crashes)

    def record_answer(self, digest: bytes) -> None:
        """Clear a request that an upstream has answered."""
        if self._find_crashes(digest):
            self._watched.pop(digest)
            self._keepers.clear(digest)

    def _watch(self, digest: bytes, crashes: int) -> None:
        self._watched.pop(digest, None)
        until = self._clock.monotonic() + CRASH_MEMORY_SECONDS
        self._watched[digest] = _Watched(crashes, until)
        if len(self._watched) > MAX_WATCHED:
            self._watched.pop(next(iter(self._watched)))

    def _find_crashes(self, digest: bytes) -> int:
        watched = self._watched.get(digest)
        if watched is None:
            return 0
        if watched.until <= self._clock.monotonic():
            self._watched.pop(digest)
            return 0
        return watched.crashes

    def _decide(self, digest: bytes, request_id: str, crashes: int) -> bool:
        if crashes < MAX_CRASHES:
            return True
        self._observe(RetryWithheld(request_id, digest.hex(), crashes))
        return False


def digest_request(
    service: str, method: str, target: str, content: bytes
) -> bytes:
    """Return a digest that is equal for equal requests to a service."""
    head = f'{service}\n{method}\n{target}\n'.encode()
    return blake2b(head + content, digest_size=DIGEST_BYTES).digest()
