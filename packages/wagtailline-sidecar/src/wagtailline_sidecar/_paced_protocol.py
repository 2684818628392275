"""Protocol whose connections take turns in being read."""

import asyncio
from typing import cast

# Bytes that one connection parses before others are read.
MAX_READ_BYTES = 64 * 1024
# Parsers copy what they keep, so all connections read into one buffer.
_READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class PacedProtocol(asyncio.BufferedProtocol):
    """Protocol that reads a bounded part in each iteration of the loop.

    However fast a peer sends and however much work its bytes are, other
    connections are served in between. Subclasses parse the bytes in
    ``data_received``.
    """

    _transport: asyncio.Transport | None = None
    _is_paused = False
    _is_giving_way = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next bytes are read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on bytes that were read; pause for an iteration after many."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))
        if nbytes == MAX_READ_BYTES and not self._is_giving_way:
            self._is_giving_way = True
            asyncio.get_running_loop().call_soon(self._go_on)
            self._apply_pause()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; implemented by subclasses."""
        raise NotImplementedError

    def _pause_reading(self) -> None:
        self._is_paused = True
        self._apply_pause()

    def _resume_reading(self) -> None:
        self._is_paused = False
        self._apply_pause()

    def _go_on(self) -> None:
        self._is_giving_way = False
        self._apply_pause()

    def _apply_pause(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_reading = not (self._is_paused or self._is_giving_way)
        if is_reading and not transport.is_reading():
            transport.resume_reading()
        elif transport.is_reading() and not is_reading:
            transport.pause_reading()
