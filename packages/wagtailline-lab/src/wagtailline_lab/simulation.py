"""Event loop with virtual time for simulations of many processes.

A loop of looptime runs 42 empty cycles by default before each step of time,
which takes most of the run time of a simulated fleet. This loop runs none.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Returned = TypeVar('_Returned')


class SimulationLoop(asyncio.SelectorEventLoop):
    """Loop whose time advances to the next timer when no task is ready."""

    def __init__(self) -> None:
        """Set up the loop at time zero."""
        self.now: float = 0
        super().__init__(_VirtualTimeSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self, loop: SimulationLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time instead of waiting for file descriptors."""
        if timeout is None:
            raise RuntimeError('deadlock: no task is ready and no timer is set')
        self._loop.now += max(0, timeout)
        return []


def run_simulation(main: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Return the result of a coroutine; cancel the tasks that it left."""
    loop = SimulationLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
