"""Guards the source against a process that reads in a loop."""

import asyncio

from wagtailline.distribution._limiter import CallLimiter
from wagtailline.ports import LoopClock
from wagtailline_lab.virtual import run_virtual


def test_calls_beyond_the_burst_wait_for_the_rate():
    """8,200 processes that all read without a cap would overload it."""

    async def scenario():
        limiter = CallLimiter(LoopClock(0), rate=1, burst=4)
        loop = asyncio.get_running_loop()
        taken = []
        for _ in range(10):
            await limiter.acquire()
            taken.append(loop.time())
        await asyncio.sleep(100)
        started = loop.time()
        for _ in range(4):
            await limiter.acquire()
        return taken, loop.time() - started

    taken, refilled = run_virtual(scenario())
    assert taken[3] == 0
    assert [round(one) for one in taken[4:]] == [1, 2, 3, 4, 5, 6]
    assert refilled == 0
