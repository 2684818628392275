"""Refreshes the snapshot from the source or from a peer that reads it."""

import asyncio
import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from wagtailline.ports import SourceUnavailable
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.location import Location
from wagtailline_sidecar.peer_refreshes import FetchFromPeer, PeerRefreshes
from wagtailline_sidecar.reading import (
    EarlyEndpoints,
    Reading,
)
from wagtailline_sidecar.refresh_events import (
    ORIGIN_SOURCE,
    OUTCOME_OK,
    SourceLost,
    SourceRegained,
)
from wagtailline_sidecar.refresh_periods import RefreshPeriods
from wagtailline_sidecar.refresh_reports import RefreshReports
from wagtailline_sidecar.refresh_tree import find_ancestors
from wagtailline_sidecar.snapshot import (
    SnapshotStore,
)
from wagtailline_sidecar.source_replica import describe_earlier_era
from wagtailline_sidecar.supervision import SupervisedTask, describe_failure

# A reading of a source without changes waits there for one for this time.
READ_WAIT_SECONDS = 0.25
# Shortest time from one fetch to the next.
MIN_FETCH_PERIOD_SECONDS = 0.1
# Period of readings while the source fails and a peer helps.
HELPED_PERIOD_SECONDS = 0.45
# Number of other daemons that are asked after a failed reading.
HELPERS = 2
# The first reading without expired endpoints, or with a lower version, begins
# this much after the grace period has ended.
_GRACE_MARGIN_SECONDS = 0.01
# Exponential backoff with jitter, so that daemons whose readings failed at the
# same time do not all retry at the same time. After an outage, endpoints are
# retained from the last failure on: the delay, which jitter up to doubles, has
# to leave 2 s of MAX_RETENTION_SECONDS for them to register again.
MIN_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.4
_MAX_DOUBLINGS = 4


class Source(Protocol):
    """Store of the published configuration and the registered endpoints.

    ``on_early_endpoints`` is called with endpoints that arrive before a
    reading has ended.
    """

    on_early_endpoints: Callable[[EarlyEndpoints], None]

    async def read(
        self, wait_seconds: float
    ) -> Result[Reading, SourceUnavailable]:
        """Return the published state, which is no older than the call.

        Waits up to ``wait_seconds`` for a change.
        """


class Origins(NamedTuple):
    """Where snapshots come from: the source, or a peer by its host."""

    source: Source
    fetch: FetchFromPeer


class SourceReader:
    """Service that keeps the snapshot up to date.

    Rendezvous hashing gives the daemons of a data centre a common order, in
    which they form a tree: the first one reads the source, and each other one
    fetches from its parent in the tree. A daemon reads the source itself if
    no daemon between it and the root supplies a recent snapshot. Parents come
    first in the order, so daemons whose lists differ never form a cycle.
    """

    def __init__(
        self,
        origins: Origins,
        snapshots: SnapshotStore,
        location: Location,
        clock: BootClock,
        random: Random,
        observe: Callable[[NamedTuple], None],
        periods: Callable[[], RefreshPeriods],
    ) -> None:
        """Set up the reader; it reads nothing until ``start`` is called."""
        self._periods = periods
        self._source = origins.source
        self._snapshots = snapshots
        self._location = location
        self._clock = clock
        self._random = random
        self._observe = observe
        self._reports = RefreshReports(snapshots, location, clock, observe)
        self._peers = PeerRefreshes(
            origins.fetch, snapshots, self._reports, clock, observe, periods
        )
        self._task = SupervisedTask('source_reader', self._run, observe)
        self._failures = 0

    async def start(self) -> None:
        """Start refreshing the snapshot."""
        self._task.start()

    async def stop(self) -> None:
        """Stop refreshing the snapshot."""
        self._task.stop()

    async def _run(self) -> None:
        while True:
            started = self._clock.monotonic()
            period = await self._refresh()
            elapsed = self._clock.monotonic() - started
            await asyncio.sleep(max(period - elapsed, 0))

    async def _refresh(self) -> float:
        """Refresh the snapshot; return the period to the next, in seconds."""
        hosts = self._peers.rank_hosts(self._location.data_centre)
        ancestors = find_ancestors(hosts, self._location.host)
        reader = await self._peers.refresh_from_first(ancestors)
        if reader is not None:
            self._reports.record_reader(reader, 'answers')
            return MIN_FETCH_PERIOD_SECONDS
        is_listed = self._location.host in hosts
        reason = 'first in touch' if is_listed else 'not registered'
        was_reader = self._reports.reader == self._location.host
        can_wait = was_reader and not self._failures
        self._reports.record_reader(self._location.host, reason)
        wait_seconds = READ_WAIT_SECONDS if can_wait else 0
        return await self._read(self._limit_to_grace(wait_seconds))

    def _limit_to_grace(self, seconds: float) -> float:
        """Return a shorter time if a grace period ends before."""
        grace_seconds = self._snapshots.grace_seconds
        if grace_seconds <= 0:
            return seconds
        return min(seconds, grace_seconds + _GRACE_MARGIN_SECONDS)

    async def _read(self, wait_seconds: float) -> float:
        requested_at = self._clock.boot()
        match await self._read_source(wait_seconds):
            case Ok(reading):
                if self._failures:
                    self._observe(
                        SourceRegained(self._failures, reading.revision)
                    )
                self._failures = 0
                self._snapshots.apply(reading, requested_at)
                self._reports.report_refresh(
                    ORIGIN_SOURCE, OUTCOME_OK, requested_at
                )
                return self._limit_to_grace(self._periods().read)
            case Err(failure):
                self._reports.report_refresh(
                    ORIGIN_SOURCE, failure.reason, requested_at
                )
                return await self._handle_failure(failure)

    async def _read_source(
        self, wait_seconds: float
    ) -> Result[Reading, SourceUnavailable]:
        try:
            answer = await self._source.read(wait_seconds)
        except Exception as error:
            # A peer may still have read what this daemon can't.
            self._observe(describe_failure('read_source', error))
            return Err(SourceUnavailable(type(error).__name__))
        return answer.and_then(self._check_era)

    def _check_era(
        self, reading: Reading
    ) -> Result[Reading, SourceUnavailable]:
        """Reject a reading of an earlier era than peers have heard of."""
        known_era = self._snapshots.era
        if reading.revision.era >= known_era:
            return Ok(reading)
        problem = describe_earlier_era(reading.revision.era, known_era)
        return Err(SourceUnavailable(problem))

    async def _handle_failure(self, failure: SourceUnavailable) -> float:
        """Ask a few peers of the data centre after a failed reading.

        The source may reject this daemon only.
        """
        if not self._failures:
            age = round(self._snapshots.age_seconds, 3)
            self._observe(SourceLost(failure.reason, age))
        self._failures += 1
        self._snapshots.record_failure()
        for host in self._choose_helpers():
            if await self._peers.refresh_from(host):
                self._reports.record_reader(host, failure.reason)
                return HELPED_PERIOD_SECONDS
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        delay = min(math.ldexp(MIN_RETRY_SECONDS, doublings), MAX_RETRY_SECONDS)
        return delay * (1 + self._random.random())

    def _choose_helpers(self) -> list[str]:
        """Return the last helper, if there is one, and other random hosts."""
        here = self._location
        others = [
            host
            for host in self._peers.rank_hosts(here.data_centre)
            if host != here.host
        ]
        helpers = self._random.sample(others, min(HELPERS, len(others)))
        if self._reports.reader in others:
            helpers.insert(0, self._reports.reader)
        return helpers
