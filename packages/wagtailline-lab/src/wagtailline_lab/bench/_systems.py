"""The mechanisms that the distribution benchmark compares."""

import asyncio
from random import Random
from typing import Protocol

from wagtailline_lab.bench._baselines import DirectReader
from wagtailline_lab.distribution_fleet import Simulation, make_simulation
from wagtailline_lab.network import LinkQuality

DATA_CENTRES = 11
SEED = 1


class System(Protocol):
    """A fleet under one mechanism."""

    simulation: Simulation

    async def start(self) -> None:
        """Start every daemon."""

    async def stop(self) -> None:
        """End every daemon."""

    def versions(self, data_centre: str | None = None) -> list[int]:
        """Return the versions in force, of one data centre if given."""

    async def restart_half(self) -> None:
        """End every second daemon, then start them all at once."""


def _make_simulation(size: int) -> Simulation:
    simulation = make_simulation(SEED, 0, 0, LinkQuality())
    for number in range(DATA_CENTRES):
        share, rest = divmod(size, DATA_CENTRES)
        simulation.fleet.add(f'dc{number}', share + (number < rest))
    return simulation


class TreeSystem:
    """The distribution under test."""

    def __init__(self, size: int) -> None:
        """Name the positions."""
        self.simulation = _make_simulation(size)

    async def start(self) -> None:
        """Start every daemon."""
        await self.simulation.fleet.start_all()

    async def stop(self) -> None:
        """End every daemon."""
        await self.simulation.fleet.stop()
        await asyncio.sleep(1)

    def versions(self, data_centre: str | None = None) -> list[int]:
        """Return the versions in force, of one data centre if given."""
        return [
            process.store.version
            for process in self.simulation.fleet.processes.values()
            if data_centre in {None, process.member.data_centre}
        ]

    async def restart_half(self) -> None:
        """End every second daemon, then start them all at once."""
        chosen = tuple(self.simulation.fleet.members)[::2]
        for endpoint in chosen:
            await self.simulation.fleet.kill(endpoint)
        for endpoint in chosen:
            await self.simulation.fleet.start(endpoint)


class DirectSystem:
    """Every daemon reads the source itself."""

    polls = False

    def __init__(self, size: int) -> None:
        """Name the positions."""
        self.simulation = _make_simulation(size)
        self._random = Random(SEED)
        self._readers: dict[str, DirectReader] = {}

    async def start(self) -> None:
        """Start every daemon."""
        for endpoint in self.simulation.fleet.members:
            self._start(endpoint)

    async def stop(self) -> None:
        """End every daemon."""
        for reader in self._readers.values():
            reader.stop()
        await asyncio.sleep(1)

    def versions(self, data_centre: str | None = None) -> list[int]:
        """Return the versions in force, of one data centre if given."""
        return [
            reader.store.version
            for endpoint, reader in self._readers.items()
            if data_centre is None or endpoint.endswith(f'.{data_centre}')
        ]

    async def restart_half(self) -> None:
        """End every second daemon, then start them all at once."""
        for endpoint in tuple(self._readers)[::2]:
            self._readers[endpoint].stop()
            self._start(endpoint)

    def _start(self, endpoint: str) -> None:
        source = self.simulation.source.view(
            self.simulation.fleet.members[endpoint].address
        )
        reader = DirectReader(
            source, Random(self._random.random()), polls=self.polls
        )
        self._readers[endpoint] = reader
        reader.start()


class PollSystem(DirectSystem):
    """Every daemon polls the source."""

    polls = True
