"""Requests for slots of the gate, and the slots that they get."""

import asyncio
from typing import NamedTuple, Protocol

from result import Result

from wagtailline.calls import Refusal
from wagtailline_sidecar.capacity_belief import CapacityBelief
from wagtailline_sidecar.rank_load import Rank


class SlotOwner(Protocol):
    """Interface of the gate as its slots use it."""

    belief: CapacityBelief
    in_progress: int

    def record_use(self, rank: Rank, started_at: float) -> None:
        """Count the time for which a request held a slot."""

    def release_slot(
        self, workload: str, started_at: float, is_typical: bool
    ) -> None:
        """Free a slot and, if typical, update the service time estimate."""


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
    def rank(self) -> Rank:
        """Return the rank in the queue of a request that has just arrived."""
        return Rank(not self.is_nested, self.priority)


class Waiter(NamedTuple):
    """Request in the queue; those with a lower rank, then older, go first."""

    rank: Rank
    sequence_number: int
    ticket: Ticket
    slot: 'asyncio.Future[Result[Slot, Refusal]]'


class Slot:
    """Permission to run one request at the upstream."""

    def __init__(
        self, gate: SlotOwner, workload: str, rank: Rank, started_at: float
    ) -> None:
        """Create a slot that was granted at the time ``started_at``."""
        self._gate = gate
        self._workload = workload
        self._rank = rank
        self._running = gate.in_progress
        self._is_held = True
        self.started_at = started_at

    def report(self, *, is_refused: bool) -> None:
        """Report whether the upstream refused the request for lack of room."""
        self._gate.belief.record(self._running, is_refused=is_refused)

    def release(self, *, is_typical: bool = False) -> None:
        """Release the slot; further calls have no effect.

        The service time counts towards the estimate if ``is_typical`` is set,
        as it should be after a complete response.
        """
        if self._is_held:
            self._is_held = False
            self._gate.record_use(self._rank, self.started_at)
            self._gate.release_slot(self._workload, self.started_at, is_typical)
