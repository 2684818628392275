"""Request and answer bodies of calls, with credit-based flow control."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailline.calls._deadline import Deadline
from wagtailline.calls._types import Body, BodyTruncated

WINDOW_BYTES = 64 * 1024
# A quarter of the window, so that calls on one connection take turns and the
# receiver's credit arrives before the sender has used up the window.
MAX_CHUNK_BYTES = WINDOW_BYTES // 4
_MIN_CREDIT_BYTES = WINDOW_BYTES // 2

SendCredit = Callable[[int], Awaitable[None]]
SendChunk = Callable[[int, bytes], Awaitable[None]]


class WholeBody:
    """Body that is wholly in memory.

    A sender puts it into a single message if it fits into one chunk.
    """

    def __init__(self, content: bytes = b'') -> None:
        """Yield the content once, or nothing when it is empty."""
        self.content = content
        self._unread = content

    def __aiter__(self) -> 'WholeBody':
        """Return the iterator, which is the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the whole content, then stop the iteration."""
        if not self._unread:
            raise StopAsyncIteration
        content, self._unread = self._unread, b''
        return content

    async def aclose(self) -> None:
        """Discard the unread content."""
        self._unread = b''


class SendWindow:
    """Flow-control window of one body that is being sent."""

    def __init__(self) -> None:
        """Create a window with the initial credit of ``WINDOW_BYTES`` bytes."""
        self.sent_bytes = 0
        self._end_offset = WINDOW_BYTES
        self._credit_added: asyncio.Future[None] | None = None

    def extend(self, end_offset: int) -> None:
        """Allow the bytes below an offset; a lower offset changes nothing."""
        if end_offset > self._end_offset:
            self._end_offset = end_offset
            _wake(self._credit_added)

    async def reserve(self, wanted_bytes: int) -> int:
        """Wait for credit and return how many bytes to send now."""
        while self.sent_bytes >= self._end_offset:
            self._credit_added = asyncio.get_running_loop().create_future()
            await self._credit_added
        reserved_bytes = min(
            wanted_bytes, self._end_offset - self.sent_bytes, MAX_CHUNK_BYTES
        )
        self.sent_bytes += reserved_bytes
        return reserved_bytes


class IncomingBody:
    """Body that arrives in messages and buffers at most one window."""

    def __init__(
        self,
        send_credit: SendCredit,
        on_early_close: Callable[[], None],
        stall_seconds: float,
    ) -> None:
        """Take the callbacks and the longest wait for a chunk.

        ``send_credit`` sends the offset below which the peer may send bytes.
        ``on_early_close`` is called when the body is closed before its end.
        If no chunk arrives within ``stall_seconds``, the body is truncated.
        """
        self._send_credit = send_credit
        self._on_early_close = on_early_close
        self._stall_seconds = stall_seconds
        self._out_of_order: dict[int, bytes] = {}
        self._buffer = bytearray()
        self._received_bytes = 0
        self._consumed_bytes = 0
        self._end_offset = WINDOW_BYTES
        self._length: int | None = None
        self._is_failed = False
        self._arrival: asyncio.Future[None] | None = None

    def feed(self, offset: int, content: bytes) -> bool:
        """Add a chunk; return False when it exceeds the credit."""
        if offset < 0 or offset + len(content) > self._end_offset:
            return False
        if offset > self._received_bytes:
            self._out_of_order[offset] = content
        elif offset == self._received_bytes:
            self._append(content)
            while self._received_bytes in self._out_of_order:
                self._append(self._out_of_order.pop(self._received_bytes))
        _wake(self._arrival)
        return True

    def finish(self, length: int) -> None:
        """Set the length of the whole body in bytes."""
        self._length = length
        _wake(self._arrival)

    def fail(self) -> None:
        """Truncate the body after the bytes that have arrived."""
        self._is_failed = True
        _wake(self._arrival)

    @property
    def is_complete(self) -> bool:
        """Return whether every byte has arrived."""
        return self._received_bytes == self._length

    @property
    def is_ended(self) -> bool:
        """Return whether no more bytes will arrive."""
        return self._is_failed or self.is_complete

    def __aiter__(self) -> 'IncomingBody':
        """Return the iterator, which is the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the buffered bytes; raise BodyTruncated at a truncation."""
        while not self._buffer:
            if self.is_complete:
                raise StopAsyncIteration
            if self._is_failed:
                raise BodyTruncated
            await self._wait_for_chunk()
        content = bytes(self._buffer)
        self._buffer.clear()
        self._consumed_bytes += len(content)
        if self._needs_credit():
            self._end_offset = self._consumed_bytes + WINDOW_BYTES
            await self._send_credit(self._end_offset)
        return content

    async def aclose(self) -> None:
        """Truncate the body and report that the rest is not needed."""
        if not self.is_ended:
            self.fail()
            self._on_early_close()

    def _append(self, content: bytes) -> None:
        self._buffer += content
        self._received_bytes += len(content)

    def _needs_credit(self) -> bool:
        new_credit_bytes = (
            self._consumed_bytes + WINDOW_BYTES - self._end_offset
        )
        return new_credit_bytes >= _MIN_CREDIT_BYTES and not self.is_complete

    async def _wait_for_chunk(self) -> None:
        self._arrival = asyncio.get_running_loop().create_future()
        try:
            with Deadline(self._stall_seconds):
                await self._arrival
        except TimeoutError:
            await self.aclose()


async def send_chunks(
    body: Body, window: SendWindow, send: SendChunk, stall_seconds: float
) -> None:
    """Send a body in chunks as the receiver grants credit.

    Raises TimeoutError when no credit arrives within ``stall_seconds``.
    """
    async for content in body:
        start = 0
        while start < len(content):
            with Deadline(stall_seconds):
                size = await window.reserve(len(content) - start)
            await send(window.sent_bytes - size, content[start : start + size])
            start += size


async def close_body(body: Body) -> None:
    """Close a body that has an ``aclose`` method."""
    close: Callable[[], Awaitable[None]] | None = getattr(body, 'aclose', None)
    if close is not None:
        await close()


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
