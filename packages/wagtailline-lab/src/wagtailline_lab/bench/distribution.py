"""Measures the distribution against two baselines on virtual time.

Run with ``python -m wagtailline_lab.bench.distribution [daemons ...]``. All
daemons run in one process; the network delays each message 0.5 to 1.5 ms.
Each message is encoded and decoded once, but no system calls are made: CPU
and memory are those of the code, the codec and the fake network. The set has
as many endpoints as there are daemons.
"""

import asyncio
import gc
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from wagtailline.objects import Endpoint
from wagtailline.release import EMPTY_SET, assemble_buckets, build_release
from wagtailline.snapshot import Snapshot
from wagtailline_lab.bench._meter import TrafficMeter
from wagtailline_lab.bench._systems import (
    DATA_CENTRES,
    DirectSystem,
    PollSystem,
    System,
    TreeSystem,
)
from wagtailline_lab.bench._tcp import TCP_DAEMONS, measure_tcp
from wagtailline_lab.sample_set import make_objects
from wagtailline_lab.virtual import run_virtual

DEFAULT_SIZES = (50, 200, 800, 2000)
TARGET_ENDPOINTS = 8200
TARGET_SERVICES = 500
TARGET_KEYS = 500
JOIN_SECONDS = 12
REST_SECONDS = 20
# 15,000 changes a day.
CHANGE_PERIOD_SECONDS = 86_400 / 15_000
CHANGING_SECONDS = 5 * CHANGE_PERIOD_SECONDS
BURST_CHANGES = 100
BURST_PERIOD_SECONDS = 0.01
CUT_SECONDS = 20
CUT_DATA_CENTRE = 'dc1'
LIMIT_SECONDS = 120.0
POLL_SECONDS = 0.002
RESTART_SECONDS = 5
MILLION = 1_000_000

Times = tuple[float, float]


class Load(NamedTuple):
    """Cost for each daemon and second, and source calls a second.

    Bytes are sent and received ones with those of the source.
    """

    messages: float
    transferred: float
    source_calls: float
    cpu_microseconds: float


class Row(NamedTuple):
    """One line of the table; times in seconds at the median and last."""

    change: Times
    burst: Times
    healed: Times
    rest: Load
    changing: Load
    change_calls: int
    restart_calls: float
    kilobytes: float = 0


def main() -> None:
    """Print the table for the sizes given as arguments."""
    sizes = [int(size) for size in sys.argv[1:]] or list(DEFAULT_SIZES)
    print(_HEADER)
    for size in sizes:
        for mechanism, make in _MECHANISMS.items():
            row = run_virtual(_measure(make, size))
            print(_format(mechanism, size, row), flush=True)
            gc.collect()
    tcp = asyncio.run(measure_tcp())
    print(f'{TCP_DAEMONS} daemons over TCP: {tcp:.0f} us/s of CPU each at rest')
    print(f'snapshot of {TARGET_ENDPOINTS} endpoints: {_snapshot_mb():.1f} MB')


