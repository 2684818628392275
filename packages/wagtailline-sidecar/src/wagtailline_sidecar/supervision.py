"""Supervision of background tasks, which start again when they fail."""

import asyncio
import math
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

# Delay until a failed task starts again; it doubles with each failure.
MIN_RESTART_SECONDS = 0.05
MAX_RESTART_SECONDS = 1.0
_MAX_DOUBLINGS = 5
# A task that ran for longer starts again after the shortest delay.
STABLE_SECONDS = 10.0
MAX_PROBLEM_CHARACTERS = 200


class TaskFailed(NamedTuple):
    """Event: an unexpected exception ended a background task or a listener.

    ``position`` is the line that raised it. ``failures`` counts those of the
    task in quick succession.
    """

    task: str
    problem: str
    position: str
    failures: int = 1


def describe_failure(
    task: str, error: BaseException, failures: int = 1
) -> TaskFailed:
    """Return the event for an unexpected exception of a task."""
    frames = traceback.extract_tb(error.__traceback__)
    position = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    problem = repr(error)[:MAX_PROBLEM_CHARACTERS]
    return TaskFailed(task, problem, position, failures)


class SupervisedTask:
    """Task that runs until it is stopped, whatever it raises."""

    def __init__(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up a task that runs ``run`` once it is started.

        ``observe`` is called with each failure, after which ``run`` is called
        again.
        """
        self._name = name
        self._run = run
        self._observe = observe
        self._task: asyncio.Task[None] | None = None
        self._failures = 0

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.ensure_future(self._run_again_and_again())

    def stop(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    async def _run_again_and_again(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            try:
                return await self._run()
            except Exception as error:
                if loop.time() - started_at > STABLE_SECONDS:
                    self._failures = 0
                self._failures += 1
                self._observe(
                    describe_failure(self._name, error, self._failures)
                )
            await asyncio.sleep(self._restart_seconds())

    def _restart_seconds(self) -> float:
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        delay_seconds = math.ldexp(MIN_RESTART_SECONDS, doublings)
        return min(delay_seconds, MAX_RESTART_SECONDS)
