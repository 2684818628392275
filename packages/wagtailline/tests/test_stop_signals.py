"""Tests of the signals that ask a process to stop."""

import asyncio
import signal

import pytest

from wagtailline.stop_signals import follow_stop_signals


# Guards against a stop that a second signal cuts short.
@pytest.mark.parametrize(
    ('first', 'second'),
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGINT),
        (signal.SIGINT, signal.SIGTERM),
    ],
)
async def test_second_signal_changes_nothing(first, second):
    loop = asyncio.get_running_loop()
    stop_signal = follow_stop_signals()
    try:
        assert not stop_signal.done()
        signal.raise_signal(first)
        assert await stop_signal == first.name
        signal.raise_signal(second)
        await asyncio.sleep(0.01)
        assert stop_signal.result() == first.name
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)
