"""Simulated clock and source of vm lists for a membership fleet."""

import asyncio
import json

from result import Err, Ok, Result

from wagtailline.membership import Member
from wagtailline.ports import (
    LoopClock,
    SourceFailure,
    SourceKeyMissing,
    SourceReading,
    SourceUnavailable,
)

WALL_OFFSET_SECONDS = 1_800_000_000.0


class PausableClock(LoopClock):
    """Clock of a process that can be paused; time runs on meanwhile."""

    def __init__(self) -> None:
        """Start unpaused, with wall time at a fixed offset."""
        super().__init__(WALL_OFFSET_SECONDS)
        self.running = asyncio.Event()
        self.running.set()

    async def sleep(self, seconds: float) -> None:
        """Sleep, and then wait until the process is not paused."""
        await super().sleep(seconds)
        await self.running.wait()


class ListSource:
    """Simulated source of the platform's lists of vms."""

    def __init__(self) -> None:
        """Start available and without lists."""
        self.written: dict[str, bytes] = {}
        self.available = True
        self.reads = 0

    async def read(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the latest list under a key."""
        self.reads += 1
        if not self.available:
            return Err(SourceUnavailable('stopped'))
        if key not in self.written:
            return Err(SourceKeyMissing(key))
        return Ok(SourceReading(1, self.written[key]))

    async def watch(
        self, key: str, after: int, wait_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        """Return no change; the membership service polls its lists."""
        await asyncio.sleep(wait_seconds)
        return Ok(None)

    def write(self, data_centre: str, members: list[Member]) -> None:
        """Replace the list of a data centre."""
        self.written[f'vms/{data_centre}'] = json.dumps(
            [
                {
                    'vm': member.vm,
                    'endpoint': member.endpoint,
                    'data_centre': member.data_centre,
                    'host': member.address.host,
                    'port': member.address.port,
                    'incarnation': member.incarnation,
                    'leaving': member.leaving,
                }
                for member in members
            ]
        ).encode()
