"""Event loop on virtual time for simulations of many processes.

The loop of :mod:`wagtailline_lab.virtual` passes 42 empty cycles before each
step of time, which takes most of the run time of a simulated fleet.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Returned = TypeVar('_Returned')


class SimulationLoop(asyncio.SelectorEventLoop):
    """Loop whose time jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        """Begin at time zero."""
        self.now: float = 0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: SimulationLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time pass instead of waiting for a file descriptor."""
        if timeout is None:
            raise RuntimeError('nothing is left that could ever happen')
        self._loop.now += max(0, timeout)
        return []


def run_simulation(main: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine to its end and cancel what it left behind."""
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
