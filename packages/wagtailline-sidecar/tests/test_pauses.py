"""Tests of the measurement of times in which a process did not run."""

import asyncio
import time

import pytest

from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.pauses import PauseEnded, PauseMeter

PAUSE_SECONDS = 1.0


@pytest.fixture
async def meter():
    """Return a running meter and the events that it reports."""
    events: list = []
    running = PauseMeter(BootClock(), events.append)
    await running.start()
    await asyncio.sleep(0)
    yield running, events
    await running.stop()


async def test_held_up_loop_counts_at_once(meter):
    """Guards against a freeze that is noticed after what it made late."""
    pauses, _ = meter
    began_at = BootClock().boot()
    time.sleep(PAUSE_SECONDS)  # noqa: ASYNC251
    assert PAUSE_SECONDS / 2 < pauses.measure_since(began_at)


async def test_pause_counts_once_and_is_reported(meter):
    """Guards against a pause that is forgotten, or added up twice."""
    pauses, events = meter
    began_at = BootClock().boot()
    time.sleep(PAUSE_SECONDS)  # noqa: ASYNC251
    await asyncio.sleep(0.01)
    elapsed_seconds = BootClock().boot() - began_at
    measured_seconds = pauses.measure_since(began_at)
    assert PAUSE_SECONDS / 2 < measured_seconds <= elapsed_seconds
    assert any(isinstance(event, PauseEnded) for event in events)
    assert pauses.measure_since(BootClock().boot()) == 0
