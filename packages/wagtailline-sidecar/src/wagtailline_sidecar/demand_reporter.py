"""Reports this daemon's demand to the others, and takes their reports."""

import asyncio
from collections.abc import Callable

from wagtailline.codec import Message
from wagtailline_sidecar.datagrams import DatagramEndpoint, DemandReport
from wagtailline_sidecar.demand import Demand

MEASURE_PERIOD_SECONDS = 0.5
# A report is repeated at least this often; two may be lost in its lifetime.
REPEAT_SECONDS = 2.5
# Changes below these do not need a report of their own.
_CHANGED_RATE = 0.5
_CHANGED_PART = 0.3
_LEAST_RATE = 0.05


class DemandReporter:
    """Service that keeps the reports of demand current."""

    def __init__(
        self,
        demand: Demand,
        datagrams: DatagramEndpoint,
        hosts: Callable[[], frozenset[str]],
        incarnation: int,
        is_shared: Callable[[str], bool],
    ) -> None:
        """Number reports from the incarnation of this process on.

        Only accounts of which daemons hold shares, as ``is_shared`` tells,
        are reported.
        """
        self._is_shared = is_shared
        self._demand = demand
        self._datagrams = datagrams
        self._hosts = hosts
        self._number = incarnation
        self._reported: dict[str, float] = {}
        self._reported_at = float('-inf')
        self._task: asyncio.Task[None] | None = None
        datagrams.subscribe(self._receive)

    async def start(self) -> None:
        """Begin to report."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Report no more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_PERIOD_SECONDS)
            self._report()

    def _report(self) -> None:
        measured = {
            account: round(rate, 1)
            for account, rate in self._demand.measure().items()
            if rate >= _LEAST_RATE and self._is_shared(account)
        }
        if not measured and not self._reported:
            return
        now = asyncio.get_running_loop().time()
        is_due = now - self._reported_at >= REPEAT_SECONDS
        if not is_due and not _differ(self._reported, measured):
            return
        self._number += 1
        self._reported, self._reported_at = measured, now
        report = DemandReport(self._datagrams.host, self._number, measured)
        self._datagrams.send(report, self._hosts())
        self._demand.note_own(self._number, measured)

    def _receive(self, message: Message) -> None:
        if isinstance(message, DemandReport):
            self._demand.note_report(*message)


def _differ(former: dict[str, float], measured: dict[str, float]) -> bool:
    return any(
        abs(measured.get(account, 0) - former.get(account, 0))
        > max(_CHANGED_RATE, _CHANGED_PART * former.get(account, 0))
        for account in former.keys() | measured.keys()
    )
