"""Flow control of a connection of the ingress."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.flow_control import FlowControl

from wagtailline.memory_budget import Holding, MemoryBudget

# With more unsent bytes, answers wait until the client has read some.
WRITE_HIGH_WATER_BYTES = 16 * 1024


class IngressFlow(FlowControl):
    """Flow control that counts what the client does not read.

    While ``has_input`` says that received bytes wait, nothing more is read, and
    ``on_resume`` is called when the application lets reading go on.
    ``on_unread`` is called if the client has read nothing for
    ``max_wait_seconds``.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        memory: MemoryBudget,
        has_input: Callable[[], bool],
        on_resume: Callable[[], None],
        on_unread: Callable[[], None],
        max_wait_seconds: float,
    ) -> None:
        """Set up the flow control of an open connection."""
        super().__init__(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._unread = Holding(memory, on_unread)
        self._has_input = has_input
        self._on_resume = on_resume
        self._on_unread = on_unread
        self._max_wait_seconds = max_wait_seconds
        self._timer: asyncio.TimerHandle | None = None

    def resume_reading(self) -> None:
        """Read on, first what has been received already."""
        if self._has_input():
            self._on_resume()
        else:
            super().resume_reading()

    def pause_writing(self) -> None:
        """Make answers wait for the client, for a limited time."""
        super().pause_writing()
        self._unread.resize(self._transport.get_write_buffer_size())
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                self._max_wait_seconds, self._on_unread
            )

    def resume_writing(self) -> None:
        """Let answers go on."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._unread.close()
        super().resume_writing()
