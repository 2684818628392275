"""Start and graceful stop of all services of one process."""

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from wagtailline.service_registry import ServiceRegistry
from wagtailline_sidecar.bounds import (
    find_stop_seconds,
    find_traffic_shift_seconds,
)
from wagtailline_sidecar.daemon_events import (
    DaemonStarted,
    DaemonStopped,
    DaemonStopping,
)
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.peer_calls import PeerCalls
from wagtailline_sidecar.settings_watch import SettingsWatch
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.telemetry import Telemetry

GATE_STOPPING = 'gate_stopping'
_DRAIN_POLL_SECONDS = 0.05
# Time to send the answers to requests that have not ended in time.
_LAST_ANSWERS_SECONDS = 0.3


class Readiness:
    """Readiness of the daemon for requests of clients.

    Requests that may last beyond ``stops_at``, a time of the event loop, are
    not accepted.
    """

    def __init__(self, snapshots: SnapshotStore) -> None:
        """Report the daemon as ready once there is a snapshot."""
        self._snapshots = snapshots
        self.is_stopping = False
        self.stops_at = math.inf

    def is_ready(self) -> bool:
        """Return whether the platform should send clients to this daemon."""
        return self._snapshots.current is not None and not self.is_stopping


class Daemon(NamedTuple):
    """All services of one process, started and stopped together."""

    settings: SettingsWatch
    registry: ServiceRegistry
    telemetry: Telemetry
    gate: Gate
    calls: PeerCalls
    ingress: HttpListener
    status_listeners: tuple[HttpListener, ...]
    readiness: Readiness
    end_requests: Callable[[], None]

    async def start(self) -> None:
        """Start every service; raise OSError if an address is in use."""
        await self.registry.start()
        settings = self.settings.current
        self.telemetry.observe(
            DaemonStarted(settings.vm, settings.data_centre, settings.ingress)
        )

    async def stop(self, reason: str) -> None:
        """Stop gracefully: close the gate, then drain what is in progress."""
        settings = self.settings.current
        self.telemetry.observe(DaemonStopping(settings.vm, reason))
        self._refuse_new_work()
        stops_at = asyncio.get_running_loop().time() + find_stop_seconds(
            settings
        )
        try:
            async with asyncio.timeout_at(stops_at):
                await asyncio.sleep(find_traffic_shift_seconds(settings))
                self.readiness.stops_at = stops_at
                await self._drain()
        except TimeoutError:
            self.end_requests()
        await self._answer_last_requests()
        self.telemetry.observe(
            DaemonStopped(
                settings.vm, self.ingress.in_progress, self.calls.in_progress
            )
        )
        await self.registry.stop()

    def _refuse_new_work(self) -> None:
        self.readiness.is_stopping = True
        self.gate.close(GATE_STOPPING)
        self.ingress.disable_keep_alive()

    async def _answer_last_requests(self) -> None:
        """Take no more requests, and answer those that came until now.

        A connection is accepted until then, whatever has drained before.
        """
        await self.ingress.stop()
        with suppress(TimeoutError):
            async with asyncio.timeout(_LAST_ANSWERS_SECONDS):
                await self._drain()
        for listener in (self.ingress, *self.status_listeners):
            listener.end_reading()

    async def _drain(self) -> None:
        self.ingress.close_idle()
        while True:
            if not (
                self.ingress.in_progress
                or self.ingress.lingering
                or self.calls.in_progress
            ):
                return
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
