"""Keeps the snapshot current, from the source or from a peer that read it."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from wagtailline.placement import rank
from wagtailline.ports import SourceUnavailable
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.snapshot import Reading, SnapshotStore
from wagtailline_sidecar.snapshot_exchange import Asked

# The reader of a data centre reads once in this time, the others ask it.
READ_PERIOD_SECONDS = 1.0
# Slow readings follow each other faster, but never without a pause.
MIN_READ_PERIOD_SECONDS = 0.75
ASK_PERIOD_SECONDS = 0.45
READ_TIMEOUT_SECONDS = 0.7
# A snapshot of a peer that is older is of no use.
MAX_PASSED_AGE_SECONDS = 1.2
# A peer without a useful answer is not asked for this time.
SILENCE_SECONDS = 3.0
# Readers that failed together must not come back together.
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6
_MAX_DOUBLINGS = 4

Ask = Callable[[str], Awaitable[Asked | None]]


class Source(Protocol):
    """Read-only service that holds what operators and endpoints publish."""

    async def read(
        self, timeout_seconds: float
    ) -> Result[Reading, SourceUnavailable]:
        """Return everything that is published, read after the call."""


class SourceLost(NamedTuple):
    """Event: the source gives no answer."""

    reason: str
    picture_age_seconds: float


class SourceRegained(NamedTuple):
    """Event: the source answers again."""

    failures: int
    revision: int


class ReaderChanged(NamedTuple):
    """Event: this daemon takes its snapshot from somewhere else."""

    reader: str
    reason: str
    picture_age_seconds: float


class Place(NamedTuple):
    """Where this daemon is."""

    host: str
    data_centre: str


class SourceReader:
    """Service that keeps the snapshot current.

    The daemons of a data centre agree on the order in which they read by
    hashing. One whose predecessors are silent or out of touch reads itself.
    """

    def __init__(
        self,
        source: Source,
        snapshots: SnapshotStore,
        ask: Ask,
        place: Place,
        clock: BootClock,
        random: Random,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Read nothing before the start."""
        self._source = source
        self._snapshots = snapshots
        self._ask = ask
        self._place = place
        self._clock = clock
        self._random = random
        self._observe = observe
        self._task: asyncio.Task[None] | None = None
        self._silent_until: dict[str, float] = {}
        self._reader = ''
        self._failures = 0

    async def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Read no more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            started = self._clock.monotonic()
            period = await self._refresh()
            passed = self._clock.monotonic() - started
            await asyncio.sleep(max(period - passed, 0))

    async def _refresh(self) -> float:
        """Renew the snapshot and return the period until the next time."""
        for host in self._order():
            if host == self._place.host:
                self._note_reader(host, 'first in touch')
                return await self._read()
            if await self._take_over(host):
                self._note_reader(host, 'answers')
                return ASK_PERIOD_SECONDS
            self._silent_until[host] = self._clock.monotonic() + SILENCE_SECONDS
        self._note_reader(self._place.host, 'not registered')
        return await self._read()

    def _order(self) -> list[str]:
        """Return the daemons of this data centre that may be asked."""
        snapshot = self._snapshots.current
        if snapshot is None:
            return []
        hosts = {
            endpoint.address.host
            for endpoint in snapshot.endpoints
            if endpoint.data_centre == self._place.data_centre
        }
        now = self._clock.monotonic()
        return [
            host
            for host in rank(self._place.data_centre, hosts)
            if self._silent_until.get(host, now) <= now
        ]

    async def _take_over(self, host: str) -> bool:
        asked = await self._ask(host)
        if asked is None:
            return False
        if self._clock.boot() - asked.current_at > MAX_PASSED_AGE_SECONDS:
            return False
        self._snapshots.apply(asked.reading, asked.current_at)
        return True

    async def _read(self) -> float:
        asked_at = self._clock.boot()
        match await self._source.read(READ_TIMEOUT_SECONDS):
            case Ok(reading):
                if self._failures:
                    self._observe(
                        SourceRegained(self._failures, reading.revision)
                    )
                self._failures = 0
                self._snapshots.apply(reading, asked_at)
                # A snapshot is as old as the beginning of its reading, so
                # that the time of the next one has to be taken off.
                took = self._clock.boot() - asked_at
                return max(READ_PERIOD_SECONDS - took, MIN_READ_PERIOD_SECONDS)
            case Err(failure):
                return await self._do_without(failure)

    async def _do_without(self, failure: SourceUnavailable) -> float:
        """Ask any peer of the data centre, as the source may refuse us."""
        if not self._failures:
            age = round(self._snapshots.age_seconds, 3)
            self._observe(SourceLost(failure.reason, age))
        self._failures += 1
        for host in self._order():
            if host != self._place.host and await self._take_over(host):
                self._note_reader(host, failure.reason)
                return ASK_PERIOD_SECONDS
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        pause = min(math.ldexp(RETRY_SECONDS, doublings), MAX_RETRY_SECONDS)
        return pause * (1 + self._random.random())

    def _note_reader(self, reader: str, reason: str) -> None:
        if reader != self._reader:
            self._reader = reader
            age = round(self._snapshots.age_seconds, 3)
            self._observe(ReaderChanged(reader, reason, age))
