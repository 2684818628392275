"""Background tasks that are cancelled when their service stops."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """Set of running tasks, kept referenced until they end."""

    def __init__(self) -> None:
        """Start with no tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a background task and return the task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
