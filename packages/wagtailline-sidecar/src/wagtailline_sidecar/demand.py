"""Demand of each client account at each daemon, as the daemons report it."""

from collections.abc import Iterable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock

# A report that is older counts as missing.
REPORT_LIFETIME_SECONDS = 6.0
# Demand is averaged over about this time.
AVERAGE_SECONDS = 4.0
# Part of an account's limit that is shared out equally whatever the demand,
# so that a daemon without demand so far can admit its first requests.
EQUAL_PART = 0.3
# Own demand counts only after it can have reached the others.
SETTLE_SECONDS = 0.3


class _Report(NamedTuple):
    number: int
    received_at: float
    demands: dict[str, float]


_NO_REPORT = _Report(0, float('-inf'), {})


class Demand:
    """Knows what every daemon has reported, this one included.

    Shares rest on reported demand only, so that all daemons compute them
    from the same figures.
    """

    def __init__(self, host: str, clock: MonotonicClock) -> None:
        """Know no report."""
        self._host = host
        self._clock = clock
        self._reports: dict[str, _Report] = {}
        self._own: dict[str, float] = {}
        self._counted: dict[str, int] = {}
        self._counted_since = clock.monotonic()
        self._settling = _NO_REPORT

    def count(self, account: str) -> None:
        """Count a request of an account at this daemon."""
        self._counted[account] = self._counted.get(account, 0) + 1

    def measure(self) -> dict[str, float]:
        """Average what was counted since the last call."""
        now = self._clock.monotonic()
        passed = max(now - self._counted_since, 0.001)
        weight = min(passed / AVERAGE_SECONDS, 1)
        self._counted_since = now
        counted, self._counted = self._counted, {}
        for account in self._own.keys() | counted.keys():
            rate = counted.get(account, 0) / passed
            former = self._own.get(account, 0)
            self._own[account] = former + weight * (rate - former)
        return dict(self._own)

    def note_own(self, number: int, demands: dict[str, float]) -> None:
        """Take what this daemon has just reported.

        Until the others can have received it, the lower of the old and the
        new demand counts.
        """
        former = self._reports.get(self._host, _NO_REPORT)
        self._take(self._host, number, demands)
        self._settling = former

    def note_report(
        self, host: str, number: int, demands: dict[str, float]
    ) -> None:
        """Take the report of another daemon."""
        self._take(host, number, demands)

    def share(self, account: str, members: Iterable[str]) -> float:
        """Return this daemon's part of an account's limit, 0 to 1.

        A daemon without a current report keeps an equal part; the others
        divide the rest by demand.
        """
        now = self._clock.monotonic()
        hosts = {self._host, *members}
        equal = 1 / len(hosts)
        heard = [host for host in hosts if self._is_current(host, now)]
        if self._host not in heard:
            return equal
        rest = equal * len(heard)
        total = sum(self._demand(host, account, now) for host in heard)
        if total <= 0:
            return equal
        part = self._demand(self._host, account, now) / total
        return EQUAL_PART * equal + (1 - EQUAL_PART) * rest * part

    def _take(self, host: str, number: int, demands: dict[str, float]) -> None:
        now = self._clock.monotonic()
        former = self._reports.get(host)
        if former is not None and former.number >= number:
            if self._is_current(host, now):
                return
        self._reports[host] = _Report(number, now, demands)

    def _is_current(self, host: str, now: float) -> bool:
        report = self._reports.get(host, _NO_REPORT)
        return now - report.received_at < REPORT_LIFETIME_SECONDS

    def _demand(self, host: str, account: str, now: float) -> float:
        report = self._reports[host]
        demand = report.demands.get(account, 0)
        if host == self._host and now - report.received_at < SETTLE_SECONDS:
            return min(demand, self._settling.demands.get(account, 0))
        return demand
