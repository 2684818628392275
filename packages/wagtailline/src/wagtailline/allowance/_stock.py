"""Tokens of one limit that a borrower holds, and what it knows of issuers."""

import asyncio
from collections import deque
from math import exp

from wagtailline.allowance._elapsed import Moment
from wagtailline.allowance._messages import Grant, SpentReport

# The demand is averaged over this time.
DEMAND_SECONDS = 0.5


class HeldGrant:
    """Tokens that may be spent until the deadline on either clock."""

    def __init__(
        self, endpoint: str, grant: Grant, sent: Moment, seconds: float
    ) -> None:
        """Count the lifetime from before the request was sent."""
        self.endpoint = endpoint
        self.issuer = grant.issuer
        self.number = grant.grant
        self.left = grant.tokens
        self.spent = 0
        self.returned = 0
        self.reported = 0
        self.burst = grant.burst
        self.deadline = Moment(sent.monotonic + seconds, sent.wall + seconds)

    def is_live(self, now: Moment) -> bool:
        """Tell whether the tokens may still be spent."""
        return (
            now.monotonic < self.deadline.monotonic
            and now.wall < self.deadline.wall
        )

    def close(self) -> None:
        """Give the tokens left back; none of them is spent any more."""
        self.returned = self.left
        self.left = 0
        self.reported = -1

    def make_report(self) -> SpentReport:
        """Return the report of what was spent so far."""
        self.reported = self.spent
        return SpentReport(
            self.number,
            self.spent,
            not self.left,
            self.returned,
        )

    def scale(self, burst: int) -> None:
        """Cut the tokens left to what they are of a lowered burst."""
        if burst < self.burst:
            self.left = self.left * burst // self.burst
            self.burst = burst


class IssuerView:
    """What a borrower knows of one issuer of a limit."""

    def __init__(self, endpoint: str, is_local: bool) -> None:
        """Expect tokens at once until an answer says otherwise."""
        self.endpoint = endpoint
        self.is_local = is_local
        self.ready_at: float = 0
        self.asking: asyncio.Task[None] | None = None
        self.round_trip: float = 0


class Waiter:
    """A caller that waits for a token until its deadline."""

    def __init__(self, deadline: float) -> None:
        """Begin without an answer."""
        self.deadline = deadline
        self.admitted: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, admitted: bool) -> None:
        """Answer the caller unless it has its answer already."""
        if not self.admitted.done():
            self.admitted.set_result(admitted)


class Stock:
    """Grants, waiting callers and recent demand of one limit."""

    def __init__(self, limit: str, now: float) -> None:
        """Begin without tokens."""
        self.limit = limit
        self.burst = 0
        self.rate: float = 0
        self.issuers: dict[str, IssuerView] = {}
        self.order: tuple[IssuerView, ...] = ()
        self.waiters: deque[Waiter] = deque()
        self.refilling: asyncio.Task[None] | None = None
        self.blocked_until: float = 0
        self.used_at = now
        self._grants: deque[HeldGrant] = deque()
        self._finished: list[HeldGrant] = []
        self._demand: float = 0
        self._demand_at = now

    @property
    def available(self) -> int:
        """Return the tokens held, some of which may have expired."""
        return sum(grant.left for grant in self._grants)

    def count_demand(self, now: float) -> None:
        """Count one call."""
        self._demand = 1 / DEMAND_SECONDS + self._decayed(now)
        self._demand_at = now
        self.used_at = now

    def demand_rate(self, now: float) -> float:
        """Return the recent calls a second."""
        return self._decayed(now)

    def spend(self, now: Moment) -> bool:
        """Spend one token if there is one that is live."""
        while self._grants:
            grant = self._grants[0]
            if grant.left and grant.is_live(now):
                grant.left -= 1
                grant.spent += 1
                if not grant.left:
                    self._finish_first()
                return True
            self._finish_first()
        return False

    def serve(self, now: Moment) -> None:
        """Admit waiting callers in their order while there are tokens."""
        while self.waiters:
            if self.waiters[0].admitted.done():
                self.waiters.popleft()
            elif self.spend(now):
                self.waiters.popleft().resolve(admitted=True)
            else:
                return

    def forget(self, waiter: Waiter) -> None:
        """Drop a caller that has its answer or went away."""
        waiter.resolve(admitted=False)
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def add(self, grant: HeldGrant) -> None:
        """Hold a grant; a limit lowered since it was issued cuts it."""
        grant.scale(self.burst)
        self._grants.append(grant)

    def change_limit(self, burst: int, rate: float) -> None:
        """Put another limit in force at once; zero withdraws it."""
        self.burst = burst
        self.rate = rate
        for grant in self._grants:
            grant.scale(burst)

    def reports(self, endpoint: str) -> tuple[str, tuple[SpentReport, ...]]:
        """Return what was spent of an issuer's grants since the last report."""
        unreported = [
            grant
            for grant in (*self._finished, *self._grants)
            if grant.endpoint == endpoint and _is_unreported(grant)
        ]
        if not unreported:
            return '', ()
        # Grant numbers are those of one process, so that a message must not
        # mix the grants of an issuer with those of its replacement.
        issuer = unreported[-1].issuer
        reports = tuple(
            grant.make_report()
            for grant in unreported
            if grant.issuer == issuer
        )
        self._finished = list(filter(_is_unreported, self._finished))
        return issuer, reports

    def unreported_issuers(self) -> tuple[str, ...]:
        """Return the issuers that don't know yet what was spent, in order.

        The order of a set would differ between runs with equal seeds.
        """
        grants = (*self._finished, *self._grants)
        unreported = filter(_is_unreported, grants)
        return tuple(dict.fromkeys(each.endpoint for each in unreported))

    def close_surplus(self, wanted: int, now: Moment) -> bool:
        """Give up grants beyond what is wanted; tell whether there were."""
        surplus = self.available - wanted
        finished = len(self._finished)
        for held in reversed(tuple(self._grants)):
            if held.left > surplus and held.is_live(now):
                continue
            surplus -= held.left
            self._grants.remove(held)
            held.close()
            self._finished.append(held)
        return len(self._finished) > finished

    def _finish_first(self) -> None:
        grant = self._grants.popleft()
        grant.close()
        self._finished.append(grant)

    def _decayed(self, now: float) -> float:
        passed = now - self._demand_at
        return self._demand * exp(-passed / DEMAND_SECONDS)


def _is_unreported(grant: HeldGrant) -> bool:
    return grant.reported != grant.spent
