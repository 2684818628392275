"""The distribution at rest over TCP on the loopback address."""

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
_CENTRES = 3
_FIRST_PORT = 23_000
_JOIN_SECONDS = 8
_REST_SECONDS = 10
_SEED = 1
_MICRO = 1_000_000


async def measure_tcp() -> float:
    """Return the CPU microseconds a second of each daemon at rest."""
    simulation = make_simulation(_SEED, 0, 0, LinkQuality())
    codec = Codec(CONNECTION_KINDS | DISTRIBUTION_KINDS)
    simulation.fleet.first_port = _FIRST_PORT
    simulation.fleet.wrap = lambda _memory: StreamTransport(codec)
    for centre in range(_CENTRES):
        simulation.fleet.add(f'dc{centre}', TCP_DAEMONS // _CENTRES)
    simulation.publisher.publish(make_objects(TCP_DAEMONS, 4, _CENTRES))
    try:
        return await _rest(simulation)
    finally:
        await simulation.fleet.stop()


async def _rest(simulation: Simulation) -> float:
    await simulation.fleet.start_all()
    await asyncio.sleep(_JOIN_SECONDS)
    if set(simulation.fleet.versions().values()) != {1}:
        return float('nan')
    spent = time.process_time()
    await asyncio.sleep(_REST_SECONDS)
    spent = time.process_time() - spent
    return spent * _MICRO / _REST_SECONDS / TCP_DAEMONS
