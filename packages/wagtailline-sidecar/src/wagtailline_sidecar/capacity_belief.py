"""Belief about the number of requests that the upstream can run at once."""

from wagtailline.ports import MonotonicClock

# The limit rises by one after each such time without a refusal.
RECOVERY_PERIOD_SECONDS = 0.4
# Up to this part of the limit, the upstream is lightly loaded.
_LIGHT_FRACTION = 0.5
# An upstream that refuses more than this part of its requests under light load
# refuses them for another reason than a lack of room.
_MAX_LIGHT_REFUSALS = 0.1
_SMOOTHING_FACTOR = 0.1


class CapacityBelief:
    """Limit that falls when the upstream refuses requests because it is full.

    An upstream may have less room than it registered, for example while it
    goes on with requests whose callers have left. It then refuses requests or
    resets their connections. An upstream that does so under light load as
    well has a fault that a lower limit would not cure.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        """Set up a limit of zero; ``registered`` is set by the registration."""
        self._clock = clock
        self._missing = 0
        self._changed_at = float('-inf')
        self._light_refusals = float(0)
        self.registered = 0

    @property
    def limit(self) -> int:
        """Return the number of requests that may run at once."""
        self._recover()
        if not self.registered:
            return 0
        return max(self.registered - self._missing, 1)

    def record(self, running: int, *, is_refused: bool) -> None:
        """Record the outcome of a request and how many ran at its start."""
        if running <= max(self.limit * _LIGHT_FRACTION, 1):
            self._light_refusals += _SMOOTHING_FACTOR * (
                float(is_refused) - self._light_refusals
            )
            if self._light_refusals > _MAX_LIGHT_REFUSALS:
                self._missing = 0
            return
        if is_refused and self._light_refusals <= _MAX_LIGHT_REFUSALS:
            # There was room for all others that were running.
            self._missing = max(self._missing, self.registered - running + 1)
            self._changed_at = self._clock.monotonic()

    def _recover(self) -> None:
        if not self._missing:
            return
        elapsed_seconds = self._clock.monotonic() - self._changed_at
        steps = int(elapsed_seconds / RECOVERY_PERIOD_SECONDS)
        if steps:
            self._missing = max(self._missing - steps, 0)
            self._changed_at += steps * RECOVERY_PERIOD_SECONDS
