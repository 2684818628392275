"""Loads on a simulated fleet, and the outcome of each with a mechanism."""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from result import Ok

from wagtailline.allowance import ALLOWANCE_KINDS, AllowanceSettings
from wagtailline.codec import Codec
from wagtailline.objects import Limit
from wagtailline_lab.allowance_baselines import BASELINE_KINDS
from wagtailline_lab.allowance_fleet import (
    AdmissionFactory,
    Fleet,
    endpoints_of,
    make_objects,
)
from wagtailline_lab.allowance_peers import Process
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.simulation import run_simulation

_LOCAL_LINK = LinkQuality(0.0001, 0.0003)
_SETTLE_SECONDS = 12
_MEASURED_SECONDS = 15
_TIMEOUT_SECONDS = 0.1
_UTILIZATION = 0.8
_OVERLOAD_FACTOR = 8
_SEED = 7
_PERCENT = 100
_MILLISECONDS_PER_SECOND = 1000


class Shape(NamedTuple):
    """Daemons in each data centre, and the link between two data centres."""

    sizes: tuple[int, ...]
    remote_link: LinkQuality


SHAPES = {
    '12 in 3': Shape((4, 4, 4), LinkQuality(0.0004, 0.0006)),
    '17 in 4': Shape((5, 4, 4, 4), LinkQuality(0.0006, 0.0009)),
    '200 in 4': Shape((50, 50, 50, 50), LinkQuality(0.005, 0.006)),
}

_LARGE_AND_SMALL = (
    *(Limit(f'large{number}', 200, 100) for number in range(2)),
    *(Limit(f'middle{number}', 50, 50) for number in range(2)),
    *(Limit(f'small{number}', 10, 10) for number in range(4)),
)
_SMALL = tuple(Limit(f'small{number}', 5, 5) for number in range(8))


class Mechanism(NamedTuple):
    """Rate limiting mechanism to measure, with its settings."""

    name: str
    factory: AdmissionFactory
    settings: AllowanceSettings


class Outcome(NamedTuple):
    """Results of one run.

    ``wrongly_refused`` is in percent of all calls, the other shares in percent
    of the calls that one token bucket for the whole fleet would admit.
    Messages and octets are for each daemon and second.
    """

    wrongly_refused: float
    worst_share: float
    best_share: float
    admitted_over_allowed: float
    excess: float
    median_wait_ms: float
    p99_wait_ms: float
    messages: float
    octets: float


class _Call(NamedTuple):
    started_at: float
    limit: str
    admitted: bool
    waited_seconds: float


