"""Availability of the upstream, from refused connections and reports."""

from random import Random

from wagtailline.admission._types import (
    GateSettings,
)


class Availability:
    """Backoff after refused connections, and recent health and load reports.

    Reports never raise a concurrency limit: while the upstream reports
    itself unhealthy the limit does not grow, and the reported load only
    decides between gates that are otherwise equal.
    """

    def __init__(self, settings: GateSettings, random: Random) -> None:
        """Start without backoff and without reports."""
        self._settings = settings
        self._random = random
        self._backoff_seconds = settings.min_backoff_seconds
        self._backoff_until = float(0)
        self._unhealthy_expires_at = float(0)
        self._load = float(0)
        self._load_expires_at = float(0)

    def record_refused_connection(self, now: float) -> None:
        """Back off after a refused connection, twice as long each time."""
        self._backoff_until = (
            now + self._backoff_seconds * self._random.uniform(0.5, 1)
        )
        self._backoff_seconds = min(
            self._backoff_seconds * 2, self._settings.max_backoff_seconds
        )

    def record_answer(self) -> None:
        """End the backoff, since the upstream is reachable."""
        self._backoff_seconds = self._settings.min_backoff_seconds
        self._backoff_until = 0

    def backoff_remaining(self, now: float) -> float:
        """Return the seconds until the next connection may be tried."""
        return max(self._backoff_until - now, 0)

    def report_health(self, healthy: bool, now: float) -> None:
        """Record the result of the health endpoint."""
        expires_at = now + self._settings.max_report_age_seconds
        self._unhealthy_expires_at = 0 if healthy else expires_at

    def report_load(self, load: float, now: float) -> None:
        """Record the load, from 0 to 1, that the load endpoint reports."""
        self._load = min(max(load, 0), 1)
        self._load_expires_at = now + self._settings.max_report_age_seconds

    def is_unhealthy(self, now: float) -> bool:
        """Return whether a recent report says that it is unhealthy."""
        return now < self._unhealthy_expires_at

    def reported_load(self, now: float) -> float:
        """Return the reported load, or zero without a recent report."""
        return self._load if now < self._load_expires_at else 0
