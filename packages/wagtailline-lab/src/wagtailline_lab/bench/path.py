"""Benchmark of a whole mesh of real processes on the loopback interface.

``python -m wagtailline_lab.bench.path`` starts a mesh and prints the time
from publishing a version until it is in force at all daemons, the latency of
calls through daemons and of direct calls, and the CPU time and memory that
each daemon uses.
"""

import argparse
import asyncio
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import aiohttp

from wagtailline_lab.deployments import DEPLOYMENTS, make_api_key
from wagtailline_lab.mesh import HOST, Mesh

CHANGES = 10
CALLS = 2000
CALLS_PER_SECOND = 256
_POLL_SECONDS = 0.005
_SETTLE_SECONDS = 12.0
_MILLISECONDS = 1000
_KIB = 1024
_IDLE_SECONDS = 20.0
_PERCENT = 100
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_UNLIMITED_RATE = 10_000
_PATHS = ('direct', 'own gate', 'other gate')


class Latency(NamedTuple):
    """Latency percentiles of the calls on one path, in milliseconds."""

    path: str
    p50: float
    p99: float
    p999: float


async def measure(deployment: str) -> None:
    """Run a mesh of this deployment and print the results."""
    with tempfile.TemporaryDirectory(prefix='wagtailline-') as directory:
        mesh = Mesh(DEPLOYMENTS[deployment], Path(directory))
        _lift_rate_limits(mesh)
        try:
            await _measure_mesh(mesh)
        finally:
            await mesh.stop()


async def _measure_mesh(mesh: Mesh) -> None:
    await mesh.start()
    await mesh.wait_ready()
    await asyncio.sleep(_SETTLE_SECONDS)
    await _print_idle_cpu(mesh)
    async with aiohttp.ClientSession() as session:
        _print_convergence(await _measure_convergence(mesh, session))
        _print_latencies(await _measure_latencies(mesh, session))
    _print_usage(mesh)


def _lift_rate_limits(mesh: Mesh) -> None:
    """Raise all limits, so that no call waits for its rate limit."""
    for limit in mesh.set['limits']:
        limit.update(rate=_UNLIMITED_RATE, burst=_UNLIMITED_RATE)


async def _measure_convergence(
    mesh: Mesh, session: aiohttp.ClientSession
) -> list[list[float]]:
    """Return the seconds until each daemon has a change, for every change."""
    rounds: list[list[float]] = []
    for number in range(CHANGES):
        mesh.set['routes'][0]['timeout_ms'] = 9_000 + number
        version = mesh.publish()
        started_at = time.monotonic()
        ports = [member.ports.operator for member in mesh.members]
        rounds.append(
            await asyncio.gather(
                *(
                    _time_until_version(session, port, version, started_at)
                    for port in ports
                )
            )
        )
    return rounds


async def _time_until_version(
    session: aiohttp.ClientSession, port: int, version: int, started_at: float
) -> float:
    while True:
        async with session.get(f'http://{HOST}:{port}/v1/status') as response:
            status = await response.json()
        if status['snapshot']['version'] >= version:
            return time.monotonic() - started_at
        await asyncio.sleep(_POLL_SECONDS)


async def _measure_latencies(
    mesh: Mesh, session: aiohttp.ClientSession
) -> list[Latency]:
    """Send calls at a fixed rate, alternating between the paths."""
    account = next(iter(mesh.deployment.client_accounts))
    headers = {'Authorization': f'Bearer {make_api_key(account)}'}
    member = mesh.members[0]
    service = mesh.set['endpoints'][0]['service']
    other_service = list(mesh.deployment.services)[1]
    urls = dict(
        zip(
            _PATHS,
            (
                f'http://{HOST}:{member.ports.upstream}/{service}/1',
                f'http://{HOST}:{member.ports.http}/{service}/1',
                f'http://{HOST}:{member.ports.http}/{other_service}/1',
            ),
            strict=True,
        )
    )
    latencies_ms: dict[str, list[float]] = {path: [] for path in _PATHS}
    async with asyncio.TaskGroup() as group:
        for number in range(CALLS):
            path = _PATHS[number % len(_PATHS)]
            group.create_task(
                _time_call(session, urls[path], headers, latencies_ms[path])
            )
            await asyncio.sleep(1 / CALLS_PER_SECOND)
    return [_summarize(path, latencies_ms[path]) for path in _PATHS]


async def _time_call(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    latencies_ms: list[float],
) -> None:
    started_at = time.perf_counter()
    async with session.get(url, headers=headers) as response:
        await response.read()
        if response.ok:
            latencies_ms.append(
                (time.perf_counter() - started_at) * _MILLISECONDS
            )


def _summarize(path: str, latencies_ms: list[float]) -> Latency:
    permilles = statistics.quantiles(latencies_ms, n=1000)
    return Latency(path, permilles[499], permilles[989], permilles[998])


def _print_convergence(rounds: list[list[float]]) -> None:
    daemons = len(rounds[0])
    print(f'{len(rounds)} changes, {daemons} daemons; ms until in force')
    print('change median last')
    for number, times in enumerate(rounds):
        median = statistics.median(times) * _MILLISECONDS
        print(f'{number:6} {median:6.0f} {max(times) * _MILLISECONDS:4.0f}')


def _print_latencies(latencies: list[Latency]) -> None:
    direct = latencies[0]
    print('path p50 p99 p99.9 added-p50 added-p99 (ms)')
    for path, p50, p99, p999 in latencies:
        added = f'{p50 - direct.p50:.2f} {p99 - direct.p99:.2f}'
        print(f'{path}: {p50:.2f} {p99:.2f} {p999:.2f} {added}')


async def _print_idle_cpu(mesh: Mesh) -> None:
    """Print the CPU usage of the daemons without calls or changes."""
    pids = [member.process.pid for member in mesh.members]
    before = [cpu_seconds(pid) for pid in pids]
    await asyncio.sleep(_IDLE_SECONDS)
    percents = [
        (cpu_seconds(pid) - start) / _IDLE_SECONDS * _PERCENT
        for pid, start in zip(pids, before, strict=True)
    ]
    print(
        f'at rest, % of a core a daemon: median '
        f'{statistics.median(percents):.2f}, highest {max(percents):.2f}'
    )


def cpu_seconds(pid: int) -> float:
    """Return the seconds of user and system time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_SECOND


def _print_usage(mesh: Mesh) -> None:
    resident_mib = [
        resident_kib(member.process.pid) / _KIB for member in mesh.members
    ]
    print(
        f'resident MiB a daemon: median {statistics.median(resident_mib):.1f}, '
        f'highest {max(resident_mib):.1f}'
    )


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process, in KiB."""
    status = Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


def main() -> None:
    """Run the benchmark on the deployment named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'deployment', nargs='?', choices=list(DEPLOYMENTS), default='fjordpenn'
    )
    asyncio.run(measure(parser.parse_args().deployment))


if __name__ == '__main__':
    main()
