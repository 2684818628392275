"""Writes responses to the transport of a server connection."""

import asyncio
from collections.abc import Callable

from wagtailline_sidecar.body_memory import BodyMemory, Holding

# With more unsent bytes, writers wait until the client has read all.
WRITE_HIGH_WATER_BYTES = 16 * 1024


class ResponseWriter:
    """Writer that waits while the client reads too slowly.

    What the client has not read meanwhile is held in the daemon's memory.
    """

    def __init__(
        self,
        memory: BodyMemory,
        cut: Callable[[], None],
        find_max_wait_seconds: Callable[[], float],
        on_unread: Callable[[], None],
    ) -> None:
        """Set up a writer without transport; ``cut`` resets the connection.

        ``on_unread`` is called when the client has read nothing for
        ``find_max_wait_seconds``.
        """
        self._holding = Holding(memory, cut)
        self._find_max_wait_seconds = find_max_wait_seconds
        self._on_unread = on_unread
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None

    def open(self, transport: asyncio.Transport) -> None:
        """Write to this transport from now on."""
        self._transport = transport
        # So ``pause`` is called as soon as the system takes no more.
        transport.set_write_buffer_limits(high=0)

    def pause(self) -> None:
        """Make writers wait until the transport has drained."""
        self._writable.clear()
        if self._timer is None:
            self._start_timer()

    def resume(self) -> None:
        """Wake the writers that wait for the transport."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._holding.close()
        self._writable.set()

    def write(self, content: bytes) -> None:
        """Write bytes without waiting, unless the transport is closing."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(content)
        if not self._writable.is_set():
            self._holding.resize(transport.get_write_buffer_size())

    async def drain(self) -> None:
        """Wait while much is not read."""
        if self._holding.size_bytes > WRITE_HIGH_WATER_BYTES:
            await self._writable.wait()

    def _start_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            self._find_max_wait_seconds(), self._check_progress, self._unsent()
        )

    def _check_progress(self, earlier_bytes: int) -> None:
        """Wait on if the client has read some of the unsent bytes."""
        if self._unsent() < earlier_bytes:
            self._start_timer()
        else:
            self._on_unread()

    def _unsent(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0
