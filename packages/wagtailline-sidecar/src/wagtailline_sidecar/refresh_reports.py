"""Reports of how the snapshot is refreshed."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.location import Location
from wagtailline_sidecar.refresh_events import ReaderChanged, RefreshEnded
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.snapshot_messages import NO_REPLY, ReplyFigures

# Reported as the age when there is no snapshot yet.
_MAX_REPORTED_SECONDS = 86_400
_MILLISECONDS_PER_SECOND = 1000


class RefreshReports:
    """Reporter of refreshes that ended, and of the host that they come from.

    ``reader`` is that host, which may be this one. It is empty at first.
    """

    def __init__(
        self,
        snapshots: SnapshotStore,
        location: Location,
        clock: BootClock,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up a reporter that calls ``observe`` with each event."""
        self.reader = ''
        self._snapshots = snapshots
        self._location = location
        self._clock = clock
        self._observe = observe

    def report_refresh(
        self,
        origin: str,
        outcome: str,
        requested_at: float,
        reply: ReplyFigures = NO_REPLY,
    ) -> None:
        """Report a refresh that began at a time since boot and has ended."""
        took_seconds = self._clock.boot() - requested_at
        age_seconds = min(self._snapshots.age_seconds, _MAX_REPORTED_SECONDS)
        self._observe(
            RefreshEnded(
                origin,
                outcome,
                int(took_seconds * _MILLISECONDS_PER_SECOND),
                int(age_seconds * _MILLISECONDS_PER_SECOND),
                *reply,
            )
        )

    def record_reader(self, reader: str, reason: str) -> None:
        """Record where the snapshot comes from now; report a change."""
        if reader == self.reader:
            return
        self.reader = reader
        is_self = reader == self._location.host
        self._observe(
            ReaderChanged(
                reader,
                reason,
                round(self._snapshots.age_seconds, 3),
                self._location.link_megabits_per_second if is_self else 0,
            )
        )