class _LoadRun:
    """Run of one fleet under one load."""

    def __init__(self, shape: Shape, limits: tuple[Limit, ...]) -> None:
        self.shape = shape
        self.limits = limits
        self.random = Random(_SEED)
        self.calls: list[_Call] = []
        self.pinned_processes: dict[str, Process] = {}
        self.rate_factors: dict[str, float] = {}
        self.sends_bursts = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def prepare(self, mechanism: Mechanism) -> None:
        """Start the fleet and wait until it has settled."""
        self.fleet = Fleet(
            _SEED,
            mechanism.settings,
            mechanism.factory,
            _LOCAL_LINK,
            self.shape.remote_link,
            Codec({**ALLOWANCE_KINDS, **BASELINE_KINDS}),
        )
        self.fleet.publish(make_objects(self.shape.sizes, self.limits))
        for endpoint in endpoints_of(self.fleet.latest):
            await self.fleet.start(endpoint)
        await asyncio.sleep(_SETTLE_SECONDS)

    async def measure(self) -> Outcome:
        """Send the load and return the outcome."""
        network = self.fleet.network
        network.messages = 0
        network.octets = 0
        count = len(self.fleet.daemons)
        await asyncio.gather(*(self._send(limit) for limit in self.limits))
        messages = network.messages / count / _MEASURED_SECONDS
        octets = network.octets / count / _MEASURED_SECONDS
        await asyncio.sleep(2 * _TIMEOUT_SECONDS)
        outcome = self._evaluate()
        return outcome._replace(messages=messages, octets=octets)

    async def _send(self, limit: Limit) -> None:
        for delay, count in self._arrivals(limit):
            await asyncio.sleep(delay)
            for _ in range(count):
                task = asyncio.ensure_future(self._call(limit.name))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    def _arrivals(self, limit: Limit) -> Iterator[tuple[float, int]]:
        elapsed_seconds: float = 0
        rate = limit.rate * _UTILIZATION * self.rate_factors.get(limit.name, 1)
        while elapsed_seconds < _MEASURED_SECONDS:
            delay = self.random.expovariate(rate)
            count = 1
            if self.sends_bursts:
                delay, count = limit.burst / rate, limit.burst
            elapsed_seconds += delay
            yield delay, count

    async def _call(self, limit: str) -> None:
        process = self.pinned_processes.get(limit)
        if process not in self.fleet.daemons:
            process = self.random.choice(tuple(self.fleet.daemons))
        called_at = asyncio.get_running_loop().time()
        outcome = await self.fleet.call(process, limit, _TIMEOUT_SECONDS)
        waited_seconds = asyncio.get_running_loop().time() - called_at
        self.calls.append(
            _Call(called_at, limit, isinstance(outcome, Ok), waited_seconds)
        )

    def _evaluate(self) -> Outcome:
        by_limit: dict[str, list[_Call]] = defaultdict(list)
        for call in sorted(self.calls):
            by_limit[call.limit].append(call)
        wrongly_refused_calls = 0
        admitted = 0
        allowed = 0
        excess: float = 0
        shares = []
        for limit in self.limits:
            calls = by_limit[limit.name]
            admissible = _count_admissible(limit, calls)
            admitted_calls = sum(each.admitted for each in calls)
            wrongly_refused_calls += max(0, admissible - admitted_calls)
            admitted += admitted_calls
            allowed += admissible
            shares.append(_PERCENT * admitted_calls / admissible)
            admission_times = self.fleet.admitted[limit.name]
            excess = max(
                excess,
                float(self.fleet.oracle.excess(limit.name, admission_times)),
            )
        waits = sorted(
            each.waited_seconds for each in self.calls if each.admitted
        )
        waits = waits or [0]
        return Outcome(
            _PERCENT * wrongly_refused_calls / len(self.calls),
            min(shares),
            max(shares),
            _PERCENT * admitted / allowed,
            excess,
            waits[len(waits) // 2] * _MILLISECONDS_PER_SECOND,
            waits[len(waits) * 99 // _PERCENT] * _MILLISECONDS_PER_SECOND,
            0,
            0,
        )


def _count_admissible(limit: Limit, calls: list[_Call]) -> int:
    """Return how many calls one bucket for the whole fleet would admit."""
    tokens: float = limit.burst
    previous_at = calls[0].started_at if calls else 0
    admitted = 0
    for call in calls:
        tokens = min(
            limit.burst, tokens + (call.started_at - previous_at) * limit.rate
        )
        previous_at = call.started_at
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted


async def _change_nothing(run: _LoadRun) -> None:
    """Leave the fleet as it is; each call goes to a random daemon."""


async def _pin_limits(run: _LoadRun) -> None:
    for limit in run.limits:
        run.pinned_processes[limit.name] = run.random.choice(
            tuple(run.fleet.daemons)
        )


async def _send_bursts(run: _LoadRun) -> None:
    run.sends_bursts = True


async def _kill_tenth(run: _LoadRun) -> None:
    processes = sorted(run.fleet.daemons)
    for process in run.random.sample(processes, -(-len(processes) // 10)):
        await run.fleet.kill(process)


async def _partition_data_centre(run: _LoadRun) -> None:
    run.fleet.network.blocked = lambda sender, receiver: (
        (sender.data_centre == 'dc0') != (receiver.data_centre == 'dc0')
    )


async def _partition_within_data_centres(run: _LoadRun) -> None:
    run.fleet.network.blocked = lambda sender, receiver: (
        int(sender.endpoint.split('-')[1]) % 2
        != int(receiver.endpoint.split('-')[1]) % 2
    )
    await asyncio.sleep(2)


async def _restart_all(run: _LoadRun) -> None:
    for process in tuple(run.fleet.daemons):
        await run.fleet.kill(process)
    for endpoint in endpoints_of(run.fleet.latest):
        await run.fleet.start(endpoint)


async def _overload(run: _LoadRun) -> None:
    run.rate_factors[run.limits[0].name] = _OVERLOAD_FACTOR


async def _kill_issuer(run: _LoadRun) -> None:
    """Kill an issuer of the first limit, if the mechanism has issuers."""
    service = next(iter(run.fleet.daemons.values())).admission
    plans = getattr(service, 'plans', None)
    plan = plans.current() if plans else None
    issuers = plan.limit(run.limits[0].name).issuers if plan else {}
    names = {name for shares in issuers.values() for name in shares}
    for process in sorted(run.fleet.daemons):
        if process.endpoint in names:
            await run.fleet.kill(process)
            return


async def _lose_messages(run: _LoadRun) -> None:
    network = run.fleet.network
    network.near = network.near._replace(loss=0.05)
    network.far = network.far._replace(loss=0.05)


LOADS = {
    'even': _change_nothing,
    'skewed': _pin_limits,
    'bursts': _send_bursts,
    'small accounts': _change_nothing,
    'tenth gone': _kill_tenth,
    'centre cut off': _partition_data_centre,
    'centres split': _partition_within_data_centres,
    'restart': _restart_all,
    'one eightfold': _overload,
    'dead home': _kill_issuer,
    'lossy': _lose_messages,
}


def run_load(shape: str, load: str, mechanism: Mechanism) -> Outcome:
    """Run one load on a fleet of this shape, in virtual time."""
    limits = _SMALL if load == 'small accounts' else _LARGE_AND_SMALL
    run = _LoadRun(SHAPES[shape], limits)

    async def scenario() -> Outcome:
        await run.prepare(mechanism)
        await LOADS[load](run)
        outcome = await run.measure()
        await run.fleet.stop()
        return outcome

    return run_simulation(scenario())
