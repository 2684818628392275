"""Simulated fleet of daemons that share rate limits on virtual time.

The fleet records every admitted call. An oracle computes from the limits in
force whether too many calls were admitted in any time window.
"""

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
    """Mechanism that admits or refuses calls in one daemon."""

    async def start(self) -> None:
        """Start the mechanism."""

    async def stop(self) -> None:
        """Stop the mechanism."""

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Admit one call, or return why it is refused."""


class ProcessClock:
    """Clock of one process that can be paused."""

    def __init__(self, wall_start: float) -> None:
        """Set the wall time in seconds at time zero of the event loop."""
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.wall_start = wall_start
        self._frozen_at: float | None = None
        self._paused_seconds: float = 0

    def monotonic(self) -> float:
        """Return the monotonic time in seconds as this process sees it."""
        if self._frozen_at is not None:
            return self._frozen_at
        return _loop_time() - self._paused_seconds

    def wall(self) -> float:
        """Return the wall time, which continues while the process is paused."""
        return _loop_time() + self.wall_start

    async def sleep(self, seconds: float) -> None:
        """Sleep for the given seconds and until any pause has ended."""
        await asyncio.sleep(seconds)
        await self.resumed.wait()

    def pause(self, frozen: bool) -> None:
        """Pause the process; a frozen clock does not count the pause."""
        self.resumed.clear()
        if frozen:
            self._frozen_at = self.monotonic()

    def resume(self) -> None:
        """Resume the process."""
        if self._frozen_at is not None:
            self._paused_seconds = _loop_time() - self._frozen_at
            self._frozen_at = None
        self.resumed.set()


class Daemon(NamedTuple):
    """One simulated daemon process with its components."""

    process: Process
    store: SnapshotStore
    peers: MemoryPeers
    clock: ProcessClock
    admission: Admission


class AdmissionFactory(Protocol):
    """Creates the mechanism under test for one process."""

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
    """Simulated daemons, their network and the calls that they admitted."""

    def __init__(
        self,
        seed: int,
        settings: AllowanceSettings = DEFAULT_SETTINGS,
        factory: AdmissionFactory = Allowance,
        near: LinkQuality = NEAR,
        far: LinkQuality = FAR,
        codec: Codec | None = None,
    ) -> None:
        """Set up a fleet without daemons and without a published version."""
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
        """Return a new version, which is not in force in any process yet."""
        mapping = {object_id(published): published for published in objects}
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
        """Start a process without stored state at an endpoint."""
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
        """End a process without notice to its peers."""
        self.network.leave(process)
        await self.daemons.pop(process).admission.stop()
        self._observe()

    async def stop(self) -> None:
        """End all processes."""
        for process in tuple(self.daemons):
            await self.kill(process)

    def pause(self, process: Process, frozen: bool = False) -> None:
        """Pause a process; a frozen clock does not count the pause."""
        self.daemons[process].peers.running.clear()
        self.daemons[process].clock.pause(frozen)

    def resume(self, process: Process) -> None:
        """Resume a paused process."""
        self.daemons[process].clock.resume()
        self.daemons[process].peers.resume()

    def is_running(self, process: Process) -> bool:
        """Return whether a process exists and is not paused."""
        daemon = self.daemons.get(process)
        return daemon is not None and daemon.clock.resumed.is_set()

    async def call(
        self, process: Process, limit: str, timeout_seconds: float = 0.05
    ) -> Result[None, AllowanceRefusal] | None:
        """Return the outcome of one call and record it if admitted.

        The outcome is None if the process is not running.
        """
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
        """Make one call in a background task."""
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


class _LargestLimit(NamedTuple):
    start: float
    rate: float
    burst: int


class Oracle:
    """History of the largest limits in force in any process."""

    def __init__(self) -> None:
        """Set up an empty history."""
        self._histories: dict[str, list[_LargestLimit]] = defaultdict(list)

    def observe(self, now: float, snapshots: Sequence[Snapshot]) -> None:
        """Record the limits of the versions in force from ``now`` on."""
        limits: dict[str, list[Limit]] = defaultdict(list)
        for snapshot in set(snapshots):
            for published in snapshot.objects.values():
                if isinstance(published, Limit):
                    limits[published.name].append(published)
        for name in sorted(set(limits) | set(self._histories)):
            largest = _LargestLimit(
                now,
                max((limit.rate for limit in limits[name]), default=0),
                max((limit.burst for limit in limits[name]), default=0),
            )
            history = self._histories[name]
            if not history or history[-1][1:] != largest[1:]:
                history.append(largest)

    def excess(self, name: str, admitted: Sequence[float]) -> Fraction:
        """Return the largest number of calls above the limit in any window.

        The level of a token bucket that starts full and has the capacity of
        the burst in force is below zero exactly when some window holds more
        calls than the burst plus the rate times the length of the window.
        Fractions avoid rounding errors.
        """
        changes = self._histories[name]
        level = Fraction(changes[0].burst if changes else 0)
        updated_at = Fraction(changes[0].start if changes else 0)
        worst = Fraction(0)
        index = 0
        for call_time in sorted(admitted):
            while (
                index + 1 < len(changes)
                and changes[index + 1].start <= call_time
            ):
                level = _refill(
                    level, changes[index], updated_at, changes[index + 1][0]
                )
                index += 1
                updated_at = Fraction(changes[index].start)
                level = min(level, Fraction(changes[index].burst))
            if changes:
                level = _refill(level, changes[index], updated_at, call_time)
            updated_at = Fraction(call_time)
            level -= 1
            worst = max(worst, -level)
        return worst


def _refill(
    level: Fraction, limit: _LargestLimit, start: Fraction, end: float
) -> Fraction:
    generated = Fraction(limit.rate) * (Fraction(end) - start)
    return min(Fraction(limit.burst), level + generated)


def make_objects(
    sizes: Sequence[int], limits: Iterable[Limit]
) -> list[PublishedObject]:
    """Return a set with a data centre of each size, one service and limits.

    The size of a data centre is its number of endpoints.
    """
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
