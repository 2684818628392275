"""Protocols through which time, the network and the source come in."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from result import Result


class Address(NamedTuple):
    """IP address and TCP port of a process."""

    host: str
    port: int


class MonotonicClock(Protocol):
    """Time that only grows, in seconds."""

    def monotonic(self) -> float:
        """Return a time that never goes back, comparable in one process."""


class Clock(MonotonicClock, Protocol):
    """Source of time. All durations are seconds."""

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for the given time."""


class LoopClock:
    """Clock of the running event loop, also right under virtual time."""

    def __init__(self, wall_offset: float | None = None) -> None:
        """Use real wall time unless a fixed offset to the loop is given."""
        self._wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return the time of the running loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        if self._wall_offset is None:
            return time.time()
        return self.monotonic() + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for the given time."""
        await asyncio.sleep(seconds)


class ChannelClosed(Exception):
    """The peer or the transport ended the channel."""


class DialFailed(Exception):
    """No connection to the address could be made in time."""


class Channel(Protocol):
    """Ordered stream of typed messages to one peer."""

    async def send(self, message: tuple[object, ...]) -> None:
        """Send one message; raise ChannelClosed when the peer is gone."""

    async def receive(self) -> tuple[object, ...]:
        """Return the next message; raise ChannelClosed at the end."""

    def close(self) -> None:
        """End the channel; pending calls raise ChannelClosed."""


ChannelHandler = Callable[[Channel], Awaitable[None]]


class Listener(Protocol):
    """A listening address of a transport."""

    async def close(self) -> None:
        """Stop accepting; channels that are open stay open."""


class Transport(Protocol):
    """Makes channels to peers and accepts theirs."""

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed when there is no peer."""

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> Listener:
        """Accept channels and run the handler in a task for each."""


class SourceReading(NamedTuple):
    """A value of the source with the revision the source gave it."""

    revision: int
    content: bytes


class SourceUnavailable(NamedTuple):
    """The source gave no answer."""

    reason: str


class SourceKeyMissing(NamedTuple):
    """The source holds no value of this key."""

    key: str


SourceFailure = SourceUnavailable | SourceKeyMissing


class Source(Protocol):
    """Read-only key-value service that holds what operators publish."""

    async def read(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the value of the key as the source sees it now."""

    async def watch(
        self, key: str, after: int, wait_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        """Wait for a revision above ``after``; None when the wait ends."""
