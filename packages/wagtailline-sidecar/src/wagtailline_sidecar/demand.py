"""Demand of each client account at each daemon, from reports of the daemons."""

from collections.abc import Iterable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock

# Reports that are older than this are ignored.
REPORT_LIFETIME_SECONDS = 6.0
# Time constant of the moving average of the demand.
AVERAGING_SECONDS = 4.0
# Fraction of a limit that is divided equally whatever the demand, so that a
# daemon without demand so far can admit its first requests.
EQUAL_FRACTION = 0.3
# Time in which a report reaches the other daemons. Until then, a higher demand
# of this daemon does not raise its own share.
PROPAGATION_SECONDS = 0.3


class _Report(NamedTuple):
    sequence_number: int
    received_at: float
    demands: dict[str, float]


_NO_REPORT = _Report(0, float('-inf'), {})


class Demand:
    """Latest demand report of each daemon, including this one.

    Shares are computed from reported demand only, so that all daemons use the
    same figures.
    """

    def __init__(self, host: str, clock: MonotonicClock) -> None:
        """Set up the demand without any reports."""
        self._host = host
        self._clock = clock
        self._reports: dict[str, _Report] = {}
        self._average_rates: dict[str, float] = {}
        self._request_counts: dict[str, int] = {}
        self._counting_since = clock.monotonic()
        self._previous_own_report = _NO_REPORT

    def count(self, account: str) -> None:
        """Count a request of an account at this daemon."""
        self._request_counts[account] = self._request_counts.get(account, 0) + 1

    def measure(self) -> dict[str, float]:
        """Update and return the average rate of requests of each account.

        The rates are requests per second. The update uses the requests that
        were counted since the last call.
        """
        now = self._clock.monotonic()
        elapsed_seconds = max(now - self._counting_since, 0.001)
        weight = min(elapsed_seconds / AVERAGING_SECONDS, 1)
        self._counting_since = now
        counts, self._request_counts = self._request_counts, {}
        for account in self._average_rates.keys() | counts.keys():
            rate = counts.get(account, 0) / elapsed_seconds
            previous = self._average_rates.get(account, 0)
            self._average_rates[account] = previous + weight * (rate - previous)
        return dict(self._average_rates)

    def record_own_report(
        self, sequence_number: int, demands: dict[str, float]
    ) -> None:
        """Store a report that this daemon has just sent.

        Until the other daemons have received it, the lower of its previous and
        its new demand is used.
        """
        previous = self._reports.get(self._host, _NO_REPORT)
        self._store(self._host, sequence_number, demands)
        self._previous_own_report = previous

    def record_report(
        self, host: str, sequence_number: int, demands: dict[str, float]
    ) -> None:
        """Store a report of another daemon."""
        self._store(host, sequence_number, demands)

    def share(self, account: str, members: Iterable[str]) -> float:
        """Return this daemon's share of an account's limit, from 0 to 1.

        A daemon without a current report has an equal share. The others divide
        the rest by demand, except for the fraction that is divided equally.
        """
        now = self._clock.monotonic()
        hosts = {self._host, *members}
        equal_share = 1 / len(hosts)
        reporting_hosts = [
            host for host in hosts if self._is_current(host, now)
        ]
        if self._host not in reporting_hosts:
            return equal_share
        reporting_share = equal_share * len(reporting_hosts)
        total_rate = sum(
            self._effective_rate(host, account, now) for host in reporting_hosts
        )
        if total_rate <= 0:
            return equal_share
        own_fraction = (
            self._effective_rate(self._host, account, now) / total_rate
        )
        return (
            EQUAL_FRACTION * equal_share
            + (1 - EQUAL_FRACTION) * reporting_share * own_fraction
        )

    def _store(
        self, host: str, sequence_number: int, demands: dict[str, float]
    ) -> None:
        now = self._clock.monotonic()
        previous = self._reports.get(host)
        if previous is not None and previous.sequence_number >= sequence_number:
            if self._is_current(host, now):
                return
        self._reports[host] = _Report(sequence_number, now, demands)

    def _is_current(self, host: str, now: float) -> bool:
        report = self._reports.get(host, _NO_REPORT)
        return now - report.received_at < REPORT_LIFETIME_SECONDS

    def _effective_rate(self, host: str, account: str, now: float) -> float:
        report = self._reports[host]
        demand = report.demands.get(account, 0)
        if (
            host == self._host
            and now - report.received_at < PROPAGATION_SECONDS
        ):
            return min(
                demand, self._previous_own_report.demands.get(account, 0)
            )
        return demand
