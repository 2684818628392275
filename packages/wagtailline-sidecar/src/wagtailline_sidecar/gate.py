"""Admits requests to the local upstream by slots, urgency and warm-up."""

import asyncio
import heapq
import itertools
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import Refusal
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.warm_up import WarmUp

# Requests that may wait for a slot at once.
MAX_QUEUED = 256
# Part of the former estimate that one more observation replaces.
_SMOOTHING = 0.1
_FIRST_SERVICE_SECONDS = 0.1
# Service times spread widely: this multiple of the usual one is planned for.
_PLANNED_SERVICE = 1.5
# Part of its target that a request may wait even if it will miss it.
_LEAST_WAIT_PART = 0.3
# Part of the usual service time that has to be left at the start.
_LEAST_SERVICE_PART = 0.6
_MILLISECONDS = 1000


class Ticket(NamedTuple):
    """A request that wants a slot.

    ``deadline`` and ``target`` are monotonic times; a lower ``priority`` is
    more urgent. ``workload`` groups requests of similar service time. A
    nested request was made by one that already runs at an upstream.
    """

    workload: str
    priority: int
    deadline: float
    target: float
    is_nested: bool = False

    @property
    def rank(self) -> tuple[bool, int]:
        """Return the position in the queue; lower goes first.

        A nested request that fails also wastes the slot of the one that made
        it, so it goes before requests that have not used anything yet.
        """
        return not self.is_nested, self.priority


class _Waiter(NamedTuple):
    rank: tuple[bool, int]
    number: int
    ticket: Ticket
    slot: 'asyncio.Future[Result[Slot, Refusal]]'


class Slot:
    """The right to run one request at the upstream."""

    def __init__(self, gate: 'Gate', workload: str, started: float) -> None:
        """Hold the slot until its release."""
        self._gate = gate
        self._workload = workload
        self._is_held = True
        self.started = started

    def release(self, *, is_typical: bool = False) -> None:
        """Give the slot back; ``is_typical`` for an answer in full."""
        if self._is_held:
            self._is_held = False
            self._gate.take_back(self._workload, self.started, is_typical)


class Gate:
    """Slots of the local upstream and the queue for them."""

    def __init__(self, clock: MonotonicClock, warm_up: WarmUp) -> None:
        """Start closed, with no slot, until the upstream is known."""
        self._clock = clock
        self._warm_up = warm_up
        self._numbers = itertools.count()
        self._queue: list[_Waiter] = []
        self._estimates: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._closed_reason = ''
        self.slots = 0
        self.in_progress = 0

    @property
    def queued(self) -> int:
        """Return the number of requests that wait."""
        return sum(not waiter.slot.done() for waiter in self._queue)

    def describe_warm_up(self) -> str:
        """Return the state of the warm-up, for the log."""
        return self._warm_up.describe()

    def estimate_seconds(self, workload: str) -> float:
        """Return the expected service time of a workload."""
        known = self._estimates.get(workload)
        if known is not None:
            return known
        if not self._estimates:
            return _FIRST_SERVICE_SECONDS
        return sum(self._estimates.values()) / len(self._estimates)

    def predict_wait(self, rank: tuple[bool, int]) -> float:
        """Return the seconds that a new request would wait for a slot."""
        ahead = [
            waiter.ticket.workload
            for waiter in self._queue
            if waiter.rank <= rank and not waiter.slot.done()
        ]
        cold_wait = self._warm_up.wait_seconds(len(ahead) + 1)
        if self.in_progress < self.slots and not ahead:
            return cold_wait
        work = sum(self.estimate_seconds(one) for one in ahead)
        # The requests in progress have half of their time left on average.
        residual = sum(self._estimates.values()) / max(len(self._estimates), 1)
        busy = work + residual / 2
        return max(cold_wait, busy / max(self.slots, 1))

    async def admit(self, ticket: Ticket) -> Result[Slot, Refusal]:
        """Wait for a slot; refuse at once what could not end in time."""
        if self._closed_reason:
            return Err(Refusal(self._closed_reason, 'no', 0))
        wait = self.predict_wait(ticket.rank)
        if wait > self._longest_wait(ticket):
            return Err(self._refuse('wait_too_long', wait))
        if self.queued >= MAX_QUEUED:
            return Err(self._refuse('queue_full', wait))
        slot: asyncio.Future[Result[Slot, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        heapq.heappush(
            self._queue,
            _Waiter(ticket.rank, next(self._numbers), ticket, slot),
        )
        self.dispatch()
        return await self._wait(slot)

    def close(self, reason: str) -> None:
        """Refuse new requests and those that wait; none of them ran."""
        self._closed_reason = reason
        queue, self._queue = self._queue, []
        for waiter in queue:
            if not waiter.slot.done():
                waiter.slot.set_result(Err(Refusal(reason, 'no', 0)))

    def open(self) -> None:
        """Admit requests again."""
        self._closed_reason = ''

    def take_back(
        self, workload: str, started: float, is_typical: bool
    ) -> None:
        """Take back a slot and learn from its time."""
        self.in_progress -= 1
        if is_typical:
            took = self._clock.monotonic() - started
            former = self._estimates.get(workload, took)
            self._estimates[workload] = former + _SMOOTHING * (took - former)
        self.dispatch()

    def dispatch(self) -> None:
        """Give free slots to the most urgent requests."""
        now = self._clock.monotonic()
        while self._queue and self.in_progress < self.slots:
            waiter = self._queue[0]
            if waiter.slot.done():
                heapq.heappop(self._queue)
                continue
            late_by = now + self._least_seconds(waiter) - waiter.ticket.deadline
            if late_by > 0:
                heapq.heappop(self._queue)
                waiter.slot.set_result(Err(self._refuse('deadline', 0)))
                continue
            pause = self._warm_up.take()
            if pause > 0:
                self._call_again(pause)
                return
            heapq.heappop(self._queue)
            self.in_progress += 1
            waiter.slot.set_result(Ok(Slot(self, waiter.ticket.workload, now)))
        self._watch_deadlines(now)

    def _longest_wait(self, ticket: Ticket) -> float:
        """Return how long a request may wait.

        A longer queue would serve as many requests, but every one of them
        behind its target.
        """
        now = self._clock.monotonic()
        service = self.estimate_seconds(ticket.workload)
        target_left = max(ticket.target - now, 0)
        planned = target_left - service * _PLANNED_SERVICE
        wanted = max(planned, _LEAST_WAIT_PART * target_left)
        left = ticket.deadline - now - service * _LEAST_SERVICE_PART
        return min(wanted, left)

    def _least_seconds(self, waiter: _Waiter) -> float:
        service = self.estimate_seconds(waiter.ticket.workload)
        return service * _LEAST_SERVICE_PART

    def _watch_deadlines(self, now: float) -> None:
        """Refuse waiting requests as soon as they can't end in time."""
        waiting = [one for one in self._queue if not one.slot.done()]
        if not waiting:
            return
        nearest = min(
            one.ticket.deadline - self._least_seconds(one) for one in waiting
        )
        if nearest > now:
            self._call_again(nearest - now)
            return
        for one in waiting:
            if one.ticket.deadline - self._least_seconds(one) <= now:
                one.slot.set_result(Err(self._refuse('deadline', 0)))

    def _call_again(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(seconds, 0.001), self.dispatch)

    async def _wait(
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
        return Refusal(reason, 'no', int(wait * _MILLISECONDS))
