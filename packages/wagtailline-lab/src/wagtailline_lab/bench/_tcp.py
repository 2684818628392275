"""CPU usage of idle distribution daemons over TCP on the loopback address."""

import asyncio
import time

from wagtailline.codec import Codec
from wagtailline.distribution import DISTRIBUTION_KINDS
from wagtailline.messages import CONNECTION_KINDS
from wagtailline.streams import StreamTransport
from wagtailline_lab.distribution_fleet import Simulation, make_simulation
from wagtailline_lab.network import LinkQuality
from wagtailline_lab.sample_set import make_objects

TCP_DAEMONS = 60
_DATA_CENTRES = 3
_FIRST_PORT = 23_000
_JOIN_SECONDS = 8
_IDLE_SECONDS = 10
_SEED = 1
_MICROSECONDS = 1_000_000


async def measure_tcp() -> float:
    """Return the CPU microseconds a second that each idle daemon uses.

    Return NaN if the daemons do not all receive the snapshot in time.
    """
    simulation = make_simulation(_SEED, 0, 0, LinkQuality())
    codec = Codec(CONNECTION_KINDS | DISTRIBUTION_KINDS)
    simulation.fleet.first_port = _FIRST_PORT
    simulation.fleet.wrap = lambda _memory: StreamTransport(codec)
    for index in range(_DATA_CENTRES):
        simulation.fleet.add(f'dc{index}', TCP_DAEMONS // _DATA_CENTRES)
    simulation.publisher.publish(make_objects(TCP_DAEMONS, 4, _DATA_CENTRES))
    try:
        return await _measure_idle(simulation)
    finally:
        await simulation.fleet.stop()


async def _measure_idle(simulation: Simulation) -> float:
    await simulation.fleet.start_all()
    await asyncio.sleep(_JOIN_SECONDS)
    if set(simulation.fleet.versions().values()) != {1}:
        return float('nan')
    cpu_seconds = time.process_time()
    await asyncio.sleep(_IDLE_SECONDS)
    cpu_seconds = time.process_time() - cpu_seconds
    return cpu_seconds * _MICROSECONDS / _IDLE_SECONDS / TCP_DAEMONS
