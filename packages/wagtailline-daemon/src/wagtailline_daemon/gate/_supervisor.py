"""Keeps the gate and the execution records in line with the snapshot."""

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
from wagtailline.kernel import Kernel
from wagtailline.membership import MembershipService
from wagtailline.peer_requests import PeerRequests
from wagtailline.ports import Clock
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_daemon.daemon_events import SnapshotInstalled, SuspectsNoticed
from wagtailline_daemon.events import EventLog

SUPERSEDED = 'superseded'
SUCCESSOR_SECONDS = 0.5


class GateSupervisor:
    """Applies snapshots to the gate and spreads notices of suspects."""

    def __init__(
        self, kernel: Kernel, endpoint: str, clock: Clock, events: EventLog
    ) -> None:
        """Look the other services up by name at the start."""
        self._kernel = kernel
        self._endpoint = endpoint
        self._clock = clock
        self._events = events
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Register for notices and begin to follow snapshots."""
        find = self._kernel.find
        self._store = find('snapshots', SnapshotStore).unwrap()
        self._gate = find('gate', Gate).unwrap()
        self._ownership = find('ownership', Ownership).unwrap()
        self._membership = find('membership', MembershipService).unwrap()
        self._peers = find('peer_requests', PeerRequests).unwrap()
        self._peers.register(SuspectNotice, self._take_notice)
        self._run(self._follow())
        self._run(self._watch_successor())

    async def stop(self) -> None:
        """Finish the requests in progress, then end the tasks."""
        await self._gate.wait_empty()
        self._gate.close()
        for task in tuple(self._tasks):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    def spread_notice(self, notice: SuspectNotice) -> None:
        """Tell the other gates of the service about suspects."""
        if not notice.cleared:
            self._events.warning(
                SuspectsNoticed(
                    notice.endpoint, notice.death, len(notice.fingerprints)
                )
            )
        for endpoint in self._service_peers():
            self._run(self._peers.post(endpoint, notice))

    def _service_peers(self) -> tuple[str, ...]:
        snapshot = self._store.current
        own = snapshot.find_endpoint(self._endpoint) if snapshot else None
        if snapshot is None or own is None:
            return ()
        return tuple(
            endpoint.name
            for endpoint in snapshot.endpoints_of(own.service)
            if endpoint.name != self._endpoint
        )

    async def _take_notice(self, sender: str, message: Message) -> None:
        if isinstance(message, SuspectNotice):
            self._gate.note_suspects(message)

    async def _follow(self) -> None:
        version = 0
        while True:
            snapshot = await self._store.wait_newer(version)
            version = snapshot.version
            apply_snapshot(snapshot, self._endpoint, self._gate)
            self._ownership.announce(self._positions(snapshot))
            self._events.info(
                SnapshotInstalled(
                    version, snapshot.digest.hex(), len(snapshot.objects)
                )
            )

    async def _watch_successor(self) -> None:
        while self._membership.successor is None:
            await self._clock.sleep(SUCCESSOR_SECONDS)
        self._gate.drain(SUPERSEDED)

    def _positions(self, snapshot: Snapshot) -> tuple[str, ...]:
        own = snapshot.find_endpoint(self._endpoint)
        if own is None:
            return ()
        return tuple(
            endpoint.name
            for endpoint in snapshot.endpoints_of(own.service)
            if snapshot.is_in_service(endpoint)
        )

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
