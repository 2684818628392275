"""Refreshes the snapshot from the source or from a peer that reads it."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from wagtailline.placement import rank_nodes
from wagtailline.ports import SourceUnavailable
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.snapshot import Reading, SnapshotStore
from wagtailline_sidecar.snapshot_exchange import PeerReading, PeerUnavailable

# One daemon per data centre reads the source at this period; the others fetch
# its snapshot.
READ_PERIOD_SECONDS = 1.0
# The duration of a reading is deducted from the period down to this minimum,
# so that slow readings do not follow each other without a delay.
MIN_READ_PERIOD_SECONDS = 0.75
FETCH_PERIOD_SECONDS = 0.45
READ_TIMEOUT_SECONDS = 0.7
# An older snapshot of a peer is not accepted.
MAX_PEER_SNAPSHOT_AGE_SECONDS = 1.2
# A peer that supplied no usable snapshot is skipped for this time.
PEER_BACKOFF_SECONDS = 3.0
# Exponential backoff with jitter, so that daemons whose readings failed at the
# same time do not all retry at the same time.
MIN_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6
_MAX_DOUBLINGS = 4
# Reported as the age when there is no snapshot yet.
_MAX_REPORTED_SECONDS = 86_400
ORIGIN_SOURCE = 'source'
OUTCOME_OK = 'ok'

FetchFromPeer = Callable[[str], Awaitable[Result[PeerReading, PeerUnavailable]]]
_MILLISECONDS_PER_SECOND = 1000


class Source(Protocol):
    """Store of the published configuration and the registered endpoints."""

    async def read(
        self, timeout_seconds: float
    ) -> Result[Reading, SourceUnavailable]:
        """Return the published state, which is no older than the call."""


class SourceLost(NamedTuple):
    """Event: a reading of the source failed after a successful one."""

    reason: str
    picture_age_seconds: float


class SourceRegained(NamedTuple):
    """Event: a reading of the source succeeded after failures."""

    failures: int
    revision: int


class ReaderChanged(NamedTuple):
    """Event: the host from which this daemon gets its snapshot changed.

    ``reader`` is the host of this daemon if it reads the source itself.
    """

    reader: str
    reason: str
    picture_age_seconds: float


class RefreshEnded(NamedTuple):
    """Event: an attempt to refresh the snapshot has ended.

    ``origin`` is the host of the peer, or ``source``. ``outcome`` is ``ok`` or
    the reason of the failure.
    """

    origin: str
    outcome: str
    took_ms: int
    picture_age_ms: int


class Location(NamedTuple):
    """Host and data centre of this daemon."""

    host: str
    data_centre: str


class SourceReader:
    """Service that refreshes the snapshot periodically.

    Rendezvous hashing gives the daemons of a data centre a common order. The
    first one reads the source and the others fetch its snapshot. A daemon
    reads the source itself if no daemon ahead of it supplies a recent one.
    """

    def __init__(
        self,
        source: Source,
        snapshots: SnapshotStore,
        fetch: FetchFromPeer,
        location: Location,
        clock: BootClock,
        random: Random,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up the reader; it reads nothing until ``start`` is called."""
        self._source = source
        self._snapshots = snapshots
        self._fetch = fetch
        self._location = location
        self._clock = clock
        self._random = random
        self._observe = observe
        self._task: asyncio.Task[None] | None = None
        self._skipped_until: dict[str, float] = {}
        self._reader = ''
        self._failures = 0

    async def start(self) -> None:
        """Start refreshing the snapshot."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop refreshing the snapshot."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            started = self._clock.monotonic()
            period = await self._refresh()
            elapsed = self._clock.monotonic() - started
            await asyncio.sleep(max(period - elapsed, 0))

    async def _refresh(self) -> float:
        """Refresh the snapshot; return the period to the next, in seconds."""
        for host in self._rank_hosts():
            if host == self._location.host:
                self._record_reader(host, 'first in touch')
                return await self._read()
            if await self._refresh_from(host):
                self._record_reader(host, 'answers')
                return FETCH_PERIOD_SECONDS
            self._skipped_until[host] = (
                self._clock.monotonic() + PEER_BACKOFF_SECONDS
            )
        self._record_reader(self._location.host, 'not registered')
        return await self._read()

    def _rank_hosts(self) -> list[str]:
        """Return the hosts of this data centre in their order of precedence.

        Hosts that are skipped after a failure are left out.
        """
        snapshot = self._snapshots.current
        if snapshot is None:
            return []
        hosts = {
            endpoint.address.host
            for endpoint in snapshot.endpoints
            if endpoint.data_centre == self._location.data_centre
        }
        now = self._clock.monotonic()
        return [
            host
            for host in rank_nodes(self._location.data_centre, hosts)
            if self._skipped_until.get(host, now) <= now
        ]

    async def _refresh_from(self, host: str) -> bool:
        requested_at = self._clock.boot()
        match await self._fetch(host):
            case Ok(peer_reading):
                outcome = self._apply_peer_reading(peer_reading)
            case Err(unavailable):
                outcome = unavailable.reason
        self._report_refresh(host, outcome, requested_at)
        return outcome == OUTCOME_OK

    def _apply_peer_reading(self, peer_reading: PeerReading) -> str:
        age_seconds = self._clock.boot() - peer_reading.current_at
        if age_seconds > MAX_PEER_SNAPSHOT_AGE_SECONDS:
            return f'snapshot is {age_seconds:.3f} s old'
        self._snapshots.apply(peer_reading.reading, peer_reading.current_at)
        return OUTCOME_OK

    async def _read(self) -> float:
        requested_at = self._clock.boot()
        match await self._source.read(READ_TIMEOUT_SECONDS):
            case Ok(reading):
                if self._failures:
                    self._observe(
                        SourceRegained(self._failures, reading.revision)
                    )
                self._failures = 0
                self._snapshots.apply(reading, requested_at)
                self._report_refresh(ORIGIN_SOURCE, OUTCOME_OK, requested_at)
                # The age of a snapshot counts from the start of its reading,
                # so the duration of a reading is deducted from the period.
                duration = self._clock.boot() - requested_at
                return max(
                    READ_PERIOD_SECONDS - duration, MIN_READ_PERIOD_SECONDS
                )
            case Err(failure):
                self._report_refresh(
                    ORIGIN_SOURCE, failure.reason, requested_at
                )
                return await self._handle_failure(failure)

    async def _handle_failure(self, failure: SourceUnavailable) -> float:
        """Try every peer of the data centre after a failed reading.

        The source may reject this daemon only.
        """
        if not self._failures:
            age = round(self._snapshots.age_seconds, 3)
            self._observe(SourceLost(failure.reason, age))
        self._failures += 1
        for host in self._rank_hosts():
            if host != self._location.host and await self._refresh_from(host):
                self._record_reader(host, failure.reason)
                return FETCH_PERIOD_SECONDS
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        delay = min(math.ldexp(MIN_RETRY_SECONDS, doublings), MAX_RETRY_SECONDS)
        return delay * (1 + self._random.random())

    def _report_refresh(
        self, origin: str, outcome: str, requested_at: float
    ) -> None:
        took_seconds = self._clock.boot() - requested_at
        age_seconds = min(self._snapshots.age_seconds, _MAX_REPORTED_SECONDS)
        self._observe(
            RefreshEnded(
                origin,
                outcome,
                int(took_seconds * _MILLISECONDS_PER_SECOND),
                int(age_seconds * _MILLISECONDS_PER_SECOND),
            )
        )

    def _record_reader(self, reader: str, reason: str) -> None:
        if reader != self._reader:
            self._reader = reader
            age = round(self._snapshots.age_seconds, 3)
            self._observe(ReaderChanged(reader, reason, age))
