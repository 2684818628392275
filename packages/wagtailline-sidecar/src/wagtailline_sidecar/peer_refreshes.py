"""Refreshes of the snapshot from other daemons of the data centre."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.placement import rank_nodes
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.refresh_events import (
    OUTCOME_EARLIER_ERA,
    OUTCOME_OK,
    OUTCOME_OTHER_OUTAGE,
    OUTCOME_OVERTAKEN,
    OUTCOME_STOPPED,
    OUTCOME_TIMEOUT,
)
from wagtailline_sidecar.refresh_periods import RefreshPeriods
from wagtailline_sidecar.refresh_reports import RefreshReports
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.snapshot_messages import (
    NO_REPLY,
    PeerReading,
    PeerUnavailable,
)
from wagtailline_sidecar.supervision import describe_failure

# A peer that supplied no usable snapshot is skipped for this time.
PEER_BACKOFF_SECONDS = 3.0

FetchFromPeer = Callable[
    [str, float], Awaitable[Result[PeerReading, PeerUnavailable]]
]


class PeerRefreshes:
    """Fetches snapshots from peers, and skips those that failed lately."""

    def __init__(
        self,
        fetch: FetchFromPeer,
        snapshots: SnapshotStore,
        reports: RefreshReports,
        clock: BootClock,
        observe: Callable[[NamedTuple], None],
        periods: Callable[[], RefreshPeriods],
    ) -> None:
        """Set up refreshes that apply what ``fetch`` returns to a store."""
        self._fetch = fetch
        self._snapshots = snapshots
        self._reports = reports
        self._clock = clock
        self._observe = observe
        self._periods = periods
        self._skipped_until: dict[str, float] = {}

    def rank_hosts(self, data_centre: str) -> list[str]:
        """Return the hosts of a data centre in their order of precedence.

        Hosts that are skipped after a failure are left out.
        """
        snapshot = self._snapshots.current
        if snapshot is None:
            return []
        hosts = {
            endpoint.address.host
            for endpoint in snapshot.endpoints
            if endpoint.data_centre == data_centre
        }
        now = self._clock.monotonic()
        return [
            host
            for host in rank_nodes(data_centre, hosts)
            if self._skipped_until.get(host, now) <= now
        ]

    async def refresh_from_first(self, hosts: list[str]) -> str | None:
        """Return the first of the hosts that supplies a snapshot, or None.

        A host is asked when those before it have failed or are late. A late
        one may still be the first. Those that were too late are skipped for a
        while.
        """
        pending: dict[asyncio.Task[bool], str] = {}
        outcome = OUTCOME_STOPPED
        try:
            reader = await self._ask_in_turn(hosts, pending)
            outcome = OUTCOME_OVERTAKEN if reader else OUTCOME_TIMEOUT
        finally:
            for task, host in pending.items():
                task.cancel(outcome)
                self._skip(host)
        return reader

    async def refresh_from(self, host: str) -> bool:
        """Return whether a host supplies a snapshot that is recent enough.

        The message of a cancellation is the outcome that is reported.
        """
        requested_at = self._clock.boot()
        reply = NO_REPLY
        try:
            fetched = await self._fetch(host, self._max_fetch_wait(host))
        except asyncio.CancelledError as cancellation:
            outcome = next(iter(cancellation.args), OUTCOME_STOPPED)
            self._reports.report_refresh(host, outcome, requested_at)
            raise
        except Exception as error:
            # Whatever is wrong with this peer, the next one may do.
            self._observe(describe_failure('fetch_from_peer', error))
            fetched = Err(PeerUnavailable(type(error).__name__))
        match fetched:
            case Ok(peer_reading):
                reply = peer_reading.reply
                outcome = self._apply_peer_reading(peer_reading)
            case Err(unavailable):
                outcome = unavailable.reason
        self._reports.report_refresh(host, outcome, requested_at, reply)
        return outcome == OUTCOME_OK

    async def _ask_in_turn(
        self, hosts: list[str], pending: dict[asyncio.Task[bool], str]
    ) -> str | None:
        """Return the first host that supplies a snapshot, or None.

        Fetches that go on are left in ``pending``.
        """
        for host in hosts:
            wait_seconds = self._max_fetch_wait(host)
            task = asyncio.ensure_future(self.refresh_from(host))
            pending[task] = host
            late_seconds = wait_seconds + self._periods().late_reply
            reader = await self._wait_for_first(pending, late_seconds)
            if reader is not None:
                return reader
        return None

    async def _wait_for_first(
        self, pending: dict[asyncio.Task[bool], str], seconds: float
    ) -> str | None:
        """Return the first host whose fetch succeeds; drop those that fail."""
        done, _ = await asyncio.wait(
            pending, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        reader = None
        for task in done:
            host = pending.pop(task)
            if task.result():
                reader = host
            else:
                self._skip(host)
        return reader

    def _skip(self, host: str) -> None:
        backoff_ends_at = self._clock.monotonic() + PEER_BACKOFF_SECONDS
        self._skipped_until[host] = backoff_ends_at

    def _max_fetch_wait(self, host: str) -> float:
        """Return how long a peer may wait for a newer snapshot, in seconds.

        A peer that was not asked before may know more, so it replies at once.
        """
        if host != self._reports.reader:
            return 0
        age_seconds = self._clock.boot() - self._snapshots.refreshed_at
        periods = self._periods()
        age_left = periods.max_refresh_age - age_seconds
        return min(max(age_left, 0), periods.fetch_wait)

    def _apply_peer_reading(self, peer_reading: PeerReading) -> str:
        age_seconds = self._clock.boot() - peer_reading.refreshed_at
        if age_seconds > self._periods().max_refresh_age:
            return f'last read {age_seconds:.3f} s ago'
        if peer_reading.reading.revision.era < self._snapshots.era:
            return OUTCOME_EARLIER_ERA
        if not self._snapshots.accepts(
            peer_reading.reading, peer_reading.current_at
        ):
            return OUTCOME_OTHER_OUTAGE
        self._snapshots.apply(
            peer_reading.reading,
            peer_reading.current_at,
            peer_reading.refreshed_at,
        )
        return OUTCOME_OK
