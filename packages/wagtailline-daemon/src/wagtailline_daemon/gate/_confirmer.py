"""Confirmation that this gate still owns its idempotency keys.

The execution records prevent a second execution only while no other process
decides on the same keys. This requires that the process still holds its
endpoint, and that no newer version has moved the keys to another endpoint.

The source alone can't show the latter, because it may be stale. So former
and new owners ask the data centres. A former owner continues only while a
majority of them reports no newer version; a new owner starts only after a
majority has reported the version that made it the owner. Two majorities
share a data centre, and the version of a data centre never decreases, so the
last confirmation of the former owner precedes the start of the new one.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from wagtailline.distribution import Distribution, FleetReport
from wagtailline.executions import ExecutionRecords, Instant, Ownership
from wagtailline.membership import MembershipService
from wagtailline.ports import Clock
from wagtailline.service_registry import ServiceRegistry
from wagtailline_daemon._background import BackgroundTask
from wagtailline_daemon.gate._service import GateService

CHECK_INTERVAL_SECONDS = 0.5
# A report queries a reader in each data centre, so only gates with recent
# keyed calls request one, at most once in this interval. Two reports may fail
# before a confirmation expires after 10 s.
MIN_REPORT_INTERVAL_SECONDS = 3.0
RECENT_CALL_SECONDS = 30.0
# Without keyed calls, gained keys can wait, so reports are requested less
# often: a majority may be unreachable for long.
IDLE_REPORT_INTERVAL_SECONDS = 10.0


class ReportEvaluation(NamedTuple):
    """Whether a report permits keeping owned keys and taking over gained ones.

    ``is_newest`` permits the former, ``is_held_by_majority`` the latter.
    """

    is_newest: bool
    is_held_by_majority: bool


def evaluate_report(
    report: FleetReport, version: int, data_centre_count: int
) -> ReportEvaluation:
    """Compare the versions of the data centres with the version in force.

    Data centres that did not answer are missing from the report;
    ``data_centre_count`` is the number of published ones.
    """
    versions = [centre.version for centre in report.data_centres]
    majority = data_centre_count // 2 + 1
    is_newest = len(versions) >= majority and max(versions) <= version
    holder_count = sum(held >= version for held in versions)
    return ReportEvaluation(is_newest, holder_count >= majority)


class ExecutionConfirmer:
    """Service that keeps confirming the execution records while permitted."""

    def __init__(
        self,
        registry: ServiceRegistry,
        clock: Clock,
        random: Random,
        data_centres: Callable[[], tuple[str, ...]],
    ) -> None:
        """Create a confirmer that looks up the other services at its start."""
        self._registry = registry
        self._clock = clock
        self._random = random
        self._data_centres = data_centres
        self._last_report_at = float('-inf')
        self._task = BackgroundTask(self._confirm_periodically)

    async def start(self) -> None:
        """Look up the other services and start to confirm."""
        find = self._registry.find
        self._records = find('executions', ExecutionRecords).unwrap()
        self._ownership = find('ownership', Ownership).unwrap()
        self._membership = find('membership', MembershipService).unwrap()
        self._distribution = find('distribution', Distribution).unwrap()
        self._service = find('gate_service', GateService).unwrap()
        self._task.start()

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        await self._task.stop()

    async def _confirm_periodically(self) -> None:
        while True:
            if self._is_due():
                await self._confirm()
            await self._clock.sleep(
                CHECK_INTERVAL_SECONDS * self._random.uniform(0.5, 1)
            )

    def _is_due(self) -> bool:
        now = self._clock.monotonic()
        elapsed = now - self._last_report_at
        if now - self._service.last_keyed_call_at < RECENT_CALL_SECONDS:
            return elapsed >= MIN_REPORT_INTERVAL_SECONDS
        return (
            self._ownership.is_pending
            and elapsed >= IDLE_REPORT_INTERVAL_SECONDS
        )

    async def _confirm(self) -> None:
        asked_at = Instant(self._clock.monotonic(), self._clock.wall())
        self._last_report_at = asked_at.monotonic
        version = self._distribution.version.version
        report = await self._distribution.report()
        held_at = self._membership.confirmed_at
        holds_endpoint = self._membership.takes_part and held_at is not None
        if not self._distribution.is_ready or not holds_endpoint:
            return
        # A version installed in the meantime may have moved keys away.
        if self._distribution.version.version != version:
            return
        evaluation = evaluate_report(report, version, len(self._data_centres()))
        if evaluation.is_held_by_majority and self._ownership.is_pending:
            now = Instant(self._clock.monotonic(), self._clock.wall())
            self._ownership.confirm_pending(now)
        if evaluation.is_newest:
            confirmation_age = max(asked_at.monotonic - (held_at or 0), 0)
            self._records.confirm(
                Instant(
                    asked_at.monotonic - confirmation_age,
                    asked_at.wall - confirmation_age,
                )
            )
