"""Call handler that bounds the memory of the calls in progress."""

from result import Err, Result

from wagtailline.calls import Answer, Body, CallHandler, CallRequest, Refusal
from wagtailline.memory_budget import Holding
from wagtailline.request_memory import (
    REQUEST_OVERHEAD_BYTES,
    RequestMemory,
    count_header_bytes,
)

# Time after which a refused call may find room.
_RETRY_MS = 250


class BoundedCalls:
    """Call handler that refuses calls for whose heads the memory is short."""

    def __init__(self, handler: CallHandler, memory: RequestMemory) -> None:
        """Pass the calls on to a handler, and hold their heads in memory."""
        self._handler = handler
        self._memory = memory

    async def __call__(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Run a call, or return a refusal if its head is too large now."""
        size_bytes = REQUEST_OVERHEAD_BYTES + count_header_bytes(
            request.headers
        )
        if size_bytes > self._memory.share_bytes:
            return Err(Refusal('request_memory', 'no', _RETRY_MS))
        holding = Holding(self._memory)
        holding.resize(size_bytes)
        try:
            return await self._handler(request, body)
        finally:
            holding.close()
