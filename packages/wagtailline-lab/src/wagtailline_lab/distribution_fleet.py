"""Simulated fleet of processes that distribute published versions.

All processes run in one event loop, over a simulated network and source.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import NamedTuple

from wagtailline.distribution import Distribution, DistributionSettings
from wagtailline.membership import Member, MemberTable
from wagtailline.peers import PeerLinks
from wagtailline.ports import Address, Transport
from wagtailline.snapshot import SnapshotStore
from wagtailline_lab.memory_source import MemorySource, Publisher
from wagtailline_lab.network import LinkQuality, MemoryNetwork
from wagtailline_lab.pausing import PausableClock, PausableTransport, Pause
from wagtailline_lab.sample_set import make_objects
from wagtailline_lab.virtual import run_virtual

# Wall time at the start of the virtual loop, in seconds.
WALL_START = 1_700_000_000.0
FIRST_PORT = 1000
# A cold start of the whole fleet takes 5 s plus at most one more backoff.
_STARTUP_SECONDS = 11.0
_POLL_SECONDS = 0.01


class Process(NamedTuple):
    """One running daemon with only the parts that distribution needs."""

    member: Member
    table: MemberTable
    links: PeerLinks
    store: SnapshotStore
    distribution: Distribution
    pause: Pause


class Fleet:
    """Fleet whose endpoints are fixed and whose processes may restart."""

    def __init__(
        self,
        network: MemoryNetwork,
        source: MemorySource,
        random: Random,
        settings: DistributionSettings | None = None,
    ) -> None:
        """Take the environment of the fleet, which has no endpoints yet."""
        self.network = network
        self.source = source
        self.processes: dict[str, Process] = {}
        self.members: dict[str, Member] = {}
        self.wrap: Callable[[Transport], Transport] = _return_unchanged
        self.first_port = FIRST_PORT
        self._random = random
        self._settings = settings
        self._incarnation = int(WALL_START * 1000)

    def add(self, data_centre: str, count: int) -> list[str]:
        """Add endpoints to a data centre and return their names.

        No process starts.
        """
        endpoints = []
        for _ in range(count):
            number = len(self.members)
            endpoint = f'endpoint{number}.{data_centre}'
            self.members[endpoint] = Member(
                endpoint,
                f'vm{number}',
                data_centre,
                Address('127.0.0.1', self.first_port + number),
                0,
            )
            endpoints.append(endpoint)
        return endpoints

    async def start(
        self, endpoint: str, known_members: Iterable[Member] | None = None
    ) -> Process:
        """Start a new process at an endpoint and return it.

        The process knows all members, or only those in ``known_members``.
        """
        self._incarnation += 1000
        member = self.members[endpoint]._replace(incarnation=self._incarnation)
        self.members[endpoint] = member
        table = MemberTable()
        for other in (
            self.members.values() if known_members is None else known_members
        ):
            table.update(other)
        table.update(member)
        pause = Pause()
        transport = self.wrap(self.network.transport(member.address))
        clock = PausableClock(pause, WALL_START)
        links = PeerLinks(
            member, table, PausableTransport(transport, pause), clock
        )
        store = SnapshotStore()
        distribution = Distribution(
            links,
            self.source.view(member.address),
            store,
            clock,
            Random(self._random.random()),
            self._settings,
        )
        process = Process(member, table, links, store, distribution, pause)
        self.processes[endpoint] = process
        await links.start()
        await distribution.start()
        return process

    async def start_all(self) -> None:
        """Start a process at every endpoint."""
        for endpoint in self.members:
            await self.start(endpoint)

    async def kill(self, endpoint: str) -> None:
        """End a process without notice to its peers."""
        process = self.processes.pop(endpoint, None)
        if process is not None:
            self.network.stop_process(process.member.address)
            process.pause.end()
            await process.distribution.stop()
            await process.links.stop()

    async def stop(self) -> None:
        """End every process."""
        for endpoint in tuple(self.processes):
            await self.kill(endpoint)

    def versions(self) -> dict[str, int]:
        """Return the version in force at each running process."""
        return {
            endpoint: process.store.version
            for endpoint, process in self.processes.items()
        }

    def data_centre_of(self, address: Address) -> str:
        """Return the data centre of the endpoint at an address."""
        number = address.port - self.first_port
        return tuple(self.members.values())[number].data_centre


class Simulation(NamedTuple):
    """A fleet with its network, source and publisher."""

    network: MemoryNetwork
    source: MemorySource
    publisher: Publisher
    fleet: Fleet

    async def converge(self, version: int, seconds: float) -> bool:
        """Return whether all processes reach the version within a time."""
        deadline = asyncio.get_running_loop().time() + seconds
        while set(self.fleet.versions().values()) != {version}:
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return True


def make_simulation(
    seed: int,
    data_centres: int,
    members: int,
    quality: LinkQuality,
    settings: DistributionSettings | None = None,
) -> Simulation:
    """Return a simulation whose processes have not started.

    ``members`` is the number of endpoints in each data centre. Must be called
    in a running event loop.
    """
    random = Random(seed)
    network = MemoryNetwork(random, quality)
    source = MemorySource()
    fleet = Fleet(network, source, random, settings)
    for number in range(data_centres):
        fleet.add(f'dc{number}', members)
    return Simulation(network, source, Publisher(source), fleet)


def run_simulation(
    scenario: Callable[[Simulation], Awaitable[None]],
    seed: int = 1,
    data_centres: int = 3,
    members: int = 6,
    quality: LinkQuality | None = None,
    settings: DistributionSettings | None = None,
) -> None:
    """Run a scenario on virtual time once version 1 is in force everywhere."""

    async def run() -> None:
        simulation = make_simulation(
            seed,
            data_centres,
            members,
            quality or LinkQuality(),
            settings,
        )
        simulation.publisher.publish(make_objects(30, 4, data_centres))
        try:
            await simulation.fleet.start_all()
            await asyncio.sleep(_STARTUP_SECONDS)
            await scenario(simulation)
        finally:
            await simulation.fleet.stop()
            await asyncio.sleep(1)

    run_virtual(run())


def _return_unchanged(transport: Transport) -> Transport:
    return transport
