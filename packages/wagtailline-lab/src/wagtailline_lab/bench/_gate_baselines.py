"""Stand-ins for the gate that the benchmark compares with."""

import asyncio
from collections import deque
from typing import Protocol

from result import Err, Ok, Result

from wagtailline.admission import (
    DeadlinePassed,
    GateRefusal,
    Outcome,
    QueueFull,
    Ticket,
)

_QUEUE_PER_SLOT = 4


class HeldSlot(Protocol):
    """What a sender needs of a slot."""

    def release(self, outcome: Outcome) -> None:
        """Give the slot back."""


class Admission(Protocol):
    """What a sender needs of a gate."""

    @property
    def load(self) -> float:
        """Return the load from 0 to 1."""

    async def admit(
        self, ticket: Ticket
    ) -> Result[HeldSlot, GateRefusal] | Result['BaselineSlot', GateRefusal]:
        """Return a slot or a refusal."""


class BaselineSlot:
    """A slot of a baseline."""

    def __init__(self, owner: 'FixedLimit | NoLimit') -> None:
        """Belong to a baseline."""
        self._owner = owner

    def release(self, outcome: Outcome) -> None:
        """Give the slot back."""
        self._owner.give_back()


class NoLimit:
    """Sends everything on at once."""

    def __init__(self, slots: int) -> None:
        """Use the slots for the load figure only."""
        self._slots = slots
        self._count = 0

    @property
    def load(self) -> float:
        """Return the load from 0 to 1."""
        wanted = (self._count + 1) / self._slots
        return wanted / (wanted + 1)

    async def admit(self, ticket: Ticket) -> Result[BaselineSlot, GateRefusal]:
        """Return a slot."""
        self._count += 1
        return Ok(BaselineSlot(self))

    def give_back(self) -> None:
        """Count a request that ended."""
        self._count -= 1


class FixedLimit:
    """Limit equal to the slots, with one first-in first-out queue."""

    def __init__(self, slots: int) -> None:
        """Begin with all slots free."""
        self._slots = slots
        self._count = 0
        self._queue: deque[
            tuple[Ticket, asyncio.Future[Result[BaselineSlot, GateRefusal]]]
        ] = deque()

    @property
    def load(self) -> float:
        """Return the load from 0 to 1."""
        wanted = (self._count + len(self._queue) + 1) / self._slots
        return wanted / (wanted + 1)

    async def admit(self, ticket: Ticket) -> Result[BaselineSlot, GateRefusal]:
        """Return a slot in order of arrival."""
        if self._count < self._slots:
            self._count += 1
            return Ok(BaselineSlot(self))
        if len(self._queue) >= self._slots * _QUEUE_PER_SLOT:
            return Err(QueueFull(0, 0))
        grant: asyncio.Future[Result[BaselineSlot, GateRefusal]] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.append((ticket, grant))
        return await grant

    def give_back(self) -> None:
        """Start the next request that is still in time."""
        self._count -= 1
        now = asyncio.get_running_loop().time()
        while self._queue and self._count < self._slots:
            ticket, grant = self._queue.popleft()
            if grant.done():
                continue
            if ticket.deadline <= now:
                grant.set_result(Err(DeadlinePassed()))
                continue
            self._count += 1
            grant.set_result(Ok(BaselineSlot(self)))
