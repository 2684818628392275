"""Scheduling of message bodies on the outgoing network link of a VM.

Without it, the bodies that a daemon sends fill the queue of the link, and its
small messages wait behind them for seconds.
"""

import asyncio
import heapq
import math
from types import TracebackType
from typing import NamedTuple

from wagtailline.ports import MonotonicClock

# Fraction of the link's rate that bodies use. The rest is for the messages
# that are sent without waiting, and for protocol headers.
_BODY_FRACTION = 0.85
# Bytes handed to the link at any time are sent within this time, so that a
# small message waits no longer behind them.
_MAX_QUEUED_SECONDS = 0.03
_MIN_DELAY_SECONDS = 0.001


class _Waiter(NamedTuple):
    number: int
    size_bytes: int
    turn: 'asyncio.Future[None]'


class Transfer:
    """One body that is being sent or will be; use it as a context manager.

    ``remaining_bytes`` is the part that has not been handed to the link yet.
    It is an estimate until the size is known.
    """

    def __init__(self, uplink: 'Uplink', number: int, size_bytes: int) -> None:
        """Create a transfer; transfers with a lower number go first."""
        self._uplink = uplink
        self._number = number
        self.remaining_bytes = size_bytes

    def __enter__(self) -> 'Transfer':
        """Return the transfer."""
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the transfer; its remaining bytes are no longer expected."""
        self._uplink.close_transfer(self._number)

    async def wait_turn(self, size_bytes: int) -> None:
        """Wait until a chunk of the body may be sent."""
        await self._uplink.wait_turn(self._number, size_bytes)
        self.remaining_bytes = max(self.remaining_bytes - size_bytes, 0)


class Uplink:
    """Outgoing link of a VM, which its bodies use in the order of their start.

    An earlier body is sent first, because bodies that share the link all end
    late.
    """

    def __init__(
        self, clock: MonotonicClock, bytes_per_second: float = math.inf
    ) -> None:
        """Create an idle link; bodies never wait if its rate is infinite."""
        self._clock = clock
        self._body_rate = bytes_per_second * _BODY_FRACTION
        self._free_at = float('-inf')
        self._next_number = 0
        self._transfers: dict[int, Transfer] = {}
        self._waiters: list[_Waiter] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def backlog_seconds(self) -> float:
        """Return the time that the link needs for all open transfers."""
        remaining_bytes = sum(
            transfer.remaining_bytes for transfer in self._transfers.values()
        )
        return self._queued_seconds() + remaining_bytes / self._body_rate

    def open_transfer(self, size_bytes: int = 0) -> Transfer:
        """Return a new transfer behind all open ones.

        ``size_bytes`` is the size of its body, or an estimate.
        """
        self._next_number += 1
        transfer = Transfer(self, self._next_number, size_bytes)
        self._transfers[self._next_number] = transfer
        return transfer

    def close_transfer(self, number: int) -> None:
        """Forget a transfer; unknown numbers are ignored."""
        self._transfers.pop(number, None)

    def charge(self, size_bytes: int) -> None:
        """Count a message that is sent without waiting for a turn."""
        now = self._clock.monotonic()
        started_at = max(now, self._free_at)
        self._free_at = started_at + size_bytes / self._body_rate

    async def wait_turn(self, number: int, size_bytes: int) -> None:
        """Wait until a chunk of a transfer may be sent, and count it."""
        if not self._waiters and self._has_room():
            self.charge(size_bytes)
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, _Waiter(number, size_bytes, turn))
        self._dispatch()
        await turn

    def _dispatch(self) -> None:
        """Grant turns while the link has room, then wait until it has."""
        while self._waiters and self._has_room():
            waiter = heapq.heappop(self._waiters)
            if not waiter.turn.done():
                self.charge(waiter.size_bytes)
                waiter.turn.set_result(None)
        if self._waiters:
            self._schedule_dispatch()

    def _schedule_dispatch(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        full_seconds = self._queued_seconds() - _MAX_QUEUED_SECONDS
        delay_seconds = max(full_seconds, _MIN_DELAY_SECONDS)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_seconds, self._dispatch)

    def _has_room(self) -> bool:
        return self._queued_seconds() <= _MAX_QUEUED_SECONDS

    def _queued_seconds(self) -> float:
        return max(self._free_at - self._clock.monotonic(), 0)
