"""Bodies that pass on another body and close it, whatever was read of it."""

import weakref
from collections.abc import Callable

from wagtailline.calls import Body, WholeBody, close_body
from wagtailline_sidecar.body_memory import (
    MAX_PART_BYTES,
    BodyMemory,
    Holding,
    make_whole_body,
)


class ChainedBody:
    """Body of bytes that were read already, and the rest of the body.

    The bytes are held in ``memory`` until they were passed on.
    """

    def __init__(
        self, first: bytearray, rest: Body, memory: BodyMemory
    ) -> None:
        """Take the first bytes and the body that they came from."""
        self._first = first
        self._rest = rest
        self._holding = Holding(memory)
        self._holding.resize(len(first))
        weakref.finalize(self, self._holding.close)

    def __aiter__(self) -> 'ChainedBody':
        """Return the body, which is its own iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the first bytes in parts, then the parts of the rest."""
        self._holding.resize(len(self._first))
        if self._first:
            part = bytes(self._first[:MAX_PART_BYTES])
            del self._first[:MAX_PART_BYTES]
            return part
        return await anext(self._rest)

    async def aclose(self) -> None:
        """Close the rest, also if nothing was read."""
        self._first = bytearray()
        self._holding.close()
        await close_body(self._rest)


class ObservedBody:
    """Body that tells its size once it has ended or is closed."""

    def __init__(self, body: Body, on_end: Callable[[int], None]) -> None:
        """Call ``on_end`` once, with the bytes that were read by then."""
        self._body = body
        self._on_end = on_end
        self._size_bytes = 0
        self._is_ended = False

    def __aiter__(self) -> 'ObservedBody':
        """Return the body, which is its own iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next part; end the body with any exception."""
        try:
            content = await anext(self._body)
        except BaseException:
            await self.aclose()
            raise
        self._size_bytes += len(content)
        return content

    async def aclose(self) -> None:
        """Close the body, also if nothing was read."""
        if not self._is_ended:
            self._is_ended = True
            self._on_end(self._size_bytes)
            await close_body(self._body)


async def buffer_body(
    body: Body, max_bytes: int, memory: BodyMemory
) -> WholeBody | ChainedBody:
    """Return a body, buffered unless it is large or the memory is short.

    The caller closes the body if this is cancelled or fails.
    """
    content = bytearray()
    holding = Holding(memory)
    try:
        async for part in body:
            content += part
            holding.resize(len(content))
            if len(content) > min(max_bytes, memory.share_bytes):
                return ChainedBody(content, body, memory)
    finally:
        holding.close()
    return make_whole_body(bytes(content), memory)
