"""Holds the snapshot in force and how current it is."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from wagtailline.ports import Address
from wagtailline_sidecar.checks import ConfigurationFault, check_configuration
from wagtailline_sidecar.model import Configuration, Endpoint, Snapshot
from wagtailline_sidecar.routing import RouteTable

# Endpoints register again within about 2 s of the source's return.
REGISTRATION_GRACE_SECONDS = 2.5
# A longer gap between readings counts as an outage of the source.
OUTAGE_SECONDS = 3.0


class TimeSource(Protocol):
    """Time since boot in seconds."""

    def boot(self) -> float:
        """Return the time since boot, suspension included."""


class Reading(NamedTuple):
    """One consistent reading of the source.

    ``configuration`` is None when the source holds none that can be read.
    """

    revision: int
    configuration: Configuration | None
    endpoints: tuple[Endpoint, ...]
    closed_data_centres: frozenset[str]


class PictureInstalled(NamedTuple):
    """Event: a new version or another set of endpoints is in force."""

    version: int
    revision: int
    endpoints: int
    closed: str


class ConfigurationRefused(NamedTuple):
    """Event: a published configuration is not applied."""

    version: int
    in_force: int
    problem: str


class SnapshotStore:
    """The snapshot in force; versions and revisions never go back."""

    def __init__(
        self, clock: TimeSource, observe: Callable[[NamedTuple], None]
    ) -> None:
        """Hold no snapshot before the first reading."""
        self._clock = clock
        self._observe = observe
        self._snapshot: Snapshot | None = None
        self._table: RouteTable | None = None
        self._confirmed_at = float('-inf')
        self._outage_ended_at = float('-inf')
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._refused_version = 0

    @property
    def current(self) -> Snapshot | None:
        """Return the snapshot in force."""
        return self._snapshot

    @property
    def table(self) -> RouteTable | None:
        """Return the routes of the snapshot in force."""
        return self._table

    @property
    def confirmed_at(self) -> float:
        """Return the time since boot at which the snapshot was current."""
        return self._confirmed_at

    @property
    def age_seconds(self) -> float:
        """Return the time since the snapshot was known to be current."""
        return self._clock.boot() - self._confirmed_at

    def subscribe(self, listener: Callable[[Snapshot], None]) -> None:
        """Call the listener with every snapshot that differs from the last."""
        self._listeners.append(listener)

    def apply(self, reading: Reading, asked_at: float) -> None:
        """Take a reading that was asked for at a time since boot."""
        former = self._snapshot
        if former is not None and reading.revision < former.revision:
            return
        if former and asked_at - self._confirmed_at > OUTAGE_SECONDS:
            self._outage_ended_at = self._clock.boot()
        configuration = self._accept(reading.configuration)
        if configuration is None:
            return
        self._confirmed_at = max(self._confirmed_at, asked_at)
        snapshot = Snapshot(
            reading.revision,
            configuration,
            _drop_replaced(self._merge(reading.endpoints)),
            reading.closed_data_centres,
        )
        self._install(snapshot)

    def _install(self, snapshot: Snapshot) -> None:
        former = self._snapshot
        if former is not None and _is_same(former, snapshot):
            # What is derived from the former objects stays valid.
            self._snapshot = former._replace(revision=snapshot.revision)
            return
        self._snapshot = snapshot
        configuration = snapshot.configuration
        if self._table is None or (
            self._table.configuration is not configuration
        ):
            self._table = RouteTable(configuration)
        if former is None or _differ(former, snapshot):
            self._observe(
                PictureInstalled(
                    configuration.version,
                    snapshot.revision,
                    len(snapshot.endpoints),
                    ','.join(sorted(snapshot.closed_data_centres)),
                )
            )
        for listener in self._listeners:
            listener(snapshot)

    def _accept(self, offered: Configuration | None) -> Configuration | None:
        former = self._snapshot.configuration if self._snapshot else None
        if offered is None or offered is former:
            return former
        faults = check_configuration(offered)
        is_older = former is not None and offered.version <= former.version
        if not faults and not is_older:
            return offered
        if is_older and former is not None:
            if offered.version == former.version:
                return former
            faults = (ConfigurationFault('version', 'older than in force'),)
        self._refuse(offered, former, faults)
        return former

    def _refuse(
        self,
        offered: Configuration,
        former: Configuration | None,
        faults: tuple[ConfigurationFault, ...],
    ) -> None:
        if offered.version == self._refused_version:
            return
        self._refused_version = offered.version
        in_force = former.version if former else 0
        problem = '; '.join(f'{one.subject}: {one.problem}' for one in faults)
        self._observe(ConfigurationRefused(offered.version, in_force, problem))

    def _merge(self, listed: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Keep entries that lapsed in an outage until they may be back."""
        former = self._snapshot.endpoints if self._snapshot else ()
        now = self._clock.boot()
        if now - self._outage_ended_at > REGISTRATION_GRACE_SECONDS:
            return listed
        present = {endpoint.identity for endpoint in listed}
        places = {endpoint.address for endpoint in listed}
        kept = [
            endpoint
            for endpoint in former
            if endpoint.identity not in present
            and endpoint.address not in places
        ]
        return (*listed, *kept)


def _drop_replaced(endpoints: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
    """Keep the latest incarnation at each address.

    The entry of an endpoint that crashed stays until it lapses, also when
    another incarnation has taken its address.
    """
    latest: dict[Address, Endpoint] = {}
    for endpoint in endpoints:
        former = latest.get(endpoint.address)
        if former is None or former.started_ms <= endpoint.started_ms:
            latest[endpoint.address] = endpoint
    return tuple(latest.values())


def _is_same(former: Snapshot, snapshot: Snapshot) -> bool:
    """Tell whether nothing but the revision differs."""
    return (
        former.configuration is snapshot.configuration
        and former.closed_data_centres == snapshot.closed_data_centres
        and former.endpoints == snapshot.endpoints
    )


def _differ(former: Snapshot, snapshot: Snapshot) -> bool:
    return (
        former.configuration is not snapshot.configuration
        or former.closed_data_centres != snapshot.closed_data_centres
        or _states(former) != _states(snapshot)
    )


def _states(snapshot: Snapshot) -> set[tuple[str, bool]]:
    return {(one.identity, one.is_ready) for one in snapshot.endpoints}
