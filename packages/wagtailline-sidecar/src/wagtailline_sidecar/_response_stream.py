"""Body of a large response that is read while it arrives."""

import asyncio
from typing import Protocol

from wagtailline.calls import BodyTruncated


class StreamSource(Protocol):
    """Connection on which the body arrives."""

    async def read_streamed(self) -> bytes:
        """Return the next part of the body, or nothing at its end."""

    def discard(self) -> None:
        """Close the connection and discard what it holds of the body."""


class ResponseStream:
    """Body of a large response.

    The connection closes when the stream is closed before its end, also if
    nothing was read, or when the end does not arrive in time.
    """

    def __init__(self, source: StreamSource) -> None:
        """Create a stream without a time limit."""
        self._source = source
        self._is_ended = False
        self._ends_at: float | None = None

    def set_end(self, ends_at: float) -> None:
        """Set the time of the event loop by which the body has to end."""
        self._ends_at = ends_at

    def __aiter__(self) -> 'ResponseStream':
        """Return the stream, which is its own iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next part; raise BodyTruncated if none is in time."""
        if self._is_ended:
            raise StopAsyncIteration
        try:
            content = await self._read_in_time()
        except BaseException:
            await self.aclose()
            raise
        if not content:
            self._is_ended = True
            raise StopAsyncIteration
        return content

    async def aclose(self) -> None:
        """Close the connection unless the body has ended."""
        if not self._is_ended:
            self._is_ended = True
            self._source.discard()

    async def _read_in_time(self) -> bytes:
        if self._ends_at is None:
            return await self._source.read_streamed()
        # Parts that have arrived are read without a wait, in which a timeout
        # would end the body.
        if asyncio.get_running_loop().time() >= self._ends_at:
            raise BodyTruncated
        try:
            async with asyncio.timeout_at(self._ends_at):
                return await self._source.read_streamed()
        except TimeoutError as error:
            raise BodyTruncated from error
