"""Selection of the endpoint that is most likely to respond in time."""

import math
from collections.abc import Set
from random import Random
from typing import NamedTuple

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.model import Endpoint, Route, Snapshot
from wagtailline_sidecar.moving_averages import MovingAverages

# An endpoint is not selected for this time after a failure to reach it. Each
# further failure doubles the time, up to the maximum.
HOLD_OFF_SECONDS = 0.25
MAX_HOLD_OFF_SECONDS = 2.0
# Queueing delays reported by gates decay with this half-life.
REPORT_HALF_LIFE_SECONDS = 0.5
# Weight of a new observation in the moving averages. The weight for the latency
# of an endpoint is lower, since service times of one route vary widely.
_SMOOTHING_FACTOR = 0.15
_LATENCY_SMOOTHING_FACTOR = 0.05
# Size of the heads of a request and its response between two daemons.
_OVERHEAD_KILOBYTES = 0.6
# Assumed until a route has responses to average.
_INITIAL_SERVICE_SECONDS = 0.15
_INITIAL_RESPONSE_KILOBYTES = 2.0
# Random fraction added to each estimate, so that daemons with equal statistics
# don't select the same endpoint.
_NOISE_FRACTION = 0.1
_MIN_EXPECTED_SECONDS = 0.001
# With this lower bound, late requests still prefer the faster endpoint.
_MIN_TARGET_SECONDS = 0.05


class RemoteCost(NamedTuple):
    """Cost of an endpoint in another data centre.

    ``seconds`` is the added latency. ``misses_per_kilobyte`` is the increase
    in the probability of missing the latency target, from 0 to 1, that
    operators accept to save one kilobyte of traffic between data centres.
    """

    seconds: float = 0.005
    misses_per_kilobyte: float = 0.05


class _EndpointStatistics:
    """Statistics of this daemon about one endpoint.

    ``latency_ratio`` is the latency relative to the average of each route.
    ``success_rate`` is between 0 and 1.
    """

    def __init__(self) -> None:
        self.outstanding = 0
        self.latency_ratio = 1.0
        self.success_rate = 1.0
        self.reported_wait_seconds = float(0)
        self.reported_at = float('-inf')
        self.failures = 0
        self.held_off_until = float('-inf')


