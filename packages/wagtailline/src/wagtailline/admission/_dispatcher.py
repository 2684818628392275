"""Starts waiting requests as slots become free."""

import asyncio
import math
from collections.abc import Callable

from result import Err, Ok, Result

from wagtailline.admission._outcomes import (
    Outcome,
    Unused,
)
from wagtailline.admission._queue import FairQueue, Waiter
from wagtailline.admission._slot import Slot
from wagtailline.admission._trials import Trials
from wagtailline.admission._types import (
    DeadlinePassed,
    GateRefusal,
    GateSettings,
    QueueFull,
    Ticket,
    WaitTooLong,
)
from wagtailline.admission._upstream import UpstreamState
from wagtailline.ports import Clock

Admitted = Result[Slot, GateRefusal]
GiveBack = Callable[[Slot, Outcome], None]


class Dispatcher:
    """Keeps the requests in progress within the limit, others in order."""

    def __init__(
        self,
        upstream: UpstreamState,
        clock: Clock,
        settings: GateSettings,
        give_back: GiveBack,
    ) -> None:
        """Begin with no request; slots report to ``give_back``."""
        self.in_progress: dict[Slot, None] = {}
        self._upstream = upstream
        self._limit = upstream.limit
        self._clock = clock
        self._settings = settings
        self._give_back = give_back
        self._queue = FairQueue()
        self._trials = Trials(settings.trial_seconds)
        self._alarm: asyncio.Task[None] | None = None
        self._alarm_at = math.inf

    @property
    def queued(self) -> int:
        """Return the requests that wait."""
        return len(self._queue) + len(self._trials)

    def start_at_once(self, ticket: Ticket, now: float) -> Slot | None:
        """Return a slot if one is free and nobody waits for it."""
        if self._queue or not self._may_start(now):
            return None
        return self._start(ticket, now)

    async def wait_in_queue(
        self, ticket: Ticket, places: int, now: float
    ) -> Admitted:
        """Wait in a fair queue of the given length."""
        account, weight = ticket.client_account, ticket.weight
        estimate = self._estimate(self._queue.ahead_of(account, weight))
        latest = now + estimate + self._limit.best_latency(ticket.kind)
        if estimate > ticket.max_wait or latest > ticket.deadline:
            return Err(WaitTooLong(estimate, estimate))
        if len(self._queue) >= places:
            displaced = self._queue.displace(account, weight)
            if displaced is None:
                return Err(QueueFull(estimate, estimate))
            displaced.end(Err(QueueFull(estimate, estimate)))
        waiter = Waiter(ticket)
        self._queue.push(waiter)
        return await self._wait(waiter, now)

    async def wait_for_trial(self, ticket: Ticket, now: float) -> Admitted:
        """Wait until the request may run alone."""
        waiter = Waiter(ticket)
        self._push_trial(waiter)
        self.pump()
        return await self._wait(waiter, now)

    def end(self, slot: Slot, now: float) -> bool:
        """Take a slot out of progress; tell whether it was a trial."""
        self.in_progress.pop(slot, None)
        return self._trials.end(slot, now)

    def pump(self) -> None:
        """Start what may start now."""
        now = self._clock.monotonic()
        if self._trials:
            suspect = self._trials.pop(
                now, len(self.in_progress), self._limit.current
            )
            if suspect is not None:
                self._trials.begin(self._grant(suspect, now))
        while self._queue and self._may_start(now):
            waiter = self._queue.pop()
            if waiter is not None:
                self._grant(waiter, now)
        self._set_alarm(now)

    def refuse_all(self, refusal: GateRefusal) -> None:
        """Refuse everything that waits."""
        for waiter in (*self._queue.clear(), *self._trials.clear()):
            waiter.end(Err(refusal))

    def recheck(
        self,
        is_suspect: Callable[[Ticket], bool],
        check: Callable[[Ticket], GateRefusal | None],
    ) -> None:
        """Apply changed knowledge of suspects to what waits."""
        for waiter in (*self._queue.waiters(), *self._trials.waiters()):
            refusal = check(waiter.ticket)
            if refusal is not None:
                self._remove(waiter)
                waiter.end(Err(refusal))
        for queued in self._queue.waiters():
            if is_suspect(queued.ticket):
                self._queue.remove(queued)
                self._push_trial(queued)

    def shed(self, now: float) -> None:
        """Refuse what cannot start in time under a lowered limit."""
        for waiter, ahead in self._queue.positions():
            estimate = self._estimate(ahead)
            if now + estimate > waiter.ticket.deadline:
                self._queue.remove(waiter)
                waiter.end(Err(WaitTooLong(estimate, estimate)))

    def close(self) -> None:
        """End the timer."""
        if self._alarm is not None:
            self._alarm.cancel()

    def _push_trial(self, waiter: Waiter) -> None:
        if len(self._trials) < self._settings.trial_queue:
            self._trials.push(waiter)
            return
        delay = self._settings.trial_seconds * len(self._trials)
        waiter.end(Err(QueueFull(delay, delay)))

    def _may_start(self, now: float) -> bool:
        if len(self.in_progress) >= self._limit.current:
            return False
        return not self._trials.holds(now)

    def _start(self, ticket: Ticket, now: float) -> Slot:
        slot = Slot(ticket, now, self._give_back)
        self.in_progress[slot] = None
        if len(self.in_progress) >= self._limit.current:
            self._limit.mark_reached()
        return slot

    def _grant(self, waiter: Waiter, now: float) -> Slot | None:
        if waiter.grant.done():
            return None
        if waiter.ticket.deadline <= now:
            waiter.end(Err(DeadlinePassed()))
            return None
        slot = self._start(waiter.ticket, now)
        waiter.end(Ok(slot))
        return slot

    async def _wait(self, waiter: Waiter, now: float) -> Admitted:
        ticket = waiter.ticket
        patience = min(ticket.deadline - now, ticket.max_wait)
        limit = None if math.isinf(patience) else patience
        try:
            async with asyncio.timeout(limit):
                return await waiter.grant
        except TimeoutError:
            self._abandon(waiter)
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        if patience < ticket.max_wait:
            return Err(DeadlinePassed(self._estimate(0)))
        return Err(WaitTooLong(patience, self._estimate(0)))

    def _abandon(self, waiter: Waiter) -> None:
        self._remove(waiter)
        if waiter.grant.done() and not waiter.grant.cancelled():
            # The slot was granted in the same turn of the event loop.
            verdict = waiter.grant.result()
            if isinstance(verdict, Ok):
                verdict.ok_value.release(Unused())
        self.pump()

    def _remove(self, waiter: Waiter) -> None:
        self._queue.remove(waiter)
        self._trials.remove(waiter)

    def _estimate(self, ahead: float) -> float:
        """Return the seconds until a request behind others starts."""
        return (
            (ahead + 1) * self._upstream.mean_slot_seconds / self._limit.current
        )

    def _set_alarm(self, now: float) -> None:
        delay = self._trials.wake_after(now)
        if delay is None or now + delay >= self._alarm_at:
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm_at = now + delay
        self._alarm = asyncio.ensure_future(self._pump_after(delay))

    async def _pump_after(self, delay: float) -> None:
        await self._clock.sleep(delay)
        self._alarm_at = math.inf
        self._alarm = None
        self.pump()
