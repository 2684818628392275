"""Store of the snapshot in force and the time it was last confirmed."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline_sidecar._configuration_selector import ConfigurationSelector
from wagtailline_sidecar.era_writes import EraWrites
from wagtailline_sidecar.listed_endpoints import ListedEndpoints
from wagtailline_sidecar.model import (
    Configuration,
    Endpoint,
    Snapshot,
)
from wagtailline_sidecar.reading import EarlyEndpoints, Reading
from wagtailline_sidecar.refresh_events import EraChanged
from wagtailline_sidecar.restore_grace import RestoreGrace
from wagtailline_sidecar.routing import RouteTable
from wagtailline_sidecar.source_outages import SourceOutages, TimeSource
from wagtailline_sidecar.source_revision import NO_REVISION, SourceRevision
from wagtailline_sidecar.supervision import describe_failure


class PictureInstalled(NamedTuple):
    """Event: a new version or a changed set of endpoints is in force."""

    version: int
    revision: SourceRevision
    endpoints: int
    closed: str


class SnapshotStore:
    """Store of the snapshot in force; revisions never decrease.

    Revisions are ordered by the era of the source first. In a new era, the
    whole state is taken anew, but for what a restored source may lack. Versions
    decrease only if the operator goes on with lower ones in a new era.
    """

    def __init__(
        self,
        clock: TimeSource,
        observe: Callable[[NamedTuple], None],
        outages: SourceOutages,
    ) -> None:
        """Start without a snapshot; the first reading installs one.

        ``outages`` tell when endpoints whose entries expired are retained.
        """
        self._clock = clock
        self._observe = observe
        self._outages = outages
        self._snapshot: Snapshot | None = None
        self._route_table: RouteTable | None = None
        self._confirmed_at = float('-inf')
        self._refreshed_at = float('-inf')
        self._restore_grace = RestoreGrace(clock)
        self._endpoints = ListedEndpoints(self._restore_grace, outages)
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._on_confirmed: list[Callable[[], None]] = []
        self._selector = ConfigurationSelector(observe)
        self._era_writes = EraWrites(clock)
        self._configuration_revision = NO_REVISION

    @property
    def current(self) -> Snapshot | None:
        """Return the snapshot in force, or None before the first reading."""
        return self._snapshot

    @property
    def route_table(self) -> RouteTable | None:
        """Return the route table of the snapshot in force."""
        return self._route_table

    @property
    def confirmed_at(self) -> float:
        """Return the time since boot at which the snapshot was confirmed."""
        return self._confirmed_at

    @property
    def endpoints_revision(self) -> SourceRevision:
        """Return the revision of the endpoints, maybe that of a later one."""
        return self._endpoints.revision

    @property
    def age_seconds(self) -> float:
        """Return the number of seconds since the snapshot was confirmed."""
        return self._clock.boot() - self._confirmed_at

    @property
    def refreshed_at(self) -> float:
        """Return the time since boot at which its last reading had ended.

        It tells whether the daemon that reads the source still succeeds. What
        was published may have changed since ``confirmed_at`` already.
        """
        return self._refreshed_at

    @property
    def is_after_outage(self) -> bool:
        """Return whether expired endpoints are retained after an outage."""
        return self._outages.is_recent

    @property
    def retention_seconds(self) -> float:
        """Return for how long expired endpoints are retained from now on."""
        return self._outages.retention_seconds

    @property
    def grace_seconds(self) -> float:
        """Return the time to the next end of a grace period, or 0."""
        ends = (
            self._outages.retention_seconds,
            self._era_writes.settle_seconds,
        )
        return min((seconds for seconds in ends if seconds), default=0)

    @property
    def listed_endpoints(self) -> tuple[Endpoint, ...]:
        """Return all endpoints, also of services that are not named."""
        return self._endpoints.listed

    @property
    def era_start(self) -> SourceRevision:
        """Return the first revision that is known of the era."""
        return self._era_writes.start

    @property
    def configuration_revision(self) -> SourceRevision:
        """Return the revision at which the version in force was published.

        NO_REVISION while lost versions may still be published again.
        """
        if self._era_writes.settle_seconds:
            return NO_REVISION
        return self._configuration_revision

    def record_failure(self) -> None:
        """Record that a reading of the source has just failed."""
        self._outages.record_failure()

    def accepts(self, reading: Reading, current_at: float) -> bool:
        """Return whether the endpoints that a peer lists may be used.

        A peer that lost contact with the source, but not the source itself,
        may retain some that are gone. Its reading was current at a time since
        boot.
        """
        if self._snapshot is None or not reading.is_after_outage:
            return True
        if reading.revision.era > self._snapshot.revision.era:
            return True
        return self._outages.has_seen(current_at)

    @property
    def era(self) -> int:
        """Return the era of the source that the snapshot is from, or 0."""
        return 0 if self._snapshot is None else self._snapshot.revision.era

    def subscribe(self, listener: Callable[[Snapshot], None]) -> None:
        """Register a listener that is called when the snapshot changes."""
        self._listeners.append(listener)

    def subscribe_confirmations(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each applied reading."""
        self._on_confirmed.append(listener)

    def apply(
        self,
        reading: Reading,
        requested_at: float,
        refreshed_at: float | None = None,
    ) -> None:
        """Apply a reading that was requested at the given time since boot.

        ``refreshed_at`` is the time at which it had ended; it is given for a
        reading from a peer, and now for one of this daemon's own.
        """
        previous = self._snapshot
        is_older = previous is not None and reading.revision < previous.revision
        endpoints_revision = max(reading.endpoints_revision, reading.revision)
        has_older_endpoints = endpoints_revision < self._endpoints.revision
        if is_older and has_older_endpoints:
            return
        is_own_reading = refreshed_at is None
        if previous is None:
            self._era_writes.begin(reading.era_start)
        elif reading.revision.era > self.era:
            self._enter_era(previous, reading)
        self._era_writes.learn(reading.era_start)
        if refreshed_at is None:
            self._outages.record_reading(requested_at)
            refreshed_at = self._clock.boot()
        else:
            self._outages.record_peer(
                requested_at, is_after_outage=reading.is_after_outage
            )
        if previous is not None and is_older:
            reading = reading._replace(
                revision=previous.revision,
                configuration=previous.configuration,
                closed_data_centres=previous.closed_data_centres,
                configuration_revision=NO_REVISION,
            )
        configuration = self._select_configuration(
            reading, is_own_reading=is_own_reading
        )
        if configuration is None:
            return
        if not is_older:
            self._confirmed_at = max(self._confirmed_at, requested_at)
        self._endpoints.replace(
            reading.endpoints, endpoints_revision, may_add=is_own_reading
        )
        self._install(
            Snapshot(
                reading.revision,
                configuration,
                self._endpoints.find_usable(configuration),
                self._restore_grace.find_closed(reading.closed_data_centres),
            ),
            refreshed_at,
        )

    def apply_early(self, early: EarlyEndpoints) -> None:
        """Apply endpoints from a reading of the source that still goes on.

        The rest of the snapshot stays as old as it is.
        """
        previous = self._snapshot
        if previous is None or early.revision < self._endpoints.revision:
            return
        if early.revision.era != previous.revision.era:
            # The rest of a new era is still on its way.
            return
        self._outages.record_reading(early.requested_at)
        self._endpoints.replace(early.endpoints, early.revision, may_add=True)
        usable = self._endpoints.find_usable(previous.configuration)
        self._install(previous._replace(endpoints=usable), self._clock.boot())

    def _enter_era(self, known: Snapshot, reading: Reading) -> None:
        """Begin an era; what was confirmed before proves nothing in it."""
        self._restore_grace.begin(known)
        self._outages.record_restore()
        self._era_writes.begin(reading.era_start)
        self._confirmed_at = float('-inf')
        offered = reading.configuration
        self._observe(
            EraChanged(
                reading.revision.era,
                known.revision.era,
                reading.revision,
                known.revision,
                known.configuration.version,
                0 if offered is None else offered.version,
            )
        )

    def _select_configuration(
        self, reading: Reading, *, is_own_reading: bool
    ) -> Configuration | None:
        """Return the configuration to use, if there is one.

        After a restore, one that was published in the new era goes before all
        others. It may be lower than the one in force, once lost versions would
        have been published again; peers offer it no sooner.
        """
        known = self._snapshot
        in_force = None if known is None else known.configuration
        offered, revision = (
            reading.configuration,
            reading.configuration_revision,
        )
        is_written = self._era_writes.include(revision)
        is_known_written = self._era_writes.include(
            self._configuration_revision
        )
        is_early = is_own_reading and self._era_writes.settle_seconds > 0
        selected = self._selector.select(
            in_force,
            offered,
            may_go_back=is_written and not is_early,
            keeps_era=is_known_written and not is_written,
        )
        is_confirmed = in_force is not None and (
            offered is None or offered.order == in_force.order
        )
        if selected is not in_force or (is_confirmed and is_written):
            self._configuration_revision = revision
        return selected

    def _install(self, snapshot: Snapshot, refreshed_at: float) -> None:
        self._refreshed_at = max(self._refreshed_at, refreshed_at)
        self._replace_snapshot(snapshot)
        for listener in self._on_confirmed:
            self._notify(listener)

    def _replace_snapshot(self, snapshot: Snapshot) -> None:
        previous = self._snapshot
        if previous is not None and _is_unchanged(previous, snapshot):
            # Keeps these objects, so that data derived from them stays valid.
            self._snapshot = previous._replace(revision=snapshot.revision)
            return
        configuration = snapshot.configuration
        if self._route_table is None or (
            self._route_table.configuration is not configuration
        ):
            self._route_table = RouteTable(configuration)
        self._snapshot = snapshot
        if previous is None or _is_reported_change(previous, snapshot):
            self._observe(
                PictureInstalled(
                    configuration.version,
                    snapshot.revision,
                    len(snapshot.endpoints),
                    ','.join(sorted(snapshot.closed_data_centres)),
                )
            )
        for listener in self._listeners:
            self._notify(listener, snapshot)

    def _notify(self, listener: Callable[..., None], *news: Snapshot) -> None:
        """Call a listener; one that fails keeps no news from the others."""
        try:
            listener(*news)
        except Exception as error:
            self._observe(describe_failure(listener.__qualname__, error))


def _is_unchanged(previous: Snapshot, snapshot: Snapshot) -> bool:
    """Return whether the snapshots differ in nothing but the revision."""
    return (
        previous.configuration is snapshot.configuration
        and previous.closed_data_centres == snapshot.closed_data_centres
        and previous.endpoints == snapshot.endpoints
    )


def _is_reported_change(previous: Snapshot, snapshot: Snapshot) -> bool:
    return (
        previous.configuration is not snapshot.configuration
        or previous.closed_data_centres != snapshot.closed_data_centres
        or _readiness(previous) != _readiness(snapshot)
    )


def _readiness(snapshot: Snapshot) -> set[tuple[str, bool]]:
    return {
        (endpoint.identity, endpoint.is_ready)
        for endpoint in snapshot.endpoints
    }
