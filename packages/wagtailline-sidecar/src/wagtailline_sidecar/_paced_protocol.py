"""Protocol whose connections take turns in being read."""

import asyncio
from typing import cast

from wagtailline.read_turns import ReadTurns

# Bytes that one connection parses before others are read.
MAX_READ_BYTES = 64 * 1024
# Parts of messages, such as headers, that a connection parses before others
# are read.
MAX_READ_PARTS = 64
# Parsers copy what they keep, so all connections read into one buffer.
_READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class PacedProtocol(asyncio.BufferedProtocol):
    """Protocol that reads a bounded part in each iteration of the loop.

    However fast a peer sends and however much work its bytes are, other
    connections are served in between. Subclasses parse the bytes in
    ``data_received`` and count in ``read_parts`` what they parse. After much
    of either, the connection waits for one of its ``read_turns``, or for the
    next iteration without them.
    """

    max_read_bytes = MAX_READ_BYTES
    read_turns: ReadTurns | None = None
    read_parts = 0
    _read_bytes = MAX_READ_BYTES
    _transport: asyncio.Transport | None = None
    _is_paused = False
    _is_giving_way = False
    _has_ended_reading = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next bytes are read."""
        self._read_bytes = self.max_read_bytes
        if self.read_turns is not None:
            self._read_bytes = self.read_turns.find_read_bytes(
                self.max_read_bytes
            )
        return _READ_BUFFER[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on bytes that were read; pause for an iteration after many."""
        self.read_parts = 0
        self.data_received(bytes(_READ_BUFFER[:nbytes]))
        if self.read_turns is not None and self.read_parts:
            self.read_turns.count_parts(self.read_parts)
        is_much = nbytes == self._read_bytes or self.read_parts > MAX_READ_PARTS
        if is_much and not self._is_giving_way:
            self._is_giving_way = True
            if self.read_turns is None:
                asyncio.get_running_loop().call_soon(self.end_wait)
            else:
                self.read_turns.add(self)
            self._apply_pause()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; implemented by subclasses."""
        raise NotImplementedError

    def end_wait(self) -> None:
        """Read on, unless the subclass has paused."""
        self._is_giving_way = False
        self._apply_pause()

    def end_reading(self) -> None:
        """Read nothing more; what the peer sends from now on stays unread."""
        self._has_ended_reading = True
        self._apply_pause()

    def _pause_reading(self) -> None:
        self._is_paused = True
        self._apply_pause()

    def _resume_reading(self) -> None:
        self._is_paused = False
        self._apply_pause()

    def _apply_pause(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_reading = not (
            self._is_paused or self._is_giving_way or self._has_ended_reading
        )
        if is_reading and not transport.is_reading():
            transport.resume_reading()
        elif transport.is_reading() and not is_reading:
            transport.pause_reading()
