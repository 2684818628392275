"""Tests of the turns in which tasks start."""

import asyncio
from itertools import pairwise

from wagtailline_sidecar.turns import (
    HEADERS_PER_START,
    MAX_STARTS_PER_ITERATION,
    Turns,
)


async def start(turns: Turns, started: list[int], number: int) -> None:
    await turns.wait()
    started.append(number)


async def test_tasks_start_in_order():
    """Guards against requests that overtake each other, or never start."""
    turns = Turns()
    started: list[int] = []
    await asyncio.gather(
        *(start(turns, started, number) for number in range(50))
    )
    assert started == list(range(50))
    await start(turns, started, 50)
    assert started[-1] == 50


async def test_sockets_are_read_between_starts():
    """Guards against an iteration of the loop that starts every task.

    A callback per iteration stands for the sockets.
    """
    turns = Turns()
    started: list[int] = []
    tasks = [
        asyncio.ensure_future(start(turns, started, number))
        for number in range(5 * MAX_STARTS_PER_ITERATION)
    ]
    counts = []
    while len(started) < len(tasks):
        await asyncio.sleep(0)
        counts.append(len(started))
    steps = [after - before for before, after in pairwise([0, *counts])]
    assert max(steps) <= MAX_STARTS_PER_ITERATION


async def test_cancelled_task_takes_no_turn():
    """Guards against turns that are spent on requests whose client left."""
    turns = Turns()
    started: list[int] = []
    tasks = [
        asyncio.ensure_future(start(turns, started, number))
        for number in range(100)
    ]
    await asyncio.sleep(0)
    for task in tasks[:-1]:
        task.cancel()
    await tasks[-1]
    assert started == [99]


async def test_delay_is_reported():
    """Guards against a queue for the processor that nobody sees."""
    delays: list[float] = []
    await start(Turns(delays.append), [], 0)
    assert len(delays) == 1
    assert delays[0] >= 0


async def test_requests_with_many_headers_start_one_at_a_time():
    """Guards against an iteration that starts only expensive requests."""
    turns = Turns()
    started: list[int] = []

    async def start_large(number: int) -> None:
        await turns.wait(headers=MAX_STARTS_PER_ITERATION * HEADERS_PER_START)
        started.append(number)

    tasks = [asyncio.ensure_future(start_large(n)) for n in range(10)]
    counts = []
    while len(started) < len(tasks):
        await asyncio.sleep(0)
        counts.append(len(started))
    steps = [after - before for before, after in pairwise([0, *counts])]
    assert max(steps) == 1
