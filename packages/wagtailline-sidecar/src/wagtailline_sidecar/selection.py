"""Selection of the endpoint that is most likely to respond in time."""

import math
from collections.abc import Set
from random import Random
from typing import NamedTuple

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.endpoint_index import EndpointIndex, ServiceEndpoints
from wagtailline_sidecar.endpoint_statistics import EndpointStatistics
from wagtailline_sidecar.leaving_endpoints import LeavingEndpoints
from wagtailline_sidecar.model import Endpoint, Route, Snapshot
from wagtailline_sidecar.moving_averages import MovingAverages
from wagtailline_sidecar.upstream_notices import (
    RateLimitAbsent,
    RateLimitNamed,
    UpstreamNotice,
)

# Weight of a new observation in the averages of a route.
_SMOOTHING_FACTOR = 0.15
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
# Endpoints of one data centre, or of all others, that are compared for one
# request.
MAX_CANDIDATES = 16


class RemoteCost(NamedTuple):
    """Cost of an endpoint in another data centre.

    ``seconds`` is the added latency. ``misses_per_kilobyte`` is the increase
    in the probability of missing the latency target, from 0 to 1, that
    operators accept to save one kilobyte of traffic between data centres.
    """

    seconds: float = 0.005
    misses_per_kilobyte: float = 0.05


class _Request(NamedTuple):
    """What a choice depends on; ``now`` is the time of the choice."""

    route: Route
    tried: Set[str]
    target_seconds: float
    now: float


class _Choice(NamedTuple):
    cost: float
    endpoint: Endpoint


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
        self._statistics: dict[str, EndpointStatistics] = {}
        self._route_seconds = MovingAverages(_SMOOTHING_FACTOR)
        self._route_kilobytes = MovingAverages(_SMOOTHING_FACTOR)
        self._leaving = LeavingEndpoints(clock)
        self._index = EndpointIndex(data_centre, self._leaving)

    def drop_unlisted(self, snapshot: Snapshot) -> None:
        """Drop the statistics of endpoints that the snapshot does not list."""
        self._leaving.drop_unlisted(snapshot)
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
        request = _Request(
            route,
            tried,
            max(target_seconds, _MIN_TARGET_SECONDS),
            self._clock.monotonic(),
        )
        endpoints = self._index.find(snapshot, service)
        best = self._find_best(endpoints.local, request)
        if best is None or best.cost > self._traffic_cost(route):
            best = _select_better(
                best, self._find_best(endpoints.remote, request)
            )
        if best is not None:
            return best.endpoint
        return self._find_first_released(endpoints, tried)

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
        statistics.record_response(is_success)
        statistics.record_wait(wait_seconds, self._clock.monotonic())
        if not is_success:
            return
        average_seconds = self._route_seconds.find(route.name, took_seconds)
        statistics.record_latency(
            took_seconds / max(average_seconds, _MIN_EXPECTED_SECONDS)
        )
        self._route_seconds.observe(route.name, took_seconds)

    def record_notice(self, endpoint: Endpoint, notice: UpstreamNotice) -> bool:
        """Record what a response says of its endpoint.

        Return whether it is the first one to say that the endpoint leaves,
        which gets no more requests then.
        """
        statistics = self._statistics_of(endpoint)
        match notice.limit:
            case RateLimitNamed(rate=rate):
                statistics.rate_limit = rate
            case RateLimitAbsent():
                statistics.rate_limit = None
        is_newly_leaving = notice.is_leaving and self._leaving.add(endpoint)
        if is_newly_leaving:
            self._index.reset()
        return is_newly_leaving

    def find_rate_limit(self, endpoint: Endpoint) -> float | None:
        """Return the limit that an endpoint named in its last response."""
        return self._statistics_of(endpoint).rate_limit

    def record_size(self, route: Route, size_bytes: int) -> None:
        """Update the average response size of a route."""
        self._route_kilobytes.observe(route.name, size_bytes / 1000)

    def record_wait(self, endpoint: Endpoint, wait_seconds: float) -> None:
        """Record the queueing delay at a gate that refused a request."""
        statistics = self._statistics_of(endpoint)
        statistics.record_wait(wait_seconds, self._clock.monotonic())

    def record_failure(self, endpoint: Endpoint) -> None:
        """Hold off an endpoint that could not be reached."""
        statistics = self._statistics_of(endpoint)
        statistics.record_failure(self._clock.monotonic())

    def _find_best(
        self, endpoints: list[Endpoint], request: '_Request'
    ) -> '_Choice | None':
        """Return the best of some endpoints that are not held off, or None.

        Of many endpoints a random sample is compared, which costs no more in
        a large fleet and keeps daemons from all choosing the same one.
        """
        reachable = self._select_reachable(self._sample(endpoints), request)
        if not reachable and len(endpoints) > MAX_CANDIDATES:
            reachable = self._select_reachable(endpoints, request)
        choices = [
            _Choice(self._cost(endpoint, request), endpoint)
            for endpoint in reachable
        ]
        return min(choices, key=lambda choice: choice.cost, default=None)

    def _select_reachable(
        self, endpoints: list[Endpoint], request: '_Request'
    ) -> list[Endpoint]:
        """Return the endpoints that are neither tried nor held off."""
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.identity not in request.tried
            and self._statistics_of(endpoint).held_off_until <= request.now
        ]

    def _sample(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        if len(endpoints) <= MAX_CANDIDATES:
            return endpoints
        return self._random.sample(endpoints, MAX_CANDIDATES)

    def _find_first_released(
        self, endpoints: ServiceEndpoints, tried: Set[str]
    ) -> Endpoint | None:
        """Return the endpoint whose hold-off ends first, or None."""
        return min(
            (
                endpoint
                for endpoint in (*endpoints.local, *endpoints.remote)
                if endpoint.identity not in tried
            ),
            key=lambda endpoint: self._statistics_of(endpoint).held_off_until,
            default=None,
        )

    def _traffic_cost(self, route: Route) -> float:
        """Return the cost of a response from another data centre."""
        kilobytes = self._route_kilobytes.find(
            route.name, _INITIAL_RESPONSE_KILOBYTES
        )
        kilobytes += _OVERHEAD_KILOBYTES
        return kilobytes * self._remote_cost.misses_per_kilobyte

    def _cost(self, endpoint: Endpoint, request: '_Request') -> float:
        """Return the risk of missing the target plus the traffic cost."""
        expected_seconds = self._expected_seconds(
            endpoint, request.route, request.now
        )
        expected_seconds *= 1 + _NOISE_FRACTION * self._random.random()
        cost = float(0)
        if endpoint.data_centre != self._data_centre:
            expected_seconds += self._remote_cost.seconds
            cost = self._traffic_cost(request.route)
        # Response times are assumed to be exponentially distributed.
        in_time = 1 - math.exp(-request.target_seconds / expected_seconds)
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
        expected_wait_seconds = statistics.find_wait(now)
        expected_wait_seconds += (
            service_seconds * statistics.outstanding / max(endpoint.slots, 1)
        )
        return max(
            expected_wait_seconds + service_seconds, _MIN_EXPECTED_SECONDS
        )

    def _statistics_of(self, endpoint: Endpoint) -> EndpointStatistics:
        statistics = self._statistics.get(endpoint.identity)
        if statistics is None:
            statistics = EndpointStatistics()
            self._statistics[endpoint.identity] = statistics
        return statistics


def _select_better(
    first: _Choice | None, second: _Choice | None
) -> _Choice | None:
    choices = [choice for choice in (first, second) if choice is not None]
    return min(choices, key=lambda choice: choice.cost, default=None)
