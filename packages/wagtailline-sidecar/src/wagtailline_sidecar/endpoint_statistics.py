"""Statistics of this daemon about one endpoint."""

import math

# An endpoint is not selected for this time after a failure to reach it. Each
# further failure doubles the time, up to the maximum.
HOLD_OFF_SECONDS = 0.25
MAX_HOLD_OFF_SECONDS = 2.0
_MAX_DOUBLINGS = 8
# Queueing delays reported by gates decay with this half-life.
REPORT_HALF_LIFE_SECONDS = 0.5
# Weight of a new observation in the success rate, and in the latency, whose
# weight is lower as service times of one route vary widely.
_SUCCESS_SMOOTHING_FACTOR = 0.15
_LATENCY_SMOOTHING_FACTOR = 0.05
# A slower response counts as one that took this many times the average.
_MAX_LATENCY_RATIO = 5.0


class EndpointStatistics:
    """Statistics of one endpoint; all times are monotonic, in seconds.

    ``outstanding`` counts the requests under way. ``latency_ratio`` is the
    latency relative to the average of each route. ``success_rate`` is between
    0 and 1. ``rate_limit`` is what the endpoint named, in requests a second.
    """

    def __init__(self) -> None:
        """Set up the statistics of an endpoint that nothing is known of."""
        self.outstanding = 0
        self.latency_ratio = 1.0
        self.success_rate = 1.0
        self.held_off_until = float('-inf')
        self.rate_limit: float | None = None
        self._failures = 0
        self._reported_wait_seconds = float(0)
        self._reported_at = float('-inf')

    def record_wait(self, wait_seconds: float, now: float) -> None:
        """Record the queueing delay that the gate reports."""
        self._reported_wait_seconds = wait_seconds
        self._reported_at = now

    def find_wait(self, now: float) -> float:
        """Return the queueing delay to expect, in seconds."""
        age_seconds = now - self._reported_at
        return self._reported_wait_seconds * math.pow(
            0.5, age_seconds / REPORT_HALF_LIFE_SECONDS
        )

    def record_response(self, is_success: bool) -> None:
        """Record that the endpoint responded, which ends a hold-off."""
        self._failures = 0
        self.held_off_until = float('-inf')
        self.success_rate += _SUCCESS_SMOOTHING_FACTOR * (
            float(is_success) - self.success_rate
        )

    def record_latency(self, relative_latency: float) -> None:
        """Record the latency of a response relative to that of its route."""
        self.latency_ratio += _LATENCY_SMOOTHING_FACTOR * (
            min(relative_latency, _MAX_LATENCY_RATIO) - self.latency_ratio
        )

    def record_failure(self, now: float) -> None:
        """Hold off the endpoint, which could not be reached."""
        hold_off_seconds = math.ldexp(HOLD_OFF_SECONDS, self._failures)
        self._failures = min(self._failures + 1, _MAX_DOUBLINGS)
        self.held_off_until = now + min(hold_off_seconds, MAX_HOLD_OFF_SECONDS)
