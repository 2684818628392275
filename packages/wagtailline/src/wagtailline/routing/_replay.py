"""Body of a request that can be sent again."""

import asyncio

from wagtailline.calls import Body, BodyTruncated, WholeBody

MAX_KEPT_BYTES = 64 * 1024


class ReplayableBody:
    """Keeps the start of a body until it is longer than 64 KiB."""

    def __init__(self, body: Body) -> None:
        """Read each piece of the body once, whoever asks for it."""
        self._body = body
        self._pieces: list[bytes] = []
        self._kept_bytes = 0
        self._reading: asyncio.Task[bytes | None] | None = None
        self._ended = False
        self.is_replayable = True

    def attempt(self) -> Body:
        """Return the body from its start, for one attempt.

        Only the latest attempt may be read.
        """
        if isinstance(self._body, WholeBody):
            return WholeBody(self._body.content)
        return _Attempt(self)

    async def read(self, index: int) -> bytes | None:
        """Return a piece by its index, None behind the last one.

        Raises BodyTruncated when the caller cut the body.
        """
        if self.is_replayable and index < len(self._pieces):
            return self._pieces[index]
        if self._ended:
            return None
        if self._reading is None:
            self._reading = asyncio.ensure_future(self._read_piece())
            self._reading.add_done_callback(_retrieve)
        # An attempt that is cancelled here leaves the read to the next one;
        # a cancelled generator would look like a body that has ended.
        piece = await asyncio.shield(self._reading)
        self._reading = None
        self._keep(piece)
        return piece

    def close(self) -> None:
        """End a read that no attempt waits for."""
        if self._reading is not None:
            self._reading.cancel()

    async def _read_piece(self) -> bytes | None:
        return await anext(self._body, None)

    def _keep(self, piece: bytes | None) -> None:
        if piece is None:
            self._ended = True
            return
        self._kept_bytes += len(piece)
        if self._kept_bytes > MAX_KEPT_BYTES:
            self.is_replayable = False
            self._pieces.clear()
        elif self.is_replayable:
            self._pieces.append(piece)


def _retrieve(reading: 'asyncio.Task[bytes | None]') -> None:
    """Mark a failure as seen; the last attempt may no longer ask for it."""
    if not reading.cancelled():
        reading.exception()


class _Attempt:
    """One reader of a replayable body."""

    def __init__(self, source: ReplayableBody) -> None:
        self._source = source
        self._index = 0
        self._closed = False

    def __aiter__(self) -> '_Attempt':
        return self

    async def __anext__(self) -> bytes:
        if self._closed:
            raise BodyTruncated
        piece = await self._source.read(self._index)
        self._index += 1
        if piece is None:
            raise StopAsyncIteration
        return piece

    async def aclose(self) -> None:
        self._closed = True
