"""Admission control in front of the local upstream.

A request waits in a priority queue until a concurrency slot is free and the
rate limit of a cold upstream allows another start.
"""

import asyncio
import heapq
import itertools
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import Refusal
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.moving_averages import MovingAverages
from wagtailline_sidecar.warm_up import WarmUp

MAX_QUEUED = 256
# Weight of a new observation in the moving average of service times.
_SMOOTHING_FACTOR = 0.1
# Estimate of the service time before any request has completed.
_INITIAL_SERVICE_SECONDS = 0.1
# Multiple of the average service time that is reserved before the target,
# because service times vary widely.
_PLANNED_SERVICE_FACTOR = 1.5
# Fraction of the time left to its target that a request may wait, even if it
# will then miss the target.
_MIN_WAIT_FRACTION = 0.3
# Fraction of the average service time that must be left before the deadline
# when a request starts.
_MIN_SERVICE_FRACTION = 0.6
_MILLISECONDS_PER_SECOND = 1000


class Ticket(NamedTuple):
    """A request for a slot.

    ``deadline`` is the time at which the caller gives up, ``target_time`` the
    time by which a response is wanted; both are seconds of the monotonic
    clock. A lower ``priority`` is more urgent. ``workload`` groups requests of
    similar service time. A nested request was sent by an upstream while it
    processes another request. ``transfer_seconds`` is the time after which
    the network link has sent its answer, if the answer were ready now.
    """

    workload: str
    priority: int
    deadline: float
    target_time: float
    is_nested: bool = False
    transfer_seconds: float = 0

    @property
    def rank(self) -> tuple[bool, int]:
        """Return the sort key of the queue; lower goes first.

        Nested requests go first: when one fails, the work of the request that
        sent it, which already holds a slot, is wasted as well.
        """
        return not self.is_nested, self.priority


class _Waiter(NamedTuple):
    rank: tuple[bool, int]
    sequence_number: int
    ticket: Ticket
    slot: 'asyncio.Future[Result[Slot, Refusal]]'


class Slot:
    """Permission to run one request at the upstream."""

    def __init__(self, gate: 'Gate', workload: str, started_at: float) -> None:
        """Create a slot that was granted at the time ``started_at``."""
        self._gate = gate
        self._workload = workload
        self._is_held = True
        self.started_at = started_at

    def release(self, *, is_typical: bool = False) -> None:
        """Release the slot; further calls have no effect.

        The service time counts towards the estimate if ``is_typical`` is set,
        as it should be after a complete response.
        """
        if self._is_held:
            self._is_held = False
            self._gate.release_slot(self._workload, self.started_at, is_typical)