class _Bench:
    def __init__(self, system: System, size: int) -> None:
        self._system = system
        self._size = size
        self._simulation = system.simulation
        self._meter = TrafficMeter()
        self._simulation.network.observe = self._meter.observe

    async def begin(self) -> None:
        objects = make_objects(
            self._size, max(4, self._size // 16), DATA_CENTRES
        )
        self._simulation.publisher.publish(objects)
        await self._system.start()
        await asyncio.sleep(JOIN_SECONDS)

    async def load(self, seconds: float, *, changes: bool) -> Load:
        source = self._simulation.source
        self._meter.take()
        calls, content = source.calls, source.bytes_read
        cpu = time.process_time()
        if changes:
            for _ in range(round(seconds / CHANGE_PERIOD_SECONDS)):
                self._publish()
                await asyncio.sleep(CHANGE_PERIOD_SECONDS)
        else:
            await asyncio.sleep(seconds)
        cpu = time.process_time() - cpu
        reading = self._meter.take()
        content = source.bytes_read - content
        unit = self._size * seconds
        return Load(
            reading.messages / unit,
            (2 * reading.sent_bytes + content) / unit,
            (source.calls - calls) / seconds,
            cpu * MILLION / unit,
        )

    async def change(self) -> Times:
        return await self._wait(self._publish(), None)

    async def burst(self) -> Times:
        version = 0
        for _ in range(BURST_CHANGES):
            version = self._publish()
            await asyncio.sleep(BURST_PERIOD_SECONDS)
        return await self._wait(version, None)

    async def heal(self) -> Times:
        centre = self._simulation.fleet.data_centre_of
        self._simulation.network.partition(
            lambda local, remote: (
                (centre(local) == CUT_DATA_CENTRE)
                != (centre(remote) == CUT_DATA_CENTRE)
            )
        )
        self._simulation.source.reaches = lambda address: (
            centre(address) != CUT_DATA_CENTRE
        )
        await asyncio.sleep(CUT_SECONDS / 2)
        version = self._publish()
        await asyncio.sleep(CUT_SECONDS / 2)
        self._simulation.network.heal()
        self._simulation.source.reaches = lambda address: True
        return await self._wait(version, CUT_DATA_CENTRE)

    async def calls_after(self, seconds: float, *, restart: bool) -> int:
        calls = self._simulation.source.calls
        if restart:
            await self._system.restart_half()
        else:
            self._publish()
        await asyncio.sleep(seconds)
        return self._simulation.source.calls - calls

    def _publish(self) -> int:
        publisher = self._simulation.publisher
        number = publisher.head.version if publisher.head else 0
        name = f'endpoint{number % self._size}.dc{number % DATA_CENTRES}'
        changed = Endpoint(name, 'service0', 'dc0', 1 + number % 9, 120)
        return publisher.change(changed).head.version

    async def _wait(self, version: int, data_centre: str | None) -> Times:
        loop = asyncio.get_running_loop()
        started = loop.time()
        median = float('inf')
        while loop.time() - started < LIMIT_SECONDS:
            versions = self._system.versions(data_centre)
            reached = sum(one >= version for one in versions)
            if 2 * reached >= len(versions):
                median = min(median, loop.time() - started)
            if reached == len(versions):
                return median, loop.time() - started
            await asyncio.sleep(POLL_SECONDS)
        return median, float('inf')


async def _measure(make: Callable[[int], System], size: int) -> Row:
    resident = _resident_bytes()
    system = make(size)
    bench = _Bench(system, size)
    await bench.begin()
    rest = await bench.load(REST_SECONDS, changes=False)
    grown = _resident_bytes() - resident
    row = await _disturb(bench, rest)
    await system.stop()
    return row._replace(kilobytes=grown / 1000 / size)


async def _disturb(bench: _Bench, rest: Load) -> Row:
    _log('rest', rest)
    change = await bench.change()
    change_calls = await bench.calls_after(1, restart=False)
    _log('change', change)
    burst = await bench.burst()
    _log('burst', burst)
    changing = await bench.load(CHANGING_SECONDS, changes=True)
    _log('changing', changing)
    healed = await bench.heal()
    _log('return', healed)
    restart = await bench.calls_after(RESTART_SECONDS, restart=True)
    return Row(
        change,
        burst,
        healed,
        rest,
        changing,
        change_calls,
        restart / RESTART_SECONDS,
    )


def _log(phase: str, measured: object) -> None:
    """Show the progress of runs that take minutes."""
    print(f'{phase}: {measured}', file=sys.stderr, flush=True)


def _resident_bytes() -> int:
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize()


def _snapshot_mb() -> float:
    objects = make_objects(
        TARGET_ENDPOINTS, TARGET_SERVICES, DATA_CENTRES, TARGET_KEYS
    )
    release = build_release(objects, None, {}).unwrap()
    tracemalloc.start()
    fetched = {
        digest: bytes(bytearray(content))
        for digest, content in release.buckets.items()
    }
    held = assemble_buckets(EMPTY_SET, release.head, fetched).unwrap().buckets
    snapshot = Snapshot(held.version, held.digest, held.objects)
    size = tracemalloc.get_traced_memory()[0] / MILLION
    tracemalloc.stop()
    return size if snapshot.version else 0


def _format(mechanism: str, size: int, row: Row) -> str:
    return _LINE.format(
        mechanism,
        size,
        *(f'{one:.3f}' for times in row[:3] for one in times),
        row.rest.messages,
        row.rest.transferred,
        row.rest.source_calls,
        row.rest.cpu_microseconds,
        row.changing.messages,
        row.changing.transferred,
        row.changing.source_calls,
        row.changing.cpu_microseconds,
        row.change_calls,
        row.restart_calls,
        row.kilobytes,
    )


_MECHANISMS: dict[str, Callable[[int], System]] = {
    'tree': TreeSystem,
    'watch': DirectSystem,
    'poll': PollSystem,
}
_LINE = (
    '{:6}{:>5} {:>7}{:>7} {:>7}{:>7} {:>7}{:>7}'
    ' |{:>6.1f}{:>7.0f}{:>7.1f}{:>7.0f}'
    ' |{:>6.1f}{:>7.0f}{:>7.1f}{:>7.0f} |{:>6}{:>8.1f}{:>7.0f}'
)
_HEADER = (
    'times in s (median, last) for a change, the last of 100 in 1 s, and the\n'
    'return of a data centre; at rest and at 15,000 changes/day: messages/s\n'
    'and bytes/s (sent and received) of a daemon, source calls/s of all, CPU\n'
    'us/s of a daemon; source calls in the second after a change; source\n'
    'calls/s while half of the daemons restart; resident KB of a daemon\n'
    '       n   change          burst          return  '
    '      | rest: msg  bytes  calls    cpu'
    ' | changing: as rest         | chg  restart    KB'
)

if __name__ == '__main__':
    main()
