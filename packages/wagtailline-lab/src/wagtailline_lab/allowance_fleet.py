"""A fleet of allowance services on virtual time, and the oracle over it."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Sequence
from fractions import Fraction
from random import Random
from typing import Any, NamedTuple, Protocol

from result import Ok, Result

from wagtailline.allowance import (
    DEFAULT_SETTINGS,
    Allowance,
    AllowanceRefusal,
    AllowanceSettings,
    Identity,
    PeerRequests,
)
from wagtailline.codec import Codec
from wagtailline.objects import (
    DataCentre,
    Endpoint,
    Limit,
    PublishedObject,
    Service,
    object_id,
)
from wagtailline.ports import Clock
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_lab.allowance_peers import MemoryPeers, PeerNetwork, Process
from wagtailline_lab.network import LinkQuality

NEAR = LinkQuality(0.0002, 0.0006)
FAR = LinkQuality(0.0005, 0.0008)


class Admission(Protocol):
    """A mechanism that admits calls in one daemon."""

    async def start(self) -> None:
        """Begin."""

    async def stop(self) -> None:
        """End."""

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Admit or refuse one call."""


class ProcessClock:
    """Clock of one process, which stops while the process is paused."""

    def __init__(self, wall_start: float) -> None:
        """Begin with a wall time that is ahead of the loop's time."""
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.wall_start = wall_start
        self._frozen_at: float | None = None
        self._lost: float = 0

    def monotonic(self) -> float:
        """Return the time that this process has counted."""
        if self._frozen_at is not None:
            return self._frozen_at
        return _loop_time() - self._lost

    def wall(self) -> float:
        """Return the true time, however long the process was paused."""
        return _loop_time() + self.wall_start

    async def sleep(self, seconds: float) -> None:
        """Suspend the caller, until the resumption at least."""
        await asyncio.sleep(seconds)
        await self.resumed.wait()

    def pause(self, frozen: bool) -> None:
        """Stop the process; a frozen clock will not count the pause."""
        self.resumed.clear()
        if frozen:
            self._frozen_at = self.monotonic()

    def resume(self) -> None:
        """Let the process run on."""
        if self._frozen_at is not None:
            self._lost = _loop_time() - self._frozen_at
            self._frozen_at = None
        self.resumed.set()


class Daemon(NamedTuple):
    """One process with its parts."""

    process: Process
    store: SnapshotStore
    peers: MemoryPeers
    clock: ProcessClock
    admission: Admission


class AdmissionFactory(Protocol):
    """Makes the mechanism under test for one process."""

    def __call__(
        self,
        identity: Identity,
        snapshots: SnapshotStore,
        peers: PeerRequests,
        clock: Clock,
        random: Random,
        settings: AllowanceSettings,
    ) -> Admission: ...


class Fleet:
    """Starts, stops, pauses and configures daemons; records admissions."""

    def __init__(
        self,
        seed: int,
        settings: AllowanceSettings = DEFAULT_SETTINGS,
        factory: AdmissionFactory = Allowance,
        near: LinkQuality = NEAR,
        far: LinkQuality = FAR,
        codec: Codec | None = None,
    ) -> None:
        """Begin without daemons and with an empty version."""
        self.random = Random(seed)
        self.network = PeerNetwork(self.random, near, far, codec)
        self.daemons: dict[Process, Daemon] = {}
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.oracle = Oracle()
        self._settings = settings
        self._factory = factory
        self._snapshots: list[Snapshot] = []
        self._incarnations = 0
        self._calls: set[asyncio.Task[Any]] = set()

    @property
    def latest(self) -> Snapshot:
        """Return the version published last."""
        return self._snapshots[-1]

    def publish(self, objects: Iterable[PublishedObject]) -> Snapshot:
        """Make a new version, in force nowhere yet."""
        mapping = {object_id(one): one for one in objects}
        version = len(self._snapshots) + 1
        snapshot = Snapshot(version, str(version).encode(), mapping)
        self._snapshots.append(snapshot)
        return snapshot

    def install(self, processes: Iterable[Process]) -> None:
        """Put the latest version in force in the given processes."""
        for process in processes:
            self.daemons[process].store.install(self.latest)
        self._observe()

    async def start(self, endpoint: Endpoint) -> Process:
        """Start a process with empty memory on an endpoint."""
        self._incarnations += 1
        process = Process(
            endpoint.name, endpoint.data_centre, self._incarnations
        )
        store = SnapshotStore()
        store.install(self.latest)
        peers = self.network.join(process)
        clock = ProcessClock(1e6)
        admission = self._factory(
            Identity(*process[:2], f'vm{self._incarnations}', process[2]),
            store,
            peers,
            clock,
            Random(self.random.random()),
            self._settings,
        )
        self.daemons[process] = Daemon(process, store, peers, clock, admission)
        self._observe()
        await admission.start()
        return process

    async def kill(self, process: Process) -> None:
        """End a process without letting it say a word."""
        self.network.leave(process)
        await self.daemons.pop(process).admission.stop()
        self._observe()

    async def stop(self) -> None:
        """End all processes."""
        for process in tuple(self.daemons):
            await self.kill(process)

    def pause(self, process: Process, frozen: bool = False) -> None:
        """Stop a process without ending it."""
        self.daemons[process].peers.running.clear()
        self.daemons[process].clock.pause(frozen)

    def resume(self, process: Process) -> None:
        """Let a paused process run on."""
        self.daemons[process].clock.resume()
        self.daemons[process].peers.resume()

    def is_running(self, process: Process) -> bool:
        """Tell whether a process is alive and not paused."""
        daemon = self.daemons.get(process)
        return daemon is not None and daemon.clock.resumed.is_set()

    async def call(
        self, process: Process, limit: str, timeout_seconds: float = 0.05
    ) -> Result[None, AllowanceRefusal] | None:
        """Acquire in a process and record an admission."""
        if not self.is_running(process):
            return None
        daemon = self.daemons[process]
        outcome = await daemon.admission.acquire(limit, timeout_seconds)
        if isinstance(outcome, Ok) and process in self.daemons:
            await daemon.clock.resumed.wait()
            self.admitted[limit].append(_loop_time())
        return outcome

    def spawn(
        self, process: Process, limit: str, timeout_seconds: float = 0
    ) -> None:
        """Acquire in the background."""
        task = asyncio.ensure_future(self.call(process, limit, timeout_seconds))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _observe(self) -> None:
        self.oracle.observe(
            _loop_time(),
            [
                daemon.store.current
                for daemon in self.daemons.values()
                if daemon.store.current is not None
            ],
        )


