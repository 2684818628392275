"""What refused connections and health reports say of the upstream."""

from random import Random

from wagtailline.admission._types import (
    GateSettings,
)


class Availability:
    """Pauses after refused connections; keeps the reports of endpoints.

    Reports never raise a limit: an unhealthy one holds it, and the load
    only breaks ties between gates.
    """

    def __init__(self, settings: GateSettings, random: Random) -> None:
        """Begin with an upstream that may be reachable."""
        self._settings = settings
        self._random = random
        self._pause = settings.down_seconds
        self._down_until = float(0)
        self._unhealthy_until = float(0)
        self._load = float(0)
        self._load_until = float(0)

    def refused(self, now: float) -> None:
        """Pause after a refused connection, twice as long each time."""
        self._down_until = now + self._pause * self._random.uniform(0.5, 1)
        self._pause = min(self._pause * 2, self._settings.max_down_seconds)

    def answered(self) -> None:
        """Note that the upstream is reachable."""
        self._pause = self._settings.down_seconds
        self._down_until = 0

    def down_for(self, now: float) -> float:
        """Return the seconds until the next connection may be tried."""
        return max(self._down_until - now, 0)

    def report_health(self, healthy: bool, now: float) -> None:
        """Take over what the health endpoint says."""
        until = now + self._settings.report_seconds
        self._unhealthy_until = 0 if healthy else until

    def report_load(self, load: float, now: float) -> None:
        """Take over what the load endpoint says, from 0 to 1."""
        self._load = min(max(load, 0), 1)
        self._load_until = now + self._settings.report_seconds

    def is_doubtful(self, now: float) -> bool:
        """Tell whether a recent report says that it is unhealthy."""
        return now < self._unhealthy_until

    def reported_load(self, now: float) -> float:
        """Return the reported load, zero without a recent report."""
        return self._load if now < self._load_until else 0
