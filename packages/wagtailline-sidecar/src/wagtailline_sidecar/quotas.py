"""One rate and burst of a client account over all daemons."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from wagtailline_sidecar.model import ClientAccount

# Daemons that were seen within this time still hold their shares.
MEMBER_MEMORY_SECONDS = 30.0


class Clock(Protocol):
    """Monotonic time in seconds."""

    def monotonic(self) -> float:
        """Return the time of the running loop."""


class Tolerance(NamedTuple):
    """How far the whole fleet may exceed an account's limit.

    In any window of ``window_seconds``, ``overage`` of the limit and
    ``slack`` requests more may run.
    """

    window_seconds: float = 5.0
    overage: float = 0.0
    slack: float = 0.0


class _Bucket:
    """Token bucket of one account in this daemon."""

    def __init__(self, now: float, capacity: float) -> None:
        self.tokens = capacity
        self.refilled_at = now


class Quotas:
    """Gives each daemon an equal share of each account's rate and burst.

    Equal shares need no messages, so partitions, restarts and late peers
    cannot add up to more than the limit. The platform's tolerance is shared
    out too and absorbs requests that arrive unevenly.
    """

    def __init__(self, clock: Clock, tolerance: Tolerance) -> None:
        """Know no daemon but this one."""
        self._clock = clock
        self._tolerance = tolerance
        self._buckets: dict[str, _Bucket] = {}
        self._members: dict[str, float] = {}

    @property
    def members(self) -> int:
        """Return the number of daemons that hold a share."""
        return max(len(self._members), 1)

    def note_members(self, hosts: set[str]) -> None:
        """Take the daemons that are known now."""
        now = self._clock.monotonic()
        self._members.update(dict.fromkeys(hosts, now))
        self._members = {
            host: seen
            for host, seen in self._members.items()
            if now - seen < MEMBER_MEMORY_SECONDS
        }

    def keep(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Drop the buckets of accounts that are gone."""
        for name in self._buckets.keys() - accounts.keys():
            self._buckets.pop(name)

    def take(self, account: ClientAccount) -> float:
        """Take one request, or return the seconds until one is there."""
        if account.rate <= 0:
            return 0
        rate, capacity = self._share(account)
        bucket = self._refill(account.name, rate, capacity)
        if bucket.tokens < 1:
            return (1 - bucket.tokens) / rate
        bucket.tokens -= 1
        return 0

    def give_back(self, account: ClientAccount) -> None:
        """Return a request that did not run."""
        bucket = self._buckets.get(account.name)
        if account.rate > 0 and bucket is not None:
            bucket.tokens += 1

    def _share(self, account: ClientAccount) -> tuple[float, float]:
        tolerance = self._tolerance
        rate = account.rate * (1 + tolerance.overage)
        burst = account.burst * (1 + tolerance.overage) + tolerance.slack
        return rate / self.members, max(burst / self.members, 1)

    def _refill(self, name: str, rate: float, capacity: float) -> _Bucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(name)
        if bucket is None:
            # A full bucket at each start would add up over restarts.
            bucket = _Bucket(now, min(capacity, 1))
            self._buckets[name] = bucket
        passed = now - bucket.refilled_at
        bucket.refilled_at = now
        bucket.tokens = min(bucket.tokens + passed * rate, capacity)
        return bucket
