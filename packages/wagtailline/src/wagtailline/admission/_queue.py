"""Bounded queue with deficit round robin over client accounts."""

import asyncio
import math
from collections import deque

from result import Result

from wagtailline.admission._slot import Slot
from wagtailline.admission._types import (
    GateRefusal,
    Ticket,
)

# Accounts remembered after they left; others start with credit.
_MAX_LEFT = 1024
# Requests of a burst that an account may send ahead of its share.
_MAX_CREDIT = 4


class Waiter:
    """A request in the queue and the future that ends its wait."""

    __slots__ = ('grant', 'ticket')

    def __init__(self, ticket: Ticket) -> None:
        """Wait on the running loop."""
        self.ticket = ticket
        self.grant: asyncio.Future[Result[Slot, GateRefusal]] = (
            asyncio.get_running_loop().create_future()
        )

    def end(self, verdict: Result[Slot, GateRefusal]) -> None:
        """End the wait unless the caller has left."""
        if not self.grant.done():
            self.grant.set_result(verdict)


class _Line:
    """Waiting requests of one account in order of arrival."""

    __slots__ = ('account', 'deficit', 'visited', 'waiters', 'weight')

    def __init__(self, account: str, weight: int) -> None:
        self.account = account
        self.weight = max(weight, 1)
        self.deficit = float(0)
        self.visited = False
        self.waiters: deque[Waiter] = deque()


class FairQueue:
    """Deficit round robin over accounts by their weights.

    An account whose line is empty goes on collecting credit for a few
    requests. Without that, a light account that seldom sends would wait for
    several rounds of the others each time.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self._lines: dict[str, _Line] = {}
        self._ring: deque[_Line] = deque()
        # One request costs the largest weight in the queue, so that a turn
        # of any account is at most one request.
        self._cost = 1
        self._length = 0
        # Rounds served since the queue was last empty, and at which of them
        # and with which deficit each line became empty.
        self._rounds = float(0)
        self._left: dict[str, tuple[float, float]] = {}
        self._total_weight = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Append a request to the line of its account."""
        account = waiter.ticket.client_account
        line = self._lines.get(account)
        if line is None:
            line = self._add_line(account, waiter.ticket.weight)
        line.waiters.append(waiter)
        self._length += 1

    def pop(self) -> Waiter | None:
        """Take the next request in turn."""
        while self._ring:
            line = self._ring[0]
            if not line.visited:
                line.visited = True
                line.deficit += line.weight
            if line.deficit >= self._cost:
                line.deficit -= self._cost
                self._rounds += self._cost / self._total_weight
                waiter = line.waiters.popleft()
                self._shorten(line)
                return waiter
            line.visited = False
            self._ring.rotate(-1)
        return None

    def remove(self, waiter: Waiter) -> None:
        """Take a request out of its line if it is still there."""
        line = self._lines.get(waiter.ticket.client_account)
        if line is not None and waiter in line.waiters:
            line.waiters.remove(waiter)
            self._shorten(line)

    def ahead_of(self, account: str, weight: int) -> float:
        """Estimate how many requests run before a new one of an account."""
        line = self._lines.get(account)
        if line is not None:
            return self._ahead(line, len(line.waiters))
        newcomer = _Line(account, weight)
        newcomer.deficit = self._credit(newcomer)
        return self._ahead(newcomer, 0)

    def positions(self) -> tuple[tuple[Waiter, float], ...]:
        """Return each request with those estimated to run before it."""
        return tuple(
            (waiter, self._ahead(line, at))
            for line in self._ring
            for at, waiter in enumerate(line.waiters)
        )

    def displace(self, account: str, weight: int) -> Waiter | None:
        """Take out the newest request of the longest line.

        None when no line would still be longer than the given account's.
        """
        longest = max(self._ring, key=_length_by_weight, default=None)
        own = self._lines.get(account)
        if longest is None or longest is own:
            return None
        own_length = len(own.waiters) if own else 0
        if _length_by_weight(longest) <= (own_length + 1) / max(weight, 1):
            return None
        waiter = longest.waiters.pop()
        self._shorten(longest)
        return waiter

    def clear(self) -> tuple[Waiter, ...]:
        """Take out all requests."""
        waiters = self.waiters()
        self._lines.clear()
        self._ring.clear()
        self._length = 0
        self._reset()
        return waiters

    def waiters(self) -> tuple[Waiter, ...]:
        """Return the waiting requests, by account."""
        return tuple(one for line in self._ring for one in line.waiters)

    def _ahead(self, line: _Line, before: int) -> float:
        cost = max(self._cost, line.weight)
        needed = (before + 1) * cost - line.deficit
        rounds = max(needed / line.weight, 1)
        others = sum(
            min(len(one.waiters), rounds * one.weight / cost)
            for one in self._ring
            if one is not line
        )
        return before + others

    def _credit(self, line: _Line) -> float:
        rounds, deficit = self._left.get(line.account, (-math.inf, 0))
        earned = (self._rounds - rounds) * line.weight
        cost = max(self._cost, line.weight)
        return min(deficit + earned, cost * _MAX_CREDIT)

    def _add_line(self, account: str, weight: int) -> _Line:
        line = _Line(account, weight)
        self._lines[account] = line
        self._ring.append(line)
        self._cost = max(self._cost, line.weight)
        self._total_weight += line.weight
        line.deficit = self._credit(line)
        self._left.pop(account, None)
        return line

    def _shorten(self, line: _Line) -> None:
        self._length -= 1
        if line.waiters:
            return
        self._lines.pop(line.account)
        self._ring.remove(line)
        if not self._ring:
            self._reset()
            return
        self._total_weight -= line.weight
        self._cost = max(one.weight for one in self._ring)
        if len(self._left) < _MAX_LEFT:
            self._left[line.account] = (self._rounds, line.deficit)

    def _reset(self) -> None:
        self._cost = 1
        self._total_weight = 0
        self._rounds = 0
        self._left.clear()


def _length_by_weight(line: _Line) -> float:
    return len(line.waiters) / line.weight
