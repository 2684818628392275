"""Tests of the order of a planned stop."""

import asyncio
from types import SimpleNamespace

import pytest

from wagtailline_sidecar.daemon import Daemon, Readiness

GRACE_SECONDS = 0.4


class Stop:
    """Daemon of fakes that notes in which order a stop calls them."""

    def __init__(self, in_progress: int) -> None:
        self.calls: list[str] = []
        settings = SimpleNamespace(vm='vm-1', grace_seconds=GRACE_SECONDS)

        async def stop_services() -> None:
            self.calls.append('services')

        ingress = SimpleNamespace(
            in_progress=in_progress,
            lingering=0,
            disable_keep_alive=lambda: None,
            close_idle=lambda: self.calls.append('close idle'),
        )
        self.daemon = Daemon(
            SimpleNamespace(current=settings),
            SimpleNamespace(stop=stop_services),
            SimpleNamespace(observe=lambda event: None),
            SimpleNamespace(close=lambda reason: None),
            SimpleNamespace(in_progress=0),
            ingress,
            Readiness(None),
            lambda: self.calls.append('end requests'),
        )


@pytest.mark.parametrize('in_progress', [0, 1])
async def test_requests_are_ended_only_if_they_outlast_the_stop(in_progress):
    """Guards against a daemon that takes requests after it has drained (LOST).

    It drained once more, and requests that came meanwhile were cut.
    """
    stop = Stop(in_progress)
    async with asyncio.timeout(5):
        await stop.daemon.stop('SIGTERM')
    ended = ['end requests', 'close idle'] if in_progress else []
    assert stop.calls == ['close idle', *ended, 'services']
