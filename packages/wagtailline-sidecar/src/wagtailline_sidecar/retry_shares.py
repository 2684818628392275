"""Share of a daemon in the retries that the fleet may make at any load."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock


class RetryLimits(NamedTuple):
    """Limits of the retries of one service by all daemons together.

    In any ``window_seconds``, they are ``ratio`` times the requests of clients
    for the service plus ``slack``.
    """

    ratio: float
    slack: float
    window_seconds: float


class RetryShares:
    """The equal share of this daemon in the slack of each service.

    It follows the number of daemons that are known. Of a daemon that knows
    none it is empty, and it grows during the first window, because the process
    before may have used the same share.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        limits: RetryLimits,
        count_daemons: Callable[[], int],
    ) -> None:
        """Set up the share of a daemon that starts now.

        ``count_daemons`` returns how many daemons this one knows, itself
        included, or 0 if it knows none.
        """
        self._clock = clock
        self._limits = limits
        self._count_daemons = count_daemons
        self._started_at = clock.monotonic()
        self.daemons = 0

    def follow_daemons(self) -> None:
        """Follow the number of daemons that are known.

        Those that are no longer known may still make retries, so the share
        does not grow when their number falls.
        """
        self.daemons = max(self.daemons, self._count_daemons())

    def find_slack(self) -> float:
        """Return the share in the slack, in retries per window."""
        self.follow_daemons()
        if not self.daemons:
            return 0
        age_seconds = self._clock.monotonic() - self._started_at
        grown_fraction = min(age_seconds / self._limits.window_seconds, 1)
        return self._limits.slack * grown_fraction / self.daemons
