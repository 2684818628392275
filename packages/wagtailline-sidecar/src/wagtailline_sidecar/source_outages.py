"""Outages of the source, as far as this daemon can tell."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

# After an outage of the source, endpoints register again within about 2 s.
REGISTRATION_GRACE_SECONDS = 2.5
# Expired endpoints are retained no longer than this after the last failed
# reading. Bounds hold again 3 s after the outage, which may have ended then.
MAX_RETENTION_SECONDS = 2.8
# A longer interval between readings is treated as an outage of the source.
OUTAGE_THRESHOLD_SECONDS = 3.0
# The same if a peer reports an outage, which it may have met a little earlier.
REPORTED_THRESHOLD_SECONDS = 2.0
# Time for which daemons retain endpoints after a restore that they heard of
# one after another.
RESTORE_SPREAD_SECONDS = 2 * REGISTRATION_GRACE_SECONDS
_NEVER = float('-inf')


class OutageEnded(NamedTuple):
    """Event: the source answers again, after no contact with it for a while.

    Endpoints whose entries have expired are retained for
    ``retention_seconds``. ``paused_seconds`` are those in which this daemon did
    not run itself; they are not part of ``away_seconds``.
    """

    away_seconds: float
    paused_seconds: float
    retention_seconds: float
    is_reported_by_peer: bool


class TimeSource(Protocol):
    """Clock that reports the time since boot, in seconds."""

    def boot(self) -> float:
        """Return the time since boot, including suspended time."""


class SourceOutages:
    """Record of the contacts with the source, which tells its outages.

    Time in which the daemon itself did not run is no outage, and neither is
    one that a peer reports while this daemon was in contact. A daemon without
    any contact yet believes its peers.
    """

    def __init__(
        self,
        clock: TimeSource,
        observe: Callable[[NamedTuple], None],
        measure_pauses: Callable[[float], float],
    ) -> None:
        """Start without a contact; the first one ends no outage.

        ``measure_pauses`` returns for how many seconds the process did not run
        since a time since boot.
        """
        self._clock = clock
        self._observe = observe
        self._measure_pauses = measure_pauses
        self._contacted_at = _NEVER
        self._failed_at = _NEVER
        self._retains_until = _NEVER
        self._restored_at = _NEVER

    @property
    def is_recent(self) -> bool:
        """Return whether endpoints may still have to register again."""
        return self._clock.boot() <= self._retains_until

    @property
    def retention_seconds(self) -> float:
        """Return for how long expired endpoints are retained from now on."""
        return max(self._retains_until - self._clock.boot(), 0)

    def record_restore(self) -> None:
        """Record that the source was restored from an older copy.

        It may lack the entries of endpoints until they register again, however
        short it was away.
        """
        self._restored_at = self._clock.boot()
        self._retains_until = self._find_retention_end()

    def record_failure(self) -> None:
        """Record that a reading of the source has just failed."""
        self._failed_at = self._clock.boot()

    def record_reading(self, requested_at: float) -> None:
        """Record a reading that was requested at the given time since boot."""
        if self._contacted_at > _NEVER:
            self._end_outage(
                requested_at, OUTAGE_THRESHOLD_SECONDS, is_reported=False
            )
        self._record_contact(requested_at)

    def record_peer(self, current_at: float, *, is_after_outage: bool) -> None:
        """Record a snapshot of a peer that was current at a time since boot.

        A peer that reports no outage shows that the source was not away.
        """
        if is_after_outage and not self.is_recent:
            self._end_outage(
                current_at, REPORTED_THRESHOLD_SECONDS, is_reported=True
            )
        self._record_contact(current_at)

    def has_seen(self, current_at: float) -> bool:
        """Return whether an outage that a peer reports was seen here too.

        The snapshot of the peer was current at the given time since boot.
        """
        away_seconds, _ = self._measure_absence(current_at)
        restore_age = self._clock.boot() - self._restored_at
        return (
            self.is_recent
            or away_seconds > REPORTED_THRESHOLD_SECONDS
            or restore_age <= RESTORE_SPREAD_SECONDS
        )

    def _end_outage(
        self,
        contacted_at: float,
        threshold_seconds: float,
        *,
        is_reported: bool,
    ) -> None:
        away_seconds, paused_seconds = self._measure_absence(contacted_at)
        if away_seconds <= threshold_seconds:
            return
        self._retains_until = self._find_retention_end()
        self._observe(
            OutageEnded(
                round(away_seconds, 3),
                round(paused_seconds, 3),
                round(self.retention_seconds, 3),
                is_reported,
            )
        )

    def _find_retention_end(self) -> float:
        ends_at = self._clock.boot() + REGISTRATION_GRACE_SECONDS
        if self._failed_at <= self._contacted_at:
            return ends_at
        return min(ends_at, self._failed_at + MAX_RETENTION_SECONDS)

    def _measure_absence(self, contacted_at: float) -> tuple[float, float]:
        """Return for how long the source was away, and this daemon paused."""
        paused_seconds = self._measure_pauses(self._contacted_at)
        away_seconds = contacted_at - self._contacted_at - paused_seconds
        return away_seconds, paused_seconds

    def _record_contact(self, contacted_at: float) -> None:
        self._contacted_at = max(self._contacted_at, contacted_at)
