"""Interfaces to the clock, the network and the configuration source."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Annotated, NamedTuple, Protocol

from msgspec import Meta
from result import Result


class Address(NamedTuple):
    """IP address and TCP port of a process."""

    host: Annotated[str, Meta(max_length=64)]
    port: Annotated[int, Meta(ge=0, le=65535)]


class MonotonicClock(Protocol):
    """Clock that never goes back, in seconds."""

    def monotonic(self) -> float:
        """Return the seconds since a start that is fixed within one process."""


class Clock(MonotonicClock, Protocol):
    """Clock with wall time and sleep, in seconds."""

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for the given time."""


class LoopClock:
    """Clock of the running event loop, which may run on virtual time."""

    def __init__(self, wall_offset: float | None = None) -> None:
        """Take the offset from loop time to wall time, in seconds.

        Without an offset, the wall time is that of the system.
        """
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
    """The channel was closed by either side, or its connection was lost."""


class DialFailed(Exception):
    """No connection to the address was made in time."""


class Channel(Protocol):
    """Ordered stream of typed messages to one peer."""

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that are still on their way to the peer."""

    async def send(self, message: tuple[object, ...]) -> None:
        """Send one message; raise ChannelClosed when the channel is closed."""

    async def receive(self) -> tuple[object, ...]:
        """Return the next message; raise ChannelClosed after the last one."""

    def close(self) -> None:
        """Close it; pending ``send`` and ``receive`` raise ChannelClosed."""


ChannelHandler = Callable[[Channel], Awaitable[None]]


class Listener(Protocol):
    """Listening address of a transport."""

    async def close(self) -> None:
        """Stop accepting channels; open ones stay open."""


class Transport(Protocol):
    """Network transport that opens channels to peers and accepts theirs."""

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed if no connection is made in time."""

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> Listener:
        """Accept channels and run the handler in a task for each one."""


class SourceReading(NamedTuple):
    """Value that was read from the source, and its revision there."""

    revision: int
    content: bytes


class SourceUnavailable(NamedTuple):
    """The source gave no answer."""

    reason: str


class SourceKeyMissing(NamedTuple):
    """The source holds no value for this key."""

    key: str


SourceFailure = SourceUnavailable | SourceKeyMissing


class Source(Protocol):
    """Read-only key-value service that holds what operators publish."""

    async def read(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the current value of the key."""

    async def watch(
        self, key: str, after: int, wait_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        """Wait for a revision above ``after``; return None at the timeout."""
