"""Writes responses to the transport of a server connection."""

import asyncio
from collections.abc import Callable

from wagtailline_sidecar.body_memory import BodyMemory, Holding

# With more unsent bytes, writers wait until the client has read some.
WRITE_HIGH_WATER_BYTES = 16 * 1024


class ResponseWriter:
    """Writer that waits while the client reads too slowly.

    What the client has not read meanwhile is held in the daemon's memory.
    """

    def __init__(self, memory: BodyMemory, cut: Callable[[], None]) -> None:
        """Set up a writer without transport; ``cut`` resets the connection."""
        self._holding = Holding(memory, cut)
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def open(self, transport: asyncio.Transport) -> None:
        """Write to this transport from now on."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def pause(self) -> None:
        """Make writers wait until the transport has drained."""
        self._writable.clear()

    def resume(self) -> None:
        """Wake the writers that wait for the transport."""
        self._holding.close()
        self._writable.set()

    def write(self, content: bytes) -> None:
        """Write bytes without waiting, unless the transport is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)

    async def drain(self) -> None:
        """Wait while the write buffer is full."""
        if self._transport is not None and not self._writable.is_set():
            self._holding.resize(self._transport.get_write_buffer_size())
            await self._writable.wait()
