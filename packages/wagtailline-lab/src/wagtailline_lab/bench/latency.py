"""Benchmark of the latency that daemons and a plain proxy add to direct calls.

Run it as ``python -m wagtailline_lab.bench.latency``. The variants alternate
in slices of half a second, so that other load on the machine affects them
equally.
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
from wagtailline_lab.bench._open_loop import (
    ConnectionPool,
    Sample,
    Target,
    run_slice,
)

RATE = 256
SLICE_SECONDS = 0.5
ADDED_P99_TARGET_MS = 0.69
_CONNECTIONS = 16
_WARM_UP_ROUNDS = 2
_DIRECT = 'direct'
_PERCENTILES = (50.0, 99.0, 99.9)
_START_TIMEOUT_SECONDS = 30
_MILLISECONDS_PER_SECOND = 1000


class RunningServers(NamedTuple):
    """The measured variants, and the server processes behind them."""

    targets: tuple[Target, ...]
    pids: tuple[int, ...]
    upstream_port: int
    gate_port: int

    def cpu_seconds(self) -> float:
        """Return the CPU seconds that all server processes have used."""
        nanoseconds = 0
        for pid in self.pids:
            schedule = Path(f'/proc/{pid}/schedstat').read_text()
            nanoseconds += int(schedule.split()[0])
        return nanoseconds / 1e9


@contextmanager
def run_servers() -> Iterator[RunningServers]:
    """Run the server processes while the context is active."""
    processes: list[Any] = []
    try:
        yield _start_servers(processes)
    finally:
        for process in processes:
            process.terminate()
            process.join(5)


def _start_servers(processes: list[Any]) -> RunningServers:
    upstream_port = _start_process(processes, run_upstream)
    proxy_port = _start_process(processes, run_proxy, upstream_port)
    gate_port = _start_process(processes, run_gate, upstream_port)
    ingress_port = _start_process(
        processes, run_ingress, Ports(upstream_port, gate_port)
    )
    authorization = b'Authorization: Bearer %b\r\n' % KEY
    targets = (
        Target(_DIRECT, upstream_port, '/near', b''),
        Target('proxy (falcon, aiohttp)', proxy_port, '/near', b''),
        Target('local call', ingress_port, '/near', authorization),
        Target('call through second', ingress_port, '/far', authorization),
    )
    pids = tuple(process.pid for process in processes)
    return RunningServers(targets, pids, upstream_port, gate_port)


def _start_process(
    processes: list[Any], serve: Callable[..., None], *arguments: Any
) -> int:
    context = multiprocessing.get_context('spawn')
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=serve, args=(child_end, *arguments), daemon=True
    )
    process.start()
    processes.append(process)
    if not parent_end.poll(_START_TIMEOUT_SECONDS):
        raise TimeoutError(serve.__name__)
    port: int = parent_end.recv()
    return port


class Measurement(NamedTuple):
    """Samples, and the CPU seconds of all server processes by variant."""

    samples: list[Sample]
    cpu: dict[str, float]


async def measure(running_servers: RunningServers, rounds: int) -> Measurement:
    """Run every variant once in each round, in random order."""
    samples: list[Sample] = []
    cpu: dict[str, float] = defaultdict(float)
    pools = [
        ConnectionPool(target, samples.append)
        for target in running_servers.targets
    ]
    for pool in pools:
        await pool.open(_CONNECTIONS)
    count = int(RATE * SLICE_SECONDS)
    random = Random(1)
    unsent = 0
    for round_number in range(rounds + _WARM_UP_ROUNDS):
        if round_number == _WARM_UP_ROUNDS:
            samples.clear()
            cpu.clear()
            unsent = 0
        random.shuffle(pools)
        for pool in pools:
            before = running_servers.cpu_seconds()
            unsent += await run_slice(pool, RATE, count, round_number * count)
            cpu[pool.target.name] += running_servers.cpu_seconds() - before
    if unsent:
        print(f'not sent for lack of a free connection: {unsent}')
    return Measurement(samples, cpu)


def _percentile(ordered: list[float], percent: float) -> float:
    return ordered[min(int(len(ordered) * percent / 100), len(ordered) - 1)]


def _format_row(seconds: list[float], direct: list[float], cpu: float) -> str:
    percentiles = [_percentile(seconds, percent) for percent in _PERCENTILES]
    added = [
        percentile - base
        for percentile, base in zip(percentiles, direct, strict=True)
    ]
    cells = [*percentiles, *added, cpu / len(seconds)]
    return ''.join(f'{cell * _MILLISECONDS_PER_SECOND:9.3f}' for cell in cells)


def print_table(measurement: Measurement, targets: tuple[Target, ...]) -> None:
    """Print latency percentiles, and what each variant adds to direct calls."""
    seconds: dict[str, list[float]] = defaultdict(list)
    for sample in sorted(
        measurement.samples, key=lambda result: result.seconds
    ):
        seconds[sample.name].append(sample.seconds)
    names = [f'p{percent:g}' for percent in _PERCENTILES]
    columns = [*names, *(f'+{name}' for name in names), 'cpu']
    headings = ''.join(f'{column:>9}' for column in columns)
    print(f'{"variant":26}{"calls":>7}{headings}   (ms)')
    direct = [
        _percentile(seconds[_DIRECT], percent) for percent in _PERCENTILES
    ]
    for target in targets:
        variant_seconds = seconds[target.name]
        row = _format_row(variant_seconds, direct, measurement.cpu[target.name])
        print(f'{target.name:26}{len(variant_seconds):7}{row}')
    incorrect = sum(not result.correct for result in measurement.samples)
    print(
        f'wrong answers: {incorrect}; target: +p99 of {ADDED_P99_TARGET_MS} ms'
    )
    print('cpu: CPU time of all server processes for each call')


def main() -> None:
    """Run the benchmark and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=16)
    rounds = parser.parse_args().rounds
    print(f'{RATE} GET/s of 400 bytes on {HOST}, {rounds} rounds')
    with run_servers() as running_servers:
        measurement = asyncio.run(measure(running_servers, rounds))
        print_table(measurement, running_servers.targets)


if __name__ == '__main__':
    main()
