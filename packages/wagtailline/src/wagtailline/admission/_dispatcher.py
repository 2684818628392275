"""Starts requests as slots become free, and queues the others."""

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

AdmissionResult = Result[Slot, GateRefusal]
ReleaseCallback = Callable[[Slot, Outcome], None]


class Dispatcher:
    """Requests in progress, bounded by the limit, and those that wait.

    Requests wait in a queue that is fair between client accounts. Suspects,
    requests that were in progress when an upstream crashed, wait for a trial
    instead: they run alone, one after another.
    """

    def __init__(
        self,
        upstream: UpstreamState,
        clock: Clock,
        settings: GateSettings,
        on_release: ReleaseCallback,
    ) -> None:
        """Start without requests; released slots call ``on_release``."""
        self.in_progress: dict[Slot, None] = {}
        self._upstream = upstream
        self._limit = upstream.limit
        self._clock = clock
        self._settings = settings
        self._on_release = on_release
        self._queue = FairQueue()
        self._trials = Trials(settings.trial_seconds)
        self._timer: asyncio.Task[None] | None = None
        self._timer_due_at = math.inf

    @property
    def queued(self) -> int:
        """Return the number of waiting requests, suspects included."""
        return len(self._queue) + len(self._trials)

    def try_start(self, ticket: Ticket, now: float) -> Slot | None:
        """Return a slot if one is free and no request waits for it."""
        if self._queue or not self._may_start(now):
            return None
        return self._start(ticket, now)

    async def wait_in_queue(
        self, ticket: Ticket, max_queued: int, now: float
    ) -> AdmissionResult:
        """Wait for a slot in the queue, which is bounded by ``max_queued``."""
        account, weight = ticket.client_account, ticket.weight
        wait = self._estimate_wait(self._queue.estimate_ahead(account, weight))
        earliest_end = now + wait + self._limit.best_latency(ticket.kind)
        if wait > ticket.max_wait or earliest_end > ticket.deadline:
            return Err(WaitTooLong(wait, wait))
        if len(self._queue) >= max_queued:
            evicted = self._queue.evict(account, weight)
            if evicted is None:
                return Err(QueueFull(wait, wait))
            evicted.resolve(Err(QueueFull(wait, wait)))
        waiter = Waiter(ticket)
        self._queue.push(waiter)
        return await self._wait(waiter, now)

    async def wait_for_trial(
        self, ticket: Ticket, now: float
    ) -> AdmissionResult:
        """Wait until a suspect may run alone."""
        waiter = Waiter(ticket)
        self._queue_trial(waiter)
        self.dispatch()
        return await self._wait(waiter, now)

    def finish(self, slot: Slot, now: float) -> bool:
        """Remove a released slot; return whether its request was a trial."""
        self.in_progress.pop(slot, None)
        return self._trials.finish(slot, now)

    def dispatch(self) -> None:
        """Start the waiting requests that may start now."""
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
        self._set_timer(now)

    def refuse_all(self, refusal: GateRefusal) -> None:
        """Refuse all waiting requests."""
        for waiter in (*self._queue.clear(), *self._trials.clear()):
            waiter.resolve(Err(refusal))

    def recheck(
        self,
        is_suspect: Callable[[Ticket], bool],
        check: Callable[[Ticket], GateRefusal | None],
    ) -> None:
        """Check waiting requests again after the suspects have changed.

        Requests for which ``check`` returns a refusal are refused, queued
        ones that are now suspects wait for a trial instead.
        """
        for waiter in (*self._queue.waiters(), *self._trials.waiters()):
            refusal = check(waiter.ticket)
            if refusal is not None:
                self._remove(waiter)
                waiter.resolve(Err(refusal))
        for suspect in self._queue.waiters():
            if is_suspect(suspect.ticket):
                self._queue.remove(suspect)
                self._queue_trial(suspect)

    def shed(self, now: float) -> None:
        """Refuse requests that cannot start in time under a lowered limit."""
        for waiter, ahead in self._queue.estimate_positions():
            wait = self._estimate_wait(ahead)
            if now + wait > waiter.ticket.deadline:
                self._queue.remove(waiter)
                waiter.resolve(Err(WaitTooLong(wait, wait)))

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _queue_trial(self, waiter: Waiter) -> None:
        if len(self._trials) < self._settings.max_queued_trials:
            self._trials.push(waiter)
            return
        delay = self._settings.trial_seconds * len(self._trials)
        waiter.resolve(Err(QueueFull(delay, delay)))

    def _may_start(self, now: float) -> bool:
        if len(self.in_progress) >= self._limit.current:
            return False
        return not self._trials.holds_others(now)

    def _start(self, ticket: Ticket, now: float) -> Slot:
        slot = Slot(ticket, now, self._on_release)
        self.in_progress[slot] = None
        if len(self.in_progress) >= self._limit.current:
            self._limit.mark_reached()
        return slot

    def _grant(self, waiter: Waiter, now: float) -> Slot | None:
        if waiter.grant.done():
            return None
        if waiter.ticket.deadline <= now:
            waiter.resolve(Err(DeadlinePassed()))
            return None
        slot = self._start(waiter.ticket, now)
        waiter.resolve(Ok(slot))
        return slot

    async def _wait(self, waiter: Waiter, now: float) -> AdmissionResult:
        ticket = waiter.ticket
        max_wait = min(ticket.deadline - now, ticket.max_wait)
        timeout = None if math.isinf(max_wait) else max_wait
        try:
            async with asyncio.timeout(timeout):
                return await waiter.grant
        except TimeoutError:
            self._abandon(waiter)
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        if max_wait < ticket.max_wait:
            return Err(DeadlinePassed(self._estimate_wait(0)))
        return Err(WaitTooLong(max_wait, self._estimate_wait(0)))

    def _abandon(self, waiter: Waiter) -> None:
        self._remove(waiter)
        if waiter.grant.done() and not waiter.grant.cancelled():
            # The wait was resolved in the same iteration of the event loop.
            admission = waiter.grant.result()
            if isinstance(admission, Ok):
                admission.ok_value.release(Unused())
        self.dispatch()

    def _remove(self, waiter: Waiter) -> None:
        self._queue.remove(waiter)
        self._trials.remove(waiter)

    def _estimate_wait(self, ahead: float) -> float:
        """Return the seconds until a request behind ``ahead`` others starts."""
        return (
            (ahead + 1) * self._upstream.mean_slot_seconds / self._limit.current
        )

    def _set_timer(self, now: float) -> None:
        delay = self._trials.seconds_until_change(now)
        if delay is None or now + delay >= self._timer_due_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_at = now + delay
        self._timer = asyncio.ensure_future(self._dispatch_after(delay))

    async def _dispatch_after(self, delay: float) -> None:
        await self._clock.sleep(delay)
        self._timer_due_at = math.inf
        self._timer = None
        self.dispatch()
