"""Service that applies snapshots to the gate and to the key ownership."""

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

from wagtailline.admission import (
    Gate,
    SuspectNotice,
    apply_snapshot,
)
from wagtailline.codec import Message
from wagtailline.executions import Ownership
from wagtailline.membership import MembershipService
from wagtailline.peer_requests import PeerRequests
from wagtailline.ports import Clock
from wagtailline.service_registry import ServiceRegistry
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_daemon.daemon_events import SnapshotInstalled, SuspectsNoticed
from wagtailline_daemon.events import EventLog

SUPERSEDED = 'superseded'
SUCCESSOR_CHECK_INTERVAL_SECONDS = 0.5


class GateSupervisor:
    """Applies snapshots to the gate, and sends and receives suspect notices.

    Suspects are requests that may have crashed their upstream.
    """

    def __init__(
        self,
        registry: ServiceRegistry,
        endpoint: str,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create a supervisor that looks up the other services at its start."""
        self._registry = registry
        self._endpoint = endpoint
        self._clock = clock
        self._events = events
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Look up the other services and start to follow snapshots."""
        find = self._registry.find
        self._store = find('snapshots', SnapshotStore).unwrap()
        self._gate = find('gate', Gate).unwrap()
        self._ownership = find('ownership', Ownership).unwrap()
        self._membership = find('membership', MembershipService).unwrap()
        self._peer_requests = find('peer_requests', PeerRequests).unwrap()
        self._peer_requests.register(SuspectNotice, self._receive_notice)
        self._start_task(self._follow_snapshots())
        self._start_task(self._drain_when_superseded())

    async def stop(self) -> None:
        """Wait for the requests in progress, then cancel the tasks."""
        await self._gate.wait_until_idle()
        self._gate.close()
        for task in tuple(self._tasks):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    def broadcast_notice(self, notice: SuspectNotice) -> None:
        """Send a suspect notice to the other gates of the service."""
        if not notice.cleared:
            self._events.warning(
                SuspectsNoticed(
                    notice.endpoint, notice.crash, len(notice.fingerprints)
                )
            )
        for endpoint in self._other_endpoints():
            self._start_task(self._peer_requests.post(endpoint, notice))

    def _other_endpoints(self) -> tuple[str, ...]:
        snapshot = self._store.current
        own_endpoint = (
            snapshot.find_endpoint(self._endpoint) if snapshot else None
        )
        if snapshot is None or own_endpoint is None:
            return ()
        return tuple(
            endpoint.name
            for endpoint in snapshot.endpoints_of(own_endpoint.service)
            if endpoint.name != self._endpoint
        )

    async def _receive_notice(self, sender: str, message: Message) -> None:
        if isinstance(message, SuspectNotice):
            self._gate.apply_notice(message)

    async def _follow_snapshots(self) -> None:
        version = 0
        while True:
            snapshot = await self._store.wait_for_newer(version)
            version = snapshot.version
            apply_snapshot(snapshot, self._endpoint, self._gate)
            self._ownership.add_pending(self._positions_in_service(snapshot))
            self._events.info(
                SnapshotInstalled(
                    version, snapshot.digest.hex(), len(snapshot.objects)
                )
            )

    async def _drain_when_superseded(self) -> None:
        while self._membership.successor is None:
            await self._clock.sleep(SUCCESSOR_CHECK_INTERVAL_SECONDS)
        self._gate.drain(SUPERSEDED)

    def _positions_in_service(self, snapshot: Snapshot) -> tuple[str, ...]:
        own_endpoint = snapshot.find_endpoint(self._endpoint)
        if own_endpoint is None:
            return ()
        return tuple(
            endpoint.name
            for endpoint in snapshot.endpoints_of(own_endpoint.service)
            if snapshot.is_in_service(endpoint)
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
