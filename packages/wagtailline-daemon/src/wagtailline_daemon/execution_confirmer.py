"""Confirms that this gate still decides on the keys that it owns.

A record of executions is only worth its name while no other process decides
on the same keys. That rests on two things: this process still holds its
endpoint, and no newer version has moved the keys to another endpoint.
"""

import asyncio
from contextlib import suppress

from wagtailline.distribution import Distribution, FleetReport
from wagtailline.executions import ExecutionRecords, Instant
from wagtailline.kernel import Kernel
from wagtailline.membership import MembershipService
from wagtailline.ports import Clock
from wagtailline_daemon.gate_service import GateService

PERIOD_SECONDS = 0.5
# Largest difference between the wall clocks of two vms: the age of a
# snapshot rests on the reader's clock.
CLOCK_ALLOWANCE_SECONDS = 2.0
# Up to this age the source's confirmation is used; above it the source is
# taken to be down and the other data centres are asked.
FRESH_SECONDS = 6.0
# A report asks a reader of each data centre, so it is made only by gates
# that have had keyed calls recently, and not more often than this.
REPORT_SECONDS = 3.0
RECENT_USE_SECONDS = 30.0


class ExecutionConfirmer:
    """Keeps the execution records confirmed while that is justified."""

    def __init__(self, kernel: Kernel, clock: Clock) -> None:
        """Look the other services up by name at the start."""
        self._kernel = kernel
        self._clock = clock
        self._reported = Instant(float('-inf'), float('-inf'))
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to confirm."""
        find = self._kernel.find
        self._records = find('executions', ExecutionRecords).unwrap()
        self._membership = find('membership', MembershipService).unwrap()
        self._distribution = find('distribution', Distribution).unwrap()
        self._service = find('gate_service', GateService).unwrap()
        self._task = asyncio.create_task(self._repeat())

    async def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task

    async def _repeat(self) -> None:
        while True:
            await self._confirm()
            await self._clock.sleep(PERIOD_SECONDS)

    async def _confirm(self) -> None:
        held = self._membership.confirmed_at
        current = await self._find_current()
        ready = self._membership.takes_part and self._distribution.is_ready
        if held is None or current is None or not ready:
            return
        # The wall clock of the earlier confirmation, for suspended vms.
        lag = max(current.monotonic - held, 0)
        self._records.confirm(
            Instant(current.monotonic - lag, current.wall - lag)
        )

    async def _find_current(self) -> Instant | None:
        """Return when the snapshot was last known to be the newest."""
        now = self._instant()
        age = self._distribution.age_seconds()
        if age is not None and age <= FRESH_SECONDS:
            lag = age + CLOCK_ALLOWANCE_SECONDS
            return Instant(now.monotonic - lag, now.wall - lag)
        last_use = self._service.last_keyed_call
        if now.monotonic - last_use > RECENT_USE_SECONDS:
            return None
        if now.monotonic - self._reported.monotonic < REPORT_SECONDS:
            return self._reported
        report = await self._distribution.report()
        if _is_newest(report, self._distribution.version.version):
            self._reported = now
            return now
        return None

    def _instant(self) -> Instant:
        return Instant(self._clock.monotonic(), self._clock.wall())


def _is_newest(report: FleetReport, version: int) -> bool:
    """Tell whether every data centre has answered and none holds more."""
    return not report.silent and report.newest <= version
