"""State of a borrower for one limit: tokens, callers, demand and issuers."""

import asyncio
from collections import deque
from math import exp

from wagtailline.allowance._elapsed import ClockReading
from wagtailline.allowance._messages import Grant, SpentReport

# Time constant of the moving average of the demand.
DEMAND_AVERAGING_SECONDS = 0.5


class HeldGrant:
    """Granted tokens, valid until either clock reaches its deadline."""

    def __init__(
        self,
        endpoint: str,
        grant: Grant,
        sent_at: ClockReading,
        lifetime_seconds: float,
    ) -> None:
        """Create the grant; its lifetime counts from before the request."""
        self.endpoint = endpoint
        self.issuer = grant.issuer
        self.number = grant.grant
        self.unspent = grant.tokens
        self.spent = 0
        self.returned = 0
        self.reported = 0
        self.burst = grant.burst
        self.deadline = ClockReading(
            sent_at.monotonic + lifetime_seconds,
            sent_at.wall + lifetime_seconds,
        )

    def is_valid(self, now: ClockReading) -> bool:
        """Return whether the tokens may still be spent."""
        return (
            now.monotonic < self.deadline.monotonic
            and now.wall < self.deadline.wall
        )

    def close(self) -> None:
        """Mark the unspent tokens as returned, so that none can be spent."""
        self.returned = self.unspent
        self.unspent = 0
        self.reported = -1

    def take_report(self) -> SpentReport:
        """Return a report of the tokens spent so far and mark it as sent."""
        self.reported = self.spent
        return SpentReport(
            self.number,
            self.spent,
            not self.unspent,
            self.returned,
        )

    def scale_to(self, burst: int) -> None:
        """Reduce the unspent tokens in proportion to a lowered burst."""
        if burst < self.burst:
            self.unspent = self.unspent * burst // self.burst
            self.burst = burst


class IssuerState:
    """State that a borrower keeps for one issuer of a limit."""

    def __init__(self, endpoint: str, is_local: bool) -> None:
        """Create the state of an issuer that may be asked at once."""
        self.endpoint = endpoint
        self.is_local = is_local
        self.ready_at: float = 0
        self.request_task: asyncio.Task[None] | None = None
        self.round_trip_seconds: float = 0


class Waiter:
    """Caller that waits for a token until its deadline."""

    def __init__(self, deadline: float) -> None:
        """Create a waiter that is neither admitted nor refused yet."""
        self.deadline = deadline
        self.admitted: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, admitted: bool) -> None:
        """Admit or refuse the caller unless that is decided already."""
        if not self.admitted.done():
            self.admitted.set_result(admitted)


class BorrowedLimit:
    """Grants, waiting callers, recent demand and issuers of one limit."""

    def __init__(self, limit: str, now: float) -> None:
        """Create a limit without tokens."""
        self.limit = limit
        self.burst = 0
        self.rate: float = 0
        self.issuers: dict[str, IssuerState] = {}
        self.issuer_order: tuple[IssuerState, ...] = ()
        self.waiters: deque[Waiter] = deque()
        self.refill_task: asyncio.Task[None] | None = None
        self.blocked_until: float = 0
        self.last_used_at = now
        self._grants: deque[HeldGrant] = deque()
        self._closed_grants: list[HeldGrant] = []
        self._demand: float = 0
        self._demand_at = now

    @property
    def available(self) -> int:
        """Return the number of unspent tokens, including expired ones."""
        return sum(grant.unspent for grant in self._grants)

    def record_demand(self, now: float) -> None:
        """Count one call in the average demand."""
        self._demand = 1 / DEMAND_AVERAGING_SECONDS + self._decayed_demand(now)
        self._demand_at = now
        self.last_used_at = now

    def demand_rate(self, now: float) -> float:
        """Return the recent average of calls per second."""
        return self._decayed_demand(now)

    def spend(self, now: ClockReading) -> bool:
        """Spend a valid token and return whether there was one."""
        while self._grants:
            grant = self._grants[0]
            if grant.unspent and grant.is_valid(now):
                grant.unspent -= 1
                grant.spent += 1
                if not grant.unspent:
                    self._close_first_grant()
                return True
            self._close_first_grant()
        return False

    def serve_waiters(self, now: ClockReading) -> None:
        """Admit waiting callers, first come first served, while tokens last."""
        while self.waiters:
            if self.waiters[0].admitted.done():
                self.waiters.popleft()
            elif self.spend(now):
                self.waiters.popleft().resolve(admitted=True)
            else:
                return

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a caller and refuse it if it was not admitted."""
        waiter.resolve(admitted=False)
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def add_grant(self, grant: HeldGrant) -> None:
        """Add a grant, reduced if the limit was lowered since it was issued."""
        grant.scale_to(self.burst)
        self._grants.append(grant)

    def change_limit(self, burst: int, rate: float) -> None:
        """Replace the limit and reduce held grants; zero withdraws it."""
        self.burst = burst
        self.rate = rate
        for grant in self._grants:
            grant.scale_to(burst)

    def take_reports(
        self, endpoint: str
    ) -> tuple[str, tuple[SpentReport, ...]]:
        """Return unsent reports on an endpoint's grants, marked as sent.

        The first item is the key of the process that issued the grants.
        """
        unreported = [
            grant
            for grant in (*self._closed_grants, *self._grants)
            if grant.endpoint == endpoint and _is_unreported(grant)
        ]
        if not unreported:
            return '', ()
        # Grant numbers are unique only within one process, so a message must
        # not mix the grants of an issuer with those of its replacement.
        issuer = unreported[-1].issuer
        reports = tuple(
            grant.take_report()
            for grant in unreported
            if grant.issuer == issuer
        )
        self._closed_grants = list(filter(_is_unreported, self._closed_grants))
        return issuer, reports

    def unreported_issuers(self) -> tuple[str, ...]:
        """Return the endpoints of issuers that are owed a report.

        They are ordered by grant; the order of a set would differ between
        simulation runs with equal seeds.
        """
        grants = (*self._closed_grants, *self._grants)
        unreported = filter(_is_unreported, grants)
        return tuple(dict.fromkeys(grant.endpoint for grant in unreported))

    def close_surplus(self, wanted: int, now: ClockReading) -> bool:
        """Close expired and surplus grants; return whether any was closed.

        Grants are closed whole, the newest first, while the wanted number of
        tokens remains.
        """
        surplus = self.available - wanted
        closed_count = len(self._closed_grants)
        for grant in reversed(tuple(self._grants)):
            if grant.unspent > surplus and grant.is_valid(now):
                continue
            surplus -= grant.unspent
            self._grants.remove(grant)
            grant.close()
            self._closed_grants.append(grant)
        return len(self._closed_grants) > closed_count

    def _close_first_grant(self) -> None:
        grant = self._grants.popleft()
        grant.close()
        self._closed_grants.append(grant)

    def _decayed_demand(self, now: float) -> float:
        elapsed = now - self._demand_at
        return self._demand * exp(-elapsed / DEMAND_AVERAGING_SECONDS)


def _is_unreported(grant: HeldGrant) -> bool:
    return grant.reported != grant.spent
