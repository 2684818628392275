"""Periods of the refresh of snapshots, derived from the time of a change."""

from typing import NamedTuple

# Parts of the time in which a change has to be in force everywhere. They leave
# room for a daemon that detects a failed parent and reads the source itself.
_READ_FRACTION = 0.42
_REPLY_FRACTION = 0.2
_LATE_REPLY_FRACTION = 0.5
_REFRESH_AGE_FRACTION = 0.75
_MAX_READ_SECONDS = 0.9
_MAX_REPLY_SECONDS = 0.4
_MAX_REFRESH_AGE_SECONDS = 2.0
# A parent replies after this time without news as well, which shows that it
# is not silent.
_FETCH_WAIT_FRACTION = 0.5
_MAX_FETCH_WAIT_SECONDS = 0.5


class RefreshPeriods(NamedTuple):
    """Periods in seconds.

    ``read`` is the time from one reading of the source to the next, and
    ``fetch_wait`` the longest wait at a peer for a newer snapshot, which then
    has ``reply_timeout`` to reply. After ``late_reply`` the next peer is asked
    as well. A snapshot is not accepted from a peer if
    the last reading that it comes from ended ``max_refresh_age`` ago.
    """

    read: float
    fetch_wait: float
    reply_timeout: float
    late_reply: float
    max_refresh_age: float


def plan_refreshes(propagation_seconds: float) -> RefreshPeriods:
    """Return the periods for a change that has to be in force in time."""
    read = min(propagation_seconds * _READ_FRACTION, _MAX_READ_SECONDS)
    reply_timeout = min(
        propagation_seconds * _REPLY_FRACTION, _MAX_REPLY_SECONDS
    )
    return RefreshPeriods(
        read,
        min(
            propagation_seconds * _FETCH_WAIT_FRACTION, _MAX_FETCH_WAIT_SECONDS
        ),
        reply_timeout,
        reply_timeout * _LATE_REPLY_FRACTION,
        min(
            propagation_seconds * _REFRESH_AGE_FRACTION,
            _MAX_REFRESH_AGE_SECONDS,
        ),
    )
