"""A background task that is tied to the start and stop of a service."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any


class BackgroundTask:
    """An asyncio task that runs one coroutine between start and stop."""

    def __init__(
        self, coroutine_function: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Take the coroutine function that ``start`` calls."""
        self._coroutine_function = coroutine_function
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the coroutine as a task."""
        self._task = asyncio.create_task(self._coroutine_function())

    async def stop(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task
