"""Background tasks that end with their service."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """Keeps running tasks referenced and cancels them at the end."""

    def __init__(self) -> None:
        """Begin without tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
