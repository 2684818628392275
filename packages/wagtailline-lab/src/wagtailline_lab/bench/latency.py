"""Latency that a daemon adds to a call, against direct calls and a proxy.

Run by ``python -m wagtailline_lab.bench.latency``. All variants take turns
in slices of half a second, so that noise of the machine meets them alike.
"""

import argparse
import asyncio
import multiprocessing
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from wagtailline_lab.bench._latency_servers import (
    HOST,
    KEY,
    Ports,
    run_gate,
    run_ingress,
    run_proxy,
    run_upstream,
)
from wagtailline_lab.bench._open_loop import Pool, Sample, Target, run_slice

RATE = 256
SLICE_SECONDS = 0.5
TARGET_MS = 0.69
_CONNECTIONS = 16
_WARM_UP_ROUNDS = 2
_DIRECT = 'direct'
_PERCENTILES = (50.0, 99.0, 99.9)
_START_SECONDS = 30
_MILLISECONDS_PER_SECOND = 1000


class Mesh(NamedTuple):
    """The variants, and the processes that serve them."""

    targets: tuple[Target, ...]
    pids: tuple[int, ...]
    upstream: int
    gate: int

    def cpu_seconds(self) -> float:
        """Return the CPU time that all processes have used."""
        nanoseconds = 0
        for pid in self.pids:
            schedule = Path(f'/proc/{pid}/schedstat').read_text()
            nanoseconds += int(schedule.split()[0])
        return nanoseconds / 1e9


@contextmanager
def servers() -> Iterator[Mesh]:
    """Start the processes, yield the variants, and end the processes."""
    started: list[Any] = []
    try:
        yield _start_mesh(started)
    finally:
        for process in started:
            process.terminate()
            process.join(5)


def _start_mesh(started: list[Any]) -> Mesh:
    upstream = _start(started, run_upstream)
    proxy = _start(started, run_proxy, upstream)
    gate = _start(started, run_gate, upstream)
    ingress = _start(started, run_ingress, Ports(upstream, gate))
    key = b'Authorization: Bearer %b\r\n' % KEY
    targets = (
        Target(_DIRECT, upstream, '/near', b''),
        Target('proxy (falcon, aiohttp)', proxy, '/near', b''),
        Target('local call', ingress, '/near', key),
        Target('call through second', ingress, '/far', key),
    )
    pids = tuple(process.pid for process in started)
    return Mesh(targets, pids, upstream, gate)


def _start(
    started: list[Any], run: Callable[..., None], *arguments: Any
) -> int:
    context = multiprocessing.get_context('spawn')
    near, far = context.Pipe()
    process = context.Process(target=run, args=(far, *arguments), daemon=True)
    process.start()
    started.append(process)
    if not near.poll(_START_SECONDS):
        raise TimeoutError(run.__name__)
    port: int = near.recv()
    return port


class Measured(NamedTuple):
    """Samples in seconds, and CPU seconds of the processes by variant."""

    samples: list[Sample]
    cpu: dict[str, float]


async def measure(mesh: Mesh, rounds: int) -> Measured:
    """Run every variant in each round, in random order."""
    samples: list[Sample] = []
    cpu: dict[str, float] = defaultdict(float)
    pools = [Pool(target, samples.append) for target in mesh.targets]
    for pool in pools:
        await pool.open(_CONNECTIONS)
    count = int(RATE * SLICE_SECONDS)
    random = Random(1)
    missed = 0
    for number in range(rounds + _WARM_UP_ROUNDS):
        if number == _WARM_UP_ROUNDS:
            samples.clear()
            cpu.clear()
            missed = 0
        random.shuffle(pools)
        for pool in pools:
            before = mesh.cpu_seconds()
            missed += await run_slice(pool, RATE, count, number * count)
            cpu[pool.target.name] += mesh.cpu_seconds() - before
    if missed:
        print(f'not sent for lack of a free connection: {missed}')
    return Measured(samples, cpu)


def _percentile(ordered: list[float], percent: float) -> float:
    return ordered[min(int(len(ordered) * percent / 100), len(ordered) - 1)]


def _row(seconds: list[float], direct: list[float], cpu: float) -> str:
    found = [_percentile(seconds, one) for one in _PERCENTILES]
    added = [one - base for one, base in zip(found, direct, strict=True)]
    cells = [*found, *added, cpu / len(seconds)]
    return ''.join(f'{cell * _MILLISECONDS_PER_SECOND:9.3f}' for cell in cells)


def print_table(measured: Measured, targets: tuple[Target, ...]) -> None:
    """Print milliseconds and what each variant adds to a direct call."""
    seconds: dict[str, list[float]] = defaultdict(list)
    for sample in sorted(measured.samples, key=lambda one: one.seconds):
        seconds[sample.name].append(sample.seconds)
    names = [f'p{one:g}' for one in _PERCENTILES]
    columns = [*names, *(f'+{name}' for name in names), 'cpu']
    heads = ''.join(f'{column:>9}' for column in columns)
    print(f'{"variant":26}{"calls":>7}{heads}   (ms)')
    direct = [_percentile(seconds[_DIRECT], one) for one in _PERCENTILES]
    for target in targets:
        own = seconds[target.name]
        row = _row(own, direct, measured.cpu[target.name])
        print(f'{target.name:26}{len(own):7}{row}')
    wrong = sum(not one.correct for one in measured.samples)
    print(f'wrong answers: {wrong}; target: +p99 of {TARGET_MS} ms')
    print('cpu: CPU time of all server processes for each call')


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=16)
    rounds = parser.parse_args().rounds
    print(f'{RATE} GET/s of 400 bytes on {HOST}, {rounds} rounds')
    with servers() as mesh:
        measured = asyncio.run(measure(mesh, rounds))
        print_table(measured, mesh.targets)


if __name__ == '__main__':
    main()