class Gate:
    """Concurrency limit of the local upstream with a priority queue.

    ``slots`` is the number of requests that may run at the same time.
    """

    def __init__(self, clock: MonotonicClock, warm_up: WarmUp) -> None:
        """Create a gate without slots; requests wait until some are set."""
        self._clock = clock
        self._warm_up = warm_up
        self._sequence_numbers = itertools.count()
        self._queue: list[_Waiter] = []
        self._estimates = MovingAverages(_SMOOTHING_FACTOR)
        self._timer: asyncio.TimerHandle | None = None
        self._closed_reason = ''
        self.slots = 0
        self.in_progress = 0

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return sum(not waiter.slot.done() for waiter in self._queue)

    def describe_warm_up(self) -> str:
        """Return the state of the warm-up as text for a log event."""
        return self._warm_up.describe()

    def estimate_seconds(self, workload: str) -> float:
        """Return the expected service time of a workload.

        A workload without observations gets the mean of the others.
        """
        mean_seconds = self._estimates.mean(_INITIAL_SERVICE_SECONDS)
        return self._estimates.find(workload, mean_seconds)

    def predict_wait(self, rank: tuple[bool, int]) -> float:
        """Return the estimated seconds that a new request waits for a slot."""
        ahead = [
            waiter.ticket.workload
            for waiter in self._queue
            if waiter.rank <= rank and not waiter.slot.done()
        ]
        cold_wait = self._warm_up.wait_seconds(len(ahead) + 1)
        if self.in_progress < self.slots and not ahead:
            return cold_wait
        queued_seconds = sum(
            self.estimate_seconds(workload) for workload in ahead
        )
        # On average, half of the service time of the running requests is left.
        mean_seconds = self._estimates.mean(0)
        backlog_seconds = queued_seconds + mean_seconds / 2
        return max(cold_wait, backlog_seconds / max(self.slots, 1))

    async def admit(self, ticket: Ticket) -> Result[Slot, Refusal]:
        """Wait for a slot.

        A request that would start too late, or finds the queue full, is
        refused at once.
        """
        if self._closed_reason:
            return Err(Refusal(self._closed_reason, 'no', 0))
        wait = max(
            self.predict_wait(ticket.rank),
            # The link sends earlier answers while the request is served.
            ticket.transfer_seconds - self.estimate_seconds(ticket.workload),
        )
        if wait > self._max_wait_seconds(ticket):
            return Err(self._refuse('wait_too_long', wait))
        if self.queued >= MAX_QUEUED:
            return Err(self._refuse('queue_full', wait))
        slot: asyncio.Future[Result[Slot, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        heapq.heappush(
            self._queue,
            _Waiter(ticket.rank, next(self._sequence_numbers), ticket, slot),
        )
        self.dispatch()
        return await self._wait_for_slot(slot)

    def close(self, reason: str) -> None:
        """Refuse new and waiting requests, none of which has been executed."""
        self._closed_reason = reason
        queue, self._queue = self._queue, []
        for waiter in queue:
            if not waiter.slot.done():
                waiter.slot.set_result(Err(Refusal(reason, 'no', 0)))

    def open(self) -> None:
        """Admit requests again after ``close``."""
        self._closed_reason = ''

    def release_slot(
        self, workload: str, started_at: float, is_typical: bool
    ) -> None:
        """Free a slot and, if typical, update the service time estimate."""
        self.in_progress -= 1
        if is_typical:
            service_seconds = self._clock.monotonic() - started_at
            self._estimates.observe(workload, service_seconds)
        self.dispatch()

    def dispatch(self) -> None:
        """Grant free slots to the most urgent waiting requests."""
        now = self._clock.monotonic()
        while self._queue and self.in_progress < self.slots:
            waiter = self._queue[0]
            if waiter.slot.done():
                heapq.heappop(self._queue)
                continue
            seconds_late = (
                now + self._min_service_seconds(waiter) - waiter.ticket.deadline
            )
            if seconds_late > 0:
                heapq.heappop(self._queue)
                waiter.slot.set_result(Err(self._refuse('deadline', 0)))
                continue
            delay = self._warm_up.take_token()
            if delay > 0:
                self._schedule_dispatch(delay)
                return
            heapq.heappop(self._queue)
            self.in_progress += 1
            waiter.slot.set_result(Ok(Slot(self, waiter.ticket.workload, now)))
        self._refuse_expired(now)

    def _max_wait_seconds(self, ticket: Ticket) -> float:
        """Return the longest time in seconds that a request may wait.

        A longer queue would not raise the throughput, but every request in it
        would miss its target.
        """
        now = self._clock.monotonic()
        service_seconds = self.estimate_seconds(ticket.workload)
        target_left = max(ticket.target_time - now, 0)
        planned_wait = target_left - service_seconds * _PLANNED_SERVICE_FACTOR
        target_wait = max(planned_wait, _MIN_WAIT_FRACTION * target_left)
        deadline_wait = (
            ticket.deadline - now - service_seconds * _MIN_SERVICE_FRACTION
        )
        return min(target_wait, deadline_wait)

    def _min_service_seconds(self, waiter: _Waiter) -> float:
        service_seconds = self.estimate_seconds(waiter.ticket.workload)
        return service_seconds * _MIN_SERVICE_FRACTION

    def _refuse_expired(self, now: float) -> None:
        """Refuse waiting requests that can no longer meet their deadline.

        If there is none yet, set a timer for the first.
        """
        waiting = [waiter for waiter in self._queue if not waiter.slot.done()]
        if not waiting:
            return
        first_expiry = min(
            waiter.ticket.deadline - self._min_service_seconds(waiter)
            for waiter in waiting
        )
        if first_expiry > now:
            self._schedule_dispatch(first_expiry - now)
            return
        for waiter in waiting:
            if (
                waiter.ticket.deadline - self._min_service_seconds(waiter)
                <= now
            ):
                waiter.slot.set_result(Err(self._refuse('deadline', 0)))

    def _schedule_dispatch(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(seconds, 0.001), self.dispatch)

    async def _wait_for_slot(
        self, slot: 'asyncio.Future[Result[Slot, Refusal]]'
    ) -> Result[Slot, Refusal]:
        try:
            return await slot
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                granted = slot.result()
                if isinstance(granted, Ok):
                    granted.ok_value.release()
            raise

    def _refuse(self, reason: str, wait: float) -> Refusal:
        return Refusal(reason, 'no', int(wait * _MILLISECONDS_PER_SECOND))
