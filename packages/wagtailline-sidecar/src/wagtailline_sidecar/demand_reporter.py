"""Exchange of demand reports between the daemons."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline_sidecar.datagrams import DatagramEndpoint, DemandReport
from wagtailline_sidecar.demand import Demand
from wagtailline_sidecar.supervision import SupervisedTask

MEASURE_PERIOD_SECONDS = 0.5
# Interval at which an unchanged report is repeated: twice before receivers
# ignore it as too old, since datagrams may be lost.
REPEAT_INTERVAL_SECONDS = 2.5
# A change up to the larger of these waits for the next repetition: requests per
# second, and fraction of the rate in the last report.
_MIN_RATE_CHANGE = 0.5
_MIN_CHANGE_FRACTION = 0.3
_MIN_REPORTED_RATE = 0.05


class DemandReporter:
    """Service that sends demand reports and receives those of others."""

    def __init__(
        self,
        demand: Demand,
        datagrams: DatagramEndpoint,
        hosts: Callable[[], frozenset[str]],
        incarnation: int,
        is_shared: Callable[[str], bool],
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up a service that has sent no report.

        The sequence numbers of reports start at ``incarnation``, so that they
        rise over restarts. Only accounts for which ``is_shared`` returns true
        are reported, as other limits are not divided by demand.
        """
        self._is_shared = is_shared
        self._demand = demand
        self._datagrams = datagrams
        self._hosts = hosts
        self._sequence_number = incarnation
        self._last_reported: dict[str, float] = {}
        self._last_reported_at = float('-inf')
        self._task = SupervisedTask('demand_reporter', self._run, observe)
        datagrams.subscribe(self._receive)

    async def start(self) -> None:
        """Start the periodic measurement and reports."""
        self._task.start()

    async def stop(self) -> None:
        """Stop the reports."""
        self._task.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_PERIOD_SECONDS)
            self._report()

    def _report(self) -> None:
        rates = {
            account: round(rate, 1)
            for account, rate in self._demand.measure().items()
            if rate >= _MIN_REPORTED_RATE and self._is_shared(account)
        }
        if not rates and not self._last_reported:
            return
        now = asyncio.get_running_loop().time()
        is_due = now - self._last_reported_at >= REPEAT_INTERVAL_SECONDS
        if not is_due and not _has_changed(self._last_reported, rates):
            return
        self._sequence_number += 1
        self._last_reported, self._last_reported_at = rates, now
        report = DemandReport(
            self._datagrams.host, self._sequence_number, rates
        )
        self._datagrams.send(report, self._hosts())
        self._demand.record_own_report(self._sequence_number, rates)

    def _receive(self, message: Message) -> None:
        if isinstance(message, DemandReport):
            self._demand.record_report(*message)


def _has_changed(reported: dict[str, float], rates: dict[str, float]) -> bool:
    return any(
        abs(rates.get(account, 0) - reported.get(account, 0))
        > max(_MIN_RATE_CHANGE, _MIN_CHANGE_FRACTION * reported.get(account, 0))
        for account in reported.keys() | rates.keys()
    )
