"""Deficit round robin queue over client accounts."""

import asyncio
import math
from collections import deque

from result import Result

from wagtailline.admission._slot import Slot
from wagtailline.admission._types import (
    GateRefusal,
    Ticket,
)

# Accounts without waiting requests whose credit is kept. Others start with the
# most credit.
_MAX_INACTIVE = 1024
# Requests that an account may send in a burst, ahead of its share.
_MAX_CREDIT_REQUESTS = 4


class Waiter:
    """A waiting request and the future that ends its wait."""

    __slots__ = ('grant', 'ticket')

    def __init__(self, ticket: Ticket) -> None:
        """Create the future on the running event loop."""
        self.ticket = ticket
        self.grant: asyncio.Future[Result[Slot, GateRefusal]] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, admission: Result[Slot, GateRefusal]) -> None:
        """End the wait with a slot or a refusal, unless it has ended."""
        if not self.grant.done():
            self.grant.set_result(admission)


class _AccountQueue:
    """Waiting requests of one account, in order of arrival.

    ``visited`` is true while it is this account's turn.
    """

    __slots__ = ('account', 'deficit', 'visited', 'waiters', 'weight')

    def __init__(self, account: str, weight: int) -> None:
        self.account = account
        self.weight = max(weight, 1)
        self.deficit = float(0)
        self.visited = False
        self.waiters: deque[Waiter] = deque()


class FairQueue:
    """Deficit round robin over client accounts by their weights.

    An account without waiting requests keeps earning credit, up to a few
    requests. Otherwise an account of low weight that seldom sends would wait
    for several rounds of the others each time.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queues: dict[str, _AccountQueue] = {}
        self._active: deque[_AccountQueue] = deque()
        # One request costs the largest weight in the queue, so that each turn
        # of an account starts at most one request.
        self._cost = 1
        self._length = 0
        # Rounds served since the queue was last empty, and the round and the
        # deficit of each inactive account when its last request left.
        self._rounds = float(0)
        self._inactive: dict[str, tuple[float, float]] = {}
        self._total_weight = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its account."""
        account = waiter.ticket.client_account
        queue = self._queues.get(account)
        if queue is None:
            queue = self._add_queue(account, waiter.ticket.weight)
        queue.waiters.append(waiter)
        self._length += 1

    def pop(self) -> Waiter | None:
        """Remove and return the next request, None if the queue is empty."""
        while self._active:
            queue = self._active[0]
            if not queue.visited:
                queue.visited = True
                queue.deficit += queue.weight
            if queue.deficit >= self._cost:
                queue.deficit -= self._cost
                self._rounds += self._cost / self._total_weight
                waiter = queue.waiters.popleft()
                self._note_removal(queue)
                return waiter
            queue.visited = False
            self._active.rotate(-1)
        return None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request if it still waits."""
        queue = self._queues.get(waiter.ticket.client_account)
        if queue is not None and waiter in queue.waiters:
            queue.waiters.remove(waiter)
            self._note_removal(queue)

    def estimate_ahead(self, account: str, weight: int) -> float:
        """Estimate how many requests start before a new one of an account."""
        queue = self._queues.get(account)
        if queue is not None:
            return self._estimate_ahead(queue, len(queue.waiters))
        new_queue = _AccountQueue(account, weight)
        new_queue.deficit = self._credit(new_queue)
        return self._estimate_ahead(new_queue, 0)

    def estimate_positions(self) -> tuple[tuple[Waiter, float], ...]:
        """Return each request and the estimated number of those before it."""
        return tuple(
            (waiter, self._estimate_ahead(queue, index))
            for queue in self._active
            for index, waiter in enumerate(queue.waiters)
        )

    def evict(self, account: str, weight: int) -> Waiter | None:
        """Remove and return the newest request of the longest queue.

        Queues are compared by their length divided by the weight of the
        account. Return None if no queue would be longer than that of the
        given account with one more request.
        """
        longest = max(self._active, key=_weighted_length, default=None)
        own = self._queues.get(account)
        if longest is None or longest is own:
            return None
        own_length = len(own.waiters) if own else 0
        if _weighted_length(longest) <= (own_length + 1) / max(weight, 1):
            return None
        waiter = longest.waiters.pop()
        self._note_removal(longest)
        return waiter

    def clear(self) -> tuple[Waiter, ...]:
        """Remove and return all requests."""
        waiters = self.waiters()
        self._queues.clear()
        self._active.clear()
        self._length = 0
        self._reset()
        return waiters

    def waiters(self) -> tuple[Waiter, ...]:
        """Return the waiting requests, by account."""
        return tuple(
            waiter for queue in self._active for waiter in queue.waiters
        )

    def _estimate_ahead(self, queue: _AccountQueue, before: int) -> float:
        cost = max(self._cost, queue.weight)
        missing_credit = (before + 1) * cost - queue.deficit
        rounds = max(missing_credit / queue.weight, 1)
        others = sum(
            min(len(other.waiters), rounds * other.weight / cost)
            for other in self._active
            if other is not queue
        )
        return before + others

    def _credit(self, queue: _AccountQueue) -> float:
        inactive_since, deficit = self._inactive.get(
            queue.account, (-math.inf, 0)
        )
        earned = (self._rounds - inactive_since) * queue.weight
        cost = max(self._cost, queue.weight)
        return min(deficit + earned, cost * _MAX_CREDIT_REQUESTS)

    def _add_queue(self, account: str, weight: int) -> _AccountQueue:
        queue = _AccountQueue(account, weight)
        self._queues[account] = queue
        self._active.append(queue)
        self._cost = max(self._cost, queue.weight)
        self._total_weight += queue.weight
        queue.deficit = self._credit(queue)
        self._inactive.pop(account, None)
        return queue

    def _note_removal(self, queue: _AccountQueue) -> None:
        self._length -= 1
        if queue.waiters:
            return
        self._queues.pop(queue.account)
        self._active.remove(queue)
        if not self._active:
            self._reset()
            return
        self._total_weight -= queue.weight
        self._cost = max(other.weight for other in self._active)
        if len(self._inactive) < _MAX_INACTIVE:
            self._inactive[queue.account] = (self._rounds, queue.deficit)

    def _reset(self) -> None:
        self._cost = 1
        self._total_weight = 0
        self._rounds = 0
        self._inactive.clear()


def _weighted_length(queue: _AccountQueue) -> float:
    return len(queue.waiters) / queue.weight