class _InForce(NamedTuple):
    start: float
    rate: float
    burst: int


class Oracle:
    """The largest limits in force anywhere, at every time."""

    def __init__(self) -> None:
        """Begin without any limit in force."""
        self._in_force: dict[str, list[_InForce]] = defaultdict(list)

    def observe(self, now: float, snapshots: Sequence[Snapshot]) -> None:
        """Record the limits in force from now on."""
        limits: dict[str, list[Limit]] = defaultdict(list)
        for snapshot in set(snapshots):
            for published in snapshot.objects.values():
                if isinstance(published, Limit):
                    limits[published.name].append(published)
        for name in sorted(set(limits) | set(self._in_force)):
            largest = _InForce(
                now,
                max((one.rate for one in limits[name]), default=0),
                max((one.burst for one in limits[name]), default=0),
            )
            known = self._in_force[name]
            if not known or known[-1][1:] != largest[1:]:
                known.append(largest)

    def excess(self, name: str, admitted: Sequence[float]) -> Fraction:
        """Return by how many calls the worst window exceeds the limit.

        A bucket that begins full and holds the burst in force has a level
        below zero exactly when some window holds more calls than burst plus
        rate times its length. Fractions make the sum exact.
        """
        changes = self._in_force[name]
        level = Fraction(changes[0].burst if changes else 0)
        at = Fraction(changes[0].start if changes else 0)
        worst = Fraction(0)
        index = 0
        for call in sorted(admitted):
            while index + 1 < len(changes) and changes[index + 1].start <= call:
                level = _fill(level, changes[index], at, changes[index + 1][0])
                index += 1
                at = Fraction(changes[index].start)
                level = min(level, Fraction(changes[index].burst))
            if changes:
                level = _fill(level, changes[index], at, call)
            at = Fraction(call)
            level -= 1
            worst = max(worst, -level)
        return worst


def _fill(
    level: Fraction, limit: _InForce, start: Fraction, end: float
) -> Fraction:
    generated = Fraction(limit.rate) * (Fraction(end) - start)
    return min(Fraction(limit.burst), level + generated)


def make_objects(
    sizes: Sequence[int], limits: Iterable[Limit]
) -> list[PublishedObject]:
    """Return data centres of the given sizes with one service."""
    objects: list[PublishedObject] = [Service('archive'), *limits]
    for index, size in enumerate(sizes):
        name = f'dc{index}'
        objects.append(DataCentre(name, 'region'))
        objects.extend(
            Endpoint(f'{name}-{number}', 'archive', name, 6, 120)
            for number in range(size)
        )
    return objects


def endpoints_of(snapshot: Snapshot) -> list[Endpoint]:
    """Return all endpoints of a version."""
    return [
        published
        for published in snapshot.objects.values()
        if isinstance(published, Endpoint)
    ]


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
