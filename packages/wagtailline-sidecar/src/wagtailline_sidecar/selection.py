"""Chooses the endpoint that is most likely to answer in time."""

import math
from collections.abc import Set
from random import Random
from typing import NamedTuple

from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.model import Endpoint, Route, Snapshot

# A refused connection keeps an endpoint out of the choice for this time,
# doubled at each further failure up to the limit.
HOLD_OFF_SECONDS = 0.25
MAX_HOLD_OFF_SECONDS = 2.0
# Reported waits lose their weight with this half-life.
REPORT_HALF_LIFE_SECONDS = 0.5
# Part of an estimate that one more observation replaces. Service times of
# one route spread widely, so the speed of an endpoint is learned slowly.
_SMOOTHING = 0.15
_SPEED_SMOOTHING = 0.05
# Head of a request and of its answer between two daemons.
_OVERHEAD_KILOBYTES = 0.6
_FIRST_SECONDS = 0.15
_FIRST_ANSWER_KILOBYTES = 2.0
# The relative spread that keeps daemons with equal views apart.
_NOISE = 0.1
_LEAST_SECONDS = 0.001
# A request that is already late still prefers the faster endpoint.
_LEAST_TARGET_SECONDS = 0.05


class Distance(NamedTuple):
    """What it costs to leave the data centre.

    ``seconds`` is the time on the way. ``misses_per_kilobyte`` is the risk
    of missing the target, from 0 to 1, that operators accept to save one
    kilobyte between data centres.
    """

    seconds: float = 0.005
    misses_per_kilobyte: float = 0.05


class _EndpointView:
    """What this daemon has learned of one endpoint."""

    def __init__(self) -> None:
        self.outstanding = 0
        self.speed = 1.0
        self.success = 1.0
        self.reported_wait = float(0)
        self.reported_at = float('-inf')
        self.failures = 0
        self.out_until = float('-inf')


class Selector:
    """Orders the endpoints of a service by the risk of missing the target."""

    def __init__(
        self,
        clock: MonotonicClock,
        random: Random,
        data_centre: str,
        distance: Distance,
    ) -> None:
        """Know nothing of any endpoint."""
        self._clock = clock
        self._random = random
        self._data_centre = data_centre
        self._distance = distance
        self._views: dict[str, _EndpointView] = {}
        self._route_seconds: dict[str, float] = {}
        self._route_kilobytes: dict[str, float] = {}

    def keep(self, snapshot: Snapshot) -> None:
        """Drop what was learned of endpoints that are gone."""
        listed = {endpoint.identity for endpoint in snapshot.endpoints}
        for identity in self._views.keys() - listed:
            self._views.pop(identity)

    def choose(
        self,
        snapshot: Snapshot,
        route: Route,
        service: str,
        tried: Set[str],
        target_seconds: float,
    ) -> Endpoint | None:
        """Return the best endpoint that was not tried yet.

        An answer within ``target_seconds`` from now is wanted.
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
        in_touch = [one for one in usable if self._view(one).out_until <= now]
        # When every endpoint is held off, the one that comes back first is
        # better than none.
        candidates = (
            in_touch
            or sorted(usable, key=lambda one: self._view(one).out_until)[:1]
        )
        if not candidates:
            return None
        target = max(target_seconds, _LEAST_TARGET_SECONDS)
        return min(
            candidates, key=lambda one: self._cost(one, route, target, now)
        )

    def note_sent(self, endpoint: Endpoint) -> None:
        """Count a request on its way to an endpoint."""
        self._view(endpoint).outstanding += 1

    def note_ended(self, endpoint: Endpoint) -> None:
        """Count a request that has ended in any way."""
        view = self._view(endpoint)
        view.outstanding = max(view.outstanding - 1, 0)

    def note_answer(
        self,
        endpoint: Endpoint,
        route: Route,
        took_seconds: float,
        wait_seconds: float,
        is_success: bool,
    ) -> None:
        """Learn from an answer and the wait that its gate reports."""
        view = self._view(endpoint)
        view.failures = 0
        view.out_until = float('-inf')
        view.reported_wait = wait_seconds
        view.reported_at = self._clock.monotonic()
        view.success += _SMOOTHING * (float(is_success) - view.success)
        if not is_success:
            return
        usual = self._route_seconds.get(route.name, took_seconds)
        ratio = took_seconds / max(usual, 0.001)
        view.speed += _SPEED_SMOOTHING * (min(ratio, 5) - view.speed)
        self._route_seconds[route.name] = usual + _SMOOTHING * (
            took_seconds - usual
        )

    def note_size(self, route: Route, sent_bytes: int) -> None:
        """Learn how many bytes an answer of a route has."""
        kilobytes = sent_bytes / 1000
        former = self._route_kilobytes.get(route.name, kilobytes)
        self._route_kilobytes[route.name] = former + _SMOOTHING * (
            kilobytes - former
        )

    def note_wait(self, endpoint: Endpoint, wait_seconds: float) -> None:
        """Learn the wait at a gate that refused a request."""
        view = self._view(endpoint)
        view.reported_wait = wait_seconds
        view.reported_at = self._clock.monotonic()

    def note_failure(self, endpoint: Endpoint) -> None:
        """Hold off from an endpoint that could not be reached."""
        view = self._view(endpoint)
        doubled = math.ldexp(HOLD_OFF_SECONDS, view.failures)
        view.failures = min(view.failures + 1, 8)
        view.out_until = self._clock.monotonic() + min(
            doubled, MAX_HOLD_OFF_SECONDS
        )

    def _cost(
        self, endpoint: Endpoint, route: Route, target: float, now: float
    ) -> float:
        """Return the risk of a missed target, and what the way there costs."""
        expected = self._expect(endpoint, route, now)
        expected *= 1 + _NOISE * self._random.random()
        cost = float(0)
        if endpoint.data_centre != self._data_centre:
            expected += self._distance.seconds
            kilobytes = self._route_kilobytes.get(
                route.name, _FIRST_ANSWER_KILOBYTES
            )
            kilobytes += _OVERHEAD_KILOBYTES
            cost = kilobytes * self._distance.misses_per_kilobyte
        # Times of answers are taken as exponentially distributed.
        in_time = 1 - math.exp(-target / expected)
        return cost + 1 - self._view(endpoint).success * in_time

    def _expect(self, endpoint: Endpoint, route: Route, now: float) -> float:
        """Return the expected time of an answer in seconds."""
        view = self._view(endpoint)
        service = self._route_seconds.get(route.name, _FIRST_SECONDS)
        service *= view.speed
        age = now - view.reported_at
        wait = view.reported_wait * math.pow(
            0.5, age / REPORT_HALF_LIFE_SECONDS
        )
        wait += service * view.outstanding / max(endpoint.slots, 1)
        return max(wait + service, _LEAST_SECONDS)

    def _view(self, endpoint: Endpoint) -> _EndpointView:
        view = self._views.get(endpoint.identity)
        if view is None:
            view = _EndpointView()
            self._views[endpoint.identity] = view
        return view
