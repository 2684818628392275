"""Grace period after the source was restored from an older copy."""

from wagtailline_sidecar.model import Endpoint, Incarnation, Snapshot
from wagtailline_sidecar.source_outages import (
    REGISTRATION_GRACE_SECONDS,
    TimeSource,
)

# Longest age of a copy for which removed registrations are remembered.
MAX_COPY_AGE_SECONDS = 20.0
_NEVER = float('-inf')


class RestoreGrace:
    """Knowledge of what a restored source lacks until it is written again.

    The copy may list an endpoint that has left since, or as ready one that is
    leaving, and may lack that a data centre is closed. For a grace period
    after the restore, what was known before stays in force.
    """

    def __init__(self, clock: TimeSource) -> None:
        """Set up a grace period that has not begun."""
        self._clock = clock
        self._ends_at = _NEVER
        self._removed_at: dict[Incarnation, float] = {}
        self._leaving: frozenset[Incarnation] = frozenset()
        self._closed: frozenset[str] = frozenset()

    def begin(self, known: Snapshot) -> None:
        """Begin with what was known before the restore."""
        now = self._clock.boot()
        self._ends_at = now + REGISTRATION_GRACE_SECONDS
        self._closed = known.closed_data_centres
        removed = {
            incarnation
            for incarnation, removed_at in self._removed_at.items()
            if now - removed_at <= MAX_COPY_AGE_SECONDS
        }
        self._removed_at = dict.fromkeys(removed, now)
        self._leaving = frozenset(
            endpoint.incarnation
            for endpoint in known.endpoints
            if not endpoint.is_ready
        )

    def record_change(
        self, previous: tuple[Endpoint, ...], current: tuple[Endpoint, ...]
    ) -> None:
        """Record which endpoints are no longer listed."""
        now = self._clock.boot()
        listed = {endpoint.incarnation for endpoint in current}
        known = {endpoint.incarnation for endpoint in previous}
        self._removed_at |= dict.fromkeys(known - listed, now)
        self._removed_at = {
            incarnation: removed_at
            for incarnation, removed_at in self._removed_at.items()
            if now - removed_at <= MAX_COPY_AGE_SECONDS
            and incarnation not in listed
        }

    def find_closed(self, listed: frozenset[str]) -> frozenset[str]:
        """Return the data centres that count as closed."""
        return listed | self._closed if self._is_active else listed

    def select_endpoints(
        self, listed: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the listed endpoints without those known to have left.

        Those known to leave are not ready.
        """
        if not self._is_active:
            return listed
        return tuple(
            endpoint._replace(is_ready=False)
            if endpoint.incarnation in self._leaving
            else endpoint
            for endpoint in listed
            if endpoint.incarnation not in self._removed_at
        )

    @property
    def _is_active(self) -> bool:
        return self._clock.boot() <= self._ends_at
