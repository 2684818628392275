"""Model of a fragile upstream on the time of the running loop.

It runs a few requests at once, slowly at first. Above its present capacity
it thrashes, and under twice its capacity it collapses: latency runs away,
then every connection is reset and it is cold again. Health and load
endpoints lag, or mislead.
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
    ResetLater,
    TimedOut,
)

CONNECTION_SECONDS = 0.001
PROBE_SECONDS = 0.006
_OK = 200
# Work is done in steps, each at the speed of its beginning.
_STEPS = 4
_REPORTS_KEPT = 256
_REPORT_SECONDS = 0.1


class UpstreamSettings(NamedTuple):
    """Behaviour of the model; durations in seconds."""

    slots: int = 6
    connections: int = 120
    mean_latency: float = 0.02
    # Spread of the logarithm of the latency.
    latency_sigma: float = 0.3
    # Part of the latency after the first byte.
    tail_part: float = 0.25
    # Capacity of a cold upstream as a part of the slots.
    cold_part: float = 1 / 6
    # It is warm after this many requests and this long.
    warm_requests: int = 300
    warm_seconds: float = 10
    # Requests in progress above this many times the capacity for this long
    # make it collapse.
    collapse_factor: float = 2
    collapse_seconds: float = 0.25
    restart_seconds: float = 0.5
    # Requests above the slots that it holds before it sheds.
    backlog: int = 2
    report_lag: float = 5
    mislead: bool = False


class Work(NamedTuple):
    """A request as the upstream sees it."""

    request_id: str
    deadline: float = math.inf
    poison: bool = False
    # Multiple of the usual latency.
    size: float = 1


class _ConnectionReset(Exception):
    """The upstream died while it ran a request."""


class UpstreamModel:
    """Runs requests and counts every execution by request id."""

    def __init__(
        self, random: Random, settings: UpstreamSettings, warm: bool = False
    ) -> None:
        """Begin cold, or warm as after a long time in service."""
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
        self._running: set[asyncio.Future[None]] = set()
        self._last_report = -math.inf
        self._reports: deque[tuple[float, float]] = deque(maxlen=_REPORTS_KEPT)

    @property
    def capacity(self) -> float:
        """Return the requests it can run at once now."""
        settings = self._settings
        by_count = min(self._served / settings.warm_requests, 1)
        age = self._now() - self._warm_start
        by_time = min(age / settings.warm_seconds, 1)
        warmth = min(by_count, by_time)
        cold = max(settings.slots * settings.cold_part, 1)
        return cold + (settings.slots - cold) * warmth

    def turn_cold(self) -> None:
        """Lose the caches, without any sign to the outside."""
        self._warm_start = self._now()
        self._served = 0

    def crash(self) -> None:
        """Die: reset everything, refuse connections, come back cold."""
        self.crashes += 1
        self._die()

    def stop(self, seconds: float) -> None:
        """Be away for a time, as when its data centre is."""
        self._die()
        self._down_until = self._now() + seconds

    async def probe_health(self) -> bool:
        """Ask the health endpoint, which lags or always says yes."""
        self.probes += 1
        await asyncio.sleep(PROBE_SECONDS)
        if self._settings.mislead:
            return True
        return self._lagging_load() < 1

    async def probe_load(self) -> float:
        """Ask the load endpoint, which lags or shows no load."""
        self.probes += 1
        await asyncio.sleep(PROBE_SECONDS)
        return 0 if self._settings.mislead else self._lagging_load()

    async def send(self, work: Work) -> Outcome:
        """Run one request over a connection; cancel to leave."""
        if not self._take_idle_connection():
            await asyncio.sleep(CONNECTION_SECONDS)
            if not self._open_connection():
                return ConnectionRefused()
        generation = self._generation
        try:
            return await self._serve(work, generation)
        finally:
            if self._generation == generation:
                self._idle_connections += 1

    async def _serve(self, work: Work, generation: int) -> Outcome:
        limit = self._settings.slots + self._settings.backlog
        if self.draining or self.in_progress >= limit:
            self.shed += 1
            return RefusedByUpstream()
        self.executions[work.request_id] += 1
        self.in_progress += 1
        self._note_load()
        started = self._now()
        try:
            answer = await self._work(work, generation)
        finally:
            if self._generation == generation:
                self.in_progress -= 1
                self._note_load()
        if isinstance(answer, float):
            self._served += 1
            return Answered(answer - started, _OK)
        return answer

    async def _work(self, work: Work, generation: int) -> float | Outcome:
        """Return when the first byte left, or how the work failed."""
        settings = self._settings
        spread = self._random.gauss(0, settings.latency_sigma)
        demand = settings.mean_latency * math.exp(spread) * work.size
        head = demand * (1 - settings.tail_part)
        first_byte: float | None = None
        try:
            for part in _split(head):
                await self._step(work, part, generation)
            first_byte = self._now()
            await self._step(work, demand - head, generation)
        except _ConnectionReset:
            return ResetLater() if first_byte else ResetBeforeFirstByte()
        return TimedOut() if self._now() > work.deadline else first_byte

    async def _step(self, work: Work, seconds: float, generation: int) -> None:
        if self._now() > work.deadline:
            return
        overload = max(self.in_progress / self.capacity, 1)
        if work.poison:
            self._loop.call_later(seconds / 2, self._crash_if_alive)
        await self._sleep(seconds * overload**2)
        if self._generation != generation:
            raise _ConnectionReset

    async def _sleep(self, seconds: float) -> None:
        """Sleep unless the upstream dies."""
        ending = self._loop.create_future()
        timer = self._loop.call_later(seconds, _finish, ending)
        self._running.add(ending)
        try:
            await ending
        finally:
            timer.cancel()
            self._running.discard(ending)

    def _crash_if_alive(self) -> None:
        if self._now() >= self._down_until:
            self.crash()

    def _die(self) -> None:
        self._generation += 1
        self._connections = 0
        self._idle_connections = 0
        self.in_progress = 0
        self._overloaded_since = None
        self._down_until = self._now() + self._settings.restart_seconds
        self.turn_cold()
        for ending in tuple(self._running):
            if not ending.done():
                ending.set_exception(_ConnectionReset())

    def _note_load(self) -> None:
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
            self._die()

    def _lagging_load(self) -> float:
        limit = self._now() - self._settings.report_lag
        seen = [load for at, load in self._reports if at <= limit]
        return min(seen[-1], 1) if seen else 0

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


def _split(seconds: float) -> list[float]:
    return [seconds / _STEPS for _ in range(_STEPS)]


def _finish(ending: asyncio.Future[None]) -> None:
    if not ending.done():
        ending.set_result(None)
