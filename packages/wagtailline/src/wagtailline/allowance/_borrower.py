"""Borrower: admits local calls by spending granted tokens."""

import asyncio
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.allowance._elapsed import Stopwatch
from wagtailline.allowance._lender import Lender
from wagtailline.allowance._plan import Plan, PlanCache
from wagtailline.allowance._settings import AllowanceSettings
from wagtailline.allowance._stock import DEMAND_AVERAGING_SECONDS, Stock, Waiter

# A stock without calls for this time is removed if it holds no tokens.
_IDLE_STOCK_SECONDS = 60
# An issuer with a share of one or two tokens generates nothing until it learns
# that they are spent, so spending is reported at once up to this burst.
_MAX_BURST_REPORTED_AT_ONCE = 32
# Maximum jitter between the retries of borrowers that wait for one token.
_RETRY_JITTER_SECONDS = 0.002


class AllowanceRefusal(NamedTuple):
    """Refusal of a call that was not run, because a limit has no token.

    ``retry_after_seconds`` is the time until a token is expected, plus
    jitter, so that refused callers do not all retry at the same time.
    """

    limit: str
    reason: str
    retry_after_seconds: float
    executed: str = 'no'


REASON_EXHAUSTED = 'allowance exhausted'
REASON_UNKNOWN = 'limit not published'


class Borrower:
    """Admits calls of this daemon with tokens that issuers have granted."""

    def __init__(
        self,
        plans: PlanCache,
        lender: Lender,
        stopwatch: Stopwatch,
        random: Random,
        settings: AllowanceSettings,
    ) -> None:
        """Create a borrower without grants."""
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
        """Spend one token of a limit or return a refusal after the timeout.

        Refuse at once if no token is expected before the timeout.
        """
        stock = self._find_stock(limit_name)
        if stock is None:
            return Err(AllowanceRefusal(limit_name, REASON_UNKNOWN, 1))
        now = self._stopwatch.now()
        stock.record_demand(now.monotonic)
        if not stock.waiters and stock.spend(now):
            self._prefetch(stock, now.monotonic)
            return Ok(None)
        if stock.blocked_until > now.monotonic + timeout_seconds:
            return Err(self._make_refusal(stock))
        waiter = Waiter(now.monotonic + timeout_seconds)
        stock.waiters.append(waiter)
        self._start_refill(stock)
        return await self._wait_for_token(stock, waiter, timeout_seconds)

    def report(self) -> None:
        """Return surplus tokens, report spent ones and remove idle stocks."""
        now = self._stopwatch.now()
        for name, stock in tuple(self._stocks.items()):
            self._find_stock(name)
            if not stock.waiters:
                wanted = self._wanted_tokens(stock, now.monotonic)
                stock.close_surplus(wanted, now)
            self._lender.report(stock)
            if stock.last_used_at < now.monotonic - _IDLE_STOCK_SECONDS:
                if not stock.available and stock.refill_task is None:
                    self._stocks.pop(name)

    def close(self) -> None:
        """Return all tokens and refuse the waiting callers."""
        now = self._stopwatch.now()
        for stock in self._stocks.values():
            if stock.refill_task is not None:
                stock.refill_task.cancel()
            for waiter in stock.waiters:
                waiter.resolve(admitted=False)
            stock.close_surplus(0, now)
            self._lender.report(stock)

    def _find_stock(self, name: str) -> Stock | None:
        plan = self._plans.current()
        if plan is not self._plan and plan is not None:
            self._plan = plan
            for known_stock in self._stocks.values():
                self._update_stock(known_stock, plan)
        stock = self._stocks.get(name)
        if stock is None and plan is not None and plan.limit(name):
            stock = Stock(name, self._stopwatch.now().monotonic)
            self._stocks[name] = stock
            self._update_stock(stock, plan)
        return stock if stock is not None and stock.burst else None

    def _update_stock(self, stock: Stock, plan: Plan) -> None:
        limit_plan = plan.limit(stock.limit)
        if limit_plan is None:
            stock.change_limit(0, 0)
            stock.issuers.clear()
            return
        stock.change_limit(limit_plan.limit.burst, limit_plan.limit.rate)
        stock.blocked_until = 0
        self._lender.update_issuers(stock, limit_plan)

    async def _wait_for_token(
        self, stock: Stock, waiter: Waiter, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_seconds, waiter.resolve, False)
        try:
            admitted = await waiter.admitted
        finally:
            timer.cancel()
            stock.remove_waiter(waiter)
        return Ok(None) if admitted else Err(self._make_refusal(stock))

    def _make_refusal(self, stock: Stock) -> AllowanceRefusal:
        """Return a refusal with the time until a token is expected.

        The jitter is spread over the time in which the limit generates the
        tokens for all recent callers.
        """
        now = self._stopwatch.now().monotonic
        rate = stock.rate or 1
        max_jitter_seconds = (
            max(1, stock.demand_rate(now) * DEMAND_AVERAGING_SECONDS) / rate
        )
        wait_seconds = self._lender.next_ready_at(stock, now) - now
        return AllowanceRefusal(
            stock.limit,
            REASON_EXHAUSTED if stock.burst else REASON_UNKNOWN,
            wait_seconds + self._random.uniform(0, max_jitter_seconds),
        )

    def _wanted_tokens(self, stock: Stock, now: float) -> int:
        return int(stock.demand_rate(now) * self._settings.prefetch_seconds)

    def _prefetch(self, stock: Stock, now: float) -> None:
        if stock.refill_task is None:
            wanted = self._wanted_tokens(stock, now)
            if wanted and stock.available < wanted / 2:
                self._start_refill(stock)

    def _start_refill(self, stock: Stock) -> None:
        if stock.refill_task is None:
            stock.refill_task = asyncio.ensure_future(self._refill(stock))

    async def _refill(self, stock: Stock) -> None:
        try:
            await self._refill_until_served(stock)
        finally:
            stock.refill_task = None
        now = self._stopwatch.now()
        if stock.waiters:
            self._start_refill(stock)
            return
        surplus = stock.close_surplus(
            self._wanted_tokens(stock, now.monotonic), now
        )
        if surplus or stock.burst <= _MAX_BURST_REPORTED_AT_ONCE:
            self._lender.report(stock)

    async def _refill_until_served(self, stock: Stock) -> None:
        width = 1
        now = self._stopwatch.now().monotonic
        prefetch = max(0, self._wanted_tokens(stock, now) - stock.available)
        while stock.waiters or prefetch:
            asked = await self._lender.borrow(stock, width, prefetch)
            self._find_stock(stock.limit)
            stock.serve_waiters(self._stopwatch.now())
            width *= 2
            prefetch = 0
            if not asked and stock.waiters:
                await self._wait_until_ready(stock)
                width = 1

    async def _wait_until_ready(self, stock: Stock) -> None:
        if await self._lender.wait_for_reply(stock):
            return
        now = self._stopwatch.now().monotonic
        ready_at = self._lender.next_ready_at(stock, now)
        stock.blocked_until = ready_at
        for index, waiter in enumerate(tuple(stock.waiters)):
            if ready_at + index / (stock.rate or 1) > waiter.deadline:
                waiter.resolve(admitted=False)
        stock.serve_waiters(self._stopwatch.now())
        if stock.waiters:
            jitter_seconds = self._random.uniform(0, _RETRY_JITTER_SECONDS)
            await self._lender.sleep(ready_at - now + jitter_seconds)
