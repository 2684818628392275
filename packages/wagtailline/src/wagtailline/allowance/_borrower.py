"""Borrower: spends granted tokens on behalf of local callers."""

import asyncio
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.allowance._elapsed import Stopwatch
from wagtailline.allowance._lender import Lender
from wagtailline.allowance._plan import Plan, PlanCache
from wagtailline.allowance._settings import AllowanceSettings
from wagtailline.allowance._stock import DEMAND_SECONDS, Stock, Waiter

# A stock without use or content for this time is forgotten.
_FORGET_SECONDS = 60
# An issuer of one or two tokens generates nothing until it learns that they are
# spent, so that spending of small limits is reported at once.
_SMALL_BURST = 32
# Borrowers that wait for the same token ask at slightly different times.
_RETRY_SPREAD_SECONDS = 0.002


class AllowanceRefusal(NamedTuple):
    """The call was not run, because a limit has no token for it.

    ``retry_after_seconds`` is the time until a token is expected, with
    jitter, so that many refused callers do not come back at once.
    """

    limit: str
    reason: str
    retry_after_seconds: float
    executed: str = 'no'


REASON_EXHAUSTED = 'allowance exhausted'
REASON_UNKNOWN = 'limit not published'


class Borrower:
    """Admits calls of this daemon within what issuers have granted."""

    def __init__(
        self,
        plans: PlanCache,
        lender: Lender,
        stopwatch: Stopwatch,
        random: Random,
        settings: AllowanceSettings,
    ) -> None:
        """Begin without any grant."""
        self._plans = plans
        self._lender = lender
        self._stopwatch = stopwatch
        self._random = random
        self._settings = settings
        self._plan: Plan | None = None
        self._stocks: dict[str, Stock] = {}

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Spend one token of a limit, waiting for it up to the timeout."""
        stock = self._find_stock(limit_name)
        if stock is None:
            return Err(AllowanceRefusal(limit_name, REASON_UNKNOWN, 1))
        now = self._stopwatch.now()
        stock.count_demand(now.monotonic)
        if not stock.waiters and stock.spend(now):
            self._prefetch(stock, now.monotonic)
            return Ok(None)
        if stock.blocked_until > now.monotonic + timeout_seconds:
            return Err(self._refuse(stock))
        waiter = Waiter(now.monotonic + timeout_seconds)
        stock.waiters.append(waiter)
        self._start_refill(stock)
        return await self._wait(stock, waiter, timeout_seconds)

    def report(self) -> None:
        """Return what is not wanted, and report what was spent."""
        now = self._stopwatch.now()
        for name, stock in tuple(self._stocks.items()):
            self._find_stock(name)
            if not stock.waiters:
                wanted = self._target(stock, now.monotonic)
                stock.close_surplus(wanted, now)
            self._lender.report(stock)
            if stock.used_at < now.monotonic - _FORGET_SECONDS:
                if not stock.available and stock.refilling is None:
                    self._stocks.pop(name)

    def close(self) -> None:
        """Give all tokens back and refuse the callers that wait."""
        now = self._stopwatch.now()
        for stock in self._stocks.values():
            if stock.refilling is not None:
                stock.refilling.cancel()
            for waiter in stock.waiters:
                waiter.resolve(admitted=False)
            stock.close_surplus(0, now)
            self._lender.report(stock)

    def _find_stock(self, name: str) -> Stock | None:
        plan = self._plans.current()
        if plan is not self._plan and plan is not None:
            self._plan = plan
            for known in self._stocks.values():
                self._follow(known, plan)
        stock = self._stocks.get(name)
        if stock is None and plan is not None and plan.limit(name):
            stock = Stock(name, self._stopwatch.now().monotonic)
            self._stocks[name] = stock
            self._follow(stock, plan)
        return stock if stock is not None and stock.burst else None

    def _follow(self, stock: Stock, plan: Plan) -> None:
        limit_plan = plan.limit(stock.limit)
        if limit_plan is None:
            stock.change_limit(0, 0)
            stock.issuers.clear()
            return
        stock.change_limit(limit_plan.limit.burst, limit_plan.limit.rate)
        stock.blocked_until = 0
        self._lender.follow(stock, limit_plan)

    async def _wait(
        self, stock: Stock, waiter: Waiter, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_seconds, waiter.resolve, False)
        try:
            admitted = await waiter.admitted
        finally:
            timer.cancel()
            stock.forget(waiter)
        return Ok(None) if admitted else Err(self._refuse(stock))

    def _refuse(self, stock: Stock) -> AllowanceRefusal:
        """Return a refusal with the time until a token is expected.

        The jitter covers the time that serving the recent callers takes.
        """
        now = self._stopwatch.now().monotonic
        rate = stock.rate or 1
        spread = max(1, stock.demand_rate(now) * DEMAND_SECONDS) / rate
        wait = self._lender.next_ready(stock, now) - now
        return AllowanceRefusal(
            stock.limit,
            REASON_EXHAUSTED if stock.burst else REASON_UNKNOWN,
            wait + self._random.uniform(0, spread),
        )

    def _target(self, stock: Stock, now: float) -> int:
        return int(stock.demand_rate(now) * self._settings.prefetch_seconds)

    def _prefetch(self, stock: Stock, now: float) -> None:
        if stock.refilling is None:
            target = self._target(stock, now)
            if target and stock.available < target / 2:
                self._start_refill(stock)

    def _start_refill(self, stock: Stock) -> None:
        if stock.refilling is None:
            stock.refilling = asyncio.ensure_future(self._refill(stock))

    async def _refill(self, stock: Stock) -> None:
        try:
            await self._refill_until_served(stock)
        finally:
            stock.refilling = None
        now = self._stopwatch.now()
        if stock.waiters:
            self._start_refill(stock)
            return
        surplus = stock.close_surplus(self._target(stock, now.monotonic), now)
        if surplus or stock.burst <= _SMALL_BURST:
            self._lender.report(stock)

    async def _refill_until_served(self, stock: Stock) -> None:
        width = 1
        now = self._stopwatch.now().monotonic
        prefetch = max(0, self._target(stock, now) - stock.available)
        while stock.waiters or prefetch:
            asked = await self._lender.borrow(stock, width, prefetch)
            self._find_stock(stock.limit)
            stock.serve(self._stopwatch.now())
            width *= 2
            prefetch = 0
            if not asked and stock.waiters:
                await self._wait_until_ready(stock)
                width = 1

    async def _wait_until_ready(self, stock: Stock) -> None:
        if await self._lender.wait_in_flight(stock):
            return
        now = self._stopwatch.now().monotonic
        ready = self._lender.next_ready(stock, now)
        stock.blocked_until = ready
        for index, waiter in enumerate(tuple(stock.waiters)):
            if ready + index / (stock.rate or 1) > waiter.deadline:
                waiter.resolve(admitted=False)
        stock.serve(self._stopwatch.now())
        if stock.waiters:
            spread = self._random.uniform(0, _RETRY_SPREAD_SECONDS)
            await self._lender.sleep(ready - now + spread)
