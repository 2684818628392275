"""Baselines for the benchmark of the gate: a fixed limit and no limit."""

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

_MAX_QUEUED_PER_SLOT = 4


class HeldSlot(Protocol):
    """Slot of an admitted request, as the sender uses it."""

    def release(self, outcome: Outcome) -> None:
        """Release the slot after the request ended with this outcome."""


class AdmissionGate(Protocol):
    """Interface of a gate, as the sender uses it."""

    @property
    def load(self) -> float:
        """Return the load, from 0 to 1."""

    async def admit(
        self, ticket: Ticket
    ) -> Result[HeldSlot, GateRefusal] | Result['BaselineSlot', GateRefusal]:
        """Return a slot, or the reason of the refusal."""


class BaselineSlot:
    """Slot that one of the baselines granted."""

    def __init__(self, baseline: 'FixedLimit | NoLimit') -> None:
        """Take the baseline that granted the slot."""
        self._baseline = baseline

    def release(self, outcome: Outcome) -> None:
        """Release the slot after the request ended with this outcome."""
        self._baseline.release_slot()


class NoLimit:
    """Gate that admits every request immediately."""

    def __init__(self, slots: int) -> None:
        """Take the number of slots, which only scales the reported load."""
        self._slots = slots
        self._in_progress = 0

    @property
    def load(self) -> float:
        """Return the load, from 0 to 1."""
        demand = (self._in_progress + 1) / self._slots
        return demand / (demand + 1)

    async def admit(self, ticket: Ticket) -> Result[BaselineSlot, GateRefusal]:
        """Return a slot without waiting."""
        self._in_progress += 1
        return Ok(BaselineSlot(self))

    def release_slot(self) -> None:
        """Decrement the number of requests in progress."""
        self._in_progress -= 1


class FixedLimit:
    """Gate with a fixed limit and one first-in, first-out queue."""

    def __init__(self, slots: int) -> None:
        """Start with all slots free; the limit is their number."""
        self._slots = slots
        self._in_progress = 0
        self._queue: deque[
            tuple[Ticket, asyncio.Future[Result[BaselineSlot, GateRefusal]]]
        ] = deque()

    @property
    def load(self) -> float:
        """Return the load, from 0 to 1."""
        demand = (self._in_progress + len(self._queue) + 1) / self._slots
        return demand / (demand + 1)

    async def admit(self, ticket: Ticket) -> Result[BaselineSlot, GateRefusal]:
        """Return a slot in order of arrival, or refuse if the queue is full."""
        if self._in_progress < self._slots:
            self._in_progress += 1
            return Ok(BaselineSlot(self))
        if len(self._queue) >= self._slots * _MAX_QUEUED_PER_SLOT:
            return Err(QueueFull(0, 0))
        grant: asyncio.Future[Result[BaselineSlot, GateRefusal]] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.append((ticket, grant))
        return await grant

    def release_slot(self) -> None:
        """Grant the free slot to the next request before its deadline."""
        self._in_progress -= 1
        now = asyncio.get_running_loop().time()
        while self._queue and self._in_progress < self._slots:
            ticket, grant = self._queue.popleft()
            if grant.done():
                continue
            if ticket.deadline <= now:
                grant.set_result(Err(DeadlinePassed()))
                continue
            self._in_progress += 1
            grant.set_result(Ok(BaselineSlot(self)))
