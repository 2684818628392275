"""Close of a connection that loses no response on its way to the client."""

import asyncio

from wagtailline.transports import count_unsent_bytes

_POLL_SECONDS = 0.05
# Time for the client to close its side after it has received everything.
LINGER_SECONDS = 1.0


class LingeringClose:
    """Ends this side of a connection and reads on until the client closes.

    A connection that is closed while the client sends is reset, and drops
    what the client has not received.
    """

    def __init__(
        self, transport: asyncio.Transport, max_seconds: float
    ) -> None:
        """Close the transport after ``max_seconds`` at the latest."""
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._ends_at = self._loop.time() + max_seconds
        self._sent_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """End this side once what was written is sent."""
        if self._transport.is_closing():
            return
        if not self._transport.is_reading():
            self._transport.resume_reading()
        self._transport.write_eof()
        self._poll()

    def stop(self) -> None:
        """Do nothing more, as the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()

    def _poll(self) -> None:
        now = self._loop.time()
        if self._sent_at is None and not count_unsent_bytes(self._transport):
            self._sent_at = now
        has_lingered = (
            self._sent_at is not None and now - self._sent_at >= LINGER_SECONDS
        )
        if has_lingered or now >= self._ends_at:
            self._transport.close()
        else:
            self._timer = self._loop.call_later(_POLL_SECONDS, self._poll)
