"""Replies to datagrams, which may be late or never come."""

import asyncio
import itertools
from typing import Generic, TypeVar

_Reply = TypeVar('_Reply')
# Time for which a host that did not reply is not asked again.
SILENT_HOST_SECONDS = 0.5


class DatagramReplies(Generic[_Reply]):
    """Replies that this daemon waits for, and the hosts that send none."""

    def __init__(self) -> None:
        """Wait for no reply."""
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[_Reply]] = {}
        self._silent_until: dict[str, float] = {}

    def make_number(self) -> int:
        """Return a number that matches a reply to its request."""
        return next(self._numbers)

    def expect(self, number: int) -> 'asyncio.Future[_Reply]':
        """Return a future of the reply to the request with this number."""
        reply: asyncio.Future[_Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = reply
        return reply

    def settle(self, number: int, reply: _Reply) -> None:
        """Accept a reply; ignore one that nobody waits for."""
        pending = self._pending.get(number)
        if pending is not None and not pending.done():
            pending.set_result(reply)

    def give_up(self, number: int) -> None:
        """Wait no longer for the reply to the request with this number."""
        self._pending.pop(number, None)

    def is_silent(self, host: str) -> bool:
        """Return whether a host has lately sent no reply."""
        now = asyncio.get_running_loop().time()
        return now < self._silent_until.get(host, now)

    def note_silence(self, host: str) -> None:
        """Record that a host sent no reply in time."""
        now = asyncio.get_running_loop().time()
        self._silent_until[host] = now + SILENT_HOST_SECONDS
