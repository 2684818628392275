"""Guards the bound of an account over all daemons under single failures."""

import asyncio

from wagtailline.objects import Limit
from wagtailline_lab.allowance_fleet import Fleet, endpoints_of, make_objects
from wagtailline_lab.simulation import run_simulation

_SETTLED_SECONDS = 9
_LIMITS = (Limit('a', 10, 10),)


async def _start(sizes=(4, 4, 4), limits=_LIMITS, **options):
    fleet = Fleet(options.pop('seed', 1), **options)
    fleet.publish(make_objects(sizes, limits))
    for endpoint in endpoints_of(fleet.latest):
        await fleet.start(endpoint)
    await asyncio.sleep(_SETTLED_SECONDS)
    return fleet, list(fleet.daemons)


async def _flood(fleet, processes, seconds, limit='a', pause=0.01):
    for _ in range(round(seconds / pause)):
        for process in processes:
            fleet.spawn(process, limit)
        await asyncio.sleep(pause)


def test_account_uses_all_of_its_rate_and_no_more():
    """A flood must get the whole rate, and nothing above it."""

    async def scenario():
        fleet, processes = await _start()
        await _flood(fleet, processes, 10)
        return fleet.oracle.excess('a', fleet.admitted['a']), fleet.admitted

    excess, admitted = run_simulation(scenario())
    assert excess == 0
    assert len(admitted['a']) >= 0.8 * (10 + 10 * 10)
