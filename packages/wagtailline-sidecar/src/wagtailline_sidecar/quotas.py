"""One rate and burst of a client account over all daemons."""

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

from wagtailline.placement import owner
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.demand import Demand
from wagtailline_sidecar.model import ClientAccount
from wagtailline_sidecar.token_bucket import BucketLimit, TokenBucket

# Daemons that were seen within this time still hold their shares.
MEMBER_MEMORY_SECONDS = 30.0
_FORGET_PERIOD_SECONDS = 1.0
# Part of a limit that the daemons hold themselves, by demand. The rest is at
# the account's issuer, for whoever has used up its own.
LOCAL_PART = 0.4
# A limit whose equal shares are smaller than this is wholly at its issuer.
_LEAST_SHARE_TOKENS = 1
# An issuer that was another daemon's lends nothing while that may still lend.
ISSUER_START_SECONDS = 2.0
# A refused client asks again after this time at the latest: an issuer that is
# silent now may answer then.
MAX_WAIT_SECONDS = 2.0
# Time after the start in which the first issuers are found.
_FIRST_ISSUERS_SECONDS = 2.0


class Tolerance(NamedTuple):
    """How far the whole fleet may exceed an account's limit.

    In any window of ``window_seconds``, ``overage`` of the limit and
    ``slack`` requests more may run.
    """

    window_seconds: float = 5.0
    overage: float = 0
    slack: float = 0

    def extend(self, account: ClientAccount) -> BucketLimit:
        """Return the limit of an account with the tolerance added."""
        factor = 1 + self.overage
        return BucketLimit(
            account.rate * factor, account.burst * factor + self.slack
        )


class Members:
    """Daemons that hold a share of each limit."""

    def __init__(self, clock: MonotonicClock) -> None:
        """Know no daemon."""
        self._clock = clock
        self._seen: dict[str, float] = {}
        self._present: tuple[str, ...] = ()
        self._issuers: dict[str, str | None] = {}
        self._forgotten_at = float('-inf')

    @property
    def hosts(self) -> frozenset[str]:
        """Return the hosts that were present a short time ago."""
        self._forget_old()
        return frozenset(self._seen)

    def __len__(self) -> int:
        """Return the number of daemons, at least this one."""
        self._forget_old()
        return max(len(self._seen), 1)

    def issuer(self, account: str) -> str | None:
        """Return the present daemon that is the issuer of an account."""
        if account not in self._issuers:
            self._issuers[account] = owner(account, self._present)
        return self._issuers[account]

    def note(self, hosts: set[str]) -> None:
        """Take the daemons that are present from now on."""
        now = self._clock.monotonic()
        self._seen.update(dict.fromkeys((*self._present, *hosts), now))
        if hosts != set(self._present):
            self._present = tuple(sorted(hosts))
            # To rank every host for an account takes long in large fleets.
            self._issuers.clear()
        self._forgotten_at = float('-inf')

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        if now - self._forgotten_at < _FORGET_PERIOD_SECONDS:
            return
        self._forgotten_at = now
        self._seen = {
            host: seen
            for host, seen in self._seen.items()
            if host in self._present or now - seen < MEMBER_MEMORY_SECONDS
        }

    def local_part(self, limit: BucketLimit) -> float:
        """Return the part of a limit that daemons hold themselves."""
        smallest = limit.capacity * LOCAL_PART / len(self)
        return LOCAL_PART if smallest >= _LEAST_SHARE_TOKENS else 0


class Loan(NamedTuple):
    """What an issuer lends; ``wait_seconds`` tells when there is more."""

    tokens: int
    wait_seconds: float


Borrow = Callable[[str, ClientAccount, int], Awaitable[Loan | None]]
"""Asks a host for tokens of an account; None without an answer."""


