"""A coroutine that runs between the start and the stop of a service."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any


class BackgroundTask:
    """Runs one coroutine in the background between start and stop."""

    def __init__(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Call ``work`` at the start."""
        self._work = work
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to run."""
        self._task = asyncio.create_task(self._work())

    async def stop(self) -> None:
        """Cancel the coroutine and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
