"""A fleet of distribution processes in one event loop."""

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
# A cold start of the whole fleet takes 5 s, and one more backoff at most.
_JOINED_SECONDS = 11.0
_POLL_SECONDS = 0.01


class Process(NamedTuple):
    """One running daemon, reduced to its distribution."""

    member: Member
    table: MemberTable
    links: PeerLinks
    store: SnapshotStore
    distribution: Distribution
    pause: Pause


class Fleet:
    """Starts, kills and restarts processes at fixed positions."""

    def __init__(
        self,
        network: MemoryNetwork,
        source: MemorySource,
        random: Random,
        settings: DistributionSettings | None = None,
    ) -> None:
        """Begin without processes."""
        self.network = network
        self.source = source
        self.processes: dict[str, Process] = {}
        self.members: dict[str, Member] = {}
        self.wrap: Callable[[Transport], Transport] = _keep
        self.first_port = FIRST_PORT
        self._random = random
        self._settings = settings
        self._incarnation = int(WALL_START * 1000)

    def add(self, data_centre: str, count: int) -> list[str]:
        """Name positions of a data centre without starting processes."""
        added = []
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
            added.append(endpoint)
        return added

    async def start(
        self, endpoint: str, known: Iterable[Member] | None = None
    ) -> Process:
        """Start a new process; it knows all members unless others are given."""
        self._incarnation += 1000
        member = self.members[endpoint]._replace(incarnation=self._incarnation)
        self.members[endpoint] = member
        table = MemberTable()
        for other in self.members.values() if known is None else known:
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
        """Start a process at every position."""
        for endpoint in self.members:
            await self.start(endpoint)

    async def kill(self, endpoint: str) -> None:
        """End a process without a farewell."""
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
        """Return the data centre of a position's address."""
        number = address.port - self.first_port
        return tuple(self.members.values())[number].data_centre


class Scene(NamedTuple):
    """A fleet with its network, source and publisher."""

    network: MemoryNetwork
    source: MemorySource
    publisher: Publisher
    fleet: Fleet

    async def converge(self, version: int, seconds: float) -> bool:
        """Tell whether all processes reach the version in the time."""
        deadline = asyncio.get_running_loop().time() + seconds
        while set(self.fleet.versions().values()) != {version}:
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return True


def make_scene(
    seed: int,
    data_centres: int,
    members: int,
    quality: LinkQuality,
    settings: DistributionSettings | None = None,
) -> Scene:
    """Return a fleet that is not started; must run in the event loop."""
    random = Random(seed)
    network = MemoryNetwork(random, quality)
    source = MemorySource()
    fleet = Fleet(network, source, random, settings)
    for number in range(data_centres):
        fleet.add(f'dc{number}', members)
    return Scene(network, source, Publisher(source), fleet)


def run_scene(
    scenario: Callable[[Scene], Awaitable[None]],
    seed: int = 1,
    data_centres: int = 3,
    members: int = 6,
    quality: LinkQuality | None = None,
    settings: DistributionSettings | None = None,
) -> None:
    """Run a scenario on virtual time, with version 1 in force everywhere."""

    async def play() -> None:
        scene = make_scene(
            seed,
            data_centres,
            members,
            quality or LinkQuality(),
            settings,
        )
        scene.publisher.publish(make_objects(30, 4, data_centres))
        try:
            await scene.fleet.start_all()
            await asyncio.sleep(_JOINED_SECONDS)
            await scenario(scene)
        finally:
            await scene.fleet.stop()
            await asyncio.sleep(1)

    run_virtual(play())


def _keep(transport: Transport) -> Transport:
    return transport
