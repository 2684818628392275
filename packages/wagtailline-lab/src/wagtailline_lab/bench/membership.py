"""Measures membership against all-to-all heartbeats.

``python -m wagtailline_lab.bench.membership [SIZE ...]`` prints one line for
each number of members. Times are virtual seconds; CPU is that of the whole
simulation, including the event loop and the encoding and decoding of every
message, divided by members and virtual seconds.
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
    MICROSECONDS,
    SEED,
    Rate,
    Spread,
    measure_heartbeats,
    measure_memory,
)
from wagtailline_lab.membership_fleet import Fleet, Node, run_fleet

SIZES = (50, 200, 745, 1500)
FLEET_SIZE = 8200
_SETTLE_SECONDS = 20.0
_REST_SECONDS = 20.0
_POLL_SECONDS = 0.1
_LIMIT_SECONDS = 120.0
_PAUSE_SECONDS = 20.0
_NEVER_SECONDS = 1_000_000.0


class Measured(NamedTuple):
    """Results of one number of members."""

    death: Spread
    replacement: Spread
    resumption: Spread
    rest: Rate
    restart: Rate
    restart_peak: float
    restart_seconds: float


class Meter:
    """Differences of traffic and CPU time since its start."""

    def __init__(self, fleet: Fleet) -> None:
        """Begin to measure."""
        self._fleet = fleet
        self._traffic = fleet.traffic()
        self._cpu = time.process_time()
        self._begun = asyncio.get_running_loop().time()

    def read(self) -> Rate:
        """Return the cost since the start."""
        seconds = asyncio.get_running_loop().time() - self._begun
        divisor = seconds * len(self._fleet.live())
        traffic = self._fleet.traffic()
        cpu = (time.process_time() - self._cpu) * MICROSECONDS
        return Rate(
            (traffic.sent_bytes - self._traffic.sent_bytes) / divisor,
            (traffic.messages - self._traffic.messages) / divisor,
            cpu / divisor,
        )


async def measure(size: int) -> Measured:
    """Run one fleet through rest, a death, its replacement and restarts."""
    fleet = await start_fleet(size)
    meter = Meter(fleet)
    await asyncio.sleep(_REST_SECONDS)
    rest = meter.read()
    death, replacement = await measure_replacement(fleet)
    resumption = await measure_pause(fleet)
    restart, peak, seconds = await restart_tenth(fleet)
    return Measured(
        death, replacement, resumption, rest, restart, peak, seconds
    )


async def measure_replacement(fleet: Fleet) -> tuple[Spread, Spread]:
    """Kill a process, then start its successor, and time both."""
    victim = fleet.nodes[len(fleet.nodes) // 2]
    await fleet.kill(victim)
    death = await _spread(fleet, lambda node: not _answers(node, victim.member))
    successor = fleet.add(victim.member.endpoint, DATA_CENTRE)
    starting = asyncio.create_task(successor.service.start())
    replacement = await _spread(
        fleet, lambda node: _answers(node, successor.member)
    )
    await starting
    return death, replacement


async def measure_pause(fleet: Fleet) -> Spread:
    """Time the return of a process that was paused until taken for dead."""
    sleeper = fleet.nodes[len(fleet.nodes) // 3]
    sleeper.pause()
    await asyncio.sleep(_PAUSE_SECONDS)
    sleeper.resume()
    known = await _spread(fleet, lambda node: _answers(node, sleeper.member))
    await asyncio.sleep(_SETTLE_SECONDS)
    return known


async def start_fleet(size: int) -> Fleet:
    """Return a fleet whose members know each other."""
    # The lists are read once by new members only; their cost is printed
    # apart from the fleet's.
    settings = MembershipSettings(
        list_interval=_NEVER_SECONDS, foreign_list_interval=_NEVER_SECONDS
    )
    fleet = Fleet(SEED, settings=settings)
    template = MemberTable()
    for index in range(size):
        added = fleet.add(f'catalogue-lhe1-{index:04}', DATA_CENTRE)
        template.update(added.member)
    fleet.lists.available = False
    for started in fleet.nodes:
        started.table.adopt(template)
    await asyncio.gather(*(one.service.start() for one in fleet.nodes))
    fleet.lists.write(DATA_CENTRE, [one.member for one in fleet.nodes])
    fleet.lists.available = True
    await asyncio.sleep(_SETTLE_SECONDS)
    return fleet


async def restart_tenth(fleet: Fleet) -> tuple[Rate, float, float]:
    """Kill a tenth, start successors after a second, wait for agreement.

    The result is the cost over that time, the highest bytes a second of
    any second of it, and the time.
    """
    live = fleet.live()
    for victim in fleet.random.sample(live, len(live) // 10):
        await fleet.kill(victim)
        fleet.add(victim.member.endpoint, DATA_CENTRE)
    meter = Meter(fleet)
    begun = asyncio.get_running_loop().time()
    await asyncio.sleep(1)
    fresh = fleet.nodes[len(fleet.nodes) - len(live) // 10 :]
    starting = [asyncio.create_task(node.service.start()) for node in fresh]
    peak: float = 0
    while not _agree(fleet):
        second = Meter(fleet)
        await asyncio.sleep(1)
        peak = max(peak, second.read().sent_bytes)
        if asyncio.get_running_loop().time() - begun > _LIMIT_SECONDS:
            break
    await asyncio.gather(*starting)
    elapsed = asyncio.get_running_loop().time() - begun
    return meter.read(), peak, elapsed


async def _spread(fleet: Fleet, condition: Callable[[Node], bool]) -> Spread:
    begun = asyncio.get_running_loop().time()
    waiting = fleet.live()
    known: list[float] = []
    elapsed: float = 0
    while waiting and elapsed < _LIMIT_SECONDS:
        await asyncio.sleep(_POLL_SECONDS)
        elapsed = asyncio.get_running_loop().time() - begun
        still = [node for node in waiting if not condition(node)]
        known.extend(repeat(elapsed, len(waiting) - len(still)))
        waiting = still
    known.extend(repeat(float('inf'), len(waiting)))
    return Spread(median(known), max(known))


def _answers(node: Node, member: Member) -> bool:
    known = node.table.find(member.endpoint)
    return (
        known is not None
        and known.incarnation == member.incarnation
        and node.service.is_answering(member.endpoint)
    )


def _agree(fleet: Fleet) -> bool:
    live = fleet.live()
    digests = {node.table.digest(DATA_CENTRE) for node in live}
    sizes = {len(node.table.in_data_centre(DATA_CENTRE)) for node in live}
    return len(digests) == 1 and sizes == {len(live)}


def _print_line(size: int) -> None:
    done = run_fleet(measure(size))
    rate, heartbeat = measure_heartbeats(size)
    memory = measure_memory(size) / 1024
    print(
        f'{size:5}'
        f' {done.death.median:6.1f} {done.death.last:5.1f}'
        f' {done.replacement.median:6.1f} {done.replacement.last:5.1f}'
        f' {done.resumption.median:6.1f} {done.resumption.last:5.1f}'
        f' {done.rest.sent_bytes:7.0f} {done.rest.messages:5.1f}'
        f' {done.rest.cpu_microseconds:6.0f}'
        f' {done.restart_seconds:6.1f} {done.restart.sent_bytes:7.0f}'
        f' {done.restart_peak:6.0f} {done.restart.messages:5.1f}'
        f' {done.restart.cpu_microseconds:6.0f} {memory:7.0f}'
        f' | {heartbeat.median:6.1f} {heartbeat.last:5.1f}'
        f' {rate.sent_bytes:8.0f} {rate.messages:6.0f}'
        f' {rate.cpu_microseconds:7.0f}',
        flush=True,
    )


def main() -> None:
    """Print the table."""
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
