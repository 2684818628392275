"""Where a daemon takes its snapshot from, on virtual time."""

import asyncio
from random import Random

import pytest
from _fixtures import make_configuration, make_endpoint
from result import Err, Ok

from wagtailline.placement import rank
from wagtailline.ports import Address, SourceUnavailable
from wagtailline_sidecar.snapshot import Reading, SnapshotStore
from wagtailline_sidecar.snapshot_exchange import Asked
from wagtailline_sidecar.source_reader import (
    ASK_PERIOD_SECONDS,
    MAX_PASSED_AGE_SECONDS,
    READ_PERIOD_SECONDS,
    Place,
    SourceReader,
)

HOSTS = tuple(rank('oslo-a', [f'10.0.0.{number}' for number in range(1, 4)]))
# What the operators allow between a publication and its effect.
APPLY_SECONDS = 2.0


class LoopClock:
    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    boot = monotonic


class Fleet:
    """Daemons of one data centre with one source."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.revision = 1
        self.reads = 0
        self.read_seconds = 0.004
        self.turned_away: set[str] = set()
        self.dead: set[str] = set()
        self.events: list = []
        self.stores: dict[str, SnapshotStore] = {}
        self.readers: dict[str, SourceReader] = {}
        for host in HOSTS:
            self.add(host)

    def add(self, host: str) -> None:
        snapshots = SnapshotStore(self.clock, self.events.append)
        self.stores[host] = snapshots
        self.readers[host] = SourceReader(
            _Source(self, host),
            snapshots,
            self.ask,
            Place(host, 'oslo-a'),
            self.clock,
            Random(host),
            self.events.append,
        )

    async def ask(self, host: str) -> Asked | None:
        await asyncio.sleep(0.25 if host in self.dead else 0.001)
        snapshot = self.stores[host].current
        if host in self.dead or snapshot is None:
            return None
        reading = Reading(
            snapshot.revision,
            snapshot.configuration,
            snapshot.endpoints,
            snapshot.closed_data_centres,
        )
        return Asked(reading, self.stores[host].confirmed_at)

    async def start(self) -> None:
        for reader in self.readers.values():
            await reader.start()

    async def kill(self, host: str) -> None:
        self.dead.add(host)
        await self.readers[host].stop()

    def publish(self) -> None:
        self.revision += 1

    def oldest(self) -> int:
        return min(
            snapshots.current.revision
            for host, snapshots in self.stores.items()
            if host not in self.dead
        )

    def greatest_age(self) -> float:
        return max(
            snapshots.age_seconds
            for host, snapshots in self.stores.items()
            if host not in self.dead
        )


class _Source:
    def __init__(self, fleet: Fleet, host: str) -> None:
        self.fleet = fleet
        self.host = host

    async def read(self, timeout_seconds):
        fleet = self.fleet
        fleet.reads += 1
        await asyncio.sleep(fleet.read_seconds)
        if self.host in fleet.turned_away:
            return Err(SourceUnavailable('status 503'))
        endpoints = tuple(
            make_endpoint(host, address=Address(host, 80)) for host in HOSTS
        )
        return Ok(
            Reading(
                fleet.revision,
                make_configuration(version=fleet.revision),
                endpoints,
                frozenset(),
            )
        )


async def settled() -> Fleet:
    fleet = Fleet()
    await fleet.start()
    await asyncio.sleep(3)
    return fleet


@pytest.mark.looptime
async def test_one_daemon_reads_for_its_data_centre():
    """Guards against reads that grow with the fleet."""
    fleet = await settled()
    fleet.reads = 0
    await asyncio.sleep(10 * READ_PERIOD_SECONDS)
    assert fleet.reads <= 12


@pytest.mark.looptime
async def test_change_is_in_force_everywhere_in_time():
    """Guards against daemons that learn of a version too late."""
    fleet = await settled()
    for _ in range(20):
        fleet.publish()
        await asyncio.sleep(APPLY_SECONDS)
        assert fleet.oldest() == fleet.revision
        await asyncio.sleep(0.13)


@pytest.mark.looptime
async def test_next_daemon_reads_when_the_first_dies():
    """Guards against a data centre that loses its snapshot with one daemon."""
    fleet = await settled()
    await fleet.kill(HOSTS[0])
    await asyncio.sleep(1)
    for _ in range(5):
        fleet.publish()
        await asyncio.sleep(APPLY_SECONDS)
        assert fleet.oldest() == fleet.revision


@pytest.mark.looptime
@pytest.mark.parametrize('turned_away', [{0}, {1, 2}, {0, 1}])
async def test_daemons_that_the_source_turns_away_ask_others(turned_away):
    """Guards against refused keys at daemons that the source turns away."""
    fleet = await settled()
    fleet.turned_away = {HOSTS[number] for number in turned_away}
    for _ in range(50):
        await asyncio.sleep(0.1)
        assert fleet.greatest_age() < APPLY_SECONDS + 1
    fleet.publish()
    await asyncio.sleep(APPLY_SECONDS + 1)
    assert fleet.oldest() == fleet.revision


@pytest.mark.looptime
async def test_stale_snapshot_of_a_peer_is_not_taken():
    """Guards against a peer that is out of touch and keeps others there."""
    fleet = await settled()
    await fleet.readers[HOSTS[0]].stop()
    await asyncio.sleep(MAX_PASSED_AGE_SECONDS + 2 * ASK_PERIOD_SECONDS)
    assert fleet.stores[HOSTS[0]].age_seconds > MAX_PASSED_AGE_SECONDS
    others = (fleet.stores[host].age_seconds for host in HOSTS[1:])
    assert max(others) < APPLY_SECONDS


@pytest.mark.looptime
async def test_outage_of_the_source_ages_every_snapshot():
    """Guards against peers that confirm each other's old snapshots."""
    fleet = await settled()
    fleet.turned_away = set(HOSTS)
    await asyncio.sleep(10)
    assert min(one.age_seconds for one in fleet.stores.values()) > 9


@pytest.mark.looptime
async def test_slow_readings_do_not_multiply_the_readers():
    """Guards against daemons that read themselves because readings are slow.

    On a link of 10 Mbit/s a reading takes a part of a second. The snapshot
    of the first reader then grew older between two readings than the others
    accept, and most of them read as well.
    """
    fleet = Fleet()
    await fleet.start()
    await asyncio.sleep(5)
    fleet.read_seconds = 0.3
    await asyncio.sleep(5)
    fleet.reads = 0
    await asyncio.sleep(20)
    assert fleet.reads <= 1.5 * 20 / READ_PERIOD_SECONDS
    assert fleet.greatest_age() < APPLY_SECONDS
