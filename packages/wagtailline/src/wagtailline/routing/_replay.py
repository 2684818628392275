"""Buffering of a request body for retries."""

import asyncio

from wagtailline.calls import Body, BodyTruncated, WholeBody

MAX_BUFFERED_BYTES = 64 * 1024


class ReplayableBody:
    """Request body that is buffered so that a retry can send it again.

    The chunks of a streamed body are buffered as they are read. Once they
    exceed 64 KiB, the buffer is freed and ``is_replayable`` becomes false. A
    ``WholeBody`` is in memory anyway and stays replayable at any length.
    """

    def __init__(self, body: Body) -> None:
        """Wrap a body; each of its chunks is read from it only once."""
        self._body = body
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._pending_read: asyncio.Task[bytes | None] | None = None
        self._ended = False
        self.is_replayable = True

    def new_reader(self) -> Body:
        """Return the body from its start, for one attempt.

        Only the reader that was created last may be used.
        """
        if isinstance(self._body, WholeBody):
            return WholeBody(self._body.content)
        return _Reader(self)

    async def read(self, index: int) -> bytes | None:
        """Return the chunk at an index, or None after the last one.

        Raise BodyTruncated if the caller did not send the whole body.
        """
        if self.is_replayable and index < len(self._chunks):
            return self._chunks[index]
        if self._ended:
            return None
        if self._pending_read is None:
            self._pending_read = asyncio.ensure_future(self._read_chunk())
            self._pending_read.add_done_callback(_retrieve_exception)
        # A cancelled attempt must not cancel the read: the next attempt
        # awaits it. A body generator that was cancelled would end early and
        # look like a complete body.
        chunk = await asyncio.shield(self._pending_read)
        self._pending_read = None
        self._buffer(chunk)
        return chunk

    def close(self) -> None:
        """Cancel a read that no attempt waits for."""
        if self._pending_read is not None:
            self._pending_read.cancel()

    async def _read_chunk(self) -> bytes | None:
        return await anext(self._body, None)

    def _buffer(self, chunk: bytes | None) -> None:
        if chunk is None:
            self._ended = True
            return
        self._buffered_bytes += len(chunk)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self.is_replayable = False
            self._chunks.clear()
        elif self.is_replayable:
            self._chunks.append(chunk)


def _retrieve_exception(finished_read: 'asyncio.Task[bytes | None]') -> None:
    """Retrieve the exception of a read that no attempt may await any more.

    Otherwise asyncio logs it as never retrieved.
    """
    if not finished_read.cancelled():
        finished_read.exception()


class _Reader:
    """Iterator over a replayable body for one attempt."""

    def __init__(self, body: ReplayableBody) -> None:
        self._body = body
        self._index = 0
        self._closed = False

    def __aiter__(self) -> '_Reader':
        return self

    async def __anext__(self) -> bytes:
        if self._closed:
            raise BodyTruncated
        chunk = await self._body.read(self._index)
        self._index += 1
        if chunk is None:
            raise StopAsyncIteration
        return chunk

    async def aclose(self) -> None:
        self._closed = True
