"""Bodies of calls and answers, and their flow control."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailline.calls._deadline import Deadline
from wagtailline.calls._types import Body, BodyTruncated

WINDOW_BYTES = 64 * 1024
# A piece is a quarter of the window, so that calls on one connection take
# turns and a reader's credit returns before the window is used up.
PIECE_BYTES = WINDOW_BYTES // 4
_CREDIT_STEP_BYTES = WINDOW_BYTES // 2

GrantCredit = Callable[[int], Awaitable[None]]
SendPiece = Callable[[int, bytes], Awaitable[None]]


class WholeBody:
    """Body that is wholly in memory; senders put it into one message."""

    def __init__(self, content: bytes = b'') -> None:
        """Yield the content once, or nothing when it is empty."""
        self.content = content
        self._left = content

    def __aiter__(self) -> 'WholeBody':
        """Return the iterator, which is the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the content the first time."""
        if not self._left:
            raise StopAsyncIteration
        taken, self._left = self._left, b''
        return taken

    async def aclose(self) -> None:
        """Drop what was not read."""
        self._left = b''


class SendWindow:
    """Bytes that may still be sent of one body."""

    def __init__(self) -> None:
        """Allow one window."""
        self.sent = 0
        self._limit = WINDOW_BYTES
        self._granted: asyncio.Future[None] | None = None

    def grant(self, limit: int) -> None:
        """Allow bytes up to the offset; a lower one changes nothing."""
        if limit > self._limit:
            self._limit = limit
            _wake(self._granted)

    async def take(self, wanted: int) -> int:
        """Wait for credit and return how many bytes to send now."""
        while self.sent >= self._limit:
            self._granted = asyncio.get_running_loop().create_future()
            await self._granted
        taken = min(wanted, self._limit - self.sent, PIECE_BYTES)
        self.sent += taken
        return taken


class IncomingBody:
    """Body that arrives in messages, at most one window ahead."""

    def __init__(
        self,
        grant: GrantCredit,
        abandon: Callable[[], None],
        stall_seconds: float,
    ) -> None:
        """Call ``grant`` with offsets, ``abandon`` when closed early.

        A piece that does not come within ``stall_seconds`` ends the body
        as truncated.
        """
        self._grant = grant
        self._abandon = abandon
        self._stall_seconds = stall_seconds
        self._early: dict[int, bytes] = {}
        self._ready = bytearray()
        self._received = 0
        self._consumed = 0
        self._limit = WINDOW_BYTES
        self._length: int | None = None
        self._failed = False
        self._arrival: asyncio.Future[None] | None = None

    def feed(self, offset: int, content: bytes) -> bool:
        """Take a piece; return False when it exceeds the credit."""
        if offset < 0 or offset + len(content) > self._limit:
            return False
        if offset > self._received:
            self._early[offset] = content
        elif offset == self._received:
            self._append(content)
            while self._received in self._early:
                self._append(self._early.pop(self._received))
        _wake(self._arrival)
        return True

    def finish(self, length: int) -> None:
        """Note the whole length."""
        self._length = length
        _wake(self._arrival)

    def fail(self) -> None:
        """Cut the body off behind what has arrived."""
        self._failed = True
        _wake(self._arrival)

    @property
    def is_complete(self) -> bool:
        """Tell whether every byte has arrived."""
        return self._received == self._length

    @property
    def is_over(self) -> bool:
        """Tell whether no more bytes will arrive."""
        return self._failed or self.is_complete

    def __aiter__(self) -> 'IncomingBody':
        """Return the iterator, which is the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return what has arrived; raise BodyTruncated when it was cut."""
        while not self._ready:
            if self.is_complete:
                raise StopAsyncIteration
            if self._failed:
                raise BodyTruncated
            await self._wait()
        content = bytes(self._ready)
        self._ready.clear()
        self._consumed += len(content)
        if self._needs_credit():
            self._limit = self._consumed + WINDOW_BYTES
            await self._grant(self._limit)
        return content

    async def aclose(self) -> None:
        """Tell the sender that the rest is not wanted."""
        if not self.is_over:
            self.fail()
            self._abandon()

    def _append(self, content: bytes) -> None:
        self._ready += content
        self._received += len(content)

    def _needs_credit(self) -> bool:
        used = self._consumed + WINDOW_BYTES - self._limit
        return used >= _CREDIT_STEP_BYTES and not self.is_complete

    async def _wait(self) -> None:
        self._arrival = asyncio.get_running_loop().create_future()
        try:
            with Deadline(self._stall_seconds):
                await self._arrival
        except TimeoutError:
            await self.aclose()


async def send_pieces(
    body: Body, window: SendWindow, send: SendPiece, stall_seconds: float
) -> None:
    """Send a body as its credit allows.

    Raises TimeoutError when the peer grants no credit in time.
    """
    async for content in body:
        start = 0
        while start < len(content):
            with Deadline(stall_seconds):
                taken = await window.take(len(content) - start)
            await send(window.sent - taken, content[start : start + taken])
            start += taken


async def close_body(body: Body) -> None:
    """Release what the body holds, if it holds anything."""
    close: Callable[[], Awaitable[None]] | None = getattr(body, 'aclose', None)
    if close is not None:
        await close()


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
