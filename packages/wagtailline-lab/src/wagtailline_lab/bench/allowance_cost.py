"""Measurement of the CPU time of an acquire and the latency of first calls."""

import asyncio
import time
from random import Random

from result import Ok

from wagtailline.objects import Limit
from wagtailline_lab.allowance_fleet import (
    Admission,
    Fleet,
    endpoints_of,
    make_objects,
)
from wagtailline_lab.bench.allowance_load import SHAPES
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.simulation import run_simulation

_LOCAL_LINK = LinkQuality(0.0001, 0.0003)
_ROUNDS = 5
_NOOP_CALLS = 20_000
_WARM_UP_CALLS = 200
# Name, limit, number of calls and timeout in seconds. The first calls of a
# kind may need a round trip.
_CALL_KINDS = (
    ('local hit', 'hit', 10, 1),
    ('miss, whole round trip', 'miss', 300, 1),
    ('first refusal', 'none', 1, 0),
    ('refusal without asking', 'none', 5000, 0),
)
_MICROSECONDS = 1_000_000


async def _noop() -> None:
    """Do nothing; awaiting it is the least cost of an asynchronous call."""


async def _start_fleet(shape: str, limits: list[Limit]) -> Fleet:
    fleet = Fleet(1, near=_LOCAL_LINK, far=SHAPES[shape].remote_link)
    fleet.publish(make_objects(SHAPES[shape].sizes, limits))
    for endpoint in endpoints_of(fleet.latest):
        await fleet.start(endpoint)
    await asyncio.sleep(12)
    return fleet


async def _measure_cpu(shape: str) -> dict[str, float]:
    limits = [
        Limit('hit', 1_000_000, 1_000_000),
        Limit('miss', 2000, 2000),
        Limit('none', 0.001, 1),
    ]
    fleet = await _start_fleet(shape, limits)
    admission = next(iter(fleet.daemons.values())).admission
    lowest_costs: dict[str, float] = {}
    for _ in range(_ROUNDS):
        started_at = time.process_time()
        for _ in range(_NOOP_CALLS):
            await _noop()
        _keep_lowest(lowest_costs, 'await of nothing', started_at, _NOOP_CALLS)
        await _measure_calls(admission, lowest_costs)
    await fleet.stop()
    return lowest_costs


async def _measure_calls(
    admission: Admission, lowest_costs: dict[str, float]
) -> None:
    for _ in range(_WARM_UP_CALLS):
        await admission.acquire('hit', 1)
        await asyncio.sleep(0.001)
    for name, limit, count, timeout in _CALL_KINDS:
        started_at = time.process_time()
        for _ in range(count):
            await admission.acquire(limit, timeout)
        _keep_lowest(lowest_costs, name, started_at, count)
        await asyncio.sleep(1)


def _keep_lowest(
    lowest_costs: dict[str, float], name: str, started_at: float, count: int
) -> None:
    cost = (time.process_time() - started_at) / max(1, count) * _MICROSECONDS
    lowest_costs[name] = min(cost, lowest_costs.get(name, cost))


async def _measure_first_calls(shape: str, burst: int) -> list[float]:
    """Return the sorted waits of first calls, in milliseconds."""
    limits = [Limit(f'first{index}', burst, burst) for index in range(100)]
    fleet = await _start_fleet(shape, limits)
    random = Random(3)
    waits = []
    loop = asyncio.get_running_loop()
    for limit in limits:
        process = random.choice(tuple(fleet.daemons))
        started_at = loop.time()
        if isinstance(await fleet.call(process, limit.name, 1), Ok):
            waits.append((loop.time() - started_at) * 1000)
    await fleet.stop()
    return sorted(waits)


def print_cost() -> None:
    """Print both tables; CPU times are the lowest of five rounds."""
    cpu = run_simulation(_measure_cpu('17 in 4'))
    noop_cost = cpu['await of nothing']
    for name, cost in cpu.items():
        print(f'{name:24} {cost:8.2f} us  {cost / noop_cost:8.1f} x nothing')
    for shape in SHAPES:
        for burst in (5, 100):
            waits = run_simulation(_measure_first_calls(shape, burst))
            print(
                f'{shape:9} first call, rate and burst {burst:3}: '
                f'{len(waits)} of 100 admitted, '
                f'ms p50 {waits[len(waits) // 2]:.2f} max {waits[-1]:.2f}'
            )
