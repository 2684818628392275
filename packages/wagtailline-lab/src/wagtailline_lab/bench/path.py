"""Measures the whole path over real processes on loopback.

``python -m wagtailline_lab.bench.path`` starts a mesh and prints the time
from publishing until a version is in force at all daemons, the latency of
calls through the daemons against direct calls, and what each daemon uses.
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
_REST_SECONDS = 20.0
_PERCENT = 100
_TICKS = os.sysconf('SC_CLK_TCK')
_FREE_RATE = 10_000
_PATHS = ('direct', 'own gate', 'other gate')


class Latency(NamedTuple):
    """Latencies of one kind of call, in milliseconds."""

    path: str
    p50: float
    p99: float
    p999: float


async def measure(deployment: str) -> None:
    """Run a mesh and print the tables."""
    with tempfile.TemporaryDirectory(prefix='wagtailline-') as name:
        mesh = Mesh(DEPLOYMENTS[deployment], Path(name))
        _raise_limits(mesh)
        try:
            await _measure_mesh(mesh)
        finally:
            await mesh.stop()


async def _measure_mesh(mesh: Mesh) -> None:
    await mesh.start()
    await mesh.wait_ready()
    await asyncio.sleep(_SETTLE_SECONDS)
    await _print_rest(mesh)
    async with aiohttp.ClientSession() as session:
        _print_convergence(await _converge(mesh, session))
        _print_latencies(await _load(mesh, session))
    _print_usage(mesh)


def _raise_limits(mesh: Mesh) -> None:
    """Keep waits for an allowance out of the latency of the path."""
    for limit in mesh.set['limits']:
        limit.update(rate=_FREE_RATE, burst=_FREE_RATE)


async def _converge(
    mesh: Mesh, session: aiohttp.ClientSession
) -> list[list[float]]:
    """Return, for each change, the seconds until each daemon had it."""
    rounds: list[list[float]] = []
    for number in range(CHANGES):
        mesh.set['routes'][0]['timeout_ms'] = 9_000 + number
        version = mesh.publish()
        started = time.monotonic()
        ports = [member.ports.operator for member in mesh.members]
        rounds.append(
            await asyncio.gather(
                *(
                    _await_version(session, port, version, started)
                    for port in ports
                )
            )
        )
    return rounds


async def _await_version(
    session: aiohttp.ClientSession, port: int, version: int, started: float
) -> float:
    while True:
        async with session.get(f'http://{HOST}:{port}/v1/status') as answer:
            status = await answer.json()
        if status['snapshot']['version'] >= version:
            return time.monotonic() - started
        await asyncio.sleep(_POLL_SECONDS)


async def _load(mesh: Mesh, session: aiohttp.ClientSession) -> list[Latency]:
    """Send an open loop of calls that take turns between the paths."""
    account = next(iter(mesh.deployment.client_accounts))
    headers = {'Authorization': f'Bearer {make_api_key(account)}'}
    member = mesh.members[0]
    service = mesh.set['endpoints'][0]['service']
    other = list(mesh.deployment.services)[1]
    urls = dict(
        zip(
            _PATHS,
            (
                f'http://{HOST}:{member.ports.upstream}/{service}/1',
                f'http://{HOST}:{member.ports.http}/{service}/1',
                f'http://{HOST}:{member.ports.http}/{other}/1',
            ),
            strict=True,
        )
    )
    found: dict[str, list[float]] = {path: [] for path in _PATHS}
    async with asyncio.TaskGroup() as group:
        for number in range(CALLS):
            path = _PATHS[number % len(_PATHS)]
            group.create_task(_call(session, urls[path], headers, found[path]))
            await asyncio.sleep(1 / CALLS_PER_SECOND)
    return [_summarize(path, found[path]) for path in _PATHS]


async def _call(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    found: list[float],
) -> None:
    started = time.perf_counter()
    async with session.get(url, headers=headers) as answer:
        await answer.read()
        if answer.ok:
            found.append((time.perf_counter() - started) * _MILLISECONDS)


def _summarize(path: str, found: list[float]) -> Latency:
    cuts = statistics.quantiles(found, n=1000)
    return Latency(path, cuts[499], cuts[989], cuts[998])


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


async def _print_rest(mesh: Mesh) -> None:
    """Print the processor share of the daemons without calls or changes."""
    processes = [member.process.pid for member in mesh.members]
    before = [cpu_seconds(process) for process in processes]
    await asyncio.sleep(_REST_SECONDS)
    spent = [
        (cpu_seconds(process) - start) / _REST_SECONDS * _PERCENT
        for process, start in zip(processes, before, strict=True)
    ]
    print(
        f'at rest, % of a core a daemon: median '
        f'{statistics.median(spent):.2f}, highest {max(spent):.2f}'
    )


def cpu_seconds(process: int) -> float:
    """Return the user and system time of a process."""
    fields = Path(f'/proc/{process}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS


def _print_usage(mesh: Mesh) -> None:
    resident = [resident_kib(one.process.pid) / _KIB for one in mesh.members]
    print(
        f'resident MiB a daemon: median {statistics.median(resident):.1f}, '
        f'highest {max(resident):.1f}'
    )


def resident_kib(process: int) -> int:
    """Return the resident memory of a process in KiB."""
    status = Path(f'/proc/{process}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


def main() -> None:
    """Parse the name of the deployment and measure it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'deployment', nargs='?', choices=list(DEPLOYMENTS), default='fjordpenn'
    )
    asyncio.run(measure(parser.parse_args().deployment))


if __name__ == '__main__':
    main()
