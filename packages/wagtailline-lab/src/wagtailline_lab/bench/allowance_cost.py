"""CPU time of an acquire, and the latency of a first call."""

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

_NEAR = LinkQuality(0.0001, 0.0003)
_ROUNDS = 5
_HITS = 20_000
_WARM_CALLS = 200
# Name, limit, calls and timeout. The first calls of a kind may miss.
_KINDS_OF_CALLS = (
    ('local hit', 'hit', 10, 1),
    ('miss, whole round trip', 'miss', 300, 1),
    ('first refusal', 'none', 1, 0),
    ('refusal without asking', 'none', 5000, 0),
)
_MICROSECONDS = 1_000_000


async def _noop() -> None:
    """Stand for the least that an awaited call costs."""


async def _start(shape: str, limits: list[Limit]) -> Fleet:
    fleet = Fleet(1, near=_NEAR, far=SHAPES[shape].far)
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
    fleet = await _start(shape, limits)
    service = next(iter(fleet.daemons.values())).admission
    best: dict[str, float] = {}
    for _ in range(_ROUNDS):
        start = time.process_time()
        for _ in range(_HITS):
            await _noop()
        _keep_best(best, 'await of nothing', start, _HITS)
        await _measure_round(service, best)
    await fleet.stop()
    return best


async def _measure_round(service: Admission, best: dict[str, float]) -> None:
    for _ in range(_WARM_CALLS):
        await service.acquire('hit', 1)
        await asyncio.sleep(0.001)
    for name, limit, count, timeout in _KINDS_OF_CALLS:
        start = time.process_time()
        for _ in range(count):
            await service.acquire(limit, timeout)
        _keep_best(best, name, start, count)
        await asyncio.sleep(1)


def _keep_best(
    best: dict[str, float], name: str, start: float, count: int
) -> None:
    cost = (time.process_time() - start) / max(1, count) * _MICROSECONDS
    best[name] = min(cost, best.get(name, cost))


async def _measure_first(shape: str, burst: int) -> list[float]:
    limits = [Limit(f'first{index}', burst, burst) for index in range(100)]
    fleet = await _start(shape, limits)
    random = Random(3)
    waits = []
    loop = asyncio.get_running_loop()
    for limit in limits:
        process = random.choice(tuple(fleet.daemons))
        start = loop.time()
        if isinstance(await fleet.call(process, limit.name, 1), Ok):
            waits.append((loop.time() - start) * 1000)
    await fleet.stop()
    return sorted(waits)


def print_cost() -> None:
    """Print both tables; CPU times are the best of five rounds."""
    cpu = run_simulation(_measure_cpu('17 in 4'))
    base = cpu['await of nothing']
    for name, cost in cpu.items():
        print(f'{name:24} {cost:8.2f} us  {cost / base:8.1f} x nothing')
    for shape in SHAPES:
        for burst in (5, 100):
            waits = run_simulation(_measure_first(shape, burst))
            print(
                f'{shape:9} first call, rate and burst {burst:3}: '
                f'{len(waits)} of 100 admitted, '
                f'ms p50 {waits[len(waits) // 2]:.2f} max {waits[-1]:.2f}'
            )
