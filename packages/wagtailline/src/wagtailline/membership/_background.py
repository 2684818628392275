"""Tasks of a service that end with it."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from wagtailline.ports import Clock

_JITTER = 0.1


class BackgroundTasks:
    """Owns the tasks of one service."""

    def __init__(self, clock: Clock) -> None:
        """Begin without tasks."""
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in a task of its own."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def repeat(
        self,
        seconds: float,
        function: Callable[[], Awaitable[None]],
        random: Random | None = None,
    ) -> None:
        """Do work at an interval.

        With a source of randomness, the first time is anywhere in the first
        interval and the interval varies by a tenth, so that processes that
        start together do not stay in step.
        """
        self.run(self._repeat(seconds, function, random))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(
        self,
        seconds: float,
        function: Callable[[], Awaitable[None]],
        random: Random | None,
    ) -> None:
        if random is not None:
            await self._clock.sleep(random.random() * seconds)
        while True:
            await function()
            jitter = random.uniform(-_JITTER, _JITTER) if random else 0
            await self._clock.sleep(seconds * (1 + jitter))