class TokenIssuer:
    """Buckets of the accounts whose issuer this daemon is."""

    def __init__(
        self,
        host: str,
        clock: MonotonicClock,
        tolerance: Callable[[], Tolerance],
        members: Members,
    ) -> None:
        """Lend nothing before the accounts are known."""
        self._host = host
        self._members = members
        self._clock = clock
        self._tolerance = tolerance
        self._started_at = clock.monotonic()
        self._buckets: dict[str, TokenBucket] = {}
        self._accounts: Mapping[str, ClientAccount] = {}

    def keep(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Take the accounts in force; issuers lie among present daemons."""
        now = self._clock.monotonic()
        # A restarted daemon takes over from itself, and its bucket is empty.
        is_first = now - self._started_at < _FIRST_ISSUERS_SECONDS
        start = now if is_first else now + ISSUER_START_SECONDS
        former, self._buckets = self._buckets, {}
        self._accounts = accounts
        for name in accounts:
            if self._members.issuer(name) == self._host:
                bucket = former.get(name) or TokenBucket(start)
                self._buckets[name] = bucket

    def lend(self, name: str, wanted: int) -> Loan:
        """Lend tokens of an account, as many as there are."""
        account, bucket = self._accounts.get(name), self._buckets.get(name)
        if account is None or bucket is None:
            return Loan(0, ISSUER_START_SECONDS)
        whole = self._tolerance().extend(account)
        part = 1 - self._members.local_part(whole)
        limit = BucketLimit(whole.rate * part, whole.capacity * part)
        now = self._clock.monotonic()
        if now >= bucket.refilled_at:
            bucket.refill(now, limit)
        lent = min(wanted, int(bucket.tokens))
        if lent > 0 and bucket.take(lent):
            return Loan(lent, 0)
        return Loan(0, bucket.wait_seconds(limit))


class Quotas:
    """This daemon's part of each account's limit.

    Local parts follow the reported demand and add up to one; a daemon that
    is not heard of keeps an equal part. Partitions and restarts therefore
    cannot add up to more than the limit.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        tolerance: Callable[[], Tolerance],
        demand: Demand,
        members: Members,
        borrow: Borrow,
    ) -> None:
        """Borrow from issuers when the own part is used up."""
        self._clock = clock
        self._demand = demand
        self._tolerance = tolerance
        self._borrow = borrow
        self._buckets: dict[str, TokenBucket] = {}
        self._members = members
        self._accounts: Mapping[str, ClientAccount] = {}

    def keep(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Drop the buckets of accounts that are gone, and begin new ones."""
        self._accounts = accounts
        for name in self._buckets.keys() - accounts.keys():
            self._buckets.pop(name)
        for account in accounts.values():
            if account.name not in self._buckets:
                self._refill(account)

    async def take(self, account: ClientAccount) -> float:
        """Take one request, or return the seconds until one is there."""
        if account.rate <= 0:
            return 0
        self._demand.count(account.name)
        bucket = self._refill(account)
        if bucket.take():
            return 0
        wait = bucket.wait_seconds(self._limit(account))
        wait = min(wait, MAX_WAIT_SECONDS)
        issuer = self._members.issuer(account.name)
        if issuer is None:
            return wait
        loan = await self._borrow(issuer, account, 1)
        if loan is None:
            return wait
        if loan.tokens:
            bucket.give_back(loan.tokens - 1)
            return 0
        return min(wait, loan.wait_seconds)

    def give_back(self, account: ClientAccount) -> None:
        """Return a request that did not run."""
        bucket = self._buckets.get(account.name)
        if account.rate > 0 and bucket is not None:
            bucket.give_back(1)

    def is_shared(self, name: str) -> bool:
        """Tell whether daemons hold shares of an account's limit."""
        account = self._accounts.get(name)
        if account is None or account.rate <= 0:
            return False
        return self._members.local_part(self._tolerance().extend(account)) > 0

    def describe(self, account: ClientAccount) -> str:
        """Return the figures behind a decision, for the log."""
        share = self._demand.share(account.name, self._members.hosts)
        bucket = self._buckets.get(account.name)
        tokens = bucket.tokens if bucket else 0
        return f'share={share:.3f} tokens={tokens:.1f} of={len(self._members)}'

    def _limit(self, account: ClientAccount) -> BucketLimit:
        whole = self._tolerance().extend(account)
        share = self._demand.share(account.name, self._members.hosts)
        part = share * self._members.local_part(whole)
        return BucketLimit(whole.rate * part, whole.capacity * part)

    def _refill(self, account: ClientAccount) -> TokenBucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # A full bucket at each start would add up over restarts.
            bucket = TokenBucket(now)
            self._buckets[account.name] = bucket
        bucket.refill(now, self._limit(account))
        return bucket
