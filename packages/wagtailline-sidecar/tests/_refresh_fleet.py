"""Daemons of one data centre that refresh their snapshots."""

import asyncio
from functools import partial
from random import Random

from _fixtures import (
    ERA,
    make_configuration,
    make_endpoint,
    make_snapshot_store,
)
from result import Err, Ok, Result

from wagtailline.placement import rank_nodes
from wagtailline.ports import Address, SourceUnavailable
from wagtailline_sidecar.location import Location
from wagtailline_sidecar.reading import Reading
from wagtailline_sidecar.refresh_events import RefreshEnded
from wagtailline_sidecar.refresh_periods import plan_refreshes
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.snapshot_messages import PeerReading, PeerUnavailable
from wagtailline_sidecar.source_reader import Origins, SourceReader
from wagtailline_sidecar.source_revision import SourceRevision

HOSTS = tuple(
    rank_nodes('oslo-a', [f'10.0.0.{number}' for number in range(1, 4)])
)
# Maximum time from a publication to its effect on every daemon.
MAX_PROPAGATION_SECONDS = 2.0
# The users allow large deployments more time.
MAX_PROPAGATION_LARGE_SECONDS = 2.5
PERIODS = plan_refreshes(MAX_PROPAGATION_SECONDS)


class LoopClock:
    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    boot = monotonic


class Fleet:
    """Daemons of one data centre that share a source."""

    def __init__(
        self,
        hosts: tuple[str, ...] = HOSTS,
        propagation_seconds: float = MAX_PROPAGATION_SECONDS,
    ) -> None:
        self.periods = plan_refreshes(propagation_seconds)
        self.clock = LoopClock()
        self.hosts = hosts
        self.era = ERA
        self.revision = 1
        self.reads = 0
        self.reading_hosts: set[str] = set()
        self.read_seconds = 0.004
        self.rejected_hosts: set[str] = set()
        self.killed_hosts: set[str] = set()
        self.failing_sources: set[str] = set()
        self.failing_peers: set[str] = set()
        self.cut_hosts: set[str] = set()
        # Endpoints beside those of the hosts, by identity.
        self.extra_endpoints: dict[str, Address] = {}
        self.pauses: dict[str, list[tuple[float, float]]] = {}
        self.events: list = []
        self.stores: dict[str, SnapshotStore] = {}
        self.readers: dict[str, SourceReader] = {}
        for host in hosts:
            self.add(host)

    def add(self, host: str) -> None:
        self.pauses[host] = []
        snapshots = make_snapshot_store(
            self.clock,
            self.events.append,
            lambda moment: self.measure_pauses(host, moment),
        )
        self.stores[host] = snapshots
        self.readers[host] = SourceReader(
            Origins(_Source(self, host), partial(self.fetch, host)),
            snapshots,
            Location(host, 'oslo-a'),
            self.clock,
            Random(host),
            self.events.append,
            lambda: self.periods,
        )

    async def fetch(
        self, caller: str, host: str, max_wait_seconds: float
    ) -> Result:
        store = self.stores[host]
        if host in self.failing_peers:
            raise OverflowError('int too big to convert')
        if host in self.killed_hosts or self.cut_hosts & {caller, host}:
            await asyncio.sleep(max_wait_seconds + self.periods.reply_timeout)
            return Err(PeerUnavailable('TimeoutError'))
        confirmed_at = store.confirmed_at
        waited_until = self.clock.monotonic() + max_wait_seconds
        await asyncio.sleep(0.001)
        await self.wait_until(
            lambda: (
                store.confirmed_at != confirmed_at
                or not self.is_known(caller, store)
            ),
            waited_until,
        )
        snapshot = store.current
        if snapshot is None:
            return Err(PeerUnavailable('no snapshot'))
        reading = Reading(
            snapshot.revision,
            snapshot.configuration,
            snapshot.endpoints,
            snapshot.closed_data_centres,
            store.endpoints_revision,
            store.is_after_outage,
            store.configuration_revision,
            store.era_start,
        )
        return Ok(PeerReading(reading, store.confirmed_at, store.refreshed_at))

    def is_known(self, caller: str, store: SnapshotStore) -> bool:
        """Return whether a daemon has the snapshot of another one already."""
        known, offered = self.stores[caller].current, store.current
        return (
            known is not None
            and offered is not None
            and known.configuration.version == offered.configuration.version
            and known.endpoints == offered.endpoints
            and known.configuration.era == offered.configuration.era
        )

    async def wait_until(self, is_true, latest: float) -> None:
        while not is_true() and self.clock.monotonic() < latest:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def start(self) -> None:
        for reader in self.readers.values():
            await reader.start()

    def list_outcomes(self, origin: str) -> list[str]:
        """Return how the refreshes from a peer or the source have ended."""
        return [
            event.outcome
            for event in self.events
            if isinstance(event, RefreshEnded) and event.origin == origin
        ]

    async def kill(self, host: str) -> None:
        self.killed_hosts.add(host)
        await self.readers[host].stop()

    async def freeze(self, host: str, seconds: float) -> None:
        """Stop a daemon, which goes on with what it knew, for some time."""
        frozen_at = self.clock.boot()
        self.killed_hosts.add(host)
        await self.readers[host].stop()
        await asyncio.sleep(seconds)
        self.killed_hosts.discard(host)
        self.pauses[host].append((frozen_at, self.clock.boot()))
        await self.readers[host].start()

    def measure_pauses(self, host: str, moment: float) -> float:
        return sum(
            max(ended_at - max(began_at, moment), 0)
            for began_at, ended_at in self.pauses[host]
        )

    def register(self, identity: str) -> None:
        """Register one more endpoint on the last VM."""
        port = 81 + len(self.extra_endpoints)
        self.extra_endpoints[identity] = Address(self.hosts[-1], port)
        self.publish()

    def remove(self, identity: str) -> None:
        self.extra_endpoints.pop(identity)
        self.publish()

    def find_listing_hosts(self, identity: str) -> set[str]:
        """Return the daemons whose snapshots list an endpoint."""
        return {
            host
            for host, snapshots in self.stores.items()
            for endpoint in snapshots.current.endpoints
            if endpoint.identity == identity
        }

    def publish(self) -> None:
        self.revision += 1

    def lowest_revision(self) -> int:
        return min(
            snapshots.current.revision.number
            for host, snapshots in self.stores.items()
            if host not in self.killed_hosts
        )

    def greatest_age(self) -> float:
        return max(
            snapshots.age_seconds
            for host, snapshots in self.stores.items()
            if host not in self.killed_hosts
        )


