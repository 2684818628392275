"""Admission control in front of the local upstream.

A request waits in a priority queue until a concurrency slot is free and both
the rate limit of a cold upstream and the one that the upstream names allow
another start. One that can't be served in time is refused, at once where that
is known.
"""

import asyncio
import heapq
import itertools
import math

from result import Err, Ok, Result

from wagtailline.calls import Refusal
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar._gate_slots import Slot, Ticket, Waiter
from wagtailline_sidecar.capacity_belief import CapacityBelief
from wagtailline_sidecar.moving_averages import MovingAverages
from wagtailline_sidecar.rank_load import Rank, RankLoad
from wagtailline_sidecar.rate_limit import RateLimit
from wagtailline_sidecar.warm_up import WarmUp

__all__ = ('MAX_QUEUED', 'RATE_LIMITED', 'Gate', 'Slot', 'Ticket')

MAX_QUEUED = 256
# Reason of a refusal: the upstream has named a limit that is used up.
RATE_LIMITED = 'rate_limited'
# Weight of a new observation in the moving average of service times.
_SMOOTHING_FACTOR = 0.1
# Factor by which the longest service time falls with each observation.
_LONGEST_DECAY = 0.99
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
# Part of the slots that is left to a rank, however many more urgent ranks use.
_MIN_FREE_FRACTION = 0.05
_MILLISECONDS_PER_SECOND = 1000
# Longest wait that a refusal or response names.
MAX_NAMED_WAIT_SECONDS = 3600.0


