"""Fleets that get snapshots by the mechanisms that the benchmark compares."""

import asyncio
from random import Random
from typing import Protocol

from wagtailline_lab.bench._baselines import DirectReader
from wagtailline_lab.distribution_fleet import Simulation, make_simulation
from wagtailline_lab.network import LinkQuality

DATA_CENTRES = 11
SEED = 1


class Mechanism(Protocol):
    """Fleet whose daemons get snapshots by one mechanism."""

    simulation: Simulation

    async def start(self) -> None:
        """Start every daemon."""

    async def stop(self) -> None:
        """Stop every daemon."""

    def versions(self, data_centre: str | None = None) -> list[int]:
        """Return the version in force at each daemon, or in one data centre."""

    async def restart_half(self) -> None:
        """Stop every second daemon, then start these again at the same time."""


def _make_simulation(size: int) -> Simulation:
    simulation = make_simulation(SEED, 0, 0, LinkQuality())
    for number in range(DATA_CENTRES):
        share, remainder = divmod(size, DATA_CENTRES)
        simulation.fleet.add(f'dc{number}', share + (number < remainder))
    return simulation


class TreeDistribution:
    """Fleet under test, which distributes snapshots from peer to peer."""

    def __init__(self, size: int) -> None:
        """Create a fleet of this size without starting its daemons."""
        self.simulation = _make_simulation(size)

    async def start(self) -> None:
        """Start every daemon."""
        await self.simulation.fleet.start_all()

    async def stop(self) -> None:
        """Stop every daemon."""
        await self.simulation.fleet.stop()
        await asyncio.sleep(1)

    def versions(self, data_centre: str | None = None) -> list[int]:
        """Return the version in force at each daemon, or in one data centre."""
        return [
            process.store.version
            for process in self.simulation.fleet.processes.values()
            if data_centre in {None, process.member.data_centre}
        ]

    async def restart_half(self) -> None:
        """Stop every second daemon, then start these again at the same time."""
        restarted = tuple(self.simulation.fleet.members)[::2]
        for endpoint in restarted:
            await self.simulation.fleet.kill(endpoint)
        for endpoint in restarted:
            await self.simulation.fleet.start(endpoint)


class SourceWatching:
    """Baseline in which every daemon watches the source itself."""

    polls = False

    def __init__(self, size: int) -> None:
        """Create a fleet of this size without starting its daemons."""
        self.simulation = _make_simulation(size)
        self._random = Random(SEED)
        self._readers: dict[str, DirectReader] = {}

    async def start(self) -> None:
        """Start every daemon."""
        for endpoint in self.simulation.fleet.members:
            self._start_reader(endpoint)

    async def stop(self) -> None:
        """Stop every daemon."""
        for reader in self._readers.values():
            reader.stop()
        await asyncio.sleep(1)

    def versions(self, data_centre: str | None = None) -> list[int]:
        """Return the version in force at each daemon, or in one data centre."""
        return [
            reader.store.version
            for endpoint, reader in self._readers.items()
            if data_centre is None or endpoint.endswith(f'.{data_centre}')
        ]

    async def restart_half(self) -> None:
        """Stop every second daemon, then start these again at the same time."""
        for endpoint in tuple(self._readers)[::2]:
            self._readers[endpoint].stop()
            self._start_reader(endpoint)

    def _start_reader(self, endpoint: str) -> None:
        source = self.simulation.source.view(
            self.simulation.fleet.members[endpoint].address
        )
        reader = DirectReader(
            source, Random(self._random.random()), polls=self.polls
        )
        self._readers[endpoint] = reader
        reader.start()


class SourcePolling(SourceWatching):
    """Baseline in which every daemon polls the source."""

    polls = True
