"""Benchmark of membership, with all-to-all heartbeats as the baseline.

``python -m wagtailline_lab.bench.membership [SIZE ...]`` prints one line for
each number of members. Times are virtual seconds. CPU time is that of the
whole simulation, including the event loop and the encoding and decoding of
every message, divided by members and virtual seconds.
"""

import argparse
import asyncio
import time
from collections.abc import Callable
from itertools import repeat
from statistics import median
from typing import NamedTuple

from wagtailline.membership import (
    Member,
    MembershipSettings,
    MemberTable,
)
from wagtailline_lab.bench._membership_baseline import (
    DATA_CENTRE,
    MICROSECONDS_PER_SECOND,
    SEED,
    PropagationDelay,
    Rate,
    measure_heartbeats,
    measure_memory,
)
from wagtailline_lab.membership_fleet import Fleet, Node, run_fleet

SIZES = (50, 200, 745, 1500)
FLEET_SIZE = 8200
_SETTLE_SECONDS = 20.0
_IDLE_SECONDS = 20.0
_POLL_SECONDS = 0.1
_TIMEOUT_SECONDS = 120.0
_PAUSE_SECONDS = 20.0
_NEVER_SECONDS = 1_000_000.0


class Measurement(NamedTuple):
    """Results for one number of members."""

    death: PropagationDelay
    replacement: PropagationDelay
    resumption: PropagationDelay
    idle: Rate
    restart: Rate
    restart_peak: float
    restart_seconds: float


class Meter:
    """Measures traffic and CPU time from its creation."""

    def __init__(self, fleet: Fleet) -> None:
        """Record the present counters."""
        self._fleet = fleet
        self._traffic = fleet.traffic()
        self._cpu_seconds = time.process_time()
        self._started_at = asyncio.get_running_loop().time()

    def read(self) -> Rate:
        """Return the cost of a member and second since the creation."""
        seconds = asyncio.get_running_loop().time() - self._started_at
        divisor = seconds * len(self._fleet.live())
        traffic = self._fleet.traffic()
        cpu = (
            time.process_time() - self._cpu_seconds
        ) * MICROSECONDS_PER_SECOND
        return Rate(
            (traffic.sent_bytes - self._traffic.sent_bytes) / divisor,
            (traffic.messages - self._traffic.messages) / divisor,
            cpu / divisor,
        )


async def measure(size: int) -> Measurement:
    """Measure a fleet when idle and in each failure scenario."""
    fleet = await start_fleet(size)
    meter = Meter(fleet)
    await asyncio.sleep(_IDLE_SECONDS)
    idle = meter.read()
    death, replacement = await measure_replacement(fleet)
    resumption = await measure_pause(fleet)
    restart, peak, seconds = await restart_tenth(fleet)
    return Measurement(
        death, replacement, resumption, idle, restart, peak, seconds
    )