class Gate:
    """Concurrency limit of the local upstream with a priority queue."""

    def __init__(
        self,
        clock: MonotonicClock,
        warm_up: WarmUp,
        rate_limit: RateLimit | None = None,
    ) -> None:
        """Create a gate without slots; requests wait until some are set."""
        self._clock = clock
        self._warm_up = warm_up
        self._sequence_numbers = itertools.count()
        self._queue: list[Waiter] = []
        self._estimates = MovingAverages(_SMOOTHING_FACTOR)
        self._longest: dict[str, float] = {}
        self._load = RankLoad(clock)
        self._timer: asyncio.TimerHandle | None = None
        self._closed_reason = ''
        self.rate_limit = rate_limit or RateLimit(clock)
        self.belief = CapacityBelief(clock)
        self.in_progress = 0

    @property
    def slots(self) -> int:
        """Return the number of requests that may run at the same time."""
        return self.belief.limit

    @slots.setter
    def slots(self, registered: int) -> None:
        self.belief.registered = registered

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting())

    def describe_warm_up(self) -> str:
        """Return the state of the warm-up as text for a log event."""
        return self._warm_up.describe()

    def estimate_seconds(self, workload: str) -> float:
        """Return the expected service time of a workload.

        A workload without observations gets the mean of the others.
        """
        mean_seconds = self._estimates.mean(_INITIAL_SERVICE_SECONDS)
        return self._estimates.find(workload, mean_seconds)

    def longest_seconds(self, workload: str) -> float:
        """Return the longest service time of a workload lately.

        It is infinite without observations.
        """
        return self._longest.get(workload, math.inf)

    def predict_wait(self, rank: Rank) -> float:
        """Return the estimated seconds that a new request waits for a slot.

        More urgent requests that arrive meanwhile go first, so only the slots
        that they leave serve those that are ahead now.
        """
        return self._predict_wait_behind(
            rank, [waiter for waiter in self._waiting() if waiter.rank <= rank]
        )

    def _predict_wait_behind(self, rank: Rank, ahead: list[Waiter]) -> float:
        start_wait = self._start_wait_seconds(len(ahead) + 1)
        if self.in_progress < self.slots and not ahead:
            return start_wait
        queued_seconds = sum(
            self.estimate_seconds(waiter.ticket.workload) for waiter in ahead
        )
        # On average, half of the service time of the running requests is left.
        mean_seconds = self._estimates.mean(0)
        backlog_seconds = queued_seconds + mean_seconds / 2
        slots = max(self.slots, 1)
        free_slots = max(
            slots - self._load.slots_before(rank), slots * _MIN_FREE_FRACTION
        )
        return max(start_wait, backlog_seconds / free_slots)

    def _start_wait_seconds(self, starts: int) -> float:
        """Return the seconds until all rate limits allow more starts."""
        return max(
            self._warm_up.wait_seconds(starts),
            self.rate_limit.wait_seconds(starts),
        )

    def predict_load(self, rank: Rank) -> float:
        """Return the seconds that senders should expect to wait here.

        Beyond the wait of a request that arrives now, they include the one
        that a limit of the upstream will cause if they go on as they do.
        """
        return self.predict_wait(rank) + self.rate_limit.crowding_seconds()

    async def admit(self, ticket: Ticket) -> Result[Slot, Refusal]:
        """Wait for a slot.

        A request that would start too late, or finds the queue full, is
        refused at once.
        """
        self.rate_limit.record_arrival()
        if self._closed_reason:
            return Err(Refusal(self._closed_reason, 'no', 0))
        wait = max(
            self.predict_wait(ticket.rank),
            # The link sends earlier answers while the request is served.
            ticket.transfer_seconds - self.estimate_seconds(ticket.workload),
        )
        if wait > self._max_wait_seconds(ticket):
            return Err(self._refuse(self._reason_to_wait(), wait))
        if self.queued >= MAX_QUEUED:
            return Err(self._refuse('queue_full', wait))
        slot: asyncio.Future[Result[Slot, Refusal]] = (
            asyncio.get_running_loop().create_future()
        )
        heapq.heappush(
            self._queue,
            Waiter(ticket.rank, next(self._sequence_numbers), ticket, slot),
        )
        self.dispatch()
        return await self._wait_for_slot(slot)

    def close(self, reason: str) -> None:
        """Refuse new and waiting requests, none of which has been executed."""
        self._closed_reason = reason
        self.refuse_waiting(reason)

    def refuse_waiting(self, reason: str) -> None:
        """Refuse the waiting requests, which may run at another gate."""
        queue, self._queue = self._queue, []
        for waiter in queue:
            if not waiter.slot.done():
                waiter.slot.set_result(Err(Refusal(reason, 'no', 0)))

    def open(self) -> None:
        """Admit requests again after ``close``."""
        self._closed_reason = ''

    def record_use(self, rank: Rank, started_at: float) -> None:
        """Count the time for which a request held a slot."""
        self._load.record(rank, self._clock.monotonic() - started_at)

    def release_slot(
        self, workload: str, started_at: float, is_typical: bool
    ) -> None:
        """Free a slot and, if typical, update the service time estimate."""
        self.in_progress -= 1
        if is_typical:
            service_seconds = self._clock.monotonic() - started_at
            self._estimates.observe(workload, service_seconds)
            previous_seconds = self._longest.get(workload, 0) * _LONGEST_DECAY
            self._longest[workload] = max(service_seconds, previous_seconds)
        self.dispatch()

    def dispatch(self) -> None:
        """Grant free slots to the most urgent waiting requests."""
        now = self._clock.monotonic()
        start_delay = self._start_waiting(now)
        expiry_delay = self._refuse_expired(now)
        delay = min(start_delay, expiry_delay)
        if math.isfinite(delay):
            self._schedule_dispatch(delay)

    def _start_waiting(self, now: float) -> float:
        """Start what may start now.

        Return the seconds until rate limits allow the next start, or infinity
        if none of them holds one up.
        """
        while self.in_progress < self.slots and self._find_startable(now):
            delay = self._start_wait_seconds(1)
            if delay > 0:
                return delay
            self._warm_up.take_token()
            self.rate_limit.take_token()
            waiter = heapq.heappop(self._queue)
            self.in_progress += 1
            waiter.slot.set_result(
                Ok(Slot(self, waiter.ticket.workload, waiter.rank, now))
            )
        return math.inf

    def _find_startable(self, now: float) -> bool:
        """Return whether the head of the queue may start now.

        Heads that can't meet their deadline are refused before, and those that
        will miss their target put behind the others of their rank.
        """
        while self._queue:
            waiter = self._queue[0]
            earliest_end = now + self._min_service_seconds(waiter)
            if waiter.slot.done():
                heapq.heappop(self._queue)
            elif earliest_end > waiter.ticket.deadline:
                heapq.heappop(self._queue)
                waiter.slot.set_result(Err(self._refuse('deadline', 0)))
            elif waiter.rank.is_late:
                return True
            elif earliest_end > waiter.ticket.target_time:
                late_rank = waiter.rank._replace(is_late=True)
                late_waiter = waiter._replace(rank=late_rank)
                heapq.heapreplace(self._queue, late_waiter)
            else:
                return True
        return False

    def _waiting(self) -> list[Waiter]:
        return [waiter for waiter in self._queue if not waiter.slot.done()]

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

    def _min_service_seconds(self, waiter: Waiter) -> float:
        service_seconds = self.estimate_seconds(waiter.ticket.workload)
        return service_seconds * _MIN_SERVICE_FRACTION

    def _refuse_expired(self, now: float) -> float:
        """Refuse waiting requests that can no longer meet their deadline.

        Return the seconds until the next one can't, infinity without any.
        """
        self._refuse_hopeless(now)
        waiting = self._waiting()
        if not waiting:
            return math.inf
        expiries: list[float] = []
        for waiter in waiting:
            expiry = waiter.ticket.deadline - self._min_service_seconds(waiter)
            if expiry <= now:
                waiter.slot.set_result(Err(self._refuse('deadline', 0)))
            else:
                expiries.append(expiry)
        return min(expiries, default=math.inf) - now

    def _refuse_hopeless(self, now: float) -> None:
        """Refuse late requests that will not start before their deadline."""
        waiting = self._waiting()
        late = [waiter for waiter in waiting if waiter.rank.is_late]
        for waiter in sorted(late, reverse=True):
            ahead = [other for other in waiting if other < waiter]
            wait = self._predict_wait_behind(waiter.rank, ahead)
            earliest_end = now + wait + self._min_service_seconds(waiter)
            if earliest_end > waiter.ticket.deadline:
                refusal = self._refuse(self._reason_to_wait(), wait)
                waiter.slot.set_result(Err(refusal))
                waiting.remove(waiter)

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

    def _reason_to_wait(self) -> str:
        """Return what makes requests wait, as a refusal names it."""
        is_limited = self.rate_limit.wait_seconds(1) > 0
        return RATE_LIMITED if is_limited else 'wait_too_long'

    def _refuse(self, reason: str, wait: float) -> Refusal:
        wait_seconds = min(max(wait, 0), MAX_NAMED_WAIT_SECONDS)
        wait_ms = int(wait_seconds * _MILLISECONDS_PER_SECOND)
        return Refusal(reason, 'no', wait_ms)
