"""Clock and source of the processes of a fleet."""

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
    """Clock of a process that can be stopped; time runs on meanwhile."""

    def __init__(self) -> None:
        """Begin to run, with wall time at a fixed offset."""
        super().__init__(WALL_OFFSET_SECONDS)
        self.running = asyncio.Event()
        self.running.set()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task, at least until the process runs."""
        await super().sleep(seconds)
        await self.running.wait()


class ListSource:
    """Source of the platform's lists of vms, which a test writes."""

    def __init__(self) -> None:
        """Begin available, without lists."""
        self.written: dict[str, bytes] = {}
        self.available = True
        self.reads = 0

    async def read(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the list as it was last written."""
        self.reads += 1
        if not self.available:
            return Err(SourceUnavailable('stopped'))
        if key not in self.written:
            return Err(SourceKeyMissing(key))
        return Ok(SourceReading(1, self.written[key]))

    async def watch(
        self, key: str, after: int, wait_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        """Wait in vain; the service reads at intervals."""
        await asyncio.sleep(wait_seconds)
        return Ok(None)

    def write(self, data_centre: str, members: list[Member]) -> None:
        """Replace a list by these members."""
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
