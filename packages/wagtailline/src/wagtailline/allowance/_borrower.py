"""Borrower: admits local calls by spending granted tokens."""

import asyncio
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.allowance._borrowed_limit import (
    DEMAND_AVERAGING_SECONDS,
    BorrowedLimit,
    Waiter,
)
from wagtailline.allowance._elapsed import Stopwatch
from wagtailline.allowance._issuer_client import IssuerClient
from wagtailline.allowance._plan import Plan, PlanCache
from wagtailline.allowance._settings import AllowanceSettings

# A limit without calls for this time is removed if it holds no tokens.
_IDLE_LIMIT_SECONDS = 60
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
        issuer_client: IssuerClient,
        stopwatch: Stopwatch,
        random: Random,
        settings: AllowanceSettings,
    ) -> None:
        """Create a borrower without grants."""
        self._plans = plans
        self._issuer_client = issuer_client
        self._stopwatch = stopwatch
        self._random = random
        self._settings = settings
        self._plan: Plan | None = None
        self._borrowed_limits: dict[str, BorrowedLimit] = {}

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Spend one token of a limit or return a refusal after the timeout.

        Refuse at once if no token is expected before the timeout.
        """
        borrowed = self._find_limit(limit_name)
        if borrowed is None:
            return Err(AllowanceRefusal(limit_name, REASON_UNKNOWN, 1))
        now = self._stopwatch.now()
        borrowed.record_demand(now.monotonic)
        if not borrowed.waiters and borrowed.spend(now):
            self._prefetch(borrowed, now.monotonic)
            return Ok(None)
        if borrowed.blocked_until > now.monotonic + timeout_seconds:
            return Err(self._make_refusal(borrowed))
        waiter = Waiter(now.monotonic + timeout_seconds)
        borrowed.waiters.append(waiter)
        self._start_refill(borrowed)
        return await self._wait_for_token(borrowed, waiter, timeout_seconds)

    def report(self) -> None:
        """Return surplus tokens, report spent ones and remove idle limits."""
        now = self._stopwatch.now()
        for name, borrowed in tuple(self._borrowed_limits.items()):
            self._find_limit(name)
            if not borrowed.waiters:
                wanted = self._wanted_tokens(borrowed, now.monotonic)
                borrowed.close_surplus(wanted, now)
            self._issuer_client.report(borrowed)
            if borrowed.last_used_at < now.monotonic - _IDLE_LIMIT_SECONDS:
                if not borrowed.available and borrowed.refill_task is None:
                    self._borrowed_limits.pop(name)

    def close(self) -> None:
        """Return all tokens and refuse the waiting callers."""
        now = self._stopwatch.now()
        for borrowed in self._borrowed_limits.values():
            if borrowed.refill_task is not None:
                borrowed.refill_task.cancel()
            for waiter in borrowed.waiters:
                waiter.resolve(admitted=False)
            borrowed.close_surplus(0, now)
            self._issuer_client.report(borrowed)

    def _find_limit(self, name: str) -> BorrowedLimit | None:
        plan = self._plans.current()
        if plan is not self._plan and plan is not None:
            self._plan = plan
            for known_limit in self._borrowed_limits.values():
                self._update_limit(known_limit, plan)
        borrowed = self._borrowed_limits.get(name)
        if borrowed is None and plan is not None and plan.limit(name):
            borrowed = BorrowedLimit(name, self._stopwatch.now().monotonic)
            self._borrowed_limits[name] = borrowed
            self._update_limit(borrowed, plan)
        return borrowed if borrowed is not None and borrowed.burst else None

    def _update_limit(self, borrowed: BorrowedLimit, plan: Plan) -> None:
        limit_plan = plan.limit(borrowed.limit)
        if limit_plan is None:
            borrowed.change_limit(0, 0)
            borrowed.issuers.clear()
            return
        borrowed.change_limit(limit_plan.limit.burst, limit_plan.limit.rate)
        borrowed.blocked_until = 0
        self._issuer_client.update_issuers(borrowed, limit_plan)

    async def _wait_for_token(
        self, borrowed: BorrowedLimit, waiter: Waiter, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_seconds, waiter.resolve, False)
        try:
            admitted = await waiter.admitted
        finally:
            timer.cancel()
            borrowed.remove_waiter(waiter)
        return Ok(None) if admitted else Err(self._make_refusal(borrowed))

    def _make_refusal(self, borrowed: BorrowedLimit) -> AllowanceRefusal:
        """Return a refusal with the time until a token is expected.

        The jitter is spread over the time in which the limit generates the
        tokens for all recent callers.
        """
        now = self._stopwatch.now().monotonic
        rate = borrowed.rate or 1
        max_jitter_seconds = (
            max(1, borrowed.demand_rate(now) * DEMAND_AVERAGING_SECONDS) / rate
        )
        wait_seconds = self._issuer_client.next_ready_at(borrowed, now) - now
        return AllowanceRefusal(
            borrowed.limit,
            REASON_EXHAUSTED if borrowed.burst else REASON_UNKNOWN,
            wait_seconds + self._random.uniform(0, max_jitter_seconds),
        )

    def _wanted_tokens(self, borrowed: BorrowedLimit, now: float) -> int:
        return int(borrowed.demand_rate(now) * self._settings.prefetch_seconds)

    def _prefetch(self, borrowed: BorrowedLimit, now: float) -> None:
        if borrowed.refill_task is None:
            wanted = self._wanted_tokens(borrowed, now)
            if wanted and borrowed.available < wanted / 2:
                self._start_refill(borrowed)

    def _start_refill(self, borrowed: BorrowedLimit) -> None:
        if borrowed.refill_task is None:
            borrowed.refill_task = asyncio.ensure_future(self._refill(borrowed))

    async def _refill(self, borrowed: BorrowedLimit) -> None:
        try:
            await self._refill_until_served(borrowed)
        finally:
            borrowed.refill_task = None
        now = self._stopwatch.now()
        if borrowed.waiters:
            self._start_refill(borrowed)
            return
        surplus = borrowed.close_surplus(
            self._wanted_tokens(borrowed, now.monotonic), now
        )
        if surplus or borrowed.burst <= _MAX_BURST_REPORTED_AT_ONCE:
            self._issuer_client.report(borrowed)

    async def _refill_until_served(self, borrowed: BorrowedLimit) -> None:
        width = 1
        now = self._stopwatch.now().monotonic
        prefetch = max(
            0, self._wanted_tokens(borrowed, now) - borrowed.available
        )
        while borrowed.waiters or prefetch:
            asked = await self._issuer_client.request_tokens(
                borrowed, width, prefetch
            )
            self._find_limit(borrowed.limit)
            borrowed.serve_waiters(self._stopwatch.now())
            width *= 2
            prefetch = 0
            if not asked and borrowed.waiters:
                await self._wait_until_ready(borrowed)
                width = 1

    async def _wait_until_ready(self, borrowed: BorrowedLimit) -> None:
        if await self._issuer_client.wait_for_reply(borrowed):
            return
        now = self._stopwatch.now().monotonic
        ready_at = self._issuer_client.next_ready_at(borrowed, now)
        borrowed.blocked_until = ready_at
        for index, waiter in enumerate(tuple(borrowed.waiters)):
            if ready_at + index / (borrowed.rate or 1) > waiter.deadline:
                waiter.resolve(admitted=False)
        borrowed.serve_waiters(self._stopwatch.now())
        if borrowed.waiters:
            jitter_seconds = self._random.uniform(0, _RETRY_JITTER_SECONDS)
            await self._issuer_client.sleep(ready_at - now + jitter_seconds)
