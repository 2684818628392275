"""Tests of the limiter that protects the source from frequent calls."""

import asyncio

from wagtailline.distribution._limiter import CallLimiter
from wagtailline.ports import LoopClock
from wagtailline_lab.virtual import run_virtual


def test_calls_beyond_the_burst_wait_for_the_rate():
    """Unlimited reads of 8,200 processes would overload the source.

    The burst passes at once, and one more call per second after it.
    """

    async def scenario():
        limiter = CallLimiter(LoopClock(0), rate=1, burst=4)
        loop = asyncio.get_running_loop()
        acquired_at = []
        for _ in range(10):
            await limiter.acquire()
            acquired_at.append(loop.time())
        await asyncio.sleep(100)
        started_at = loop.time()
        for _ in range(4):
            await limiter.acquire()
        return acquired_at, loop.time() - started_at

    acquired_at, burst_seconds = run_virtual(scenario())
    assert acquired_at[3] == 0
    assert [round(seconds) for seconds in acquired_at[4:]] == [1, 2, 3, 4, 5, 6]
    assert burst_seconds == 0
