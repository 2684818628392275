"""Reads the source again and again and keeps the picture current."""

import asyncio
import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from wagtailline.ports import SourceUnavailable
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.picture import PictureKeeper, Reading

READ_PERIOD_SECONDS = 1.2
READ_TIMEOUT_SECONDS = 0.7
# Readers that failed together must not come back together.
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.6


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


class SourceReader:
    """Service that reads the source once a period."""

    def __init__(
        self,
        source: Source,
        keeper: PictureKeeper,
        clock: BootClock,
        random: Random,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Read nothing before the start."""
        self._source = source
        self._keeper = keeper
        self._clock = clock
        self._random = random
        self._observe = observe
        self._task: asyncio.Task[None] | None = None
        self.failures = 0

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
            pause = await self._read()
            passed = self._clock.monotonic() - started
            await asyncio.sleep(max(pause - passed, 0))

    async def _read(self) -> float:
        """Read once and return the period until the next reading."""
        asked_at = self._clock.boot()
        match await self._source.read(READ_TIMEOUT_SECONDS):
            case Ok(reading):
                if self.failures:
                    self._observe(
                        SourceRegained(self.failures, reading.revision)
                    )
                self.failures = 0
                self._keeper.apply(reading, asked_at)
                return READ_PERIOD_SECONDS
            case Err(failure):
                return self._note_failure(failure)

    def _note_failure(self, failure: SourceUnavailable) -> float:
        if not self.failures:
            age = round(self._keeper.age_seconds, 3)
            self._observe(SourceLost(failure.reason, age))
        self.failures += 1
        doubled = math.ldexp(RETRY_SECONDS, min(self.failures - 1, 4))
        pause = min(doubled, MAX_RETRY_SECONDS)
        return pause * (1 + self._random.random())
