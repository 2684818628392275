"""Model of an upstream that fails under overload, on event loop time.

The upstream runs a few requests concurrently, and fewer while it is cold.
Latency grows with the square of the load above its current capacity. Load
that stays above twice the capacity makes it collapse: it resets every
connection, restarts and is cold again. Its health and load endpoints report
late, or always report a healthy and idle upstream.
"""

import asyncio
import math
from collections import Counter, deque
from random import Random
from typing import NamedTuple

from wagtailline.admission import (
    Answered,
    ConnectionRefused,
    Outcome,
    RefusedByUpstream,
    ResetBeforeFirstByte,
    ResetDuringAnswer,
    TimedOut,
)

CONNECTION_SECONDS = 0.001
PROBE_SECONDS = 0.006
_OK = 200
# A request runs in steps. The load at the start of a step sets its duration.
_STEPS = 4
_REPORTS_KEPT = 256
_REPORT_SECONDS = 0.1


class UpstreamSettings(NamedTuple):
    """Capacity, latency and faults of the model; durations in seconds."""

    slots: int = 6
    connections: int = 120
    mean_latency: float = 0.02
    # Standard deviation of the logarithm of the latency.
    latency_sigma: float = 0.3
    # Fraction of the latency after the first byte of the response.
    tail_fraction: float = 0.25
    # Capacity of a cold upstream as a fraction of the slots.
    cold_fraction: float = 1 / 6
    # The upstream is warm after both this many requests and this time.
    warm_requests: int = 300
    warm_seconds: float = 10
    # The upstream collapses if the requests in progress exceed the capacity
    # by this factor for this time.
    collapse_factor: float = 2
    collapse_seconds: float = 0.25
    restart_seconds: float = 0.5
    # Requests accepted above the number of slots; further ones are shed.
    backlog: int = 2
    report_lag_seconds: float = 5
    mislead: bool = False


class UpstreamRequest(NamedTuple):
    """Request to the upstream; a poison request crashes it."""

    request_id: str
    deadline: float = math.inf
    poison: bool = False
    # Factor of the usual latency.
    size: float = 1


class _ConnectionReset(Exception):
    """The upstream crashed or stopped while it ran a request."""


