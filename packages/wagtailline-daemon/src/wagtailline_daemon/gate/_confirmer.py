"""Confirms that this gate still decides on the keys that it owns.

A record of executions is only worth its name while no other process decides
on the same keys. That rests on two things: this process still holds its
endpoint, and no newer version has moved the keys to another endpoint.

The source alone can't tell the second: it may be stale. So both sides ask
the data centres. A former owner goes on only while a majority of them has
told that it knows no newer version; a new owner begins only when a majority
has told that it holds the version that made it one. Two majorities share a
data centre, and a data centre's version never falls, so the former owner's
last confirmation comes before the new owner's beginning.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from wagtailline.distribution import Distribution, FleetReport
from wagtailline.executions import ExecutionRecords, Instant, Ownership
from wagtailline.kernel import Kernel
from wagtailline.membership import MembershipService
from wagtailline.ports import Clock
from wagtailline_daemon._background import BackgroundTask
from wagtailline_daemon.gate._service import GateService

PERIOD_SECONDS = 0.5
# A report asks a reader of each data centre, so it is made only by gates
# that have had keyed calls recently, and not more often than this. Two
# reports may fail before the 10 s of a confirmation have passed.
REPORT_SECONDS = 3.0
RECENT_USE_SECONDS = 30.0
# Without keyed calls, gained keys can wait; a majority may be out of reach.
PENDING_SECONDS = 10.0


class Judgement(NamedTuple):
    """What a report allows: to go on, and to begin with gained keys."""

    is_newest: bool
    is_held: bool


def judge_report(
    report: FleetReport, version: int, data_centres: int
) -> Judgement:
    """Compare the data centres that answered with the version in force.

    ``data_centres`` is the number of published ones.
    """
    versions = [centre.version for centre in report.data_centres]
    majority = data_centres // 2 + 1
    is_newest = len(versions) >= majority and max(versions) <= version
    holders = sum(held >= version for held in versions)
    return Judgement(is_newest, holders >= majority)


class ExecutionConfirmer:
    """Keeps the execution records confirmed while that is justified."""

    def __init__(
        self,
        kernel: Kernel,
        clock: Clock,
        random: Random,
        data_centres: Callable[[], tuple[str, ...]],
    ) -> None:
        """Look the other services up by name at the start."""
        self._kernel = kernel
        self._clock = clock
        self._random = random
        self._data_centres = data_centres
        self._asked = float('-inf')
        self._task = BackgroundTask(self._repeat)

    async def start(self) -> None:
        """Begin to confirm."""
        find = self._kernel.find
        self._records = find('executions', ExecutionRecords).unwrap()
        self._ownership = find('ownership', Ownership).unwrap()
        self._membership = find('membership', MembershipService).unwrap()
        self._distribution = find('distribution', Distribution).unwrap()
        self._service = find('gate_service', GateService).unwrap()
        self._task.start()

    async def stop(self) -> None:
        """End the task."""
        await self._task.stop()

    async def _repeat(self) -> None:
        while True:
            if self._is_due():
                await self._confirm()
            await self._clock.sleep(
                PERIOD_SECONDS * self._random.uniform(0.5, 1)
            )

    def _is_due(self) -> bool:
        now = self._clock.monotonic()
        since = now - self._asked
        if now - self._service.last_keyed_call < RECENT_USE_SECONDS:
            return since >= REPORT_SECONDS
        return self._ownership.is_pending and since >= PENDING_SECONDS

    async def _confirm(self) -> None:
        asked = Instant(self._clock.monotonic(), self._clock.wall())
        self._asked = asked.monotonic
        version = self._distribution.version.version
        report = await self._distribution.report()
        held = self._membership.confirmed_at
        is_holder = self._membership.takes_part and held is not None
        if not self._distribution.is_ready or not is_holder:
            return
        # A version that came meanwhile may have moved keys away.
        if self._distribution.version.version != version:
            return
        judgement = judge_report(report, version, len(self._data_centres()))
        if judgement.is_held and self._ownership.is_pending:
            now = Instant(self._clock.monotonic(), self._clock.wall())
            self._ownership.settle(now)
        if judgement.is_newest:
            lag = max(asked.monotonic - (held or 0), 0)
            self._records.confirm(
                Instant(asked.monotonic - lag, asked.wall - lag)
            )
