"""Start and planned stop of all services of one process."""

import asyncio
from contextlib import suppress
from typing import NamedTuple

from wagtailline.kernel import Kernel
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

STOPPING = 'gate_stopping'
_MILLISECONDS = 1000
_FINISH_POLL_SECONDS = 0.05
# The platform sends clients elsewhere after two questions, one a second,
# without a 200.
_LEAVE_SECONDS = 2.5


class Readiness:
    """Tells whether clients should come to this daemon."""

    def __init__(self, snapshots: SnapshotStore) -> None:
        """Be ready as soon as there is a snapshot."""
        self._snapshots = snapshots
        self.is_stopping = False

    def is_ready(self) -> bool:
        """Return whether the daemon takes requests."""
        return self._snapshots.current is not None and not self.is_stopping


class Daemon(NamedTuple):
    """All services of one process, started and stopped together."""

    settings: SettingsWatch
    kernel: Kernel
    telemetry: Telemetry
    gate: Gate
    calls: PeerCalls
    ingress: HttpListener
    readiness: Readiness

    async def start(self) -> None:
        """Start every service; raise OSError when an address is taken."""
        await self.kernel.start()
        settings = self.settings.current
        self.telemetry.observe(
            DaemonStarted(settings.vm, settings.data_centre, settings.ingress)
        )

    async def stop(self, reason: str) -> None:
        """Stop as planned: no new work, then finish what is in progress."""
        settings = self.settings.current
        self.telemetry.observe(DaemonStopping(settings.vm, reason))
        self.readiness.is_stopping = True
        self.gate.close(STOPPING)
        self.ingress.disable_keep_alive()
        with suppress(TimeoutError):
            async with asyncio.timeout(settings.stop_ms / _MILLISECONDS):
                await self._finish()
        self.telemetry.observe(
            DaemonStopped(
                settings.vm, self.ingress.in_progress, self.calls.in_progress
            )
        )
        await self.kernel.stop()

    async def _finish(self) -> None:
        await asyncio.sleep(_LEAVE_SECONDS)
        self.ingress.close_idle()
        while True:
            if not (self.ingress.in_progress or self.calls.in_progress):
                return
            await asyncio.sleep(_FINISH_POLL_SECONDS)