class UpstreamModel:
    """Simulated upstream that counts executions by request id."""

    def __init__(
        self, random: Random, settings: UpstreamSettings, warm: bool = False
    ) -> None:
        """Set up a cold upstream, or a warm one with full capacity."""
        self.executions: Counter[str] = Counter()
        self.collapses = 0
        self.crashes = 0
        self.probes = 0
        self.shed = 0
        self.peak_overload = float(0)
        self.in_progress = 0
        self.draining = False
        self._loop = asyncio.get_running_loop()
        self._random = random
        self._settings = settings
        self._connections = 0
        self._idle_connections = 0
        self._generation = 0
        self._down_until = -math.inf
        self._warm_start = -math.inf if warm else self._now()
        self._served = settings.warm_requests if warm else 0
        self._overloaded_since: float | None = None
        self._wakeups: set[asyncio.Future[None]] = set()
        self._last_report = -math.inf
        self._reports: deque[tuple[float, float]] = deque(maxlen=_REPORTS_KEPT)

    @property
    def capacity(self) -> float:
        """Return how many requests run without slowdown at present."""
        settings = self._settings
        by_count = min(self._served / settings.warm_requests, 1)
        age = self._now() - self._warm_start
        by_time = min(age / settings.warm_seconds, 1)
        warm_fraction = min(by_count, by_time)
        cold_capacity = max(settings.slots * settings.cold_fraction, 1)
        return cold_capacity + (settings.slots - cold_capacity) * warm_fraction

    def turn_cold(self) -> None:
        """Make the upstream cold without a signal to its clients."""
        self._warm_start = self._now()
        self._served = 0

    def crash(self) -> None:
        """Reset all connections, refuse new ones and restart cold."""
        self.crashes += 1
        self._go_down()

    def stop(self, seconds: float) -> None:
        """Stop for some seconds, as in a data centre outage; restart cold."""
        self._go_down()
        self._down_until = self._now() + seconds

    async def probe_health(self) -> bool:
        """Return whether the health endpoint reports a healthy upstream.

        The report is late, or always positive with ``mislead``.
        """
        self.probes += 1
        await asyncio.sleep(PROBE_SECONDS)
        if self._settings.mislead:
            return True
        return self._reported_load() < 1

    async def probe_load(self) -> float:
        """Return the load that the load endpoint reports, from 0 to 1.

        The report is late, or always 0 with ``mislead``.
        """
        self.probes += 1
        await asyncio.sleep(PROBE_SECONDS)
        return 0 if self._settings.mislead else self._reported_load()

    async def send(self, request: UpstreamRequest) -> Outcome:
        """Return the outcome of a request; cancel to abandon it."""
        if not self._take_idle_connection():
            await asyncio.sleep(CONNECTION_SECONDS)
            if not self._open_connection():
                return ConnectionRefused()
        generation = self._generation
        try:
            return await self._serve(request, generation)
        finally:
            if self._generation == generation:
                self._idle_connections += 1

    async def _serve(
        self, request: UpstreamRequest, generation: int
    ) -> Outcome:
        limit = self._settings.slots + self._settings.backlog
        if self.draining or self.in_progress >= limit:
            self.shed += 1
            return RefusedByUpstream()
        self.executions[request.request_id] += 1
        self.in_progress += 1
        self._record_load()
        started = self._now()
        try:
            answer = await self._process(request, generation)
        finally:
            if self._generation == generation:
                self.in_progress -= 1
                self._record_load()
        if isinstance(answer, float):
            self._served += 1
            return Answered(answer - started, _OK)
        return answer

    async def _process(
        self, request: UpstreamRequest, generation: int
    ) -> float | Outcome:
        """Return the time of the first byte, or how the request failed."""
        settings = self._settings
        log_deviation = self._random.gauss(0, settings.latency_sigma)
        total_seconds = (
            settings.mean_latency * math.exp(log_deviation) * request.size
        )
        head_seconds = total_seconds * (1 - settings.tail_fraction)
        first_byte: float | None = None
        try:
            for step_seconds in _split_evenly(head_seconds):
                await self._step(request, step_seconds, generation)
            first_byte = self._now()
            await self._step(request, total_seconds - head_seconds, generation)
        except _ConnectionReset:
            return ResetDuringAnswer() if first_byte else ResetBeforeFirstByte()
        return TimedOut() if self._now() > request.deadline else first_byte

    async def _step(
        self, request: UpstreamRequest, seconds: float, generation: int
    ) -> None:
        if self._now() > request.deadline:
            return
        overload = max(self.in_progress / self.capacity, 1)
        if request.poison:
            self._loop.call_later(seconds / 2, self._crash_if_alive)
        await self._sleep(seconds * overload**2)
        if self._generation != generation:
            raise _ConnectionReset

    async def _sleep(self, seconds: float) -> None:
        """Sleep; raise _ConnectionReset if the upstream goes down."""
        wakeup = self._loop.create_future()
        timer = self._loop.call_later(seconds, _wake, wakeup)
        self._wakeups.add(wakeup)
        try:
            await wakeup
        finally:
            timer.cancel()
            self._wakeups.discard(wakeup)

    def _crash_if_alive(self) -> None:
        if self._now() >= self._down_until:
            self.crash()

    def _go_down(self) -> None:
        self._generation += 1
        self._connections = 0
        self._idle_connections = 0
        self.in_progress = 0
        self._overloaded_since = None
        self._down_until = self._now() + self._settings.restart_seconds
        self.turn_cold()
        for wakeup in tuple(self._wakeups):
            if not wakeup.done():
                wakeup.set_exception(_ConnectionReset())

    def _record_load(self) -> None:
        overload = self.in_progress / self.capacity
        self.peak_overload = max(self.peak_overload, overload)
        if overload <= self._settings.collapse_factor:
            self._overloaded_since = None
        elif self._overloaded_since is None:
            since = self._now()
            self._overloaded_since = since
            self._loop.call_later(
                self._settings.collapse_seconds, self._check_collapse, since
            )
        if self._now() - self._last_report >= _REPORT_SECONDS:
            self._last_report = self._now()
            self._reports.append(
                (self._now(), self.in_progress / self._settings.slots)
            )

    def _check_collapse(self, since: float) -> None:
        if self._overloaded_since == since:
            self.collapses += 1
            self._go_down()

    def _reported_load(self) -> float:
        limit = self._now() - self._settings.report_lag_seconds
        visible_loads = [load for at, load in self._reports if at <= limit]
        return min(visible_loads[-1], 1) if visible_loads else 0

    def _take_idle_connection(self) -> bool:
        if self._idle_connections:
            self._idle_connections -= 1
            return True
        return False

    def _open_connection(self) -> bool:
        down = self._now() < self._down_until
        if down or self._connections >= self._settings.connections:
            return False
        self._connections += 1
        return True

    def _now(self) -> float:
        return self._loop.time()


def _split_evenly(seconds: float) -> list[float]:
    return [seconds / _STEPS for _ in range(_STEPS)]


def _wake(wakeup: asyncio.Future[None]) -> None:
    if not wakeup.done():
        wakeup.set_result(None)