class _Source:
    def __init__(self, fleet: Fleet, host: str) -> None:
        self.fleet = fleet
        self.host = host

    async def read(self, wait_seconds):
        fleet = self.fleet
        fleet.reads += 1
        fleet.reading_hosts.add(self.host)
        if self.host in fleet.failing_sources:
            raise RecursionError('maximum recursion depth exceeded')
        if self.host in fleet.rejected_hosts | fleet.cut_hosts:
            await asyncio.sleep(fleet.read_seconds)
            return Err(SourceUnavailable('status 503'))
        revision = fleet.revision
        waited_until = fleet.clock.monotonic() + wait_seconds
        await fleet.wait_until(lambda: fleet.revision != revision, waited_until)
        await asyncio.sleep(fleet.read_seconds)
        addresses = {host: Address(host, 80) for host in fleet.hosts}
        endpoints = tuple(
            make_endpoint(identity, address=address)
            for identity, address in (
                *addresses.items(),
                *fleet.extra_endpoints.items(),
            )
        )
        return Ok(
            Reading(
                SourceRevision(fleet.era, fleet.revision),
                make_configuration(version=fleet.revision, era=fleet.era),
                endpoints,
                frozenset(),
            )
        )


async def make_settled_fleet() -> Fleet:
    fleet = Fleet()
    await fleet.start()
    await asyncio.sleep(3)
    return fleet
