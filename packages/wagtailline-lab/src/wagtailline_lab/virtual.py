"""Event loop with virtual time, in which a sleep takes no real time."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

_Returned = TypeVar('_Returned')


def run_virtual(main: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine on a new loop with virtual time; return its result.

    Tasks that are still pending are cancelled, and their clean-up is awaited.
    """
    with asyncio.Runner(loop_factory=new_virtual_loop) as runner:
        return runner.run(main)


def new_virtual_loop() -> looptime.LoopTimeEventLoop:
    """Return an event loop whose time starts at zero and skips waits."""
    # Two idle cycles before each step of time let every ready task run. The
    # default of 42 would take most of the run time of a large fleet.
    return looptime.new_event_loop(start=0, noop_cycles=1)