class Selector:
    """Selector of the endpoint that is least likely to miss the target."""

    def __init__(
        self,
        clock: MonotonicClock,
        random: Random,
        data_centre: str,
        remote_cost: RemoteCost,
    ) -> None:
        """Set up a selector without statistics for a data centre."""
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._remote_cost = remote_cost
        self._statistics: dict[str, _EndpointStatistics] = {}
        self._route_seconds = MovingAverages(_SMOOTHING_FACTOR)
        self._route_kilobytes = MovingAverages(_SMOOTHING_FACTOR)

    def drop_unlisted(self, snapshot: Snapshot) -> None:
        """Drop the statistics of endpoints that the snapshot does not list."""
        listed = {endpoint.identity for endpoint in snapshot.endpoints}
        for identity in self._statistics.keys() - listed:
            self._statistics.pop(identity)

    def choose(
        self,
        snapshot: Snapshot,
        route: Route,
        service: str,
        tried: Set[str],
        target_seconds: float,
    ) -> Endpoint | None:
        """Return the best endpoint that was not tried yet, or None.

        The response should arrive within ``target_seconds`` from now.
        """
        now = self._clock.monotonic()
        usable = [
            endpoint
            for endpoint in snapshot.endpoints
            if endpoint.service == service
            and endpoint.is_ready
            and endpoint.data_centre not in snapshot.closed_data_centres
            and endpoint.identity not in tried
        ]
        reachable = [
            candidate
            for candidate in usable
            if self._statistics_of(candidate).held_off_until <= now
        ]
        # If every endpoint is held off, the one whose hold-off ends first is
        # used.
        candidates = (
            reachable
            or sorted(
                usable,
                key=lambda candidate: (
                    self._statistics_of(candidate).held_off_until
                ),
            )[:1]
        )
        if not candidates:
            return None
        bounded_target = max(target_seconds, _MIN_TARGET_SECONDS)
        return min(
            candidates,
            key=lambda candidate: self._cost(
                candidate, route, bounded_target, now
            ),
        )

    def record_sent(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to an endpoint."""
        self._statistics_of(endpoint).outstanding += 1

    def record_ended(self, endpoint: Endpoint) -> None:
        """Count the end of a request, whatever its outcome."""
        statistics = self._statistics_of(endpoint)
        statistics.outstanding = max(statistics.outstanding - 1, 0)

    def record_response(
        self,
        endpoint: Endpoint,
        route: Route,
        took_seconds: float,
        wait_seconds: float,
        is_success: bool,
    ) -> None:
        """Record a response and the queueing delay that its gate reports."""
        statistics = self._statistics_of(endpoint)
        statistics.failures = 0
        statistics.held_off_until = float('-inf')
        statistics.reported_wait_seconds = wait_seconds
        statistics.reported_at = self._clock.monotonic()
        statistics.success_rate += _SMOOTHING_FACTOR * (
            float(is_success) - statistics.success_rate
        )
        if not is_success:
            return
        average_seconds = self._route_seconds.find(route.name, took_seconds)
        relative_latency = took_seconds / max(average_seconds, 0.001)
        statistics.latency_ratio += _LATENCY_SMOOTHING_FACTOR * (
            min(relative_latency, 5) - statistics.latency_ratio
        )
        self._route_seconds.observe(route.name, took_seconds)

    def record_size(self, route: Route, size_bytes: int) -> None:
        """Update the average response size of a route."""
        self._route_kilobytes.observe(route.name, size_bytes / 1000)

    def record_wait(self, endpoint: Endpoint, wait_seconds: float) -> None:
        """Record the queueing delay at a gate that refused a request."""
        statistics = self._statistics_of(endpoint)
        statistics.reported_wait_seconds = wait_seconds
        statistics.reported_at = self._clock.monotonic()

    def record_failure(self, endpoint: Endpoint) -> None:
        """Hold off an endpoint that could not be reached."""
        statistics = self._statistics_of(endpoint)
        hold_off_seconds = math.ldexp(HOLD_OFF_SECONDS, statistics.failures)
        statistics.failures = min(statistics.failures + 1, 8)
        statistics.held_off_until = self._clock.monotonic() + min(
            hold_off_seconds, MAX_HOLD_OFF_SECONDS
        )

    def _cost(
        self,
        endpoint: Endpoint,
        route: Route,
        target_seconds: float,
        now: float,
    ) -> float:
        """Return the risk of missing the target plus the traffic cost."""
        expected_seconds = self._expected_seconds(endpoint, route, now)
        expected_seconds *= 1 + _NOISE_FRACTION * self._random.random()
        cost = float(0)
        if endpoint.data_centre != self._data_centre:
            expected_seconds += self._remote_cost.seconds
            kilobytes = self._route_kilobytes.find(
                route.name, _INITIAL_RESPONSE_KILOBYTES
            )
            kilobytes += _OVERHEAD_KILOBYTES
            cost = kilobytes * self._remote_cost.misses_per_kilobyte
        # Response times are assumed to be exponentially distributed.
        in_time = 1 - math.exp(-target_seconds / expected_seconds)
        return cost + 1 - self._statistics_of(endpoint).success_rate * in_time

    def _expected_seconds(
        self, endpoint: Endpoint, route: Route, now: float
    ) -> float:
        """Return the expected response time in seconds."""
        statistics = self._statistics_of(endpoint)
        service_seconds = self._route_seconds.find(
            route.name, _INITIAL_SERVICE_SECONDS
        )
        service_seconds *= statistics.latency_ratio
        age_seconds = now - statistics.reported_at
        expected_wait_seconds = statistics.reported_wait_seconds * math.pow(
            0.5, age_seconds / REPORT_HALF_LIFE_SECONDS
        )
        expected_wait_seconds += (
            service_seconds * statistics.outstanding / max(endpoint.slots, 1)
        )
        return max(
            expected_wait_seconds + service_seconds, _MIN_EXPECTED_SECONDS
        )

    def _statistics_of(self, endpoint: Endpoint) -> _EndpointStatistics:
        statistics = self._statistics.get(endpoint.identity)
        if statistics is None:
            statistics = _EndpointStatistics()
            self._statistics[endpoint.identity] = statistics
        return statistics
