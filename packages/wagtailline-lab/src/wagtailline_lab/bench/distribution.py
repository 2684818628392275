"""Benchmark of the distribution and two baselines, in virtual time.

Run it as ``python -m wagtailline_lab.bench.distribution [daemons ...]``. All
daemons run in one process; the network delays each message by 0.5 to 1.5 ms.
Each message is encoded and decoded once, but there are no system calls: CPU
time and memory are those of the daemons' code, the codec and the simulated
network. There are as many endpoints as daemons.
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
from wagtailline_lab.bench._mechanisms import (
    DATA_CENTRES,
    Mechanism,
    SourcePolling,
    SourceWatching,
    TreeDistribution,
)
from wagtailline_lab.bench._meter import TrafficMeter
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
PARTITION_SECONDS = 20
PARTITIONED_DATA_CENTRE = 'dc1'
WAIT_TIMEOUT_SECONDS = 120.0
POLL_SECONDS = 0.002
RESTART_SECONDS = 5
MILLION = 1_000_000

MedianAndLast = tuple[float, float]


class Load(NamedTuple):
    """Cost per daemon and second, and calls to the source per second.

    ``transferred`` is the number of bytes sent, received and read from the
    source.
    """

    messages: float
    transferred: float
    source_calls: float
    cpu_microseconds: float


class Row(NamedTuple):
    """One line of the table; times are in seconds, as (median, last) daemon."""

    change: MedianAndLast
    burst: MedianAndLast
    healed: MedianAndLast
    rest: Load
    changing: Load
    change_calls: int
    restart_calls: float
    resident_kilobytes: float = 0


def main() -> None:
    """Print the results for the fleet sizes given as arguments."""
    sizes = [int(size) for size in sys.argv[1:]] or list(DEFAULT_SIZES)
    print(_TABLE_HEADER)
    for size in sizes:
        for mechanism_name, make_mechanism in _MECHANISMS.items():
            row = run_virtual(_measure(make_mechanism, size))
            print(_format_row(mechanism_name, size, row), flush=True)
            gc.collect()
    tcp = asyncio.run(measure_tcp())
    print(f'{TCP_DAEMONS} daemons over TCP: {tcp:.0f} us/s of CPU each at rest')
    print(f'snapshot of {TARGET_ENDPOINTS} endpoints: {_snapshot_mb():.1f} MB')


class _Benchmark:
    def __init__(self, mechanism: Mechanism, size: int) -> None:
        self._mechanism = mechanism
        self._size = size
        self._simulation = mechanism.simulation
        self._meter = TrafficMeter()
        self._simulation.network.observe = self._meter.observe

    async def start_fleet(self) -> None:
        objects = make_objects(
            self._size, max(4, self._size // 16), DATA_CENTRES
        )
        self._simulation.publisher.publish(objects)
        await self._mechanism.start()
        await asyncio.sleep(JOIN_SECONDS)

    async def measure_load(self, seconds: float, *, changes: bool) -> Load:
        source = self._simulation.source
        self._meter.read_and_reset()
        calls, source_bytes = source.calls, source.bytes_read
        cpu_seconds = time.process_time()
        if changes:
            for _ in range(round(seconds / CHANGE_PERIOD_SECONDS)):
                self._publish()
                await asyncio.sleep(CHANGE_PERIOD_SECONDS)
        else:
            await asyncio.sleep(seconds)
        cpu_seconds = time.process_time() - cpu_seconds
        reading = self._meter.read_and_reset()
        source_bytes = source.bytes_read - source_bytes
        daemon_seconds = self._size * seconds
        return Load(
            reading.messages / daemon_seconds,
            (2 * reading.sent_bytes + source_bytes) / daemon_seconds,
            (source.calls - calls) / seconds,
            cpu_seconds * MILLION / daemon_seconds,
        )

    async def time_change(self) -> MedianAndLast:
        return await self._time_until_in_force(self._publish(), None)

    async def time_burst(self) -> MedianAndLast:
        version = 0
        for _ in range(BURST_CHANGES):
            version = self._publish()
            await asyncio.sleep(BURST_PERIOD_SECONDS)
        return await self._time_until_in_force(version, None)

    async def time_heal(self) -> MedianAndLast:
        locate = self._simulation.fleet.data_centre_of
        self._simulation.network.partition(
            lambda local, remote: (
                (locate(local) == PARTITIONED_DATA_CENTRE)
                != (locate(remote) == PARTITIONED_DATA_CENTRE)
            )
        )
        self._simulation.source.reaches = lambda address: (
            locate(address) != PARTITIONED_DATA_CENTRE
        )
        await asyncio.sleep(PARTITION_SECONDS / 2)
        version = self._publish()
        await asyncio.sleep(PARTITION_SECONDS / 2)
        self._simulation.network.heal()
        self._simulation.source.reaches = lambda address: True
        return await self._time_until_in_force(version, PARTITIONED_DATA_CENTRE)

    async def count_source_calls(self, seconds: float, *, restart: bool) -> int:
        calls = self._simulation.source.calls
        if restart:
            await self._mechanism.restart_half()
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

    async def _time_until_in_force(
        self, version: int, data_centre: str | None
    ) -> MedianAndLast:
        loop = asyncio.get_running_loop()
        started = loop.time()
        median = float('inf')
        while loop.time() - started < WAIT_TIMEOUT_SECONDS:
            versions = self._mechanism.versions(data_centre)
            reached = sum(in_force >= version for in_force in versions)
            if 2 * reached >= len(versions):
                median = min(median, loop.time() - started)
            if reached == len(versions):
                return median, loop.time() - started
            await asyncio.sleep(POLL_SECONDS)
        return median, float('inf')


async def _measure(
    make_mechanism: Callable[[int], Mechanism], size: int
) -> Row:
    before_bytes = _resident_bytes()
    mechanism = make_mechanism(size)
    benchmark = _Benchmark(mechanism, size)
    await benchmark.start_fleet()
    rest = await benchmark.measure_load(REST_SECONDS, changes=False)
    growth_bytes = _resident_bytes() - before_bytes
    row = await _measure_changes(benchmark, rest)
    await mechanism.stop()
    return row._replace(resident_kilobytes=growth_bytes / 1000 / size)


async def _measure_changes(benchmark: _Benchmark, rest: Load) -> Row:
    _log_phase('rest', rest)
    change = await benchmark.time_change()
    change_calls = await benchmark.count_source_calls(1, restart=False)
    _log_phase('change', change)
    burst = await benchmark.time_burst()
    _log_phase('burst', burst)
    changing = await benchmark.measure_load(CHANGING_SECONDS, changes=True)
    _log_phase('changing', changing)
    healed = await benchmark.time_heal()
    _log_phase('return', healed)
    restart = await benchmark.count_source_calls(RESTART_SECONDS, restart=True)
    return Row(
        change,
        burst,
        healed,
        rest,
        changing,
        change_calls,
        restart / RESTART_SECONDS,
    )


def _log_phase(phase: str, measured: object) -> None:
    """Print the result of a phase to stderr, as a whole run takes minutes."""
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


def _format_row(mechanism_name: str, size: int, row: Row) -> str:
    return _ROW_FORMAT.format(
        mechanism_name,
        size,
        *(f'{seconds:.3f}' for times in row[:3] for seconds in times),
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
        row.resident_kilobytes,
    )


_MECHANISMS: dict[str, Callable[[int], Mechanism]] = {
    'tree': TreeDistribution,
    'watch': SourceWatching,
    'poll': SourcePolling,
}
_ROW_FORMAT = (
    '{:6}{:>5} {:>7}{:>7} {:>7}{:>7} {:>7}{:>7}'
    ' |{:>6.1f}{:>7.0f}{:>7.1f}{:>7.0f}'
    ' |{:>6.1f}{:>7.0f}{:>7.1f}{:>7.0f} |{:>6}{:>8.1f}{:>7.0f}'
)
_TABLE_HEADER = (
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
