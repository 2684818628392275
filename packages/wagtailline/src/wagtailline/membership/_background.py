"""Background tasks that are cancelled when their service stops."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from wagtailline.ports import Clock

_JITTER_FRACTION = 0.1


class BackgroundTasks:
    """The background tasks of one service."""

    def __init__(self, clock: Clock) -> None:
        """Sleep between repetitions by the given clock."""
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def repeat(
        self,
        seconds: float,
        function: Callable[[], Awaitable[None]],
        random: Random | None = None,
    ) -> None:
        """Call a coroutine function periodically.

        With ``random``, the first call comes after a random part of the
        interval and each interval varies by a tenth, so that processes that
        start together do not stay synchronized.
        """
        self.run(self._repeat(seconds, function, random))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
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
            jitter = (
                random.uniform(-_JITTER_FRACTION, _JITTER_FRACTION)
                if random
                else 0
            )
            await self._clock.sleep(seconds * (1 + jitter))