async def measure_replacement(
    fleet: Fleet,
) -> tuple[PropagationDelay, PropagationDelay]:
    """Measure how a death and then a replacement become known."""
    victim = fleet.nodes[len(fleet.nodes) // 2]
    await fleet.kill(victim)
    death = await _measure_propagation(
        fleet, lambda node: not _believes_answering(node, victim.member)
    )
    successor = fleet.add(victim.member.endpoint, DATA_CENTRE)
    starting = asyncio.create_task(successor.service.start())
    replacement = await _measure_propagation(
        fleet, lambda node: _believes_answering(node, successor.member)
    )
    await starting
    return death, replacement


async def measure_pause(fleet: Fleet) -> PropagationDelay:
    """Measure how the return of a process becomes known after a pause.

    The pause is long enough for others to mark it down.
    """
    paused = fleet.nodes[len(fleet.nodes) // 3]
    paused.pause()
    await asyncio.sleep(_PAUSE_SECONDS)
    paused.resume()
    return_delay = await _measure_propagation(
        fleet, lambda node: _believes_answering(node, paused.member)
    )
    await asyncio.sleep(_SETTLE_SECONDS)
    return return_delay


async def start_fleet(size: int) -> Fleet:
    """Start a fleet whose members know each other."""
    # Lists are read only by members that join later, once each. The cost of
    # periodic reads is not part of the fleet's.
    settings = MembershipSettings(
        list_interval_seconds=_NEVER_SECONDS,
        remote_list_interval_seconds=_NEVER_SECONDS,
    )
    fleet = Fleet(SEED, settings=settings)
    template = MemberTable()
    for index in range(size):
        added = fleet.add(f'catalogue-lhe1-{index:04}', DATA_CENTRE)
        template.update(added.member)
    fleet.lists.available = False
    for started in fleet.nodes:
        started.table.copy_from(template)
    await asyncio.gather(*(node.service.start() for node in fleet.nodes))
    fleet.lists.write(DATA_CENTRE, [node.member for node in fleet.nodes])
    fleet.lists.available = True
    await asyncio.sleep(_SETTLE_SECONDS)
    return fleet


async def restart_tenth(fleet: Fleet) -> tuple[Rate, float, float]:
    """Kill a tenth, start successors after a second, await convergence.

    The result is the cost over that time, its highest bytes a second for
    each member, and the time in seconds.
    """
    live = fleet.live()
    for victim in fleet.random.sample(live, len(live) // 10):
        await fleet.kill(victim)
        fleet.add(victim.member.endpoint, DATA_CENTRE)
    meter = Meter(fleet)
    started_at = asyncio.get_running_loop().time()
    await asyncio.sleep(1)
    successors = fleet.nodes[len(fleet.nodes) - len(live) // 10 :]
    starting = [
        asyncio.create_task(node.service.start()) for node in successors
    ]
    peak: float = 0
    while not _has_converged(fleet):
        second_meter = Meter(fleet)
        await asyncio.sleep(1)
        peak = max(peak, second_meter.read().sent_bytes)
        if asyncio.get_running_loop().time() - started_at > _TIMEOUT_SECONDS:
            break
    await asyncio.gather(*starting)
    elapsed = asyncio.get_running_loop().time() - started_at
    return meter.read(), peak, elapsed


async def _measure_propagation(
    fleet: Fleet, condition: Callable[[Node], bool]
) -> PropagationDelay:
    started_at = asyncio.get_running_loop().time()
    waiting = fleet.live()
    delays: list[float] = []
    elapsed: float = 0
    while waiting and elapsed < _TIMEOUT_SECONDS:
        await asyncio.sleep(_POLL_SECONDS)
        elapsed = asyncio.get_running_loop().time() - started_at
        still_waiting = [node for node in waiting if not condition(node)]
        delays.extend(repeat(elapsed, len(waiting) - len(still_waiting)))
        waiting = still_waiting
    delays.extend(repeat(float('inf'), len(waiting)))
    return PropagationDelay(median(delays), max(delays))


def _believes_answering(node: Node, member: Member) -> bool:
    known = node.table.find(member.endpoint)
    return (
        known is not None
        and known.incarnation == member.incarnation
        and node.service.is_answering(member.endpoint)
    )


def _has_converged(fleet: Fleet) -> bool:
    live = fleet.live()
    digests = {node.table.digest(DATA_CENTRE) for node in live}
    sizes = {len(node.table.in_data_centre(DATA_CENTRE)) for node in live}
    return len(digests) == 1 and sizes == {len(live)}


def _print_line(size: int) -> None:
    measured = run_fleet(measure(size))
    rate, heartbeat = measure_heartbeats(size)
    memory = measure_memory(size) / 1024
    print(
        f'{size:5}'
        f' {measured.death.median:6.1f} {measured.death.last:5.1f}'
        f' {measured.replacement.median:6.1f} {measured.replacement.last:5.1f}'
        f' {measured.resumption.median:6.1f} {measured.resumption.last:5.1f}'
        f' {measured.idle.sent_bytes:7.0f} {measured.idle.messages:5.1f}'
        f' {measured.idle.cpu_microseconds:6.0f}'
        f' {measured.restart_seconds:6.1f} {measured.restart.sent_bytes:7.0f}'
        f' {measured.restart_peak:6.0f} {measured.restart.messages:5.1f}'
        f' {measured.restart.cpu_microseconds:6.0f} {memory:7.0f}'
        f' | {heartbeat.median:6.1f} {heartbeat.last:5.1f}'
        f' {rate.sent_bytes:8.0f} {rate.messages:6.0f}'
        f' {rate.cpu_microseconds:7.0f}',
        flush=True,
    )


def main() -> None:
    """Run the benchmark and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('sizes', nargs='*', type=int, default=SIZES)
    sizes: list[int] = parser.parse_args().sizes
    print('                death  replacement     return |  at rest, a member')
    print(
        'members   median last  median last  median last   B/s  msg/s CPU us'
        ' | restart of a tenth: s, B/s, peak B/s, msg/s, CPU us | table KiB'
        ' | heartbeats: death median last, B/s, msg/s, CPU us'
    )
    for size in sizes:
        _print_line(size)
    memory = measure_memory(FLEET_SIZE) / 1024
    print(f'table of {FLEET_SIZE} members: {memory:.0f} KiB')


if __name__ == '__main__':
    main()
